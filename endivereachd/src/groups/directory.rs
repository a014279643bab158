//! The groups' objects in the platform: one list at the start, one watch after it, and conditional
//! updates whose lost answers are found out.

use super::Shared;
use crate::context::Context;
use endivereach_core::directory::GroupObject;
use endivereach_core::ids::ProxyId;
use endivereach_core::ids::Version;
use endivereach_wire::http::CallError;
use endivereach_wire::platform::KIND_GROUP;
use endivereach_wire::platform::Object;
use endivereach_wire::platform::PlatformClient;
use endivereach_wire::platform::PutOutcome;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// How long a call to the platform may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// How long one watch waits at the platform.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// The pause after the first failed call. It doubles up to [`PAUSE_MAX`].
const PAUSE_MIN: Duration = Duration::from_millis(100);

/// The longest pause between calls while the platform is down.
const PAUSE_MAX: Duration = Duration::from_secs(2);

/// What became of an update of a group's object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Update {
    /// It took effect.
    Stored,
    /// Somebody else changed the object first. The newest version was learnt.
    Conflict,
    /// The platform gave no answer; the update may have taken effect.
    Unknown,
}

/// The platform as the groups use it.
pub(super) struct Directory {
    client: PlatformClient,
    me: ProxyId,
    operations: AtomicU64,
}

impl Directory {
    pub(super) fn new(context: &Context) -> Self {
        Self {
            client: PlatformClient::new(context.settings.platform.addr, CALL_TIMEOUT),
            me: context.id.clone(),
            operations: AtomicU64::new(0),
        }
    }

    /// Draws the identity of one update.
    fn operation(&self) -> Box<str> {
        let number = self.operations.fetch_add(1, Ordering::Relaxed);
        format!("{}/groups/{number}", self.me).into()
    }

    /// Replaces a group's object if its version is still `expected`, and learns what is stored.
    ///
    /// After a lost answer the object is read back, and its operation tells whether the update took
    /// effect.
    pub(super) fn update(
        &self,
        shared: &Arc<Shared>,
        expected: Version,
        object: GroupObject,
    ) -> Update {
        let operation = self.operation();
        let name = object.name.clone();
        let stored = self
            .client
            .put(KIND_GROUP, name.as_str(), expected, &operation, &object);
        match stored {
            Ok(PutOutcome::Stored { version }) => {
                shared.learn(version, object);
                Update::Stored
            }
            Ok(PutOutcome::Conflict { current }) => settle(shared, current, &operation),
            Err(_) => match self.client.get(KIND_GROUP, name.as_str()) {
                Ok(current) => settle(shared, current, &operation),
                Err(_) => Update::Unknown,
            },
        }
    }

    /// Reads a group's object and learns it.
    pub(super) fn refresh(&self, shared: &Arc<Shared>, name: &str) -> Result<(), CallError> {
        if let Some(object) = self.client.get(KIND_GROUP, name)? {
            take_in(shared, &object);
        }
        Ok(())
    }
}

/// Learns the stored object and tells whether `operation` wrote it.
fn settle(shared: &Arc<Shared>, current: Option<Object>, operation: &str) -> Update {
    let Some(current) = current else {
        return Update::Conflict;
    };
    take_in(shared, &current);
    if &*current.op_id == operation {
        Update::Stored
    } else {
        Update::Conflict
    }
}

/// Learns an object, unless it can't be decoded: then the last good one stays.
fn take_in(shared: &Arc<Shared>, object: &Object) {
    match object.decode::<GroupObject>() {
        Ok(group) if !group.members.is_empty() => shared.learn(object.version, group),
        Ok(_) => log::warn!("group {} has no members; it is ignored", object.name),
        Err(reason) => log::warn!("group {} can't be decoded: {reason}", object.name),
    }
}

/// Lists the groups once and follows their changes until the watch stops.
pub(super) fn follow(shared: &Arc<Shared>) {
    let client = &shared.directory.client;
    let mut known: Option<Version> = None;
    let mut pause = PAUSE_MIN;
    while !shared.is_stopped() {
        let step = match known {
            None => list(shared, client),
            Some(after) => watch(shared, client, after),
        };
        match step {
            Ok(revision) => {
                known = Some(revision);
                pause = PAUSE_MIN;
            }
            Err(error) => {
                log::debug!("groups: {error}");
                // A refused revision is too old to go on from; a fresh list always works.
                if error.refusal_kind().is_some() {
                    known = None;
                }
                thread::sleep(pause);
                pause = (pause * 2).min(PAUSE_MAX);
            }
        }
    }
}

fn list(shared: &Arc<Shared>, client: &PlatformClient) -> Result<Version, CallError> {
    let objects = client.list(KIND_GROUP)?;
    let newest = objects.iter().map(|object| object.version).max();
    for object in &objects {
        take_in(shared, object);
    }
    Ok(newest.unwrap_or_default())
}

fn watch(
    shared: &Arc<Shared>,
    client: &PlatformClient,
    after: Version,
) -> Result<Version, CallError> {
    let answer = client.watch(KIND_GROUP, after, WATCH_WAIT)?;
    for object in &answer.objects {
        take_in(shared, object);
    }
    Ok(answer.revision.max(after))
}
