//! Snapshots of a group's state for the data path.

use endivereach_core::directory::Member;
use endivereach_core::ids::GroupName;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::Term;
use endivereach_wire::member::MemberStatus;
use std::time::Instant;

/// A snapshot of a group as this proxy knows it.
#[derive(Clone, Debug)]
pub struct GroupView {
    /// The group's name.
    pub name: GroupName,
    /// The term of the current primary.
    pub term: Term,
    /// The current primary, or `None` while a promotion is in progress.
    pub primary: Option<MemberId>,
    /// Every member.
    pub members: Vec<MemberView>,
    /// The number of connections that one server accepts.
    pub connections_per_server: u32,
    /// The number of statements that one server runs at a time.
    pub slots_per_server: u32,
}

/// A snapshot of a member as this proxy knows it.
#[derive(Clone, Debug)]
pub struct MemberView {
    /// The member's entry in the group's object.
    pub member: Member,
    /// The member's last status, or `None` before its first answer.
    pub status: Option<MemberStatus>,
    /// When the call that returned the last status was made.
    pub status_requested_at: Option<Instant>,
    /// Whether the member has answered a control call and does not refuse connections now.
    pub reachable: bool,
}

/// Whether a commit is known to survive a failover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// A majority of the members has stored the commit, is in its term and isn't fenced, so the
    /// commit may be acknowledged.
    Confirmed,
    /// The primary was replaced first: the outcome must be read from the new primary.
    Replaced,
    /// The deadline passed: the outcome is unknown.
    TimedOut,
}
