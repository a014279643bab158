//! Failed primaries, cut-off primaries, dying and paused promoters, lost answers, silent
//! connections, and leaving servers.

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
    "paused-promoter", "a primary is killed and the first proxy is paused while it promotes", paused_promoter;
    "promoter-dies", "a primary is killed and proxies die one after another while they promote", promoter_dies;
    "lost-answers", "the platform's answers vanish after the change, and a primary is killed", lost_answers;
    "store-down", "the platform is down for a while and nothing else fails", store_down;
    "store-down-failover", "a primary is killed while the platform is down", store_down_failover;
    "double-failover", "the new primary is killed soon after the first", double_failover;
    "silent-connections", "open connections to the primary go silent while new ones work", silent_connections;
    "leaving-primary", "the primary is to leave: a planned handover", leaving_primary;
    "leaving-replica", "a replica is to leave", leaving_replica;
    "proxy-dies", "a proxy is killed in the middle of transactions", proxy_dies;
    "crossed-answers", "answers come late and in bursts", crossed_answers;
    "flapping", "5% loss and jitter with no failure: no promotion at all", flapping;
    "mix", "two faults drawn at random, one soon after the other", mix;
}

/// How long a fault that is healed lasts.
const FAULT_TIME: Duration = Duration::from_secs(4);

/// How long the ends of a silent connection take to notice it by their keepalives.
const KEEPALIVE: Duration = Duration::from_secs(4);

/// The time between two faults that overlap.
const SOON: Duration = Duration::from_millis(400);

/// The share of chunks that are lost when links flap.
const FLAPPING_LOSS: f64 = 0.05;

/// The stated bound of a planned handover.
const HANDOVER_GAP_MAX_MS: u64 = 150;

/// The stated time after which a leaving server has no new work.
const LEAVING_BOUND: Duration = Duration::from_secs(5);

/// Returns the usual deployment of these experiments.
fn deployment() -> Topology {
    Topology::caroni(2, 6)
}

fn start(config: &RunConfig) -> anyhow::Result<Run> {
    let load = LoadConfig {
        think: Duration::from_millis(10),
        ..LoadConfig::default()
    };
    Run::start(config, deployment(), load)
}

