//! Experiments: each starts a deployment, runs load on it, injects faults, and checks the results.

mod failures;
mod fleet;
mod limits;
mod reads;
mod run;

pub use run::Run;
pub use run::RunConfig;

use crate::summary::Summary;
use std::path::Path;

/// A named experiment.
#[derive(Clone, Copy)]
pub struct Scenario {
    /// The name on the command line.
    pub name: &'static str,
    /// A one-line description, printed by the `list` command.
    pub summary: &'static str,
    run: fn(&RunConfig) -> anyhow::Result<Summary>,
}

impl Scenario {
    /// Runs the experiment, and writes logs and data below `folder`.
    ///
    /// # Errors
    ///
    /// Returns an error when the experiment can't be carried out. A violated invariant is reported
    /// in the summary, not as an error.
    pub fn run(&self, seed: u64, folder: &Path) -> anyhow::Result<Summary> {
        (self.run)(&RunConfig {
            name: self.name,
            seed,
            folder: folder.to_path_buf(),
        })
    }
}

/// Returns every experiment, in the order in which `list` prints them.
pub fn all() -> Vec<Scenario> {
    [
        failures::SCENARIOS,
        reads::SCENARIOS,
        limits::SCENARIOS,
        fleet::SCENARIOS,
    ]
    .concat()
}

/// Returns the experiment with the given name.
pub fn find(name: &str) -> Option<Scenario> {
    all().into_iter().find(|scenario| scenario.name == name)
}

/// Declares a list of experiments: the name, a one-line description, and the function to run.
macro_rules! scenarios {
    ($($name:literal, $summary:literal, $run:expr;)+) => {
        /// The experiments of this module.
        pub(super) const SCENARIOS: &[super::Scenario] = &[$(
            super::Scenario { name: $name, summary: $summary, run: $run },
        )+];
    };
}
use scenarios;
