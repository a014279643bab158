//! Database groups: their state as this proxy knows it, confirmation of commits, and promotion.
//!
//! [`Groups`] keeps watch over every group. The data path asks a [`Group`] three things: who the
//! primary is, whether a commit may be acknowledged, and which position a read must include.

use crate::context::Context;
use endivereach_core::directory::Member;
use endivereach_core::ids::GroupName;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::Position;
use endivereach_core::ids::Term;
use endivereach_wire::member::MemberStatus;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// A group as this proxy sees it at one moment.
#[derive(Clone, Debug)]
pub struct GroupView {
    /// The group's name.
    pub name: GroupName,
    /// The term of the current primary.
    pub term: Term,
    /// The current primary, or `None` while a promotion is under way.
    pub primary: Option<MemberId>,
    /// Every member.
    pub members: Vec<MemberView>,
    /// Connections that one server accepts.
    pub connections_per_server: u32,
    /// Statements that one server runs at a time.
    pub slots_per_server: u32,
}

/// A member as this proxy sees it at one moment.
#[derive(Clone, Debug)]
pub struct MemberView {
    /// The member's entry in the group's object.
    pub member: Member,
    /// Its last status, or `None` before the first.
    pub status: Option<MemberStatus>,
    /// When the last status was asked for.
    pub asked_at: Option<Instant>,
    /// Whether it answers control calls.
    pub reachable: bool,
}

/// What is known of a commit's place in the surviving history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// A majority has it under an unfenced equal term: acknowledge it.
    Confirmed,
    /// The primary was replaced first: find the outcome out on the new primary.
    Replaced,
    /// The deadline passed: the outcome is unknown.
    TimedOut,
}

/// A handle to one group.
#[derive(Debug)]
pub struct Group {}

impl Group {
    /// Returns the group as last seen.
    pub fn view(&self) -> Arc<GroupView> {
        todo!()
    }

    /// Waits until the commit at `position`, made in `term`, may be acknowledged.
    ///
    /// Waits of all commits in flight share one position watch per member.
    pub fn confirm(&self, term: Term, position: Position, deadline: Instant) -> Confirmation {
        let _ = (term, position, deadline);
        todo!()
    }

    /// Returns a position that includes everything acknowledged to anyone before this call, or
    /// `None` when the deadline passes first. Calls that wait at the same time share one round.
    pub fn read_floor(&self, deadline: Instant) -> Option<Position> {
        let _ = deadline;
        todo!()
    }

    /// Returns a position such that any state including it is at most `max_age` old, or `None` when
    /// no recent enough sample is known. Ages are measured by this proxy's monotonic clock alone.
    pub fn age_floor(&self, max_age: Duration) -> Option<Position> {
        let _ = max_age;
        todo!()
    }

    /// Waits for a primary in a term above `term`.
    pub fn wait_for_primary_above(&self, term: Term, deadline: Instant) -> Option<Arc<GroupView>> {
        let _ = (term, deadline);
        todo!()
    }

    /// Reports that a connection to `member` went silent or broke: evidence, to be checked at once.
    pub fn report_silent(&self, member: &MemberId) {
        let _ = member;
    }
}

/// The running watch over every group.
#[derive(Debug)]
pub struct Groups {}

impl Groups {
    /// Starts watching the groups of the platform.
    ///
    /// # Errors
    ///
    /// Returns an error when a thread can't be started.
    pub fn spawn(context: Arc<Context>) -> anyhow::Result<Self> {
        let _ = context;
        Ok(Self {})
    }

    /// Returns the group with the given name.
    pub fn find(&self, name: &GroupName) -> Option<Arc<Group>> {
        let _ = name;
        None
    }
}
