//! Simulated processes with a clock, a lossy network and a list of proxies that changes.

use crate::executions::Executions;
use crate::executions::TOLERANCE;
use endivereach_core::allowance::Admission;
use endivereach_core::allowance::Allowance;
use endivereach_core::allowance::Held;
use endivereach_core::allowance::Message;
use endivereach_core::allowance::Verdict;
use endivereach_core::homes;
use endivereach_core::ids::Incarnation;
use endivereach_core::ids::ProxyName;
use endivereach_core::rate_limit::Share;
use endivereach_core::rate_limit::TokenBucket;
use endivereach_core::rate_limit::Tolerance;
use endivereach_core::tenants::TenantLimits;
use endivereach_core::tenants::TenantName;
use endivereach_core::tenants::Tenants;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

/// The step of the simulated clock.
pub const STEP: Duration = Duration::from_millis(10);

/// The longest time until a process reads a change of the list, whose changes are read in batches of
/// 1.5 s.
const LIST_LAG: Duration = Duration::from_secs(2);

/// How long an operation waits for tokens of another process.
const WAIT_MAX: Duration = Duration::from_millis(150);

/// How long a stopping process runs on.
const DRAIN: Duration = Duration::from_secs(2);

/// A fault that is planted to show that the bound's check finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// A process that once held the whole goes on using it for ever.
    KeepsPart,
    /// A process starts with a full bucket.
    StartsFull,
    /// A renewal is acknowledged although the standby hasn't received it.
    ForgedAcknowledgement,
}

/// One process of the fleet.
struct Process {
    name: ProxyName,
    /// `None` while no process runs on the VM.
    allowance: Option<Allowance>,
    list: Option<Vec<ProxyName>>,
    reads_store: bool,
    /// The time of the store's list that the process has read. It never decreases.
    list_seen_at: Instant,
    frozen_until: Option<Instant>,
    stops_at: Option<Instant>,
    /// Messages that arrived while the VM was frozen.
    inbox: Vec<(ProxyName, Message)>,
    /// Tokens that only a planted fault provides.
    planted: BTreeMap<TenantName, TokenBucket>,
    planted_burst: u32,
}

/// A message on its way.
struct InFlight {
    due_at: Instant,
    from: usize,
    to: usize,
    message: Message,
}

pub struct Fleet {
    pub now: Instant,
    pub loss: f64,
    pub messages_sent: u64,
    pub refused: u64,
    start: Instant,
    tenants: Tenants,
    processes: Vec<Process>,
    /// The list of proxies in the store, and its earlier states.
    store: Vec<(Instant, Vec<ProxyName>)>,
    list_lag: Duration,
    cuts: BTreeSet<(usize, usize)>,
    network: Vec<InFlight>,
    /// Operations that wait for tokens, with the times until which they do.
    waiting: Vec<(usize, TenantName, Instant)>,
    pub executed: Executions,
    fault: Fault,
    random: StdRng,
    incarnations: u64,
}

pub fn proxy(index: usize) -> ProxyName {
    format!("front-{index}").as_str().into()
}

pub fn tenant(index: usize) -> TenantName {
    format!("tenant-{index}").as_str().into()
}

impl Fleet {
    /// Starts a fleet of processes that all know each other.
    pub fn open(seed: u64, processes: usize, tenants: &[TenantLimits], fault: Fault) -> Self {
        let start = Instant::now();
        let limits = tenants.iter().enumerate();
        let mut fleet = Self {
            now: start,
            loss: 0.0,
            messages_sent: 0,
            refused: 0,
            start,
            tenants: Tenants {
                limits: limits.map(|(index, l)| (tenant(index), *l)).collect(),
                keys: BTreeMap::new(),
            },
            processes: Vec::new(),
            store: vec![(start, (0..processes).map(proxy).collect())],
            list_lag: Duration::ZERO,
            cuts: BTreeSet::new(),
            network: Vec::new(),
            waiting: Vec::new(),
            executed: Executions::default(),
            fault,
            random: StdRng::seed_from_u64(seed),
            incarnations: 0,
        };
        for index in 0..processes {
            fleet.processes.push(Process {
                name: proxy(index),
                allowance: None,
                list: None,
                reads_store: true,
                list_seen_at: start,
                frozen_until: None,
                stops_at: None,
                inbox: Vec::new(),
                planted: BTreeMap::new(),
                planted_burst: 0,
            });
            fleet.start_process(index);
        }
        fleet.list_lag = LIST_LAG;
        fleet
    }

