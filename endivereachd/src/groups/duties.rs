//! Periodic duties that one home does for the whole fleet: publication of a new primary in the
//! group's object, renewal of the grants (terms that are assigned to a process before a promotion
//! needs them), and repair of members that don't follow the primary.

use super::directory::UpdateOutcome;
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

/// The additional delay per rank before a home does a duty that a home of lower rank hasn't done.
const DELAY_PER_RANK: Duration = Duration::from_millis(500);

/// The interval between two attempts to update a group's object.
const UPDATE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The interval between two `follow` calls to a member that needs repair.
const REPAIR_INTERVAL: Duration = Duration::from_millis(500);

/// When the duties of a group became due and when they were last attempted.
#[derive(Debug, Default)]
pub(super) struct Duties {
    /// When the object began to need an update, or `None` if it needs none.
    update_due_since: Option<Instant>,
    update_tried_at: Option<Instant>,
    /// When a member began to need repair, or `None` if no member does.
    repair_due_since: Option<Instant>,
    repaired_at: Option<Instant>,
}

/// Returns whether a home of the given rank should do a duty now.
///
/// The duty has been pending since `since` and was last attempted at `tried`.
fn is_due(
    now: Instant,
    since: Instant,
    tried: Option<Instant>,
    rank: u32,
    retry_interval: Duration,
) -> bool {
    now >= since + DELAY_PER_RANK * rank && tried.is_none_or(|at| now >= at + retry_interval)
}

impl State {
    /// Returns the object that should be stored, or `None` when the current one needs no change.
    fn desired_object(
        &self,
        own_id: &ProxyId,
        has_ended: impl Fn(&ProxyId) -> bool,
    ) -> Option<GroupObject> {
        let published = self
            .primary
            .as_ref()
            .and_then(|primary| grants::with_primary(&self.object, self.term, primary));
        let base = published.as_ref().unwrap_or(&self.object);
        let highest_known_term = self.highest_term().max(self.progress.highest_used_term());
        grants::with_grant_if_needed(base, own_id, highest_known_term, has_ended).or(published)
    }

    /// Returns the primary and the members that don't follow it in the current term.
    fn members_to_repair(&self) -> Option<(MemberId, Vec<MemberClient>)> {
        let primary = self.primary.clone()?;
        let needs_repair = |m: &&MemberState| {
            let Some(status) = &m.status else {
                return false;
            };
            let behind = status.term < self.term && status.fenced_term <= self.term;
            let leads = status.role == MemberRole::Primary && status.term <= self.term;
            m.member.id != primary && (behind || leads)
        };
        let members_to_repair = self.members.iter().filter(needs_repair);
        let clients = members_to_repair.map(|m| m.client.clone()).collect();
        Some((primary, clients))
    }
}

impl Group {
    /// Does the duties of this group that are due at this proxy's rank.
    pub(super) fn do_duties(&self) {
        let Some(rank) = self.shared().fleet().home_rank(self.name()) else {
            return;
        };
        self.repair(rank);
        if let Some((version, object)) = self.due_update(rank) {
            let shared = self.shared();
            let update = shared.directory.update(shared, version, object);
            log::debug!(
                "{}: result of updating the group's object: {update:?}",
                self.name()
            );
            if update == UpdateOutcome::Stored {
                self.state().duties.update_tried_at = None;
            }
        }
    }

    fn due_update(&self, rank: u32) -> Option<(Version, GroupObject)> {
        let now = self.now();
        let fleet = self.shared().fleet();
        let mut state = self.state();
        let desired = state.desired_object(&self.context().id, |proxy| fleet.has_ended(proxy));
        if state.progress.is_attempt_running() {
            return None;
        }
        let Some(desired) = desired else {
            state.duties.update_due_since = None;
            return None;
        };
        let since = *state.duties.update_due_since.get_or_insert(now);
        // The proxy that promoted the primary publishes it without the delay of its rank.
        let promoted =
            state.progress.has_attempted_in(state.term) && state.object.term < state.term;
        let rank = if promoted { 0 } else { rank };
        if !is_due(
            now,
            since,
            state.duties.update_tried_at,
            rank,
            UPDATE_RETRY_INTERVAL,
        ) {
            return None;
        }
        state.duties.update_tried_at = Some(now);
        Some((state.version, desired))
    }

    /// Makes members outside the current term, such as a returned former primary, follow the
    /// primary.
    fn repair(&self, rank: u32) {
        let now = self.now();
        let mut state = self.state();
        let Some((primary, members_to_repair)) = state.members_to_repair() else {
            return;
        };
        if members_to_repair.is_empty() || state.progress.is_attempt_running() {
            state.duties.repair_due_since = None;
            return;
        }
        let since = *state.duties.repair_due_since.get_or_insert(now);
        // The proxy that promoted the primary repairs the members without the delay of its rank.
        let promoted = state.progress.has_attempted_in(state.term);
        let rank = if promoted { 0 } else { rank };
        if !is_due(now, since, state.duties.repaired_at, rank, REPAIR_INTERVAL) {
            return;
        }
        state.duties.repaired_at = Some(now);
        let term = state.term;
        drop(state);
        for client in members_to_repair {
            self.submit_follow(client, term, primary.clone());
        }
    }
}
