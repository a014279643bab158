//! The entry point of the command-line tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::init();
    let arguments: endivereach::Arguments = argh::from_env();
    arguments.run(&mut std::io::stdout())
}