    /// Starts a process on a VM, in place of one that runs there.
    pub fn start_process(&mut self, index: usize) {
        self.incarnations += 1;
        let incarnation = Incarnation::new(self.incarnations);
        let process = &mut self.processes[index];
        let mut allowance = Allowance::new(process.name.clone(), incarnation);
        allowance.set_started_at(self.now);
        allowance.set_tolerance(Some(TOLERANCE));
        allowance.set_tenants(self.now, &self.tenants);
        process.allowance = Some(allowance);
        process.list = None;
        process.stops_at = None;
        process.frozen_until = None;
        process.inbox.clear();
        if self.fault == Fault::StartsFull {
            let limits = self.tenants.limits.values();
            process.planted_burst = limits.map(|l| l.burst).max().unwrap_or(0);
        }
        self.read_list(index);
    }

    pub fn kill(&mut self, index: usize) {
        self.processes[index].allowance = None;
    }

    /// Asks a process to stop: it announces it, leaves the list and ends later.
    pub fn stop(&mut self, index: usize) {
        let (now, name) = (self.now, proxy(index));
        let process = &mut self.processes[index];
        if let Some(allowance) = &mut process.allowance
            && process.stops_at.is_none()
        {
            allowance.begin_drain(now);
            process.stops_at = Some(now + DRAIN);
            self.change_list(|list| list.retain(|listed| *listed != name));
        }
    }

    pub fn freeze(&mut self, index: usize, duration: Duration) {
        self.processes[index].frozen_until = Some(self.now + duration);
    }

