//! Asking every proxy at once.

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

/// How many proxies are asked at a time.
const CONCURRENT_CALLS_MAX: usize = 32;

/// How long one proxy may take to answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The pause between two rounds over the proxies that haven't confirmed yet.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// What one proxy answered.
#[derive(Debug)]
pub struct Answer<T> {
    /// The proxy's VM.
    pub vm: Vm,
    /// The answer.
    pub result: Result<T, CallError>,
}

/// The proxies of the fleet, as the platform's lagging list shows them.
#[derive(Debug)]
pub struct Fleet {
    client: Client,
    network: Network,
    vms: Vec<Vm>,
}

impl Fleet {
    /// Reads the list of proxies.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform doesn't answer.
    pub fn open(platform: &PlatformClient, network: Network) -> Result<Self, CallError> {
        let mut vms = platform.vms()?;
        vms.sort_by(|a, b| a.name.cmp(&b.name));
        Ok(Self {
            client: Client::new(),
            network,
            vms,
        })
    }

    /// Returns the proxies.
    pub fn vms(&self) -> &[Vm] {
        &self.vms
    }

    /// Calls every proxy, a bounded number at a time, in the order of their names.
    pub fn ask<Q, R>(&self, path: &str, request: &Q) -> Vec<Answer<R>>
    where
        Q: Serialize + Sync,
        R: DeserializeOwned + Send,
    {
        self.ask_some(&self.vms, path, request)
    }

    fn ask_some<Q, R>(&self, vms: &[Vm], path: &str, request: &Q) -> Vec<Answer<R>>
    where
        Q: Serialize + Sync,
        R: DeserializeOwned + Send,
    {
        let next = Mutex::new(vms.iter().enumerate());
        let answers = Mutex::new(Vec::new());
        let take = || next.lock().unwrap_or_else(PoisonError::into_inner).next();
        thread::scope(|scope| {
            for _ in 0..vms.len().min(CONCURRENT_CALLS_MAX) {
                scope.spawn(|| {
                    while let Some((index, vm)) = take() {
                        let addr = self.network.reach(vm.peer_addr);
                        let result = self.client.call(addr, path, request, CALL_TIMEOUT);
                        let answer = Answer {
                            vm: vm.clone(),
                            result,
                        };
                        answers
                            .lock()
                            .unwrap_or_else(PoisonError::into_inner)
                            .push((index, answer));
                    }
                });
            }
        });
        let mut answers = answers.into_inner().unwrap_or_else(PoisonError::into_inner);
        answers.sort_by_key(|(index, _)| *index);
        answers.into_iter().map(|(_, answer)| answer).collect()
    }

    /// Waits until every proxy that isn't leaving applies rules of `version` or above, or `wait` is
    /// over. Returns the proxies that don't.
    pub fn wait_in_force(&self, version: Version, wait: Duration) -> Vec<Laggard> {
        let deadline = Instant::now() + wait;
        let mut remaining: Vec<Vm> = self.vms.iter().filter(|vm| !vm.leaving).cloned().collect();
        loop {
            let answers = self.ask_some(&remaining, PATH_RULES_VERSION, &());
            let laggards: Vec<Laggard> = answers
                .into_iter()
                .filter_map(|answer| Laggard::of(answer, version))
                .collect();
            if laggards.is_empty() || Instant::now() >= deadline {
                return laggards;
            }
            remaining.retain(|vm| laggards.iter().any(|laggard| laggard.proxy == vm.name));
            thread::sleep(ROUND_PAUSE);
        }
    }
}

/// A proxy that doesn't apply a version of the rules yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Laggard {
    /// The proxy.
    pub proxy: ProxyName,
    /// What it applies, or why that isn't known.
    pub reason: Box<str>,
}

impl Laggard {
    /// Returns `None` when the proxy applies `version` or a later one.
    fn of(answer: Answer<RulesReport>, version: Version) -> Option<Self> {
        let reason = match answer.result {
            Ok(report) if report.version >= version && report.state == RulesState::Current => {
                return None;
            }
            Ok(report) => describe(&report, version),
            Err(error) => error.to_string(),
        };
        Some(Self {
            proxy: answer.vm.name,
            reason: reason.into(),
        })
    }
}

fn describe(report: &RulesReport, version: Version) -> String {
    if let Some(refused) = &report.refused
        && refused.version >= version
    {
        return format!("refuses version {}: {}", refused.version, refused.reason);
    }
    let at = match report.state {
        RulesState::Missing => return "has no rules yet, and treats everything strictly".into(),
        _ => report.version,
    };
    match report.state {
        RulesState::Unconfirmed => {
            format!("can't show that version {at} is current, and treats everything strictly")
        }
        _ => format!("still applies version {at}"),
    }
}
