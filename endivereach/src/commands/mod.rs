//! The subcommands of the command-line tool, one module each.

mod explain;
mod groups;
mod rules;
mod rules_apply;
mod rules_check;
mod rules_diff;
mod rules_history;
mod rules_show;
mod status;
mod top;

use crate::exit::Exit;
use anyhow::Context;
use anyhow::anyhow;
use argh::FromArgs;
use endivereach_core::settings::AddressTranslation;
use endivereach_core::settings::Network;
use endivereach_wire::platform::PlatformClient;
use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::str::FromStr;
use std::time::Duration;

/// The timeout of a call to the platform.
const PLATFORM_CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Operates a fleet of endivereach proxies.
#[derive(Debug, FromArgs)]
pub struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Rules(rules::Rules),
    Status(status::Status),
    Groups(groups::Groups),
    Explain(explain::Explain),
    Top(top::Top),
}

impl Arguments {
    /// Runs the command, writes an error to standard error and returns the exit code of the
    /// process.
    pub fn run(&self, out: &mut impl Write) -> ExitCode {
        match self.run_to_exit(out) {
            Ok(exit) => exit.into(),
            Err(error) => {
                // The error can't be reported anywhere else when standard error is closed.
                let _ = writeln!(std::io::stderr(), "error: {error:#}");
                Exit::Failed.into()
            }
        }
    }

    /// Runs the command and returns its result.
    ///
    /// # Errors
    ///
    /// Returns an error when the command failed, such as because a file can't be read or the
    /// platform doesn't answer.
    pub fn run_to_exit(&self, out: &mut impl Write) -> anyhow::Result<Exit> {
        match &self.command {
            Command::Rules(rules) => rules.run(out),
            Command::Status(status) => status.run(out),
            Command::Groups(groups) => groups.run(out),
            Command::Explain(explain) => explain.run(out),
            Command::Top(top) => top.run(out),
        }
    }
}

/// The value of the option `--via TO=THROUGH`, which makes connections to the address TO go to the
/// address THROUGH instead.
#[derive(Clone, Debug)]
struct ViaOption(AddressTranslation);

impl FromStr for ViaOption {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (published, connect_to) = text
            .split_once('=')
            .ok_or_else(|| anyhow!("{text:?} is not a pair of addresses; use --via TO=THROUGH"))?;
        let parse = |addr: &str| {
            addr.parse()
                .with_context(|| format!("{addr:?} is not an IP address with a port"))
        };
        Ok(Self(AddressTranslation {
            published: parse(published)?,
            connect_to: parse(connect_to)?,
        }))
    }
}

/// Returns a network with the address translations of `--via`.
fn network(via: &[ViaOption]) -> Network {
    Network {
        via: via.iter().map(|via| via.0.clone()).collect(),
    }
}

/// Creates a client of the platform at `addr`, or at the address that `--via` gives for it.
fn platform_client(addr: SocketAddr, via: &[ViaOption]) -> PlatformClient {
    PlatformClient::new(network(via).translate(addr), PLATFORM_CALL_TIMEOUT)
}
