//! Measures the failover gap of the control path alone: real stand-in servers, a real platform and
//! relay links with the brief's delays, and the group watch of several proxies in one process.
//!
//! ```text
//! cargo run -p endivereachd --example groups_gap -- --fault kill --rounds 5
//! ```
//!
//! Each proxy commits and confirms one entry after another. The gap of a proxy is the time from its
//! last confirmation before the fault to its first after it.

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
use endivereach_lab::member::Config;
use endivereach_lab::member::Member;
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

/// How long the load runs before the fault, and after it.
const CALM: Duration = Duration::from_secs(2);

/// How long after the fault the round goes on.
const AFTER: Duration = Duration::from_secs(8);

const TIMEOUT: Duration = Duration::from_secs(2);

const STATUS_TIMEOUT: Duration = Duration::from_millis(300);

/// Measure the failover gap.
#[derive(FromArgs)]
struct Arguments {
    /// what goes wrong: kill, cut, leave, flap, none, or idle for no load either
    #[argh(option)]
    fault: String,
    /// whether the platform is down meanwhile
    #[argh(switch)]
    platform_down: bool,
    /// whether standing grants are taken away before the fault
    #[argh(switch)]
    no_grants: bool,
    /// how many times
    #[argh(option, default = "3")]
    rounds: u64,
    /// how many proxies
    #[argh(option, default = "6")]
    proxies: usize,
    /// the first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// how long a flap or calm lasts, in seconds
    #[argh(option, default = "20")]
    seconds: u64,
}

struct Bench {
    topology: Topology,
    links: Links,
    platform: Platform,
    members: Vec<Option<Member>>,
}

impl Bench {
    fn start(proxies: usize, seed: u64) -> anyhow::Result<Self> {
        let topology = Topology::caroni(1, proxies);
        let links = Links::spawn(&topology, seed)?;
        let any = "127.0.0.1:0".parse()?;
        let platform = Platform::bind(any, Default::default())?;
        links.set_platform(platform.addr());
        let mut members = Vec::new();
        for number in 0..topology.members_per_group {
            let peers = links.member_peers(&topology, 0, number);
            let member = Member::spawn(Config {
                peers: peers.into_iter().map(|p| (p.id, p.control_addr)).collect(),
                first_primary: Some(topology.member_id(0, 0)),
                schema: "CREATE TABLE IF NOT EXISTS registers (key TEXT PRIMARY KEY, value INT);"
                    .into(),
                ..Config::new(topology.member_id(0, number))
            })?;
            links.set_member(0, number, member.sql_addr(), member.control_addr());
            members.push(Some(member));
        }
        let bench = Self {
            topology,
            links,
            platform,
            members,
        };
        bench.client().put(
            KIND_GROUP,
            bench.topology.group_name(0).as_str(),
            Version::new(0),
            "start",
            &bench.object(),
        )?;
        Ok(bench)
    }

    fn client(&self) -> PlatformClient {
        PlatformClient::new(self.platform.addr(), TIMEOUT)
    }

