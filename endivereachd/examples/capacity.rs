//! Measures the cost of a proxy's control path at several fleet sizes: CPU time, memory, threads,
//! messages, platform reads, and the time until a change of the rules is applied.
//!
//! ```text
//! cargo run --release -p endivereachd --example capacity
//! ```
//!
//! Each fleet runs in one process and the lab's platform in another, so that the cost of the
//! platform isn't counted. The figures per node are those of the whole process divided by the
//! number of nodes. Other components are measured on their own, at the size that the proxy is
//! designed for: assigning homes, encoding objects and rebalancing shares.

use endivereach_core::directory::GroupObject;
use endivereach_core::directory::Member;
use endivereach_core::directory::Vm;
use endivereach_core::exchange::Catalog;
use endivereach_core::exchange::Changes;
use endivereach_core::exchange::Versioned;
use endivereach_core::homes;
use endivereach_core::ids::GroupName;
use endivereach_core::ids::Term;
use endivereach_core::ids::Version;
use endivereach_core::settings::Settings;
use endivereach_core::shares::Demand;
use endivereach_core::shares::SharesObject;
use endivereach_lab::platform::Config;
use endivereach_lab::platform::Counters;
use endivereach_lab::platform::PATH_COUNTERS;
use endivereach_lab::platform::PATH_VMS_SET;
use endivereach_lab::platform::Platform;
use endivereach_wire::http::Client;
use endivereach_wire::http::encode;
use endivereach_wire::operator::NAME_CURRENT;
use endivereach_wire::operator::PATH_FLEET_STATUS;
use endivereach_wire::operator::PATH_RULES_VERSION;
use endivereach_wire::operator::ProxyStatus;
use endivereach_wire::operator::RulesObject;
use endivereach_wire::operator::RulesReport;
use endivereach_wire::platform::KIND_RULES;
use endivereach_wire::platform::PlatformClient;
use endivereach_wire::platform::PutOutcome;
use endivereachd::daemon::Daemon;
use std::collections::BTreeMap;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

/// The numbers of nodes of the measured fleets.
const FLEET_SIZES: [usize; 4] = [7, 14, 28, 56];

/// The number of zones that the nodes are distributed over.
const ZONES: usize = 3;

/// The time between the start of a fleet and its measurement.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// The time over which rates are measured.
const MEASUREMENT_TIME: Duration = Duration::from_secs(10);

/// The number of timed changes of the rules at each fleet size.
const RULE_CHANGES: usize = 5;

const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The size of the fleet that the proxy is designed for.
const DESIGN_NODES: usize = 1_800;
const DESIGN_ZONES: usize = 15;
const DESIGN_GROUPS: usize = 3_000;

const RULES: &str =
    "groups * read bookings session  # Anjali Mohan, desk: my own booking must show\n";

fn main() {
    if std::env::args().nth(1).as_deref() == Some("--platform") {
        return run_platform();
    }
    if let Some(size) = std::env::args().nth(1).and_then(|size| size.parse().ok()) {
        return measure_fleet(size);
    }
    println!(
        "nodes cpu_percent_of_a_core_per_node resident_mib_per_node threads_per_node messages_per_s_per_node body_bytes_per_s_per_node platform_reads_per_s rules_p50_ms rules_max_ms"
    );
    for size in FLEET_SIZES {
        // Each fleet runs in a new process, which excludes memory and threads of the previous one.
        let mut command = Command::new(std::env::current_exe().unwrap());
        let exit_status = command.arg(size.to_string()).status().unwrap();
        assert!(exit_status.success(), "the fleet of {size} nodes failed");
    }
    measure_components();
}

/// Serves the lab's platform until standard input is closed.
fn run_platform() {
    let platform = Platform::bind("127.0.0.1:0".parse().unwrap(), Config::default()).unwrap();
    println!("{}", platform.addr());
    // The parent process keeps standard input open while it needs the platform.
    let _ = std::io::stdin().lines().count();
}

/// A child process that serves the lab's platform.
struct PlatformProcess {
    child: Child,
    addr: SocketAddr,
}

