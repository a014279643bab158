//! Slow duties that one home does for everybody: publication, grants, and repair of members.

use super::directory::Update;
use super::group::Group;
use super::member::MemberState;
use super::state::State;
use endivereach_core::directory::GroupObject;
use endivereach_core::grants;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::ProxyId;
use endivereach_core::ids::Version;
use endivereach_wire::member::MemberClient;
use endivereach_wire::member::MemberRole;
use std::time::Duration;
use std::time::Instant;

/// How much longer each further home waits before it does a duty of the one before it.
const RANK_STEP: Duration = Duration::from_millis(500);

/// The pause after an update that failed.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How often a member that went astray is told to follow.
const REPAIR_EVERY: Duration = Duration::from_millis(500);

/// When the duties of a group were last due and done.
#[derive(Debug, Default)]
pub(super) struct Duties {
    /// Since when the object needs an update.
    update_due_since: Option<Instant>,
    update_tried_at: Option<Instant>,
    /// Since when a member needs repair.
    repair_due_since: Option<Instant>,
    repaired_at: Option<Instant>,
}

/// Returns whether a duty that is due since `since` and was last tried at `tried` is to be done now.
fn is_turn(
    now: Instant,
    since: Instant,
    tried: Option<Instant>,
    rank: u32,
    pause: Duration,
) -> bool {
    now >= since + RANK_STEP * rank && tried.is_none_or(|at| now >= at + pause)
}

impl State {
    /// Returns the object as it should be stored, or `None` when it is right as it stands.
    fn wanted_object(
        &self,
        me: &ProxyId,
        is_gone: impl Fn(&ProxyId) -> bool,
    ) -> Option<GroupObject> {
        let published = self
            .primary
            .as_ref()
            .and_then(|primary| grants::publish(&self.object, self.term, primary));
        let base = published.as_ref().unwrap_or(&self.object);
        let above = self.highest_term().max(self.progress.used_up_to());
        grants::refresh(base, me, above, is_gone).or(published)
    }

    /// Returns the members that don't take part in the current term, with the primary to follow.
    fn astray(&self) -> Option<(MemberId, Vec<MemberClient>)> {
        let primary = self.primary.clone()?;
        let is_astray = |m: &&MemberState| {
            let Some(status) = &m.status else {
                return false;
            };
            let behind = status.term < self.term && status.fenced_term <= self.term;
            let leads = status.role == MemberRole::Primary && status.term <= self.term;
            m.member.id != primary && (behind || leads)
        };
        let astray = self.members.iter().filter(is_astray);
        let clients = astray.map(|m| m.client.clone()).collect();
        Some((primary, clients))
    }
}

impl Group {
    /// Does the duties of this group that are due and this proxy's turn.
    pub(super) fn do_duties(&self) {
        let Some(rank) = self.shared().fleet().home_rank(self.name()) else {
            return;
        };
        self.repair(rank);
        if let Some((version, object)) = self.due_update(rank) {
            let shared = self.shared();
            let update = shared.directory.update(shared, version, object);
            log::debug!("{}: update of its object: {update:?}", self.name());
            if update == Update::Stored {
                self.state().duties.update_tried_at = None;
            }
        }
    }

    fn due_update(&self, rank: u32) -> Option<(Version, GroupObject)> {
        let now = self.now();
        let fleet = self.shared().fleet();
        let mut state = self.state();
        let wanted = state.wanted_object(&self.context().id, |proxy| fleet.is_gone(proxy));
        if state.progress.is_running() {
            return None;
        }
        let Some(wanted) = wanted else {
            state.duties.update_due_since = None;
            return None;
        };
        let since = *state.duties.update_due_since.get_or_insert(now);
        // Whoever promoted publishes at once.
        let promoted = state.progress.has_promoted_in(state.term) && state.object.term < state.term;
        let rank = if promoted { 0 } else { rank };
        if !is_turn(now, since, state.duties.update_tried_at, rank, RETRY_AFTER) {
            return None;
        }
        state.duties.update_tried_at = Some(now);
        Some((state.version, wanted))
    }

    /// Tells members that went astray, such as a primary that returned, to follow the current one.
    fn repair(&self, rank: u32) {
        let now = self.now();
        let mut state = self.state();
        let Some((primary, astray)) = state.astray() else {
            return;
        };
        if astray.is_empty() || state.progress.is_running() {
            state.duties.repair_due_since = None;
            return;
        }
        let since = *state.duties.repair_due_since.get_or_insert(now);
        // Whoever promoted sees to it that the others follow.
        let promoted = state.progress.has_promoted_in(state.term);
        let rank = if promoted { 0 } else { rank };
        if !is_turn(now, since, state.duties.repaired_at, rank, REPAIR_EVERY) {
            return;
        }
        state.duties.repaired_at = Some(now);
        let term = state.term;
        drop(state);
        for client in astray {
            self.submit_follow(client, term, primary.clone());
        }
    }
}
