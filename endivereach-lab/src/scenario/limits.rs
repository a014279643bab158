//! Scarce connections: skewed callers, dying and paused holders of shares, overload, and retries.

use super::run::Run;
use super::run::RunConfig;
use super::scenarios;
use crate::history::At;
use crate::history::Record;
use crate::load::LoadConfig;
use crate::load::Mix;
use crate::summary::Summary;
use crate::topology::Topology;
use std::time::Duration;

scenarios! {
    "skewed-callers", "one proxy takes most callers", skewed_callers;
    "share-holder-dies", "a proxy that holds connections is killed and not replaced for a while", share_holder_dies;
    "share-holder-paused", "a proxy that holds connections is paused and goes on later", share_holder_paused;
    "overload", "callers ask for three times what the servers can do", overload;
    "retry-storm", "a group is down for a while and returns to callers that wait", retry_storm;
    "vanishing-callers", "callers vanish in the middle of their requests", vanishing_callers;
    "reset", "callers leave session state behind for those who come after them", reset;
    "hot-table", "all callers write to one row", hot_table;
}

/// The least goodput under overload, as a share of the peak.
const OVERLOAD_GOODPUT: f64 = 0.95;

/// How long a group is down before it returns.
const DOWN_TIME: Duration = Duration::from_secs(8);

/// The stated time after which load is back to normal.
const RECOVERY_BOUND: Duration = Duration::from_secs(5);

/// Returns how many requests were done per second between two moments.
fn goodput(records: &[Record], from: At, to: At) -> f64 {
    let within = |record: &&Record| record.is_done() && record.ended >= from && record.ended < to;
    let done = records.iter().filter(within).count();
    done as f64 / (to.0 - from.0).as_secs_f64()
}

fn expect_connections_within_limit(summary: &mut Summary, topology: &Topology) {
    let most = summary.figures.get("most_connections").copied();
    let limit = f64::from(topology.connections_per_server);
    summary.expect(
        most.unwrap_or(0.0) <= limit,
        format!("{most:?} connections were open; the limit is {limit}"),
    );
    let refused = summary.figures.get("refused_connections").copied();
    summary.expect(
        refused == Some(0.0),
        format!("servers refused {refused:?} connections over their limit"),
    );
}

fn skewed_callers(config: &RunConfig) -> anyhow::Result<Summary> {
    let load = LoadConfig {
        callers_per_group: 24,
        think: Duration::from_millis(2),
        skew: 0.9,
        ..LoadConfig::default()
    };
    let run = Run::start(config, Topology::caroni(2, 6), load)?;
    run.go_on(Duration::from_secs(6));
    run.finish_with(|cluster, summary| {
        expect_connections_within_limit(summary, cluster.topology());
        Ok(())
    })
}

fn share_holder_dies(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = Run::start(config, Topology::caroni(2, 6), LoadConfig::default())?;
    run.fault_begins();
    run.cluster.proxy_mut(1).process_mut().kill();
    run.go_on(Duration::from_secs(8));
    run.cluster.replace_proxy(1)?;
    run.finish_with(|cluster, summary| {
        expect_connections_within_limit(summary, cluster.topology());
        Ok(())
    })
}

fn share_holder_paused(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = Run::start(config, Topology::caroni(2, 6), LoadConfig::default())?;
    run.fault_begins();
    run.cluster.proxies()[1].process().pause();
    run.go_on(Duration::from_secs(8));
    run.cluster.proxies()[1].process().resume();
    run.finish_with(|cluster, summary| {
        expect_connections_within_limit(summary, cluster.topology());
        Ok(())
    })
}

