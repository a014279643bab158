//! Experiments on failovers: killed and partitioned primaries, killed and paused promoters, lost
//! platform answers, silent connections, and servers that are leaving.

use super::run::Run;
use super::run::RunConfig;
use super::scenarios;
use crate::load::LoadConfig;
use crate::load::Mix;
use crate::platform::Fault;
use crate::platform::Outage;
use crate::summary::Summary;
use crate::topology::Topology;
use rand::Rng;
use std::collections::BTreeSet;
use std::time::Duration;

scenarios! {
    "smoke", "two groups and four proxies with no fault", smoke;
    "failover", "a primary is killed", failover;
    "partitioned-primary", "a primary is cut off from its group and still reaches the proxies", partitioned_primary;
    "paused-promoter", "a primary is killed and a random proxy is paused during the promotion", paused_promoter;
    "promoter-dies", "a primary is killed and proxies die one after another while they promote", promoter_dies;
    "lost-answers", "the platform loses answers after the changes took effect, and a primary is killed", lost_answers;
    "store-down", "the platform is down for a while and nothing else fails", store_down;
    "store-down-failover", "a primary is killed while the platform is down", store_down_failover;
    "double-failover", "the new primary is killed soon after the first", double_failover;
    "silent-connections", "open connections to the primary go silent while new ones work", silent_connections;
    "leaving-primary", "the primary is marked as leaving: a planned handover", leaving_primary;
    "leaving-replica", "a replica is marked as leaving", leaving_replica;
    "proxy-dies", "a proxy is killed in the middle of transactions", proxy_dies;
    "crossed-answers", "answers come late and in bursts", crossed_answers;
    "flapping", "5% loss and jitter with no failure: no promotion at all", flapping;
    "mix", "two faults drawn at random, one soon after the other", mix;
}

/// The duration of an injected fault.
const FAULT_DURATION: Duration = Duration::from_secs(4);

/// How long TCP keepalives take to close a silent connection.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(4);

/// The delay between two faults that overlap.
const OVERLAPPING_FAULT_DELAY: Duration = Duration::from_millis(400);

/// The share of chunks that flapping links lose, from 0 to 1.
const FLAPPING_LOSS_RATE: f64 = 0.05;

/// The maximum write gap of a planned handover, in milliseconds.
const HANDOVER_GAP_MAX_MS: u64 = 150;

/// The time within which a leaving server must stop receiving new work.
const LEAVING_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the topology that most of these experiments use.
fn default_topology() -> Topology {
    Topology::three_zones(2, 6)
}

fn start(config: &RunConfig) -> anyhow::Result<Run> {
    let load = LoadConfig {
        think_time: Duration::from_millis(10),
        ..LoadConfig::default()
    };
    Run::start(config, default_topology(), load)
}

fn smoke(config: &RunConfig) -> anyhow::Result<Summary> {
    let run = Run::start(config, Topology::three_zones(2, 4), LoadConfig::default())?;
    run.finish_with(|_, summary| {
        let failed = summary.failed.values().sum::<usize>();
        let unsuccessful = summary.unknown + summary.broken + summary.not_run + failed;
        summary.expect(
            unsuccessful == 0,
            format!("{unsuccessful} requests did not succeed"),
        );
        Ok(())
    })
}

fn failover(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    kill_primary(&mut run, 0);
    run.finish_with(|cluster, summary| {
        summary.expect(cluster.primary(0).is_some(), "group 1 has no primary");
        Ok(())
    })
}

fn partitioned_primary(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    partition_primary(&mut run, 0);
    run.run_load_for(FAULT_DURATION);
    run.cluster.links().restore();
    run.finish()
}

fn paused_promoter(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    kill_primary(&mut run, 0);
    run.run_load_for(OVERLAPPING_FAULT_DELAY);
    let paused = run.rng.random_range(0..run.cluster.proxies().len());
    run.cluster.proxies()[paused].process().pause();
    run.run_load_for(FAULT_DURATION);
    run.cluster.proxies()[paused].process().resume();
    run.finish()
}

fn promoter_dies(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    kill_primary(&mut run, 0);
    for proxy in 0..2 {
        run.run_load_for(OVERLAPPING_FAULT_DELAY);
        run.cluster.replace_proxy(proxy)?;
    }
    run.finish()
}

fn lost_answers(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    run.cluster.set_platform_fault(&Fault {
        lose_per_mille: 500,
        seed: config.seed,
        ..Fault::default()
    })?;
    kill_primary(&mut run, 0);
    run.run_load_for(FAULT_DURATION);
    run.cluster.set_platform_fault(&Fault::default())?;
    run.finish()
}

