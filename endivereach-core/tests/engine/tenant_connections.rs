//! Tenants that compete for the connections of a server.

use crate::cluster::Cluster;
use crate::cluster::begin;
use crate::cluster::group;
use crate::cluster::read;
use crate::cluster::served_by;
use crate::cluster::write;
use endivereach_core::engine::statement::Body;
use endivereach_core::engine::statement::CallerId;
use endivereach_core::tenants::CallerKey;
use endivereach_core::tenants::TenantLimits;
use endivereach_core::tenants::Tenants;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

const SMALL_TENANTS: usize = 60;

fn small(index: usize) -> String {
    format!("small-{index}")
}

/// Returns a cluster in which this process is the home of one large and of many small tenants.
pub fn cluster(small_tenants: usize, connections_per_server: u32) -> Cluster {
    let mut tenants = Tenants::default();
    let mut add = |name: &str, rate_per_s| {
        let limits = TenantLimits {
            rate_per_s,
            burst: rate_per_s,
        };
        tenants.limits.insert(name.into(), limits);
        let key = CallerKey::from(name).digest();
        tenants.keys.insert(key, name.into());
    };
    add("large", 375);
    (0..small_tenants).for_each(|index| add(&small(index), 13));
    let mut cluster = Cluster::open();
    cluster.change_connections_per_server(connections_per_server);
    let names = tenants.limits.keys().cloned().collect();
    cluster.change_tenants(Some(tenants));
    cluster.engine.set_home_tenants(names);
    for server in cluster.servers.values_mut() {
        server.accepts = connections_per_server as usize;
        server.work = Duration::from_millis(30);
    }
    cluster
}

fn callers(cluster: &mut Cluster, tenant: &str, count: usize) -> Vec<CallerId> {
    let caller = |_| cluster.caller_with_key("session", tenant);
    (0..count).map(caller).collect()
}

/// Returns the number of a tenant's connections to the primary.
fn connections_of(cluster: &Cluster, tenant: &str) -> usize {
    let tenants = cluster.connected_tenants("a").into_iter();
    tenants
        .filter(|known| *known == Some(tenant.into()))
        .count()
}

/// The callers of one run, each of which sends its next statement at a time or after an answer.
struct Load {
    /// Callers that send again as soon as they are answered.
    eager: Vec<CallerId>,
    /// Callers that send at an interval, with the time of their next statement.
    sparse: BTreeMap<CallerId, Instant>,
    sent_at: BTreeMap<CallerId, Instant>,
    /// The longest latency of a sparse caller's statement.
    latency_max: Duration,
    sparse_served: usize,
    sparse_failed: usize,
    eager_served: usize,
}

impl Load {
    fn new(eager: Vec<CallerId>, sparse: BTreeMap<CallerId, Instant>) -> Self {
        Self {
            eager,
            sparse,
            sent_at: BTreeMap::new(),
            latency_max: Duration::ZERO,
            sparse_served: 0,
            sparse_failed: 0,
            eager_served: 0,
        }
    }

    fn run(&mut self, cluster: &mut Cluster, duration: Duration, interval: Duration) {
        let end = cluster.now + duration;
        for caller in self.eager.clone() {
            cluster.send(caller, write());
        }
        let mut seen = 0;
        while cluster.now < end {
            cluster.advance(5);
            let answers = cluster.answers[seen..].to_vec();
            seen = cluster.answers.len();
            for (caller, answer) in answers {
                let is_served = answer.failure().is_none();
                if let Some(sent_at) = self.sent_at.remove(&caller) {
                    self.latency_max = self.latency_max.max(cluster.now - sent_at);
                    self.sparse_served += usize::from(is_served);
                    self.sparse_failed += usize::from(!is_served);
                } else {
                    self.eager_served += usize::from(is_served);
                    cluster.send(caller, write());
                }
            }
            let due: Vec<CallerId> = self
                .sparse
                .iter()
                .filter(|(caller, at)| cluster.now >= **at && !self.sent_at.contains_key(caller))
                .map(|(caller, _)| *caller)
                .collect();
            for caller in due {
                self.sparse.insert(caller, cluster.now + interval);
                self.sent_at.insert(caller, cluster.now);
                cluster.send(caller, write());
            }
        }
    }
}

