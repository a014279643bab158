//! The treatment of every request while no rules can be shown to be current.

use endivereach_core::ids::GroupName;
use endivereach_core::treatment::Classified;
use endivereach_core::treatment::Classifier;
use endivereach_core::treatment::StatementKind;
use endivereach_core::treatment::Treatment;

/// Treats every request as a write with the strictest treatment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Strictest;

impl Classifier for Strictest {
    fn classify(&self, _: &GroupName, _: &str) -> Classified {
        Classified {
            kind: StatementKind::Write,
            treatment: Treatment::strictest(),
            reason: "".into(),
        }
    }
}
