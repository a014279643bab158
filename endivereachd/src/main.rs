//! The daemon's entry point.
//!
//! Exit codes: 0 after a planned stop, 1 when the daemon can't start, 2 when the settings are
//! invalid, 3 when a supervised thread failed permanently, 4 when a planned stop aborted requests
//! at its deadline or a second signal ended it.

use argh::FromArgs;
use endivereach_core::settings::Settings;
use endivereachd::daemon::Daemon;
use endivereachd::daemon::RunOutcome;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

/// The exit code when the daemon can't start.
const EXIT_START_FAILED: u8 = 1;
/// The exit code when the settings are invalid.
const EXIT_SETTINGS_INVALID: u8 = 2;
/// The exit code when a supervised thread failed permanently.
const EXIT_FAILED: u8 = 3;
/// The exit code when a planned stop aborted requests at its deadline, or a second signal ended it.
const EXIT_DRAIN_TIMED_OUT: u8 = 4;

/// Runs one proxy of endivereach.
#[derive(FromArgs)]
struct Arguments {
    /// the settings file, in TOML
    #[argh(option)]
    settings: PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    endivereachd::logs::install();
    let arguments: Arguments = argh::from_env();
    let settings = match Settings::read(&arguments.settings) {
        Ok(settings) => settings,
        Err(errors) => {
            log::error!("the settings are invalid:");
            for error in errors.to_string().lines() {
                log::error!("{error}");
            }
            return ExitCode::from(EXIT_SETTINGS_INVALID);
        }
    };
    if arguments.check {
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(RunOutcome::Drained) => ExitCode::SUCCESS,
        Ok(RunOutcome::DrainTimedOut) => {
            log::warn!("the stop aborted requests in progress; raise drain.in_progress_ms");
            ExitCode::from(EXIT_DRAIN_TIMED_OUT)
        }
        Ok(RunOutcome::Failed(_)) => ExitCode::from(EXIT_FAILED),
        Err(error) => {
            log::error!("{error:#}");
            ExitCode::from(EXIT_START_FAILED)
        }
    }
}

/// Starts the daemon, prints its ready line to standard output, and runs it until it ends.
fn run(settings: Settings) -> anyhow::Result<RunOutcome> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        // A second signal ends the process at once. Its handler must be registered first, because
        // it reads the flag that the other handler sets.
        signal_hook::flag::register_conditional_shutdown(
            signal,
            i32::from(EXIT_DRAIN_TIMED_OUT),
            Arc::clone(&stop),
        )?;
        signal_hook::flag::register(signal, Arc::clone(&stop))?;
    }
    let daemon = Daemon::spawn(settings)?;
    let ready = serde_json::to_string(&daemon.ready_line())?;
    let mut stdout = std::io::stdout();
    writeln!(stdout, "{ready}")?;
    stdout.flush()?;
    Ok(daemon.run(&stop))
}