impl PlatformProcess {
    fn spawn() -> Self {
        let mut child = Command::new(std::env::current_exe().unwrap())
            .arg("--platform")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let stdout = child.stdout.take().unwrap();
        BufReader::new(stdout).read_line(&mut line).unwrap();
        let addr = line.trim().parse().unwrap();
        Self { child, addr }
    }
}

impl Drop for PlatformProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start_daemon(number: usize, platform: SocketAddr) -> Daemon {
    let text = format!(
        "name = \"entry-{number}\"\nregion = \"dk-east\"\nzone = \"zone-{}\"\n\
         [listen]\nsql_addr = \"127.0.0.1:0\"\npeer_addr = \"127.0.0.1:0\"\n\
         [platform]\naddr = \"{platform}\"\n[target]\nuser = \"app\"\npassword = \"app\"\n\
         [drain]\nbalancer_wait_ms = 0\n",
        number % ZONES,
    );
    Daemon::spawn(toml::from_str::<Settings>(&text).unwrap()).unwrap()
}

fn measure_fleet(size: usize) {
    let platform = PlatformProcess::spawn();
    let http = Client::new();
    let resident_bytes_before = resident_bytes();
    let threads_before = thread_count();
    let daemons: Vec<Daemon> = (0..size)
        .map(|number| start_daemon(number, platform.addr))
        .collect();
    let vms: Vec<Vm> = daemons.iter().enumerate().map(vm_entry).collect();
    let _: () = http
        .call(platform.addr, PATH_VMS_SET, &vms, CALL_TIMEOUT)
        .unwrap();
    let addrs: Vec<SocketAddr> = vms.iter().map(|vm| vm.peer_addr).collect();
    let mut version = put_rules(platform.addr, Version::new(0));
    wait_for_rules(&http, &addrs, version);
    std::thread::sleep(SETTLE_TIME);

    let before = Sample::take(&http, &addrs, platform.addr);
    std::thread::sleep(MEASUREMENT_TIME);
    let after = Sample::take(&http, &addrs, platform.addr);
    print_cpu_by_thread(&before.cpu_s_by_thread, &after.cpu_s_by_thread, size);

    let mut delays_ms = Vec::new();
    for _ in 0..RULE_CHANGES {
        version = put_rules(platform.addr, version);
        delays_ms.extend(wait_for_rules(&http, &addrs, version));
    }
    delays_ms.sort_unstable();
    let seconds = (after.at - before.at).as_secs_f64();
    let per_node = |first: f64, last: f64| (last - first) / seconds / size as f64;
    println!(
        "{size} {:.3} {:.2} {:.1} {:.1} {:.0} {:.1} {} {}",
        per_node(before.cpu_s, after.cpu_s) * 100.0,
        (resident_bytes().saturating_sub(resident_bytes_before)) as f64 / size as f64 / 1048576.0,
        (thread_count() - threads_before) as f64 / size as f64,
        per_node(before.messages, after.messages),
        per_node(before.bytes, after.bytes),
        (after.platform_reads - before.platform_reads) / seconds,
        delays_ms[delays_ms.len() / 2],
        delays_ms[delays_ms.len() - 1],
    );
}

fn vm_entry((number, daemon): (usize, &Daemon)) -> Vm {
    let ready = daemon.ready_line();
    Vm {
        name: ready.name,
        region: "dk-east".into(),
        zone: format!("zone-{}", number % ZONES).as_str().into(),
        peer_addr: ready.peer_addr,
        sql_addr: ready.sql_addr,
        leaving: false,
    }
}

fn put_rules(platform: SocketAddr, expected: Version) -> Version {
    let client = PlatformClient::new(platform, CALL_TIMEOUT);
    let rules = RulesObject {
        text: RULES.into(),
        by: "capacity".into(),
        reason: "".into(),
        at_unix_ms: 0,
        previous: Vec::new(),
    };
    match client.put(KIND_RULES, NAME_CURRENT, expected, "capacity", &rules) {
        Ok(PutOutcome::Stored { version }) => version,
        other => panic!("the rules were not stored: {other:?}"),
    }
}