fn smoke(config: &RunConfig) -> anyhow::Result<Summary> {
    let run = Run::start(config, Topology::caroni(2, 4), LoadConfig::default())?;
    run.finish_with(|_, summary| {
        let failed = summary.failed.values().sum::<usize>();
        let unanswered = summary.unknown + summary.broken + summary.not_run + failed;
        summary.expect(
            unanswered == 0,
            format!("{unanswered} requests were not done"),
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
    cut_primary_off(&mut run, 0);
    run.go_on(FAULT_TIME);
    run.cluster.links().heal();
    run.finish()
}

fn paused_promoter(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    kill_primary(&mut run, 0);
    run.go_on(SOON);
    let paused = run.rng.random_range(0..run.cluster.proxies().len());
    run.cluster.proxies()[paused].process().pause();
    run.go_on(FAULT_TIME);
    run.cluster.proxies()[paused].process().resume();
    run.finish()
}

fn promoter_dies(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    kill_primary(&mut run, 0);
    for proxy in 0..2 {
        run.go_on(SOON);
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
    run.go_on(FAULT_TIME);
    run.cluster.set_platform_fault(&Fault::default())?;
    run.finish()
}

fn store_down(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    run.fault_begins();
    platform_down(&run)?;
    run.go_on(FAULT_TIME);
    run.cluster.set_platform_fault(&Fault::default())?;
    run.finish()
}

fn store_down_failover(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    platform_down(&run)?;
    run.go_on(SOON);
    kill_primary(&mut run, 0);
    run.go_on(FAULT_TIME);
    run.finish_with(|cluster, summary| {
        summary.expect(cluster.primary(0).is_some(), "group 1 has no primary");
        cluster.set_platform_fault(&Fault::default())
    })
}

fn double_failover(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    let first = kill_primary(&mut run, 0);
    run.go_on(Duration::from_secs(2));
    if let Some(first) = first {
        run.cluster.restart_member(0, first)?;
    }
    run.go_on(Duration::from_secs(2));
    kill_primary(&mut run, 0);
    run.finish()
}

fn silent_connections(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    run.fault_begins();
    if let Some(primary) = run.cluster.primary(0) {
        run.cluster.links().silence_open(0, primary);
        run.go_on(KEEPALIVE);
        run.cluster.links().reset_silenced(0, primary);
    }
    run.finish()
}

fn leaving_primary(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    run.fault_begins();
    let primary = run.cluster.primary(0);
    if let Some(primary) = primary {
        run.cluster.set_leaving(0, primary)?;
    }
    run.go_on(FAULT_TIME);
    run.finish_with(|cluster, summary| {
        let gap_ms = summary.failover_gap_ms;
        summary.expect(
            cluster.primary(0) != primary,
            "the leaving primary still leads",
        );
        summary.expect(
            gap_ms <= HANDOVER_GAP_MAX_MS,
            format!("a handover of {gap_ms} ms; the bound is {HANDOVER_GAP_MAX_MS} ms"),
        );
        Ok(())
    })
}

fn leaving_replica(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    run.fault_begins();
    let primary = run.cluster.primary(0).unwrap_or(0);
    let replica = (primary + 1) % run.cluster.topology().members_per_group;
    run.cluster.set_leaving(0, replica)?;
    run.go_on(LEAVING_BOUND);
    let before = run.cluster.member_counters(0, replica)?.statements;
    run.finish_with(|cluster, summary| {
        let later = cluster.member_counters(0, replica)?.statements;
        summary.add_violations("I7", (later - before) as usize);
        Ok(())
    })
}

fn proxy_dies(config: &RunConfig) -> anyhow::Result<Summary> {
    let load = LoadConfig {
        mix: Mix {
            register_pair: 40,
            ..Mix::CARONI
        },
        think: Duration::from_millis(5),
        ..LoadConfig::default()
    };
    let mut run = Run::start(config, deployment(), load)?;
    run.fault_begins();
    for proxy in 0..2 {
        run.cluster.replace_proxy(proxy)?;
        run.go_on(Duration::from_secs(1));
    }
    run.finish()
}

fn crossed_answers(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    run.fault_begins();
    run.cluster.links().set_jitter(Duration::from_millis(80));
    run.go_on(FAULT_TIME);
    run.cluster.links().heal();
    run.finish()
}

fn flapping(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    run.fault_begins();
    run.cluster.links().set_loss(FLAPPING_LOSS);
    run.go_on(Duration::from_secs(12));
    run.cluster.links().heal();
    run.finish_with(|cluster, summary| {
        for group in 0..cluster.topology().groups {
            let terms = (0..cluster.topology().members_per_group)
                .filter_map(|member| cluster.member_status(group, member).ok())
                .map(|status| status.term.get().max(status.fenced_term.get()));
            let highest = terms.max().unwrap_or(0);
            summary.expect(
                highest <= 1,
                format!("group {} reached term {highest} with no failure", group + 1),
            );
        }
        Ok(())
    })
}

/// A fault of `mix`, with what ends it.
#[derive(Clone, Copy, Debug)]
enum Drawn {
    KillPrimary,
    KillReplica,
    CutPrimary,
    PausePrimary,
    PauseProxy,
    KillProxy,
    PlatformDown,
    LoseAnswers,
    Silence,
    Loss,
}

const DRAWN: [Drawn; 10] = [
    Drawn::KillPrimary,
    Drawn::KillReplica,
    Drawn::CutPrimary,
    Drawn::PausePrimary,
    Drawn::PauseProxy,
    Drawn::KillProxy,
    Drawn::PlatformDown,
    Drawn::LoseAnswers,
    Drawn::Silence,
    Drawn::Loss,
];

fn mix(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    let first = DRAWN[run.rng.random_range(0..DRAWN.len())];
    let second = DRAWN[run.rng.random_range(0..DRAWN.len())];
    log::info!("faults {first:?} and {second:?}");
    let mut hit = BTreeSet::new();
    hit.extend(inject(&mut run, first)?);
    let pause_ms = run.rng.random_range(0..1500);
    run.go_on(Duration::from_millis(pause_ms));
    hit.extend(inject(&mut run, second)?);
    if hit.len() > run.cluster.topology().members_per_group / 2 {
        run.majority_is_lost();
    }
    run.go_on(FAULT_TIME);
    mend(&mut run)?;
    run.go_on(FAULT_TIME);
    run.finish_with(|_, summary| {
        summary.figure("first_fault", f64::from(first as u8));
        summary.figure("second_fault", f64::from(second as u8));
        Ok(())
    })
}

/// Injects a fault and returns the server of the first group that it hits, if it hits one.
fn inject(run: &mut Run, fault: Drawn) -> anyhow::Result<Option<usize>> {
    run.fault_begins();
    let primary = run.cluster.primary(0).unwrap_or(0);
    let proxy = run.rng.random_range(0..run.cluster.proxies().len());
    match fault {
        Drawn::KillPrimary => {
            run.cluster.member_mut(0, primary).process_mut().kill();
            return Ok(Some(primary));
        }
        Drawn::KillReplica => {
            let replica = (primary + 1) % run.cluster.topology().members_per_group;
            run.cluster.member_mut(0, replica).process_mut().kill();
            return Ok(Some(replica));
        }
        Drawn::CutPrimary => {
            run.cluster.links().cut_member_off(0, primary);
            return Ok(Some(primary));
        }
        Drawn::PausePrimary => {
            run.cluster.member(0, primary).process().pause();
            return Ok(Some(primary));
        }
        Drawn::PauseProxy => run.cluster.proxies()[proxy].process().pause(),
        Drawn::KillProxy => run.cluster.replace_proxy(proxy)?,
        Drawn::PlatformDown => platform_down(run)?,
        Drawn::LoseAnswers => run.cluster.set_platform_fault(&Fault {
            lose_per_mille: 500,
            seed: run.rng.random(),
            ..Fault::default()
        })?,
        Drawn::Silence => {
            run.cluster.links().silence_open(0, primary);
            run.go_on(KEEPALIVE);
            run.cluster.links().reset_silenced(0, primary);
        }
        Drawn::Loss => run.cluster.links().set_loss(FLAPPING_LOSS),
    }
    Ok(None)
}

/// Ends every fault: links work, the platform answers, paused processes go on, and servers that
/// were killed are started again.
fn mend(run: &mut Run) -> anyhow::Result<()> {
    run.cluster.links().heal();
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

/// Kills the primary of a group and returns its number.
pub(super) fn kill_primary(run: &mut Run, group: usize) -> Option<usize> {
    run.fault_begins();
    let primary = run.cluster.primary(group)?;
    run.cluster.member_mut(group, primary).process_mut().kill();
    Some(primary)
}

fn cut_primary_off(run: &mut Run, group: usize) {
    run.fault_begins();
    if let Some(primary) = run.cluster.primary(group) {
        run.cluster.links().cut_member_off(group, primary);
    }
}

/// Makes the platform give no answer.
pub(super) fn platform_down(run: &Run) -> anyhow::Result<()> {
    run.cluster.set_platform_fault(&Fault {
        outage: Outage::Hang,
        ..Fault::default()
    })
}
