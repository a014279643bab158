//! The groups' objects in the platform: an initial list, a watch for changes, and conditional
//! updates whose outcome is read back when the answer is lost.

use super::Shared;
use crate::context::Context;
use endivereach_core::directory::GroupObject;
use endivereach_core::ids::ProxyId;
use endivereach_core::ids::Version;
use endivereach_core::logfmt::LogValue;
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

/// The timeout of a call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// How long one watch call waits at the platform for a change.
const WATCH_WAIT_MAX: Duration = Duration::from_secs(20);

/// The delay after the first failed call. It doubles with each further failure up to
/// [`RETRY_DELAY_MAX`].
const RETRY_DELAY_MIN: Duration = Duration::from_millis(100);

/// The maximum delay between calls while the platform is down.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(2);

/// The outcome of an update of a group's object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UpdateOutcome {
    /// The update took effect.
    Stored,
    /// Another process changed the object first, and its newest version was applied here.
    Conflict,
    /// The platform did not answer; the update may have taken effect.
    Unknown,
}

/// The platform's store of group objects.
pub(super) struct Directory {
    client: PlatformClient,
    own_id: ProxyId,
    operation_count: AtomicU64,
}

impl Directory {
    pub(super) fn new(context: &Context) -> Self {
        Self {
            client: PlatformClient::new(context.settings.platform.addr, CALL_TIMEOUT),
            own_id: context.id.clone(),
            operation_count: AtomicU64::new(0),
        }
    }

    /// Returns an operation id that no other update has.
    fn next_operation_id(&self) -> Box<str> {
        let number = self.operation_count.fetch_add(1, Ordering::Relaxed);
        format!("{}/groups/{number}", self.own_id).into()
    }

    /// Replaces a group's object if its version is still `expected`, and applies the stored object.
    ///
    /// If the answer is lost, the object is read back, and its operation id shows whether the
    /// update took effect.
    pub(super) fn update(
        &self,
        shared: &Arc<Shared>,
        expected: Version,
        object: GroupObject,
    ) -> UpdateOutcome {
        let operation = self.next_operation_id();
        let name = object.name.clone();
        let stored = self
            .client
            .put(KIND_GROUP, name.as_str(), expected, &operation, &object);
        match stored {
            Ok(PutOutcome::Stored { version }) => {
                shared.update_object(version, object);
                UpdateOutcome::Stored
            }
            Ok(PutOutcome::Conflict { current }) => resolve_update(shared, current, &operation),
            Err(_) => match self.client.get(KIND_GROUP, name.as_str()) {
                Ok(current) => resolve_update(shared, current, &operation),
                Err(_) => UpdateOutcome::Unknown,
            },
        }
    }

    /// Reads a group's object from the platform and applies it.
    pub(super) fn refresh(&self, shared: &Arc<Shared>, name: &str) -> Result<(), CallError> {
        if let Some(object) = self.client.get(KIND_GROUP, name)? {
            apply_stored_object(shared, &object);
        }
        Ok(())
    }
}

/// Applies the stored object and returns whether `operation` wrote it.
fn resolve_update(shared: &Arc<Shared>, current: Option<Object>, operation: &str) -> UpdateOutcome {
    let Some(current) = current else {
        return UpdateOutcome::Conflict;
    };
    apply_stored_object(shared, &current);
    if &*current.op_id == operation {
        UpdateOutcome::Stored
    } else {
        UpdateOutcome::Conflict
    }
}

/// Applies a stored object. If it can't be decoded, the last valid object stays in use.
fn apply_stored_object(shared: &Arc<Shared>, object: &Object) {
    match object.decode::<GroupObject>() {
        Ok(group) if !group.members.is_empty() => shared.update_object(object.version, group),
        Ok(_) => log::warn!(
            "object of group {} is ignored because it lists no members",
            LogValue(&object.name)
        ),
        Err(reason) => log::warn!(
            "object of group {} can't be decoded and is ignored: {reason}",
            LogValue(&object.name)
        ),
    }
}

/// Lists the groups and then watches them for changes until monitoring stops.
pub(super) fn watch_groups(shared: &Arc<Shared>) {
    let client = &shared.directory.client;
    let mut known: Option<Version> = None;
    let mut retry_delay = RETRY_DELAY_MIN;
    while !shared.is_stopped() {
        let result = match known {
            None => list_groups(shared, client),
            Some(after) => watch_changes(shared, client, after),
        };
        match result {
            Ok(revision) => {
                known = Some(revision);
                retry_delay = RETRY_DELAY_MIN;
            }
            Err(error) => {
                log::debug!("reading the groups from the platform failed: {error}");
                // A refusal means that the revision is too old to continue from, so the groups are
                // listed again.
                if error.refusal_kind().is_some() {
                    known = None;
                }
                thread::sleep(retry_delay);
                retry_delay = (retry_delay * 2).min(RETRY_DELAY_MAX);
            }
        }
    }
}

fn list_groups(shared: &Arc<Shared>, client: &PlatformClient) -> Result<Version, CallError> {
    let objects = client.list(KIND_GROUP)?;
    let newest = objects.iter().map(|object| object.version).max();
    for object in &objects {
        apply_stored_object(shared, object);
    }
    Ok(newest.unwrap_or_default())
}

fn watch_changes(
    shared: &Arc<Shared>,
    client: &PlatformClient,
    after: Version,
) -> Result<Version, CallError> {
    let answer = client.watch(KIND_GROUP, after, WATCH_WAIT_MAX)?;
    for object in &answer.objects {
        apply_stored_object(shared, object);
    }
    Ok(answer.revision.max(after))
}
