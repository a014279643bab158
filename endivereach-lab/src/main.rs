//! The lab's command line.

use endivereach_lab::commands::Command;

/// Stand-ins, load, experiments and reports for endivereach.
#[derive(argh::FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

fn main() -> anyhow::Result<()> {
    env_logger::init();
    let arguments: Arguments = argh::from_env();
    arguments.command.run()
}
