//! `endivereach-lab platform`: runs the stand-in for the platform.

use crate::platform::Config;
use crate::platform::Platform;
use argh::FromArgs;
use std::net::SocketAddr;
use std::time::Duration;

/// Serve the platform's object API and its list of VMs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
pub struct PlatformCommand {
    /// where to listen; port 0 lets the kernel choose a port
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    addr: SocketAddr,
    /// the lag of the list of VMs, in milliseconds
    #[argh(option, default = "0")]
    vms_lag_ms: u64,
    /// writes answered per second before further ones are refused; unlimited by default
    #[argh(option)]
    writes_per_second: Option<u32>,
    /// reads answered per second before further ones are refused; unlimited by default
    #[argh(option)]
    reads_per_second: Option<u32>,
}

impl PlatformCommand {
    /// Serves until the process is killed.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be bound.
    pub fn run(self) -> anyhow::Result<()> {
        let platform = Platform::bind(
            self.addr,
            Config {
                vms_lag: Duration::from_millis(self.vms_lag_ms),
                writes_per_second: self.writes_per_second,
                reads_per_second: self.reads_per_second,
            },
        )?;
        println!("{}", serde_json::json!({ "addr": platform.addr() }));
        super::wait_forever()
    }
}