/// Waits until every node applies `version`, and returns the delay of each node in milliseconds.
fn wait_for_rules(http: &Client, addrs: &[SocketAddr], version: Version) -> Vec<u64> {
    let start = Instant::now();
    let mut missing: Vec<SocketAddr> = addrs.to_vec();
    let mut delays_ms = Vec::new();
    while !missing.is_empty() && start.elapsed() < Duration::from_secs(30) {
        missing.retain(|addr| {
            let report: RulesReport = http
                .call(*addr, PATH_RULES_VERSION, &(), CALL_TIMEOUT)
                .unwrap();
            let is_applied = report.version >= version;
            if is_applied {
                delays_ms.push(start.elapsed().as_millis() as u64);
            }
            !is_applied
        });
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(
        missing.is_empty(),
        "rules did not reach {} nodes",
        missing.len()
    );
    delays_ms
}

/// The cumulative cost of the fleet at one time.
struct Sample {
    at: Instant,
    cpu_s: f64,
    messages: f64,
    bytes: f64,
    platform_reads: f64,
    cpu_s_by_thread: BTreeMap<String, f64>,
}

impl Sample {
    fn take(http: &Client, addrs: &[SocketAddr], platform: SocketAddr) -> Self {
        let mut messages = 0;
        let mut bytes = 0;
        for addr in addrs {
            let status: ProxyStatus = http
                .call(*addr, PATH_FLEET_STATUS, &(), CALL_TIMEOUT)
                .unwrap();
            for counter in status.counters {
                match &*counter.name {
                    "fleet_peer_calls" => messages += counter.value,
                    "fleet_exchange_bytes_sent" => bytes += counter.value,
                    _ => {}
                }
            }
        }
        let platform_counters: Counters = http
            .call(platform, PATH_COUNTERS, &(), CALL_TIMEOUT)
            .unwrap();
        Self {
            at: Instant::now(),
            cpu_s: cpu_seconds(),
            cpu_s_by_thread: cpu_seconds_by_thread_name(),
            messages: messages as f64,
            bytes: bytes as f64,
            platform_reads: (platform_counters.gets
                + platform_counters.lists
                + platform_counters.watches
                + platform_counters.vms) as f64,
        }
    }
}

/// Returns the CPU time that this process has used, in seconds.
fn cpu_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap()
        .split_whitespace()
        .collect();
    let ticks: f64 = fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap();
    // Linux reports these fields in hundredths of a second on every architecture in use.
    ticks / 100.0
}

/// Returns the CPU time of the running threads, in seconds, by thread name without trailing digits.
fn cpu_seconds_by_thread_name() -> BTreeMap<String, f64> {
    let mut by_name = BTreeMap::new();
    for task in std::fs::read_dir("/proc/self/task").unwrap().flatten() {
        let Ok(stat) = std::fs::read_to_string(task.path().join("stat")) else {
            continue;
        };
        let name = stat.split(['(', ')']).nth(1).unwrap_or_default();
        let name = name
            .trim_end_matches(|c: char| c.is_ascii_digit())
            .to_owned();
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap()
            .split_whitespace()
            .collect();
        let ticks: f64 = fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap();
        *by_name.entry(name).or_default() += ticks / 100.0;
    }
    by_name
}

/// Prints the CPU time of the threads of each name, in percent of a core per node.
fn print_cpu_by_thread(before: &BTreeMap<String, f64>, after: &BTreeMap<String, f64>, size: usize) {
    let percent = |name: &String, thread_cpu_s: f64| {
        let used_s = thread_cpu_s - before.get(name).copied().unwrap_or_default();
        used_s * 100.0 / MEASUREMENT_TIME.as_secs_f64() / size as f64
    };
    for (name, thread_cpu_s) in after {
        let percent = percent(name, *thread_cpu_s);
        if percent >= 0.01 {
            println!("  {name} {percent:.3}");
        }
    }
}