    /// Cuts the link from one process to another, in this direction only.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
        for process in &mut self.processes {
            process.reads_store = true;
        }
    }

    /// Disconnects a process from the store.
    pub fn cut_store(&mut self, index: usize) {
        self.processes[index].reads_store = false;
    }

    /// Sets the tolerance that the platform states to all running processes.
    pub fn set_tolerance(&mut self, tolerance: Option<Tolerance>) {
        for process in &mut self.processes {
            if let Some(allowance) = &mut process.allowance {
                allowance.set_tolerance(tolerance);
            }
        }
    }

    /// Changes the limits of all tenants.
    pub fn set_limits(&mut self, limits: TenantLimits) {
        self.tenants.limits.values_mut().for_each(|l| *l = limits);
        for process in &mut self.processes {
            if let Some(allowance) = &mut process.allowance {
                allowance.set_tenants(self.now, &self.tenants);
            }
        }
    }

    fn change_list(&mut self, change: impl FnOnce(&mut Vec<ProxyName>)) {
        let mut list = self.store.last().unwrap().1.clone();
        change(&mut list);
        if list != self.store.last().unwrap().1 {
            self.store.push((self.now, list));
        }
    }

    /// Passes the store's list, as of some time ago, to a process.
    fn read_list(&mut self, index: usize) {
        let now = self.now;
        let lag = self.random.random_range(0.0..=1.0);
        let seen_at = now - self.list_lag.mul_f64(lag).min(now - self.start);
        let seen_at = seen_at.max(self.processes[index].list_seen_at);
        let seen = self.store.iter().rev().find(|(at, _)| *at <= seen_at);
        let list = seen.unwrap().1.clone();
        let process = &mut self.processes[index];
        let Some(allowance) = &mut process.allowance else {
            return;
        };
        if !process.reads_store {
            return;
        }
        process.list_seen_at = seen_at;
        allowance.record_list_evidence(seen_at);
        let is_listed = list.contains(&process.name);
        if process.list.as_ref() != Some(&list) {
            allowance.set_rankings(now, |tenant| ranking(tenant, &list));
            process.list = Some(list);
        }
        let lost = allowance.take_lost_coordinator(now);
        let name = process.name.clone();
        let registers = !is_listed && process.stops_at.is_none();
        self.change_list(|list| {
            list.retain(|listed| Some(listed) != lost.as_ref());
            if registers && !list.contains(&name) {
                list.push(name);
                list.sort();
            }
        });
    }

    /// Returns the tenant's ranking in the store's list.
    pub fn ranking(&self, tenant: &TenantName) -> Vec<usize> {
        let list = &self.store.last().unwrap().1;
        let index = |name: &ProxyName| name.as_str()["front-".len()..].parse().unwrap();
        ranking(tenant, list).iter().map(index).collect()
    }

    pub fn held(&mut self, index: usize, tenant: &TenantName) -> Held {
        let allowance = self.processes[index].allowance.as_mut();
        allowance.map_or(Held::Nothing, |allowance| allowance.held(self.now, tenant))
    }

    fn is_running(&self, index: usize) -> bool {
        let process = &self.processes[index];
        let is_frozen = process.frozen_until.is_some_and(|until| self.now < until);
        process.allowance.is_some() && !is_frozen
    }

    /// Advances the clock by one step.
    pub fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        for index in 0..self.processes.len() {
            if self.processes[index].stops_at.is_some_and(|at| now >= at) {
                self.kill(index);
            }
            if self.is_running(index) && self.random.random_bool(0.2) {
                self.read_list(index);
            }
        }
        let network = std::mem::take(&mut self.network);
        let (due, later): (Vec<_>, Vec<_>) = network.into_iter().partition(|m| m.due_at <= now);
        self.network = later;
        for message in due {
            let from = self.processes[message.from].name.clone();
            let receiver = &mut self.processes[message.to];
            if receiver.allowance.is_some() {
                receiver.inbox.push((from, message.message));
            }
        }
        for index in 0..self.processes.len() {
            if !self.is_running(index) {
                continue;
            }
            let process = &mut self.processes[index];
            let Some(allowance) = &mut process.allowance else {
                continue;
            };
            for (from, message) in std::mem::take(&mut process.inbox) {
                allowance.receive(now, &from, message);
            }
            for (to, message) in allowance.poll(now) {
                self.send(index, &to, message);
            }
        }
        self.settle_waiting();
    }

    fn send(&mut self, from: usize, to: &ProxyName, message: Message) {
        self.messages_sent += 1;
        let Some(to) = self.processes.iter().position(|p| &p.name == to) else {
            return;
        };
        let is_lost = self.cuts.contains(&(from, to)) || self.random.random_bool(self.loss);
        if let Message::Renew { id, tenants } = &message
            && self.fault == Fault::ForgedAcknowledgement
        {
            let verdicts = vec![Verdict::Acknowledged; tenants.len()];
            let id = id.clone();
            let name = self.processes[to].name.clone();
            let tokens = Vec::new();
            let forged = Message::Renewed {
                id,
                verdicts,
                tokens,
            };
            self.processes[from].inbox.push((name, forged));
            return;
        }
        if !is_lost {
            let delay = Duration::from_millis(self.random.random_range(1..40));
            self.network.push(InFlight {
                due_at: self.now + delay,
                from,
                to,
                message,
            });
        }
    }

    /// Lets a tenant send operations to a process.
    pub fn operations(&mut self, index: usize, tenant: &TenantName, count: u32) {
        if !self.is_running(index) {
            return;
        }
        for _ in 0..count {
            let until = self.now + WAIT_MAX;
            match self.admit(index, tenant) {
                Admission::Admitted => self.executed.record(self.now, tenant),
                Admission::Wait => self.waiting.push((index, tenant.clone(), until)),
                Admission::Refused { .. } => self.refused += 1,
            }
        }
        let allowance = self.processes[index].allowance.as_mut();
        for (to, message) in allowance.map(|a| a.poll(self.now)).unwrap_or_default() {
            self.send(index, &to, message);
        }
    }

    /// Admits or refuses the operations that wait for tokens.
    fn settle_waiting(&mut self) {
        for (index, tenant, until) in std::mem::take(&mut self.waiting) {
            let now = self.now;
            let allowance = self.processes[index].allowance.as_mut();
            match allowance.map(|allowance| allowance.admit_waiting(now, &tenant)) {
                Some(Admission::Admitted) => self.executed.record(now, &tenant),
                Some(Admission::Wait) if now < until => self.waiting.push((index, tenant, until)),
                _ => self.refused += 1,
            }
        }
    }

    fn admit(&mut self, index: usize, tenant: &TenantName) -> Admission {
        let (now, limits) = (self.now, self.tenants.limits[tenant]);
        let process = &mut self.processes[index];
        let Some(allowance) = &mut process.allowance else {
            return Admission::Wait;
        };
        if self.fault == Fault::KeepsPart && allowance.held(now, tenant) == Held::Whole {
            let bucket = TokenBucket::empty(now, limits, Share::Whole);
            process.planted.entry(tenant.clone()).or_insert(bucket);
        }
        let admission = allowance.admit(now, tenant);
        if admission == Admission::Admitted {
            return admission;
        }
        if process.planted_burst > 0 {
            process.planted_burst -= 1;
            return Admission::Admitted;
        }
        let planted = process.planted.get_mut(tenant);
        if planted.is_some_and(|bucket| bucket.take(now)) {
            Admission::Admitted
        } else {
            admission
        }
    }
}

fn ranking(tenant: &TenantName, list: &[ProxyName]) -> Vec<ProxyName> {
    let mut ranked = list.to_vec();
    ranked.sort_by_cached_key(|proxy| Reverse(homes::weight(tenant.as_str(), proxy)));
    ranked.truncate(3);
    ranked
}
