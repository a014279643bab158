//! The subcommands of the lab, one module for each.

use argh::FromArgs;

pub mod bench;
pub mod member;
pub mod platform;
pub mod run;
pub mod up;

/// A subcommand of the lab.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Serves the platform's object API.
    Platform(platform::PlatformCommand),
    /// Serves one server of a database group.
    Member(member::MemberCommand),
    /// Starts a deployment to try by hand.
    Up(up::UpCommand),
    /// Runs one experiment.
    Run(run::RunCommand),
    /// Lists the experiments.
    List(run::ListCommand),
    /// Measures the overhead of one proxy.
    Bench(bench::BenchCommand),
    /// Writes a page with plots from saved runs.
    Report(run::ReportCommand),
}

impl Command {
    /// Runs the subcommand to its end.
    ///
    /// # Errors
    ///
    /// Returns the subcommand's error.
    pub fn run(self) -> anyhow::Result<()> {
        match self {
            Self::Platform(command) => command.run(),
            Self::Member(command) => command.run(),
            Self::Up(command) => command.run(),
            Self::Run(command) => command.run(),
            Self::List(command) => command.run(),
            Self::Bench(command) => command.run(),
            Self::Report(command) => command.run(),
        }
    }
}

/// Blocks the main thread forever while other threads serve.
fn wait_forever() -> ! {
    loop {
        std::thread::park();
    }
}