/// Load: a large tenant sends many times its rate beside 60 small ones, at a server that accepts 70
/// connections. The small ones must be served within their statement timeout.
#[test]
fn a_large_tenant_does_not_keep_small_ones_waiting() {
    let mut cluster = cluster(SMALL_TENANTS, 70);
    cluster.server("a").connections = 68;
    let interval = Duration::from_secs(4);
    let large = callers(&mut cluster, "large", 60);
    let small = (0..SMALL_TENANTS).map(|index| {
        let caller = cluster.caller_with_key("session", &small(index));
        let at = cluster.now + Duration::from_secs(1) + interval * index as u32 / 60;
        (caller, at)
    });
    let small = small.collect();
    let mut load = Load::new(large, small);
    load.run(&mut cluster, Duration::from_secs(8), interval);
    let counters = cluster.engine.counters();
    assert_eq!(load.sparse_failed, 0);
    assert!(
        load.latency_max <= Duration::from_millis(200),
        "{:?}",
        load.latency_max
    );
    // Each small tenant takes a connection at most once for each of its statements.
    assert!(counters.connections_replaced as usize <= load.sparse_served);
}

/// Load: a server has no connection left for this process. Two tenants that would evict each other
/// with every statement would spend the server's time on opening connections.
#[test]
fn two_tenants_do_not_replace_each_others_connection_in_turn() {
    let mut cluster = cluster(2, 70);
    cluster.server("a").accepts = 3;
    cluster.server("a").connections = 70;
    let callers: Vec<CallerId> = (0..6)
        .map(|index| {
            let tenant = ["large", "small-0", "small-1"][index % 3];
            cluster.caller_with_key("session", tenant)
        })
        .collect();
    let mut load = Load::new(callers, BTreeMap::new());
    load.run(
        &mut cluster,
        Duration::from_secs(10),
        Duration::from_secs(1),
    );
    let counters = cluster.engine.counters();
    assert!(counters.connections_replaced <= 2, "{counters:?}");
    assert!(load.eager_served > 800, "{}", load.eager_served);
    let tenants: BTreeSet<_> = cluster.connected_tenants("a").into_iter().collect();
    assert_eq!(
        tenants.len(),
        3,
        "each tenant has one of the three connections"
    );
}

/// A refused connection must not be tried again with every statement.
#[test]
fn connections_do_not_grow_after_a_refusal() {
    for accepted in [0, 1] {
        let mut cluster = cluster(2, 70);
        cluster.engine.set_home(&group(), false);
        cluster.advance(16_000);
        assert_eq!(cluster.connection_count("a"), 0);
        cluster.server("a").accepts = accepted;
        let callers = callers(&mut cluster, "large", 20);
        let mut load = Load::new(callers, BTreeMap::new());
        load.run(&mut cluster, Duration::from_secs(4), Duration::from_secs(1));
        // One every 400 ms. Without a connection, there are three more in the first 350 ms.
        let refused = cluster.engine.counters().connections_refused;
        let limit = if accepted == 0 { 13 } else { 10 };
        assert!((1..=limit).contains(&refused), "{refused}");
    }
}

/// Load: a large tenant uses all of the process's connections without a pause, and the server
/// accepts no more. An idle connection is used again at once, so a small tenant must come first.
#[test]
fn a_tenant_without_a_connection_takes_one_from_a_tenant_that_uses_all() {
    let mut cluster = cluster(2, 70);
    cluster.server("a").accepts = 4;
    cluster.server("a").connections = 70;
    let large = callers(&mut cluster, "large", 20);
    let small = cluster.caller_with_key("session", "small-0");
    let first_at = cluster.now + Duration::from_secs(2);
    let mut load = Load::new(large, [(small, first_at)].into());
    load.run(
        &mut cluster,
        Duration::from_secs(20),
        Duration::from_secs(2),
    );
    assert_eq!(load.sparse_failed, 0);
    assert!(load.sparse_served >= 8, "{}", load.sparse_served);
    let latency_max = load.latency_max;
    assert!(latency_max <= Duration::from_millis(200), "{latency_max:?}");
}

/// Each process is the home of some tenants. If each kept a last connection to every server, 62
/// processes would use most of a server's 70.
#[test]
fn an_idle_tenants_last_connection_is_closed_outside_the_groups_homes() {
    let mut cluster = cluster(2, 70);
    cluster.engine.set_home(&group(), false);
    cluster.advance(6_000);
    let caller = cluster.caller_with_key("session", "small-0");
    for _ in 0..6 {
        cluster.send_and_wait(caller, write());
        cluster.advance(4_000);
    }
    assert!(
        cluster.connection_count("a") >= 1,
        "used 4 s ago, on a server that is mostly free"
    );
    cluster.advance(11_000);
    for name in ["a", "b", "c"] {
        assert_eq!(cluster.connection_count(name), 0, "{name}");
    }
}