fn store_down(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    run.mark_fault_start();
    hang_platform(&run)?;
    run.run_load_for(FAULT_DURATION);
    run.cluster.set_platform_fault(&Fault::default())?;
    run.finish()
}

fn store_down_failover(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    hang_platform(&run)?;
    run.run_load_for(OVERLAPPING_FAULT_DELAY);
    kill_primary(&mut run, 0);
    run.run_load_for(FAULT_DURATION);
    run.finish_with(|cluster, summary| {
        summary.expect(cluster.primary(0).is_some(), "group 1 has no primary");
        cluster.set_platform_fault(&Fault::default())
    })
}

fn double_failover(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    let first_primary = kill_primary(&mut run, 0);
    run.run_load_for(Duration::from_secs(2));
    if let Some(first_primary) = first_primary {
        run.cluster.restart_member(0, first_primary)?;
    }
    run.run_load_for(Duration::from_secs(2));
    kill_primary(&mut run, 0);
    run.finish()
}

fn silent_connections(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    run.mark_fault_start();
    if let Some(primary) = run.cluster.primary(0) {
        run.cluster.links().silence_open_connections(0, primary);
        run.run_load_for(KEEPALIVE_TIMEOUT);
        run.cluster.links().reset_silenced_connections(0, primary);
    }
    run.finish()
}

fn leaving_primary(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    run.mark_fault_start();
    let primary = run.cluster.primary(0);
    if let Some(primary) = primary {
        run.cluster.set_leaving(0, primary)?;
    }
    run.run_load_for(FAULT_DURATION);
    run.finish_with(|cluster, summary| {
        let gap_ms = summary.failover_gap_ms;
        summary.expect(
            cluster.primary(0) != primary,
            "the leaving server is still the primary",
        );
        summary.expect(
            gap_ms <= HANDOVER_GAP_MAX_MS,
            format!("the handover took {gap_ms} ms; the limit is {HANDOVER_GAP_MAX_MS} ms"),
        );
        Ok(())
    })
}

fn leaving_replica(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    run.mark_fault_start();
    let primary = run.cluster.primary(0).unwrap_or(0);
    let replica = (primary + 1) % run.cluster.topology().members_per_group;
    run.cluster.set_leaving(0, replica)?;
    run.run_load_for(LEAVING_TIMEOUT);
    let statements_before = run.cluster.member_counters(0, replica)?.statements;
    run.finish_with(|cluster, summary| {
        let statements_after = cluster.member_counters(0, replica)?.statements;
        summary.add_violations("I7", (statements_after - statements_before) as usize);
        Ok(())
    })
}

fn proxy_dies(config: &RunConfig) -> anyhow::Result<Summary> {
    let load = LoadConfig {
        mix: Mix {
            register_pair: 40,
            ..Mix::CARONI
        },
        think_time: Duration::from_millis(5),
        ..LoadConfig::default()
    };
    let mut run = Run::start(config, default_topology(), load)?;
    run.mark_fault_start();
    for proxy in 0..2 {
        run.cluster.replace_proxy(proxy)?;
        run.run_load_for(Duration::from_secs(1));
    }
    run.finish()
}

fn crossed_answers(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    run.mark_fault_start();
    run.cluster.links().set_jitter(Duration::from_millis(80));
    run.run_load_for(FAULT_DURATION);
    run.cluster.links().restore();
    run.finish()
}

fn flapping(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    run.mark_fault_start();
    run.cluster.links().set_loss(FLAPPING_LOSS_RATE);
    run.run_load_for(Duration::from_secs(12));
    run.cluster.links().restore();
    run.finish_with(|cluster, summary| {
        for group in 0..cluster.topology().groups {
            let terms = (0..cluster.topology().members_per_group)
                .filter_map(|member| cluster.member_status(group, member).ok())
                .map(|status| status.term.get().max(status.fenced_term.get()));
            let highest_term = terms.max().unwrap_or(0);
            summary.expect(
                highest_term <= 1,
                format!(
                    "group {} reached term {highest_term} without a failure",
                    group + 1
                ),
            );
        }
        Ok(())
    })
}

/// A fault that the `mix` experiment can draw.
#[derive(Clone, Copy, Debug)]
enum RandomFault {
    KillPrimary,
    KillReplica,
    PartitionPrimary,
    PausePrimary,
    PauseProxy,
    KillProxy,
    HangPlatform,
    LoseAnswers,
    SilenceConnections,
    Loss,
}

