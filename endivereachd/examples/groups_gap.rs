//! Measures the failover gap of the control path on its own: the lab's servers and platform, links
//! with the delays of [`Topology::three_zones`], and the group watch of several proxies, all in one
//! process.
//!
//! ```text
//! cargo run -p endivereachd --example groups_gap -- --fault kill --rounds 5
//! ```
//!
//! Each proxy commits and confirms one entry after another. The gap of a proxy is the longest time
//! between two consecutive confirmations.

use anyhow::Context as _;
use argh::FromArgs;
use endivereach_core::clock::SystemClock;
use endivereach_core::directory::GroupObject;
use endivereach_core::directory::Member as MemberEntry;
use endivereach_core::event::Event;
use endivereach_core::ids::Incarnation;
use endivereach_core::ids::ProxyId;
use endivereach_core::ids::Term;
use endivereach_core::ids::Version;
use endivereach_core::settings::Network;
use endivereach_core::settings::Settings;
use endivereach_lab::cluster::Links;
use endivereach_lab::member::Member;
use endivereach_lab::member::MemberConfig;
use endivereach_lab::platform::Fault;
use endivereach_lab::platform::Outage;
use endivereach_lab::platform::PATH_FAULT;
use endivereach_lab::platform::Platform;
use endivereach_lab::topology::Topology;
use endivereach_wire::http::Client;
use endivereach_wire::member::MemberClient;
use endivereach_wire::platform::KIND_GROUP;
use endivereach_wire::platform::PlatformClient;
use endivereach_wire::platform::PutOutcome;
use endivereachd::context::Context;
use endivereachd::events::Events;
use endivereachd::groups::Confirmation;
use endivereachd::groups::Group;
use endivereachd::groups::Groups;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

/// The minimum time that the load runs before the fault.
const WARMUP_TIME: Duration = Duration::from_secs(2);

/// The time that a round continues after a fault that doesn't last.
const OBSERVATION_TIME: Duration = Duration::from_secs(8);

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

const STATUS_TIMEOUT: Duration = Duration::from_millis(300);

/// Measure the failover gap of the control path.
#[derive(FromArgs)]
struct Arguments {
    /// the fault: kill, cut, leave, flap, none, or idle (neither fault nor load)
    #[argh(option)]
    fault: String,
    /// whether the platform is down during the fault
    #[argh(switch)]
    platform_down: bool,
    /// whether the proxies lose their grants before the fault
    #[argh(switch)]
    no_grants: bool,
    /// the number of rounds
    #[argh(option, default = "3")]
    rounds: u64,
    /// the number of proxies
    #[argh(option, default = "6")]
    proxies: usize,
    /// the seed of the first round
    #[argh(option, default = "1")]
    seed: u64,
    /// the duration of flap, none and idle, in seconds
    #[argh(option, default = "20")]
    seconds: u64,
}

struct TestCluster {
    topology: Topology,
    links: Links,
    platform: Platform,
    members: Vec<Option<Member>>,
}

impl TestCluster {
    fn start(proxies: usize, seed: u64) -> anyhow::Result<Self> {
        let topology = Topology::three_zones(1, proxies);
        let links = Links::spawn(&topology, seed)?;
        let any = "127.0.0.1:0".parse()?;
        let platform = Platform::bind(any, Default::default())?;
        links.set_platform(platform.addr());
        let mut members = Vec::new();
        for number in 0..topology.members_per_group {
            let peers = links.member_peers(&topology, 0, number);
            let member = Member::spawn(MemberConfig {
                peers: peers.into_iter().map(|p| (p.id, p.control_addr)).collect(),
                initial_primary: Some(topology.member_id(0, 0)),
                schema: "CREATE TABLE IF NOT EXISTS registers (key TEXT PRIMARY KEY, value INT);"
                    .into(),
                ..MemberConfig::new(topology.member_id(0, number))
            })?;
            links.set_member(0, number, member.sql_addr(), member.control_addr());
            members.push(Some(member));
        }
        let cluster = Self {
            topology,
            links,
            platform,
            members,
        };
        cluster.client().put(
            KIND_GROUP,
            cluster.topology.group_name(0).as_str(),
            Version::new(0),
            "start",
            &cluster.group_object(),
        )?;
        Ok(cluster)
    }

