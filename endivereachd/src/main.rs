//! The daemon's entry point.
//!
//! Exit codes: 0 after a planned stop, 1 when the daemon can't start, 2 when the settings are
//! refused, 3 when a part failed for good, 4 when a planned stop cut requests at its bound.

use argh::FromArgs;
use endivereach_core::settings::Settings;
use endivereachd::daemon::Daemon;
use endivereachd::daemon::End;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

/// The daemon can't start.
const EXIT_NO_START: u8 = 1;
/// The settings are refused.
const EXIT_SETTINGS: u8 = 2;
/// A part failed for good.
const EXIT_FAILED: u8 = 3;
/// A planned stop cut requests at its bound.
const EXIT_CUT: u8 = 4;

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
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let arguments: Arguments = argh::from_env();
    let settings = match Settings::read(&arguments.settings) {
        Ok(settings) => settings,
        Err(errors) => {
            log::error!("the settings are refused:\n{errors}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if arguments.check {
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(End::Drained) => ExitCode::SUCCESS,
        Ok(End::CutAtBound) => {
            log::warn!("the stop cut requests in progress; raise drain.in_progress_ms");
            ExitCode::from(EXIT_CUT)
        }
        Ok(End::Failed(_)) => ExitCode::from(EXIT_FAILED),
        Err(error) => {
            log::error!("{error:#}");
            ExitCode::from(EXIT_NO_START)
        }
    }
}

/// Starts the daemon, says so on standard output, and runs it until it ends.
fn run(settings: Settings) -> anyhow::Result<End> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        // A second signal ends the process at once. It must be registered first, because it looks at
        // the flag that the first signal sets.
        signal_hook::flag::register_conditional_shutdown(
            signal,
            i32::from(EXIT_CUT),
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