    fn object(&self) -> GroupObject {
        let topology = &self.topology;
        let entry = |number| MemberEntry {
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
            members: (0..topology.members_per_group).map(entry).collect(),
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

    fn proxy(&self, number: usize, seed: u64) -> anyhow::Result<(Groups, Arc<Context>)> {
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
            via: self.links.proxy_vias(number),
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

/// What one proxy's load saw.
#[derive(Default)]
struct Seen {
    confirmed_at: Vec<Instant>,
    took: Vec<Duration>,
}

/// Commits and confirms entries through one proxy's view until `stop`.
fn load(
    group: &Arc<Group>,
    context: &Context,
    number: usize,
    seen: &Mutex<Seen>,
    stop: &AtomicBool,
) {
    let mut key = 0u64;
    while !stop.load(Ordering::Relaxed) {
        let view = group.view();
        let Some(primary) = view.primary.clone() else {
            group.wait_for_primary_above(view.term, Instant::now() + TIMEOUT);
            continue;
        };
        let member = view.members.iter().find(|m| m.member.id == primary);
        let member = &member.expect("the primary is a member").member;
        let reach = |addr| context.settings.network.reach(addr);
        let sql = reach(member.sql_addr);
        let control = MemberClient::new(context.http.clone(), reach(member.control_addr));
        let mut config = postgres::Config::new();
        config
            .host(&sql.ip().to_string())
            .port(sql.port())
            .user("p")
            .password("p")
            .dbname("d")
            .connect_timeout(TIMEOUT)
            .tcp_user_timeout(TIMEOUT);
        let Ok(mut connection) = config.connect(postgres::NoTls) else {
            group.report_silent(&primary);
            thread::sleep(Duration::from_millis(20));
            continue;
        };
        while !stop.load(Ordering::Relaxed) && group.view().term == view.term {
            key += 1;
            let insert = format!("INSERT INTO registers (key, value) VALUES ('{number}-{key}', 1)");
            if connection.simple_query(&insert).is_err() {
                group.report_silent(&primary);
                thread::sleep(Duration::from_millis(20));
                break;
            }
            let Ok(status) = control.status(STATUS_TIMEOUT) else {
                group.report_silent(&primary);
                break;
            };
            let deadline = Instant::now() + Duration::from_secs(6);
            let position = status.durable;
            let confirming = Instant::now();
            if group.confirm(view.term, position, deadline) == Confirmation::Confirmed {
                let mut seen = seen.lock().unwrap();
                seen.confirmed_at.push(Instant::now());
                seen.took.push(confirming.elapsed());
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Returns the processor time that this process has used.
fn cpu_time() -> Duration {
    let mut usage = std::mem::MaybeUninit::<libc::rusage>::zeroed();
    // SAFETY: The pointer is valid for the call, and the structure may hold zeros.
    let usage = unsafe {
        libc::getrusage(libc::RUSAGE_SELF, usage.as_mut_ptr());
        usage.assume_init()
    };
    let of = |time: libc::timeval| Duration::new(time.tv_sec as u64, time.tv_usec as u32 * 1000);
    of(usage.ru_utime) + of(usage.ru_stime)
}

fn percentile(sorted: &[f64], share: f64) -> f64 {
    let at = ((sorted.len() as f64 - 1.0) * share).round() as usize;
    sorted.get(at).copied().unwrap_or(f64::NAN)
}

fn print(name: &str, mut values: Vec<f64>) {
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
    known_ms: Vec<f64>,
    confirm_ms: Vec<f64>,
    phases: std::collections::BTreeMap<Box<str>, Vec<f64>>,
    changes: usize,
    /// Calls a second of one proxy to one group, summed over the rounds.
    statuses: f64,
    watches: f64,
    /// Processor time of the whole bench a second, summed over the rounds.
    cpu_ms: f64,
}

fn round(arguments: &Arguments, seed: u64, totals: &mut Totals) -> anyhow::Result<()> {
    let mut bench = Bench::start(arguments.proxies, seed)?;
    let proxies: Vec<_> = (0..arguments.proxies)
        .map(|number| bench.proxy(number, seed))
        .collect::<anyhow::Result<_>>()?;
    let name = bench.topology.group_name(0);
    let stop = Arc::new(AtomicBool::new(false));
    let mut loads = Vec::new();
    let idle = &*arguments.fault == "idle";
    for (number, (groups, context)) in proxies.iter().enumerate() {
        while groups.find(&name).is_none() {
            thread::sleep(Duration::from_millis(10));
        }
        let group = groups.find(&name).expect("it was found");
        let (context, stop) = (Arc::clone(context), Arc::clone(&stop));
        let seen = Arc::new(Mutex::new(Seen::default()));
        if idle {
            continue;
        }
        let thread = thread::spawn({
            let seen = Arc::clone(&seen);
            move || load(&group, &context, number, &seen, &stop)
        });
        loads.push((seen, thread));
    }
    thread::sleep(CALM + Duration::from_millis(137 * (seed % 7)));
    if arguments.no_grants {
        // Holders that no longer exist: the next terms are granted, but to nobody.
        bench.change_object(|object| {
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
        Client::new().call::<_, ()>(bench.platform.addr(), PATH_FAULT, &fault, TIMEOUT)?;
    }
    let fault_wall = SystemTime::now();
    let mut wait = AFTER;
    match &*arguments.fault {
        "kill" => drop(bench.members[0].take()),
        "cut" => bench.links.partition_member(0, 0),
        "leave" => bench.change_object(|object| object.members[0].leaving = true)?,
        "flap" => {
            bench.links.set_loss(0.05);
            wait = Duration::from_secs(arguments.seconds);
        }
        _ => wait = Duration::from_secs(arguments.seconds),
    }
    let calls = |(groups, _): &(Groups, Arc<Context>)| groups.calls();
    let before: Vec<_> = proxies.iter().map(calls).collect();
    let cpu_before = cpu_time();
    thread::sleep(wait);
    let cpu_ms = (cpu_time() - cpu_before).as_secs_f64() * 1e3;
    let per_proxy = proxies.len() as f64 * wait.as_secs_f64();
    for (proxy, before) in proxies.iter().zip(before) {
        let now = proxy.0.calls();
        totals.statuses += (now.statuses - before.statuses) as f64 / per_proxy;
        totals.watches += (now.watches - before.watches) as f64 / per_proxy;
    }
    totals.cpu_ms += cpu_ms / wait.as_secs_f64();
    stop.store(true, Ordering::Relaxed);
    bench.links.heal();
    for (seen, thread) in loads {
        let _ = thread.join();
        let seen = seen.lock().unwrap();
        let longest = seen.confirmed_at.windows(2).map(|w| w[1] - w[0]);
        totals
            .gaps_ms
            .extend(longest.max().map(|gap| gap.as_secs_f64() * 1e3));
        totals
            .confirm_ms
            .extend(seen.took.iter().map(|took| took.as_secs_f64() * 1e3));
    }
    for (_, context) in &proxies {
        for recorded in context.events.recent() {
            match recorded.event {
                Event::PromotionPhase { phase, took_ms, .. } => {
                    totals.phases.entry(phase).or_default().push(took_ms as f64);
                }
                Event::PrimaryChanged { .. } => {
                    let after = recorded.at.duration_since(fault_wall).unwrap_or_default();
                    totals.known_ms.push(after.as_secs_f64() * 1e3);
                }
                _ => {}
            }
        }
    }
    let status = proxies[0]
        .0
        .find(&name)
        .map(|group| group.view().term.get());
    totals.changes += status.unwrap_or(1) as usize - 1;
    Ok(())
}

fn main() -> anyhow::Result<()> {
    env_logger::init();
    let arguments: Arguments = argh::from_env();
    let mut totals = Totals::default();
    for number in 0..arguments.rounds {
        round(&arguments, arguments.seed + number, &mut totals)?;
    }
    println!(
        "changes of primary: {} in {} rounds",
        totals.changes, arguments.rounds
    );
    println!(
        "of one proxy a second: {:.1} statuses, {:.1} watches; of the bench {:.1} ms of processor",
        totals.statuses / arguments.rounds as f64,
        totals.watches / arguments.rounds as f64,
        totals.cpu_ms / arguments.rounds as f64
    );
    print("longest gap, ms", totals.gaps_ms);
    print("new primary known after, ms", totals.known_ms);
    print("confirm, ms", totals.confirm_ms);
    for (phase, took_ms) in totals.phases {
        print(&format!("phase {phase}, ms"), took_ms);
    }
    Ok(())
}
