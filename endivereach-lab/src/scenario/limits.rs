//! Experiments on connection limits: skewed callers, killed and paused proxies that hold
//! connections, overload, and retries.

use super::run::Run;
use super::run::RunConfig;
use super::scenarios;
use crate::history::Record;
use crate::history::Timestamp;
use crate::load::LoadConfig;
use crate::load::Mix;
use crate::summary::Summary;
use crate::topology::Topology;
use std::time::Duration;

scenarios! {
    "skewed-callers", "one proxy takes most callers", skewed_callers;
    "share-holder-dies", "a proxy that holds connections is killed and not replaced for a while", share_holder_dies;
    "share-holder-paused", "a proxy that holds connections is paused and resumed later", share_holder_paused;
    "overload", "callers send three times the load that the servers can handle", overload;
    "retry-storm", "a group is down for a while and returns to callers that wait", retry_storm;
    "vanishing-callers", "callers disconnect in the middle of their requests", vanishing_callers;
    "reset", "callers leave session state behind, and later callers look for it", reset;
    "hot-table", "all callers write to one row", hot_table;
}

/// The minimum goodput, as a ratio: under overload of the peak goodput, and after an outage of the
/// goodput before.
const GOODPUT_RATIO_MIN: f64 = 0.95;

/// How long all servers of a group are paused.
const OUTAGE_DURATION: Duration = Duration::from_secs(8);

/// The time within which goodput must recover after the outage.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns how many requests succeeded per second between two times.
fn goodput(records: &[Record], window_start: Timestamp, window_end: Timestamp) -> f64 {
    let is_done_within = |record: &&Record| {
        record.is_done() && record.ended >= window_start && record.ended < window_end
    };
    let done = records.iter().filter(is_done_within).count();
    done as f64 / (window_end.0 - window_start.0).as_secs_f64()
}

fn expect_connections_within_limit(summary: &mut Summary, topology: &Topology) {
    let most_connections = summary.figures.get("most_connections").copied();
    let limit = f64::from(topology.connections_per_server);
    summary.expect(
        most_connections.unwrap_or(0.0) <= limit,
        format!("a server had {most_connections:?} connections open; the limit is {limit}"),
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
        think_time: Duration::from_millis(2),
        skew: 0.9,
        ..LoadConfig::default()
    };
    let run = Run::start(config, Topology::three_zones(2, 6), load)?;
    run.run_load_for(Duration::from_secs(6));
    run.finish_with(|cluster, summary| {
        expect_connections_within_limit(summary, cluster.topology());
        Ok(())
    })
}

fn share_holder_dies(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = Run::start(config, Topology::three_zones(2, 6), LoadConfig::default())?;
    run.mark_fault_start();
    run.cluster.proxy_mut(1).process_mut().kill();
    run.run_load_for(Duration::from_secs(8));
    run.cluster.replace_proxy(1)?;
    run.finish_with(|cluster, summary| {
        expect_connections_within_limit(summary, cluster.topology());
        Ok(())
    })
}

fn share_holder_paused(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = Run::start(config, Topology::three_zones(2, 6), LoadConfig::default())?;
    run.mark_fault_start();
    run.cluster.proxies()[1].process().pause();
    run.run_load_for(Duration::from_secs(8));
    run.cluster.proxies()[1].process().resume();
    run.finish_with(|cluster, summary| {
        expect_connections_within_limit(summary, cluster.topology());
        Ok(())
    })
}

fn overload(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut topology = Topology::three_zones(1, 6);
    topology.service_time = Duration::from_millis(4);
    let peak_load = LoadConfig {
        callers_per_group: 120,
        think_time: Duration::from_millis(60),
        requests_per_connection: 50,
        ..LoadConfig::default()
    };
    let peak = overload_run(config, "peak", topology.clone(), peak_load.clone())?;
    let overload_load = LoadConfig {
        think_time: Duration::from_millis(20),
        ..peak_load
    };
    let mut summary = overload_run(config, "pressed", topology, overload_load)?;
    let done_per_s = |summary: &Summary| summary.done as f64 / summary.series.len().max(1) as f64;
    let ratio = done_per_s(&summary) / done_per_s(&peak);
    summary.figure("goodput_against_peak", ratio);
    summary.figure(
        "peak_write_p99_ms",
        peak.write_latency_ms.p99_us as f64 / 1000.0,
    );
    summary.expect(
        ratio >= GOODPUT_RATIO_MIN,
        format!("goodput is {ratio:.2} of the peak; the target is {GOODPUT_RATIO_MIN}"),
    );
    summary.expect(
        summary.write_latency_ms.p99_us <= 2 * peak.write_latency_ms.p99_us,
        "the 99th percentile of the write latency more than doubled",
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
    run.run_load_for(Duration::from_secs(5));
    run.finish()
}

fn retry_storm(config: &RunConfig) -> anyhow::Result<Summary> {
    let load = LoadConfig {
        callers_per_group: 40,
        think_time: Duration::from_millis(20),
        ..LoadConfig::default()
    };
    let mut run = Run::start(config, Topology::three_zones(1, 6), load)?;
    let baseline_start = run.now();
    run.run_load_for(Duration::from_secs(2));
    let baseline_end = run.now();
    let members = 0..run.cluster.topology().members_per_group;
    for member in members.clone() {
        run.cluster.member(0, member).process().pause();
    }
    run.run_load_for(OUTAGE_DURATION);
    for member in members {
        run.cluster.member(0, member).process().resume();
    }
    run.run_load_for(RECOVERY_TIMEOUT);
    let recovered_at = run.now();
    // The outage itself stops all writes, so write gaps count only from here.
    run.mark_fault_start();
    run.run_load_for(Duration::from_secs(3));
    let end = run.now();
    let records = run.records();
    let goodput_before = goodput(&records, baseline_start, baseline_end);
    let goodput_after = goodput(&records, recovered_at, end);
    run.finish_with(|_, summary| {
        summary.figure("goodput_before", goodput_before);
        summary.figure("goodput_after", goodput_after);
        summary.expect(
            goodput_after >= GOODPUT_RATIO_MIN * goodput_before,
            format!("goodput is {goodput_after:.0}/s after the outage; it was {goodput_before:.0}/s before"),
        );
        Ok(())
    })
}

fn vanishing_callers(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = Run::start(config, Topology::three_zones(2, 6), LoadConfig::default())?;
    run.mark_fault_start();
    for _ in 0..40 {
        crate::load::disconnect_mid_statement(run.cluster.endpoints(), &mut run.rng);
        run.run_load_for(Duration::from_millis(100));
    }
    run.finish_with(|cluster, summary| {
        expect_connections_within_limit(summary, cluster.topology());
        Ok(())
    })
}

fn reset(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = Run::start(config, Topology::three_zones(2, 4), LoadConfig::default())?;
    let mut violations = 0;
    for round in 0..20 {
        let endpoints = run.cluster.endpoints().clone();
        violations += crate::load::leave_session_state(&endpoints, round, &mut run.rng)?;
    }
    run.finish_with(|_, summary| {
        summary.add_violations("I3", violations);
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
        think_time: Duration::from_millis(4),
        ..LoadConfig::default()
    };
    let run = Run::start(config, Topology::three_zones(2, 6), load)?;
    run.run_load_for(Duration::from_secs(6));
    run.finish_with(|cluster, summary| {
        expect_connections_within_limit(summary, cluster.topology());
        Ok(())
    })
}
