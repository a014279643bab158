//! Reads of the list of targets, on which promotions rest. See [`crate::target_list`].

use super::Effect;
use super::Engine;
use crate::exchange::Evidence;
use crate::ids::GroupName;
use crate::logfmt::LogValue;
use crate::target_list::ListEvidence;
use std::time::Duration;
use std::time::Instant;

/// How long a group may be without a primary before the list is read again if it is old. It exceeds
/// the time in which another process promotes a server.
const UNEXPLAINED_ABSENCE: Duration = Duration::from_millis(1_500);

impl Engine {
    /// Records the newest evidence for the list that was last passed to [`Engine::set_targets`].
    pub fn record_target_evidence(&mut self, evidence: Evidence) {
        self.target_list.record(evidence);
    }

    /// Records that the list that was last passed to [`Engine::set_targets`] is complete, by a read of
    /// the whole list from the store that was sent at `asked_at`. Orders the promotions that waited for
    /// it.
    pub fn targets_read(&mut self, now: Instant, asked_at: Instant) {
        self.target_list.record_read(asked_at);
        let names: Vec<GroupName> = self.groups.keys().cloned().collect();
        for name in &names {
            self.order_due_promotion(now, name);
        }
    }

    /// Discards the evidence for the list, because the store has returned from a copy.
    pub fn discard_target_evidence(&mut self) {
        self.target_list.enter_era();
    }

    /// Returns the evidence for the list of targets.
    pub fn target_list(&self) -> &ListEvidence {
        &self.target_list
    }

    /// Asks for the list if a group has had no primary for longer than a promotion takes and the list is
    /// old. The primary may be a server that the list lacks.
    pub(super) fn read_list_without_primary(&mut self, now: Instant, name: &GroupName) {
        let since = self
            .groups
            .get(name)
            .and_then(|group| group.failover.no_primary_since);
        let is_unexplained = since.is_some_and(|since| now >= since + UNEXPLAINED_ABSENCE);
        if is_unexplained && !self.target_list.is_recent(now) {
            self.effects.push(Effect::ReadTargets);
        }
    }

    /// Returns the age of the list for log lines, in ms, or `none`.
    pub(super) fn list_age_text(&self, now: Instant) -> LogValue<String> {
        let age = self.target_list.age(now);
        LogValue(age.map_or("none".into(), |age| age.as_millis().to_string()))
    }
}
