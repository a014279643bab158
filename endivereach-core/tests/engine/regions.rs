//! Reads where servers are in two regions, 60 ms apart.

use crate::cluster::Cluster;
use crate::cluster::read;
use crate::cluster::served_by;
use endivereach_core::engine::statement::Command;
use endivereach_core::ids::RegionName;
use endivereach_core::ids::ZoneName;
use std::time::Duration;

const FAR_ROUND_TRIP: Duration = Duration::from_millis(60);

/// The primary `a` and the replica `b` are in two zones of the process's region, `c` is far.
fn open() -> Cluster {
    let mut cluster = Cluster::open_unlisted();
    for (name, zone) in [("a", "south"), ("b", "south"), ("c", "peak")] {
        cluster.server(name).zone = zone.into();
    }
    cluster.server("a").delay = Duration::from_millis(5);
    cluster.server("b").delay = Duration::from_millis(10);
    cluster.server("c").delay = FAR_ROUND_TRIP;
    let regions = [("north", "coast"), ("south", "coast"), ("peak", "hills")];
    let regions = regions.map(|(zone, region)| (ZoneName::from(zone), RegionName::from(region)));
    cluster.engine.set_regions(regions.into());
    cluster.publish_targets();
    cluster.advance(300);
    cluster
}

/// Sends one read after the other and returns the servers that answered.
fn serve_reads(cluster: &mut Cluster, count: usize) -> Vec<String> {
    let caller = cluster.caller("aged");
    let answers = (0..count).map(|_| cluster.send_and_wait(caller, read()));
    answers
        .map(|answer| served_by(&answer).to_owned())
        .collect()
}

/// A new server counted as fast, so the first reads crossed between the regions.
#[test]
fn reads_stay_in_the_region_while_its_servers_have_room() {
    let mut cluster = open();
    let servers = serve_reads(&mut cluster, 20);
    assert!(!servers.contains(&"c".into()), "{servers:?}");
}

/// Load: the servers of the region stop to answer reads for a while.
#[test]
fn reads_cross_once_the_local_queue_is_longer_than_the_distance() {
    let mut cluster = open();
    serve_reads(&mut cluster, 3);
    for name in ["a", "b"] {
        cluster.server(name).delay = Duration::from_millis(400);
    }
    let callers: Vec<_> = (0..30).map(|_| cluster.caller("aged")).collect();
    for caller in &callers[..4] {
        cluster.send(*caller, read());
    }
    let is_far_read = |command: &&Command| matches!(command, Command::Run { .. });
    let far_reads = |cluster: &mut Cluster| {
        let commands = &cluster.server("c").commands;
        commands.iter().filter(is_far_read).count()
    };
    cluster.advance(30);
    assert_eq!(
        far_reads(&mut cluster),
        0,
        "the queue is shorter than the distance"
    );
    // More reads than the region's servers have connections for this process.
    for caller in &callers[4..] {
        cluster.send(*caller, read());
    }
    cluster.advance(170);
    assert!(far_reads(&mut cluster) > 0, "no read crosses");
}

#[test]
fn reads_cross_if_no_server_of_the_region_can_serve_them() {
    let mut cluster = open();
    cluster.leaving = vec!["a".into(), "b".into()];
    cluster.publish_targets();
    cluster.advance(100);
    assert_eq!(serve_reads(&mut cluster, 2), ["c", "c"]);
}

/// A floor needs the probes of the primary and one replica. The far one would delay it by the
/// distance, and its bytes cross between the regions.
#[test]
fn floors_are_proved_by_the_regions_servers() {
    let mut cluster = open();
    // The near replica is slower than the time that is assumed for a server without statements.
    cluster.server("b").delay = Duration::from_millis(40);
    serve_reads(&mut cluster, 5);
    let is_probe = |command: &&Command| matches!(command, Command::Status);
    let probes = |cluster: &mut Cluster| {
        let commands = &cluster.server("c").commands;
        commands.iter().filter(is_probe).count()
    };
    let before = probes(&mut cluster);
    for _ in 0..20 {
        serve_reads(&mut cluster, 1);
        cluster.advance(200);
    }
    assert_eq!(probes(&mut cluster), before);
}

/// The list of proxies names one region: servers in zones without proxies aren't far.
#[test]
fn one_region_has_no_far_servers() {
    let mut cluster = open();
    let regions = [(ZoneName::from("north"), RegionName::from("coast"))];
    cluster.engine.set_regions(regions.into());
    cluster.leaving = vec!["a".into(), "b".into()];
    cluster.publish_targets();
    cluster.advance(100);
    assert_eq!(serve_reads(&mut cluster, 1), ["c"]);
}