    fn client(&self) -> PlatformClient {
        PlatformClient::new(self.platform.addr(), CALL_TIMEOUT)
    }

    fn group_object(&self) -> GroupObject {
        let topology = &self.topology;
        let member_entry = |number| MemberEntry {
            id: topology.member_id(0, number),
            zone: topology.member_zone(0, number).clone(),
            sql_addr: topology.member_sql_addr(0, number),
            control_addr: topology.member_control_addr(0, number),
            leaving: false,
        };
        GroupObject {
            name: topology.group_name(0),
            term: Term::new(1),
            primary: topology.member_id(0, 0),
            members: (0..topology.members_per_group).map(member_entry).collect(),
            connections_per_server: 16,
            slots_per_server: 2,
            grants: Vec::new(),
            granted_up_to: Term::new(1),
        }
    }

    fn change_object(&self, change: impl Fn(&mut GroupObject)) -> anyhow::Result<()> {
        let client = self.client();
        let name = self.topology.group_name(0);
        loop {
            let object = client.get(KIND_GROUP, name.as_str())?.context("no group")?;
            let mut value: GroupObject = object.decode().map_err(anyhow::Error::msg)?;
            change(&mut value);
            let stored = client.put(KIND_GROUP, name.as_str(), object.version, "bench", &value)?;
            if matches!(stored, PutOutcome::Stored { .. }) {
                return Ok(());
            }
        }
    }

    fn start_proxy(&self, number: usize, seed: u64) -> anyhow::Result<(Groups, Arc<Context>)> {
        let name = self.topology.proxy_name(number);
        let text = format!(
            "name = \"{name}\"\nregion = \"r\"\nzone = \"{}\"\n[listen]\nsql_addr = \"127.0.0.1:0\"\n\
             peer_addr = \"127.0.0.1:0\"\n[platform]\naddr = \"{}\"\n[target]\nuser = \"p\"\n\
             password = \"p\"\n",
            self.topology.proxy_zone(number),
            self.links.platform_addr(number),
        );
        let mut settings: Settings = toml::from_str(&text)?;
        settings.network = Network {
            via: self.links.proxy_address_translations(number),
        };
        let context = Arc::new(Context {
            id: ProxyId {
                name,
                incarnation: Incarnation::new(seed * 1000 + number as u64),
            },
            settings,
            clock: SystemClock,
            http: Client::new(),
            events: Events::default(),
        });
        Ok((Groups::spawn(Arc::clone(&context))?, context))
    }
}

/// The confirmed commits of one proxy's load.
#[derive(Default)]
struct LoadResult {
    confirmed_at: Vec<Instant>,
    /// The duration of each successful confirmation.
    confirm_durations: Vec<Duration>,
}

