//! What the data path sees of a group.

use endivereach_core::directory::Member;
use endivereach_core::ids::GroupName;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::Term;
use endivereach_wire::member::MemberStatus;
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
