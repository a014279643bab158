//! Concurrent calls to all proxies of the fleet.

use endivereach_core::directory::Vm;
use endivereach_core::ids::ProxyName;
use endivereach_core::ids::Version;
use endivereach_core::settings::Network;
use endivereach_wire::http::CallError;
use endivereach_wire::http::Client;
use endivereach_wire::operator::PATH_RULES_VERSION;
use endivereach_wire::operator::RulesReport;
use endivereach_wire::operator::RulesState;
use endivereach_wire::platform::PlatformClient;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// The maximum number of concurrent calls.
const CONCURRENT_CALLS_MAX: usize = 32;

/// The timeout of a call to one proxy.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The interval between two polls of the proxies on which the rules aren't in force yet.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The result of a call to one proxy.
#[derive(Debug)]
pub struct CallResult<T> {
    /// The proxy's VM.
    pub vm: Vm,
    /// The response, or the error of the call.
    pub result: Result<T, CallError>,
}

/// The proxies of the fleet, according to the platform's list of VMs, which lags behind their
/// actual state.
#[derive(Debug)]
pub struct Fleet {
    client: Client,
    network: Network,
    vms: Vec<Vm>,
}

impl Fleet {
    /// Reads the list of proxies from the platform.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform doesn't answer.
    pub fn load(platform: &PlatformClient, network: Network) -> Result<Self, CallError> {
        let mut vms = platform.vms()?;
        vms.sort_by(|a, b| a.name.cmp(&b.name));
        Ok(Self {
            client: Client::new(),
            network,
            vms,
        })
    }

    /// Returns the VMs of the proxies, sorted by name.
    pub fn vms(&self) -> &[Vm] {
        &self.vms
    }

    /// Calls every proxy and returns the results, sorted by the names of the proxies.
    pub fn call_all<Q, R>(&self, path: &str, request: &Q) -> Vec<CallResult<R>>
    where
        Q: Serialize + Sync,
        R: DeserializeOwned + Send,
    {
        self.call_each(&self.vms, path, request)
    }

    /// Calls the proxies on the VMs, at most [`CONCURRENT_CALLS_MAX`] at a time, and returns the
    /// results in the order of `vms`.
    fn call_each<Q, R>(&self, vms: &[Vm], path: &str, request: &Q) -> Vec<CallResult<R>>
    where
        Q: Serialize + Sync,
        R: DeserializeOwned + Send,
    {
        let remaining_vms = Mutex::new(vms.iter().enumerate());
        let results = Mutex::new(Vec::new());
        let next_vm = || {
            remaining_vms
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .next()
        };
        thread::scope(|scope| {
            for _ in 0..vms.len().min(CONCURRENT_CALLS_MAX) {
                scope.spawn(|| {
                    while let Some((index, vm)) = next_vm() {
                        let addr = self.network.translate(vm.peer_addr);
                        let result = self.client.call(addr, path, request, CALL_TIMEOUT);
                        let call_result = CallResult {
                            vm: vm.clone(),
                            result,
                        };
                        results
                            .lock()
                            .unwrap_or_else(PoisonError::into_inner)
                            .push((index, call_result));
                    }
                });
            }
        });
        let mut results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
        results.sort_by_key(|(index, _)| *index);
        results
            .into_iter()
            .map(|(_, call_result)| call_result)
            .collect()
    }

    /// Waits up to `wait` until rules of `version` or later are in force on every proxy that isn't
    /// leaving, and returns the proxies on which they aren't.
    pub fn wait_in_force(&self, version: Version, wait: Duration) -> Vec<OutdatedProxy> {
        let deadline = Instant::now() + wait;
        let mut remaining: Vec<Vm> = self.vms.iter().filter(|vm| !vm.leaving).cloned().collect();
        loop {
            let results = self.call_each(&remaining, PATH_RULES_VERSION, &());
            let outdated: Vec<OutdatedProxy> = results
                .into_iter()
                .filter_map(|call_result| OutdatedProxy::from_result(call_result, version))
                .collect();
            if outdated.is_empty() || Instant::now() >= deadline {
                return outdated;
            }
            remaining.retain(|vm| {
                outdated
                    .iter()
                    .any(|outdated_proxy| outdated_proxy.proxy == vm.name)
            });
            thread::sleep(POLL_INTERVAL);
        }
    }
}

/// A proxy on which the expected version of the rules isn't in force yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct OutdatedProxy {
    /// The name of the proxy.
    pub proxy: ProxyName,
    /// What is in force on the proxy instead, or why that is unknown.
    pub reason: Box<str>,
}

impl OutdatedProxy {
    /// Returns `None` when `version` or a later one is in force on the proxy.
    fn from_result(call_result: CallResult<RulesReport>, version: Version) -> Option<Self> {
        let reason = match call_result.result {
            Ok(report) if report.version >= version && report.state == RulesState::Current => {
                return None;
            }
            Ok(report) => outdated_reason(&report, version),
            Err(error) => error.to_string(),
        };
        Some(Self {
            proxy: call_result.vm.name,
            reason: reason.into(),
        })
    }
}

/// Describes why `version` isn't in force on a proxy with this report.
fn outdated_reason(report: &RulesReport, version: Version) -> String {
    if let Some(refused) = &report.refused
        && refused.version >= version
    {
        return format!("refused version {}: {}", refused.version, refused.reason);
    }
    let applied_version = match report.state {
        RulesState::Missing => {
            return "has no rules yet and gives every request the strictest treatment".into();
        }
        _ => report.version,
    };
    match report.state {
        RulesState::Unconfirmed => {
            format!(
                "can't confirm that version {applied_version} is current and gives every request the strictest treatment"
            )
        }
        _ => format!("still applies version {applied_version}"),
    }
}