/// Commits entries on the primary of one proxy's view and confirms them, until `stop` is set.
fn run_load(
    group: &Arc<Group>,
    context: &Context,
    number: usize,
    load_result: &Mutex<LoadResult>,
    stop: &AtomicBool,
) {
    let mut key = 0u64;
    while !stop.load(Ordering::Relaxed) {
        let view = group.view();
        let Some(primary) = view.primary.clone() else {
            group.wait_for_primary_after(view.term, Instant::now() + CALL_TIMEOUT);
            continue;
        };
        let member = view.members.iter().find(|m| m.member.id == primary);
        let member = &member.expect("the primary is a member").member;
        let translate = |addr| context.settings.network.translate(addr);
        let sql = translate(member.sql_addr);
        let control = MemberClient::new(context.http.clone(), translate(member.control_addr));
        let mut config = postgres::Config::new();
        config
            .host(&sql.ip().to_string())
            .port(sql.port())
            .user("p")
            .password("p")
            .dbname("d")
            .connect_timeout(CALL_TIMEOUT)
            .tcp_user_timeout(CALL_TIMEOUT);
        let Ok(mut connection) = config.connect(postgres::NoTls) else {
            group.report_unresponsive(&primary);
            thread::sleep(Duration::from_millis(20));
            continue;
        };
        while !stop.load(Ordering::Relaxed) && group.view().term == view.term {
            key += 1;
            let insert = format!("INSERT INTO registers (key, value) VALUES ('{number}-{key}', 1)");
            if connection.simple_query(&insert).is_err() {
                group.report_unresponsive(&primary);
                thread::sleep(Duration::from_millis(20));
                break;
            }
            let Ok(status) = control.status(STATUS_TIMEOUT) else {
                group.report_unresponsive(&primary);
                break;
            };
            let deadline = Instant::now() + Duration::from_secs(6);
            let position = status.durable;
            let confirm_started_at = Instant::now();
            if group.confirm(view.term, position, deadline) == Confirmation::Confirmed {
                let mut load_result = load_result.lock().unwrap();
                load_result.confirmed_at.push(Instant::now());
                load_result
                    .confirm_durations
                    .push(confirm_started_at.elapsed());
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Returns the CPU time that this process has used.
fn cpu_time() -> Duration {
    let mut usage = std::mem::MaybeUninit::<libc::rusage>::zeroed();
    // SAFETY: The pointer is valid for the call, and the structure may hold zeros.
    let usage = unsafe {
        libc::getrusage(libc::RUSAGE_SELF, usage.as_mut_ptr());
        usage.assume_init()
    };
    let from_timeval =
        |time: libc::timeval| Duration::new(time.tv_sec as u64, time.tv_usec as u32 * 1000);
    from_timeval(usage.ru_utime) + from_timeval(usage.ru_stime)
}

fn percentile(sorted: &[f64], fraction: f64) -> f64 {
    let index = ((sorted.len() as f64 - 1.0) * fraction).round() as usize;
    sorted.get(index).copied().unwrap_or(f64::NAN)
}

fn print_distribution(name: &str, mut values: Vec<f64>) {
    values.sort_by(f64::total_cmp);
    println!(
        "{name:28} n {:4}  p50 {:7.1}  p99 {:7.1}  max {:7.1}",
        values.len(),
        percentile(&values, 0.5),
        percentile(&values, 0.99),
        values.last().copied().unwrap_or(f64::NAN)
    );
}

#[derive(Default)]
struct Totals {
    gaps_ms: Vec<f64>,
    primary_known_ms: Vec<f64>,
    confirm_ms: Vec<f64>,
    phases: std::collections::BTreeMap<Box<str>, Vec<f64>>,
    primary_changes: usize,
    /// Status calls per second of one proxy to one group, summed over the rounds.
    status_calls_per_s: f64,
    /// Watch calls per second of one proxy to one group, summed over the rounds.
    watch_calls_per_s: f64,
    /// CPU time of the whole process in milliseconds per second, summed over the rounds.
    cpu_ms_per_s: f64,
}

fn run_round(arguments: &Arguments, seed: u64, totals: &mut Totals) -> anyhow::Result<()> {
    let mut cluster = TestCluster::start(arguments.proxies, seed)?;
    let proxies: Vec<_> = (0..arguments.proxies)
        .map(|number| cluster.start_proxy(number, seed))
        .collect::<anyhow::Result<_>>()?;
    let name = cluster.topology.group_name(0);
    let stop = Arc::new(AtomicBool::new(false));
    let mut loads = Vec::new();
    let is_idle = &*arguments.fault == "idle";
    for (number, (groups, context)) in proxies.iter().enumerate() {
        while groups.find(&name).is_none() {
            thread::sleep(Duration::from_millis(10));
        }
        let group = groups
            .find(&name)
            .expect("the group was found by the loop above");
        let (context, stop) = (Arc::clone(context), Arc::clone(&stop));
        let load_result = Arc::new(Mutex::new(LoadResult::default()));
        if is_idle {
            continue;
        }
        let thread = thread::spawn({
            let load_result = Arc::clone(&load_result);
            move || run_load(&group, &context, number, &load_result, &stop)
        });
        loads.push((load_result, thread));
    }
    // The seed varies the time of the fault.
    thread::sleep(WARMUP_TIME + Duration::from_millis(137 * (seed % 7)));
    if arguments.no_grants {
        // Grants the next terms to proxies that don't exist; no running proxy has a grant then.
        cluster.change_object(|object| {
            object.granted_up_to = Term::new(object.granted_up_to.get() + 10);
            for (number, grant) in object.grants.iter_mut().enumerate() {
                grant.holder = format!("gone-{number}#1").parse().expect("a proxy id");
            }
        })?;
        thread::sleep(Duration::from_millis(300));
    }
    if arguments.platform_down {
        let fault = Fault {
            outage: Outage::Hang,
            ..Fault::default()
        };
        Client::new().call::<_, ()>(cluster.platform.addr(), PATH_FAULT, &fault, CALL_TIMEOUT)?;
    }
    let fault_at = SystemTime::now();
    let mut observation_time = OBSERVATION_TIME;
    match &*arguments.fault {
        "kill" => drop(cluster.members[0].take()),
        "cut" => cluster.links.partition_member(0, 0),
        "leave" => cluster.change_object(|object| object.members[0].leaving = true)?,
        "flap" => {
            cluster.links.set_loss(0.05);
            observation_time = Duration::from_secs(arguments.seconds);
        }
        _ => observation_time = Duration::from_secs(arguments.seconds),
    }
    let calls = |(groups, _): &(Groups, Arc<Context>)| groups.calls();
    let before: Vec<_> = proxies.iter().map(calls).collect();
    let cpu_before = cpu_time();
    thread::sleep(observation_time);
    let cpu_ms = (cpu_time() - cpu_before).as_secs_f64() * 1e3;
    let per_proxy = proxies.len() as f64 * observation_time.as_secs_f64();
    for (proxy, before) in proxies.iter().zip(before) {
        let now = proxy.0.calls();
        totals.status_calls_per_s += (now.statuses - before.statuses) as f64 / per_proxy;
        totals.watch_calls_per_s += (now.watches - before.watches) as f64 / per_proxy;
    }
    totals.cpu_ms_per_s += cpu_ms / observation_time.as_secs_f64();
    stop.store(true, Ordering::Relaxed);
    cluster.links.restore();
    for (load_result, thread) in loads {
        let _ = thread.join();
        let load_result = load_result.lock().unwrap();
        let gaps = load_result.confirmed_at.windows(2).map(|w| w[1] - w[0]);
        totals
            .gaps_ms
            .extend(gaps.max().map(|gap| gap.as_secs_f64() * 1e3));
        totals.confirm_ms.extend(
            load_result
                .confirm_durations
                .iter()
                .map(|duration| duration.as_secs_f64() * 1e3),
        );
    }
    for (_, context) in &proxies {
        for recorded in context.events.recent() {
            match recorded.event {
                Event::PromotionPhase { phase, took_ms, .. } => {
                    totals.phases.entry(phase).or_default().push(took_ms as f64);
                }
                Event::PrimaryChanged { .. } => {
                    let known_after = recorded.at.duration_since(fault_at).unwrap_or_default();
                    totals
                        .primary_known_ms
                        .push(known_after.as_secs_f64() * 1e3);
                }
                _ => {}
            }
        }
    }
    let last_term = proxies[0]
        .0
        .find(&name)
        .map(|group| group.view().term.get());
    totals.primary_changes += last_term.unwrap_or(1) as usize - 1;
    Ok(())
}

fn main() -> anyhow::Result<()> {
    env_logger::init();
    let arguments: Arguments = argh::from_env();
    let mut totals = Totals::default();
    for number in 0..arguments.rounds {
        run_round(&arguments, arguments.seed + number, &mut totals)?;
    }
    println!(
        "changes of primary: {} in {} rounds",
        totals.primary_changes, arguments.rounds
    );
    println!(
        "per proxy and second: {:.1} status calls, {:.1} watch calls; process: {:.1} ms of CPU per s",
        totals.status_calls_per_s / arguments.rounds as f64,
        totals.watch_calls_per_s / arguments.rounds as f64,
        totals.cpu_ms_per_s / arguments.rounds as f64
    );
    print_distribution("longest gap, ms", totals.gaps_ms);
    print_distribution("new primary known after, ms", totals.primary_known_ms);
    print_distribution("confirm, ms", totals.confirm_ms);
    for (phase, took_ms) in totals.phases {
        print_distribution(&format!("phase {phase}, ms"), took_ms);
    }
    Ok(())
}
