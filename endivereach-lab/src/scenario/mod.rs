//! Experiments: each starts a deployment, puts load on, injects faults, and states what must hold.

mod failures;
mod fleet;
mod limits;
mod reads;
mod run;

pub use run::Run;
pub use run::RunConfig;

use crate::summary::Summary;
use std::path::Path;

/// An experiment by name.
#[derive(Clone, Copy)]
pub struct Scenario {
    /// The name on the command line.
    pub name: &'static str,
    /// What it does, in one line.
    pub summary: &'static str,
    run: fn(&RunConfig) -> anyhow::Result<Summary>,
}

impl Scenario {
    /// Runs the experiment with logs and data below `folder`.
    ///
    /// # Errors
    ///
    /// Returns an error when the experiment can't be carried out. A violation isn't an error: the
    /// summary tells.
    pub fn run(&self, seed: u64, folder: &Path) -> anyhow::Result<Summary> {
        (self.run)(&RunConfig {
            name: self.name,
            seed,
            folder: folder.to_path_buf(),
        })
    }
}

/// Returns every experiment, in the order of the documentation.
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

/// Declares a list of experiments: a name, a line, and the function that runs it.
macro_rules! scenarios {
    ($($name:literal, $summary:literal, $run:expr;)+) => {
        /// The experiments of this module.
        pub(super) const SCENARIOS: &[super::Scenario] = &[$(
            super::Scenario { name: $name, summary: $summary, run: $run },
        )+];
    };
}
use scenarios;