#[test]
fn a_home_of_the_group_keeps_one_connection_to_each_server() {
    let mut cluster = cluster(5, 70);
    for index in 0..5 {
        let caller = cluster.caller_with_key("session", &small(index));
        cluster.send_and_wait(caller, write());
    }
    cluster.advance(15_000);
    assert_eq!(cluster.connection_count("a"), 1);
}

/// Load: a tenant only writes, in transactions that hold its connections. Nothing else asks the
/// server for its number of connections, without which the tenant is limited to its part.
#[test]
fn a_tenant_that_only_writes_uses_spare_connections() {
    let mut cluster = cluster(60, 70);
    cluster.server("a").connections = 10;
    cluster.advance(4_000);
    for caller in callers(&mut cluster, "small-0", 3) {
        cluster.send(caller, begin());
        cluster.send(caller, write());
        cluster.advance(200);
    }
    assert_eq!(connections_of(&cluster, "small-0"), 3);
}

/// A process that is in no ranking of a tenant serves it only while it reaches no other.
#[test]
fn a_process_that_becomes_the_home_of_a_tenant_may_use_its_part() {
    let mut cluster = cluster(60, 70);
    cluster.engine.set_home_tenants(BTreeSet::new());
    cluster.server("a").connections = 60;
    // The number that the server reported before is too old to be used.
    cluster.advance(4_000);
    let callers = callers(&mut cluster, "large", 20);
    let mut load = Load::new(callers, BTreeMap::new());
    load.run(&mut cluster, Duration::from_secs(3), Duration::from_secs(1));
    assert_eq!(connections_of(&cluster, "large"), 2);
    cluster.engine.set_home_tenants(["large".into()].into());
    cluster.advance(1_000);
    load.run(&mut cluster, Duration::from_secs(3), Duration::from_secs(1));
    assert!(
        connections_of(&cluster, "large") >= 10,
        "{}",
        connections_of(&cluster, "large")
    );
}

/// Idle connections on a server that is nearly full keep other tenants out.
#[test]
fn the_idle_timeout_depends_on_the_servers_connections() {
    let mut cluster = cluster(2, 70);
    let mut open_ones = |connections| {
        cluster.server("a").connections = connections;
        let callers: Vec<CallerId> = callers(&mut cluster, "large", 4);
        for caller in &callers {
            cluster.send(*caller, begin());
            cluster.send(*caller, write());
        }
        cluster.advance(500);
        for caller in &callers {
            cluster.send(*caller, Body::Commit);
        }
        cluster.advance(2_500);
        let of_large = connections_of(&cluster, "large");
        (of_large, cluster.connection_count("a") - of_large)
    };
    // The other connection is the one that the process, as a home of the group, began with.
    assert_eq!(open_ones(20), (4, 1));
    assert_eq!(open_ones(60), (1, 0));
}

/// A transaction that holds the only connection must not hold up a tenant's other sessions.
#[test]
fn a_tenant_opens_another_connection_only_if_the_wait_is_longer_than_opening_it() {
    let mut cluster = cluster(60, 70);
    let first = cluster.caller_with_key("session", "small-0");
    cluster.send_and_wait(first, write());
    let before = cluster.connection_count("a");
    // Statements of 2 ms that follow each other closely.
    cluster.server("a").work = Duration::from_millis(2);
    let callers: Vec<CallerId> = callers(&mut cluster, "small-0", 3);
    for _ in 0..40 {
        cluster.send_and_wait(first, write());
    }
    for _ in 0..20 {
        for caller in &callers {
            cluster.send(*caller, write());
        }
        cluster.advance(20);
    }
    assert_eq!(cluster.connection_count("a"), before);
    cluster.server("a").work = Duration::from_millis(200);
    for _ in 0..10 {
        for caller in &callers {
            cluster.send(*caller, write());
        }
        cluster.advance(300);
    }
    assert!(cluster.connection_count("a") > before);
}

/// Reads that stay on the connection that a tenant's writes have opened take the slots that only the
/// primary's statements can use.
#[test]
fn the_reads_of_a_tenant_leave_the_primary() {
    let mut cluster = Cluster::open();
    cluster.change_tenants(Some(crate::tenants::tenants(&["harbour"])));
    let caller = cluster.caller_with_key("aged", "harbour");
    let writer = cluster.caller_with_key("session", "harbour");
    cluster.send_and_wait(writer, write());
    cluster.send_and_wait(caller, read());
    cluster.advance(100);
    for _ in 0..5 {
        let answer = cluster.send_and_wait(caller, read());
        assert_ne!(served_by(&answer), "a");
    }
}
