//! The interfaces through which the data path uses the rest of the daemon: database groups and the
//! rules in force.

use crate::groups::Confirmation;
use crate::groups::Group;
use crate::groups::GroupView;
use crate::groups::Groups;
use endivereach_core::ids::GroupName;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::Position;
use endivereach_core::ids::Term;
use endivereach_core::treatment::Classifier;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// The operations on one database group that the data path uses. [`Group`] documents each method.
pub trait GroupState: Send + Sync + 'static {
    /// Returns the most recent view of the group.
    fn view(&self) -> Arc<GroupView>;
    /// Waits until a commit is confirmed, so that it may be acknowledged.
    fn confirm(&self, term: Term, position: Position, deadline: Instant) -> Confirmation;
    /// Returns a position that includes everything acknowledged before this call.
    fn read_floor(&self, deadline: Instant) -> Option<Position>;
    /// Returns a position: a server that has applied it returns data at most `max_age` old.
    fn age_floor(&self, max_age: Duration) -> Option<Position>;
    /// Waits for a primary with a term greater than `term`.
    fn wait_for_primary_after(&self, term: Term, deadline: Instant) -> Option<Arc<GroupView>>;
    /// Reports that a connection to `member` failed or timed out.
    fn report_unresponsive(&self, member: &MemberId);
}

/// A lookup of database groups by name.
pub trait GroupDirectory: Send + Sync + 'static {
    /// The type of a handle to one group.
    type Group: GroupState;

    /// Returns the group with the given name.
    fn find(&self, name: &GroupName) -> Option<Arc<Self::Group>>;
}

/// A source of the rules that are currently in force.
///
/// # Examples
///
/// Any function that returns a shared classifier implements this trait:
///
/// ```
/// use endivereach_core::ids::GroupName;
/// use endivereach_core::treatment::{Classification, Classifier, StatementKind, Treatment};
/// use endivereachd::callers::ClassifierSource;
/// use std::sync::Arc;
///
/// struct Strictest;
///
/// impl Classifier for Strictest {
///     fn classify(&self, _: &GroupName, _: &str) -> Classification {
///         let treatment = Treatment::strictest();
///         Classification { kind: StatementKind::Write, treatment, reason: "".into() }
///     }
/// }
///
/// let rules = Arc::new(Strictest);
/// let source = move || Arc::clone(&rules);
/// let classified = source.current().classify(&"ledger".into(), "SELECT 1");
/// assert_eq!(classified.kind, StatementKind::Write);
/// ```
pub trait ClassifierSource: Send + Sync + 'static {
    /// The classifier that the rules compile to.
    type Classifier: Classifier + 'static;

    /// Returns the rules in force. Returns clones of the same `Arc` until the rules change.
    fn current(&self) -> Arc<Self::Classifier>;
}

impl<F, C> ClassifierSource for F
where
    F: Fn() -> Arc<C> + Send + Sync + 'static,
    C: Classifier + 'static,
{
    type Classifier = C;

    fn current(&self) -> Arc<C> {
        self()
    }
}

impl GroupState for Group {
    fn view(&self) -> Arc<GroupView> {
        Group::view(self)
    }

    fn confirm(&self, term: Term, position: Position, deadline: Instant) -> Confirmation {
        Group::confirm(self, term, position, deadline)
    }

    fn read_floor(&self, deadline: Instant) -> Option<Position> {
        Group::read_floor(self, deadline)
    }

    fn age_floor(&self, max_age: Duration) -> Option<Position> {
        Group::age_floor(self, max_age)
    }

    fn wait_for_primary_after(&self, term: Term, deadline: Instant) -> Option<Arc<GroupView>> {
        Group::wait_for_primary_after(self, term, deadline)
    }

    fn report_unresponsive(&self, member: &MemberId) {
        Group::report_unresponsive(self, member);
    }
}

impl GroupDirectory for Groups {
    type Group = Group;

    fn find(&self, name: &GroupName) -> Option<Arc<Group>> {
        Groups::find(self, name)
    }
}