const RANDOM_FAULTS: [RandomFault; 10] = [
    RandomFault::KillPrimary,
    RandomFault::KillReplica,
    RandomFault::PartitionPrimary,
    RandomFault::PausePrimary,
    RandomFault::PauseProxy,
    RandomFault::KillProxy,
    RandomFault::HangPlatform,
    RandomFault::LoseAnswers,
    RandomFault::SilenceConnections,
    RandomFault::Loss,
];

fn mix(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    let first = RANDOM_FAULTS[run.rng.random_range(0..RANDOM_FAULTS.len())];
    let second = RANDOM_FAULTS[run.rng.random_range(0..RANDOM_FAULTS.len())];
    log::info!("faults {first:?} and {second:?}");
    let mut affected_members = BTreeSet::new();
    affected_members.extend(inject(&mut run, first)?);
    let delay_ms = run.rng.random_range(0..1500);
    run.run_load_for(Duration::from_millis(delay_ms));
    affected_members.extend(inject(&mut run, second)?);
    if affected_members.len() > run.cluster.topology().members_per_group / 2 {
        run.mark_majority_lost();
    }
    run.run_load_for(FAULT_DURATION);
    end_faults(&mut run)?;
    run.run_load_for(FAULT_DURATION);
    run.finish_with(|_, summary| {
        summary.figure("first_fault", f64::from(first as u8));
        summary.figure("second_fault", f64::from(second as u8));
        Ok(())
    })
}

/// Injects a fault into the first group and returns the number of the server that it affects, if
/// any.
fn inject(run: &mut Run, fault: RandomFault) -> anyhow::Result<Option<usize>> {
    run.mark_fault_start();
    let primary = run.cluster.primary(0).unwrap_or(0);
    let proxy = run.rng.random_range(0..run.cluster.proxies().len());
    match fault {
        RandomFault::KillPrimary => {
            run.cluster.member_mut(0, primary).process_mut().kill();
            return Ok(Some(primary));
        }
        RandomFault::KillReplica => {
            let replica = (primary + 1) % run.cluster.topology().members_per_group;
            run.cluster.member_mut(0, replica).process_mut().kill();
            return Ok(Some(replica));
        }
        RandomFault::PartitionPrimary => {
            run.cluster.links().partition_member(0, primary);
            return Ok(Some(primary));
        }
        RandomFault::PausePrimary => {
            run.cluster.member(0, primary).process().pause();
            return Ok(Some(primary));
        }
        RandomFault::PauseProxy => run.cluster.proxies()[proxy].process().pause(),
        RandomFault::KillProxy => run.cluster.replace_proxy(proxy)?,
        RandomFault::HangPlatform => hang_platform(run)?,
        RandomFault::LoseAnswers => run.cluster.set_platform_fault(&Fault {
            lose_per_mille: 500,
            seed: run.rng.random(),
            ..Fault::default()
        })?,
        RandomFault::SilenceConnections => {
            run.cluster.links().silence_open_connections(0, primary);
            run.run_load_for(KEEPALIVE_TIMEOUT);
            run.cluster.links().reset_silenced_connections(0, primary);
        }
        RandomFault::Loss => run.cluster.links().set_loss(FLAPPING_LOSS_RATE),
    }
    Ok(None)
}

/// Ends every fault: restores links and platform, resumes paused processes, and restarts killed
/// servers.
fn end_faults(run: &mut Run) -> anyhow::Result<()> {
    run.cluster.links().restore();
    run.cluster.set_platform_fault(&Fault::default())?;
    for proxy in run.cluster.proxies() {
        proxy.process().resume();
    }
    for member in 0..run.cluster.topology().members_per_group {
        run.cluster.member(0, member).process().resume();
        if run.cluster.member_status(0, member).is_err() {
            run.cluster.restart_member(0, member)?;
        }
    }
    Ok(())
}

/// Kills the primary of a group and returns its member number.
pub(super) fn kill_primary(run: &mut Run, group: usize) -> Option<usize> {
    run.mark_fault_start();
    let primary = run.cluster.primary(group)?;
    run.cluster.member_mut(group, primary).process_mut().kill();
    Some(primary)
}

fn partition_primary(run: &mut Run, group: usize) {
    run.mark_fault_start();
    if let Some(primary) = run.cluster.primary(group) {
        run.cluster.links().partition_member(group, primary);
    }
}

/// Makes every platform call hang without an answer.
pub(super) fn hang_platform(run: &Run) -> anyhow::Result<()> {
    run.cluster.set_platform_fault(&Fault {
        outage: Outage::Hang,
        ..Fault::default()
    })
}