fn resident_bytes() -> u64 {
    status_field("VmRSS:") * 1024
}

fn thread_count() -> u64 {
    status_field("Threads:")
}

fn status_field(name: &str) -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with(name)).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Measures single components at the size that the proxy is designed for.
fn measure_components() {
    let members: Vec<Vm> = (0..DESIGN_NODES).map(sample_vm).collect();
    println!("member_list_bytes {}", encode(&members).len());

    let names: Vec<GroupName> = (0..DESIGN_GROUPS)
        .map(|number| format!("group-{number}").as_str().into())
        .collect();
    let start = Instant::now();
    let homes: usize = names
        .iter()
        .map(|name| homes::homes(name, &members, 100).len())
        .sum();
    let took = start.elapsed();
    println!(
        "homes_of_all_groups_ms {} ({homes} homes)",
        took.as_millis()
    );

    let group = sample_group(0);
    println!("group_object_bytes {}", encode(&group).len());
    let demands: Vec<Demand> = members[..8]
        .iter()
        .map(|vm| Demand {
            name: vm.name.clone(),
            connections_wanted: 12,
        })
        .collect();
    let empty = SharesObject::new(group.name.clone(), 100);
    let shares = empty.rebalance(100, &demands).unwrap();
    println!("shares_object_bytes {}", encode(&shares).len());
    let start = Instant::now();
    for _ in 0..1_000 {
        std::hint::black_box(empty.rebalance(100, &demands));
    }
    // Seconds for 1,000 runs, times 1e3, are microseconds per run.
    println!("rebalance_us {:.1}", start.elapsed().as_secs_f64() * 1e3);

    let before = resident_bytes();
    let catalogs: Vec<Catalog<Vec<u8>>> = vec![
        catalog(|number| encode(&sample_group(number))),
        catalog(|_| encode(&shares)),
    ];
    let catalog_bytes = resident_bytes().saturating_sub(before);
    println!(
        "catalogs_of_all_groups_bytes {catalog_bytes} ({} kinds)",
        catalogs.len()
    );
    let start = Instant::now();
    let newer = catalogs
        .iter()
        .map(|kind| kind.changes_after(Version::new(2_999)).objects.len());
    println!(
        "changes_after_us {} ({} objects)",
        start.elapsed().as_micros(),
        newer.sum::<usize>()
    );
}

fn catalog(value: impl Fn(usize) -> Vec<u8>) -> Catalog<Vec<u8>> {
    let mut catalog = Catalog::new();
    let objects = (0..DESIGN_GROUPS).map(|number| Versioned {
        name: format!("group-{number}").into(),
        version: Version::new(number as u64 + 1),
        value: value(number),
    });
    let changes = Changes {
        after: Version::new(0),
        revision: Version::new(DESIGN_GROUPS as u64),
        objects: objects.collect(),
    };
    catalog.merge(changes, None);
    catalog
}

fn sample_vm(number: usize) -> Vm {
    Vm {
        name: format!("entry-{number:04}").as_str().into(),
        region: format!("region-{}", number % 4).as_str().into(),
        zone: format!("zone-{:02}", number % DESIGN_ZONES).as_str().into(),
        peer_addr: "10.11.12.13:7101".parse().unwrap(),
        sql_addr: "10.11.12.13:5432".parse().unwrap(),
        leaving: false,
    }
}

fn sample_group(number: usize) -> GroupObject {
    let member = |part: usize| Member {
        id: format!("group-{number}-s{part}").as_str().into(),
        zone: format!("zone-{part:02}").as_str().into(),
        sql_addr: "10.21.22.23:5432".parse().unwrap(),
        control_addr: "10.21.22.23:7300".parse().unwrap(),
        leaving: false,
    };
    GroupObject {
        name: format!("group-{number}").as_str().into(),
        term: Term::new(3),
        primary: format!("group-{number}-s1").as_str().into(),
        members: (1..4).map(member).collect(),
        connections_per_server: 100,
        slots_per_server: 8,
        grants: Vec::new(),
        granted_up_to: Term::new(3),
    }
}
