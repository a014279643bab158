//! What the data path asks of the rest of the daemon: groups and the rules in force.

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

/// What the data path asks of one group. [`Group`] describes each call.
pub trait GroupState: Send + Sync + 'static {
    /// Returns the group as last seen.
    fn view(&self) -> Arc<GroupView>;
    /// Waits until a commit may be acknowledged.
    fn confirm(&self, term: Term, position: Position, deadline: Instant) -> Confirmation;
    /// Returns a position that includes everything acknowledged before this call.
    fn read_floor(&self, deadline: Instant) -> Option<Position>;
    /// Returns a position whose states are at most `max_age` old.
    fn age_floor(&self, max_age: Duration) -> Option<Position>;
    /// Waits for a primary in a term above `term`.
    fn wait_for_primary_above(&self, term: Term, deadline: Instant) -> Option<Arc<GroupView>>;
    /// Reports that a connection to `member` went silent or broke.
    fn report_silent(&self, member: &MemberId);
}

/// Finds groups by name.
pub trait GroupDirectory: Send + Sync + 'static {
    /// The handle to one group.
    type Group: GroupState;

    /// Returns the group with the given name.
    fn find(&self, name: &GroupName) -> Option<Arc<Self::Group>>;
}

/// Yields the rules in force at the moment of the call.
///
/// # Examples
///
/// Any function that returns a shared classifier is a source:
///
/// ```
/// use endivereach_core::ids::GroupName;
/// use endivereach_core::treatment::{Classified, Classifier, StatementKind, Treatment};
/// use endivereachd::callers::ClassifierSource;
/// use std::sync::Arc;
///
/// struct Strictest;
///
/// impl Classifier for Strictest {
///     fn classify(&self, _: &GroupName, _: &str) -> Classified {
///         let treatment = Treatment::strictest();
///         Classified { kind: StatementKind::Write, treatment, reason: "".into() }
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

    /// Returns the rules in force. The same `Arc` is returned until they change.
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

    fn wait_for_primary_above(&self, term: Term, deadline: Instant) -> Option<Arc<GroupView>> {
        Group::wait_for_primary_above(self, term, deadline)
    }

    fn report_silent(&self, member: &MemberId) {
        Group::report_silent(self, member);
    }
}

impl GroupDirectory for Groups {
    type Group = Group;

    fn find(&self, name: &GroupName) -> Option<Arc<Group>> {
        Groups::find(self, name)
    }
}