fn overload(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut topology = Topology::caroni(1, 6);
    topology.service = Duration::from_millis(4);
    let calm = LoadConfig {
        callers_per_group: 120,
        think: Duration::from_millis(60),
        roam_every: 50,
        ..LoadConfig::default()
    };
    let peak = overload_run(config, "peak", topology.clone(), calm.clone())?;
    let pressed = LoadConfig {
        think: Duration::from_millis(20),
        ..calm
    };
    let mut summary = overload_run(config, "pressed", topology, pressed)?;
    let done_per_s = |summary: &Summary| summary.done as f64 / summary.series.len().max(1) as f64;
    let ratio = done_per_s(&summary) / done_per_s(&peak);
    summary.figure("goodput_against_peak", ratio);
    summary.figure(
        "peak_write_p99_ms",
        peak.write_latency_ms.p99_us as f64 / 1000.0,
    );
    summary.expect(
        ratio >= OVERLOAD_GOODPUT,
        format!("goodput is {ratio:.2} of the peak; the target is {OVERLOAD_GOODPUT}"),
    );
    summary.expect(
        summary.write_latency_ms.p99_us <= 2 * peak.write_latency_ms.p99_us,
        "the writes' 99th percentile more than doubled",
    );
    Ok(summary)
}

fn overload_run(
    config: &RunConfig,
    part: &str,
    topology: Topology,
    load: LoadConfig,
) -> anyhow::Result<Summary> {
    let config = RunConfig {
        folder: config.folder.join(part),
        ..config.clone()
    };
    let run = Run::start(&config, topology, load)?;
    run.go_on(Duration::from_secs(5));
    run.finish()
}

fn retry_storm(config: &RunConfig) -> anyhow::Result<Summary> {
    let load = LoadConfig {
        callers_per_group: 40,
        think: Duration::from_millis(20),
        ..LoadConfig::default()
    };
    let mut run = Run::start(config, Topology::caroni(1, 6), load)?;
    let warm = run.now();
    run.go_on(Duration::from_secs(2));
    let normal_until = run.now();
    let members = 0..run.cluster.topology().members_per_group;
    for member in members.clone() {
        run.cluster.member(0, member).process().pause();
    }
    run.go_on(DOWN_TIME);
    for member in members {
        run.cluster.member(0, member).process().resume();
    }
    run.go_on(RECOVERY_BOUND);
    let back = run.now();
    run.fault_begins();
    run.go_on(Duration::from_secs(3));
    let end = run.now();
    let records = run.records();
    let normal = goodput(&records, warm, normal_until);
    let after = goodput(&records, back, end);
    run.finish_with(|_, summary| {
        summary.figure("goodput_before", normal);
        summary.figure("goodput_after", after);
        summary.expect(
            after >= OVERLOAD_GOODPUT * normal,
            format!("{after:.0} a second after the return, {normal:.0} before"),
        );
        Ok(())
    })
}

fn vanishing_callers(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = Run::start(config, Topology::caroni(2, 6), LoadConfig::default())?;
    run.fault_begins();
    for _ in 0..40 {
        crate::load::vanish(run.cluster.endpoints(), &mut run.rng);
        run.go_on(Duration::from_millis(100));
    }
    run.finish_with(|cluster, summary| {
        expect_connections_within_limit(summary, cluster.topology());
        Ok(())
    })
}

fn reset(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = Run::start(config, Topology::caroni(2, 4), LoadConfig::default())?;
    let mut found = 0;
    for round in 0..20 {
        let endpoints = run.cluster.endpoints().clone();
        found += crate::load::leave_state(&endpoints, round, &mut run.rng)?;
    }
    run.finish_with(|_, summary| {
        summary.add_violations("I3", found);
        Ok(())
    })
}

fn hot_table(config: &RunConfig) -> anyhow::Result<Summary> {
    let load = LoadConfig {
        mix: Mix {
            increment: 60,
            ..Mix::CARONI
        },
        callers_per_group: 24,
        think: Duration::from_millis(4),
        ..LoadConfig::default()
    };
    let run = Run::start(config, Topology::caroni(2, 6), load)?;
    run.go_on(Duration::from_secs(6));
    run.finish_with(|cluster, summary| {
        expect_connections_within_limit(summary, cluster.topology());
        Ok(())
    })
}
