//! The fleet: rules in force, restarts, stops, lost zones, churn and paused proxies.

use super::failures::platform_down;
use super::run::Run;
use super::run::RunConfig;
use super::scenarios;
use crate::cluster::Cluster;
use crate::cluster::RULES;
use crate::load::LoadConfig;
use crate::platform::Fault;
use crate::process::sibling_program;
use crate::summary::Summary;
use crate::topology::Topology;
use anyhow::Context;
use endivereach_core::ids::Version;
use endivereach_wire::operator::NAME_CURRENT;
use endivereach_wire::operator::RulesObject;
use endivereach_wire::platform::KIND_RULES;
use endivereach_wire::platform::PutOutcome;
use rand::Rng;
use std::process::Command;
use std::thread;
use std::time::Duration;
use std::time::Instant;

scenarios! {
    "rule-race", "two operators change the rules at once", rule_race;
    "rule-lost-answer", "the platform's answer to an operator is lost after the change took effect", rule_lost_answer;
    "rule-outage", "a rule is accepted, the platform goes down at once, and a proxy is replaced", rule_outage;
    "rule-poison", "rules that can't be parsed are stored in the platform", rule_poison;
    "rolling-restart", "every proxy is replaced gracefully, one after another", rolling_restart;
    "planned-stop", "one proxy is asked to stop while it serves", planned_stop;
    "cold-start-store-down", "a proxy starts while the platform is down", cold_start_store_down;
    "zone-loss", "an availability zone is cut off with its servers and proxies", zone_loss;
    "churn", "proxies are replaced at random without a graceful stop", churn;
    "paused-proxy", "a proxy is paused and goes on later", paused_proxy;
}

/// The stated time within which rules are in force everywhere, also in an outage.
const RULES_BOUND: Duration = Duration::from_secs(5);

/// The stated time within which a graceful stop ends.
const STOP_BOUND: Duration = Duration::from_secs(30);

/// The pause between two looks at the fleet.
const LOOK_AGAIN: Duration = Duration::from_millis(20);

fn start(config: &RunConfig) -> anyhow::Result<Run> {
    Run::start(config, Topology::caroni(2, 6), LoadConfig::default())
}

/// Stores new rules that differ by a comment, and returns their version.
fn change_rules(cluster: &Cluster, by: &str) -> anyhow::Result<Version> {
    store_rules(cluster, by, format!("{RULES}# changed by {by}\n"))
}

fn store_rules(cluster: &Cluster, by: &str, text: String) -> anyhow::Result<Version> {
    let platform = cluster.platform();
    let current = platform.get(KIND_RULES, NAME_CURRENT)?;
    let current = current.context("the platform holds no rules")?;
    let rules = RulesObject {
        text: text.into(),
        by: by.into(),
        reason: "".into(),
        at_unix_ms: 0,
        previous: Vec::new(),
    };
    let outcome = platform.put(KIND_RULES, NAME_CURRENT, current.version, by, &rules)?;
    match outcome {
        PutOutcome::Stored { version } => Ok(version),
        PutOutcome::Conflict { .. } => anyhow::bail!("another writer was faster"),
    }
}

/// Waits until every proxy has rules of at least `version` in force, and returns how long it took.
fn wait_in_force(cluster: &Cluster, version: Version) -> Option<Duration> {
    let began = Instant::now();
    while began.elapsed() <= RULES_BOUND {
        let everywhere = (0..cluster.proxies().len()).all(|proxy| {
            let status = cluster.proxy_status(proxy);
            status.is_ok_and(|status| status.rules.version >= version)
        });
        if everywhere {
            return Some(began.elapsed());
        }
        thread::sleep(LOOK_AGAIN);
    }
    None
}

fn expect_in_force(summary: &mut Summary, took: Option<Duration>) {
    if let Some(took) = took {
        summary.figure("rules_in_force_ms", took.as_millis() as f64);
    }
    summary.add_violations("I9", usize::from(took.is_none()));
}

fn expect_nothing_cut(summary: &mut Summary) {
    let cut = summary.broken;
    summary.add_violations("I8", cut);
}

/// The exit code of `endivereach rules apply` when the rules are in force.
const APPLIED: i32 = 0;

/// The exit code of `endivereach rules apply` when somebody else was first.
const CONFLICT: i32 = 3;

/// Applies rules with the operators' tool, and returns its exit code.
fn apply(cluster: &Cluster, by: &str, expect: Version) -> anyhow::Result<i32> {
    let path = cluster.folder().join(format!("{by}.rules"));
    std::fs::write(&path, format!("{RULES}# changed by {by}\n"))?;
    let mut command = Command::new(sibling_program("endivereach")?);
    command
        .args(["rules", "apply", "--platform"])
        .arg(cluster.platform_addr().to_string())
        .args(["--by", by, "--wait", "5s", "--expect"])
        .arg(expect.to_string());
    for (proxy, process) in cluster.proxies().iter().enumerate() {
        let published = cluster.topology().proxy_peer_addr(proxy);
        command.arg("--via");
        command.arg(format!("{published}={}", process.peer_addr()));
    }
    let output = command.arg(&path).output()?;
    let log = cluster.folder().join(format!("{by}.log"));
    std::fs::write(log, [output.stdout, output.stderr].concat())?;
    output
        .status
        .code()
        .context("the tool was ended by a signal")
}

/// Returns the version of the rules that the platform holds.
fn stored_version(cluster: &Cluster) -> anyhow::Result<Version> {
    let current = cluster.platform().get(KIND_RULES, NAME_CURRENT)?;
    Ok(current.context("the platform holds no rules")?.version)
}

fn rule_race(config: &RunConfig) -> anyhow::Result<Summary> {
    let run = start(config)?;
    let mut surprises = Vec::new();
    for round in 0..5 {
        let cluster = &run.cluster;
        let expect = stored_version(cluster)?;
        let (first, second) = thread::scope(|scope| {
            let first = scope.spawn(|| apply(cluster, &format!("first-{round}"), expect));
            let second = scope.spawn(|| apply(cluster, &format!("second-{round}"), expect));
            (first.join(), second.join())
        });
        let mut codes = Vec::new();
        for outcome in [first, second] {
            codes.push(outcome.map_err(|_| anyhow::anyhow!("an operator panicked"))??);
        }
        codes.sort_unstable();
        if codes != [APPLIED, CONFLICT] {
            surprises.push(codes);
        }
    }
    run.finish_with(|_, summary| {
        summary.expect(
            surprises.is_empty(),
            format!("exit codes {surprises:?}; one operator applies and the other is told"),
        );
        Ok(())
    })
}

fn rule_lost_answer(config: &RunConfig) -> anyhow::Result<Summary> {
    let run = start(config)?;
    let mut codes = Vec::new();
    for round in 0..3 {
        let expect = stored_version(&run.cluster)?;
        run.cluster.set_platform_fault(&Fault {
            lose_next: 2,
            ..Fault::default()
        })?;
        codes.push(apply(&run.cluster, &format!("lost-{round}"), expect)?);
    }
    run.cluster.set_platform_fault(&Fault::default())?;
    run.finish_with(|_, summary| {
        summary.expect(
            codes.iter().all(|&code| code == APPLIED),
            format!("exit codes {codes:?} after lost answers; the tool finds out"),
        );
        Ok(())
    })
}

fn rule_outage(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    run.fault_begins();
    let version = change_rules(&run.cluster, "outage")?;
    platform_down(&run)?;
    let took = wait_in_force(&run.cluster, version);
    run.cluster.replace_proxy(2)?;
    let took_replaced = wait_in_force(&run.cluster, version);
    run.finish_with(|cluster, summary| {
        expect_in_force(summary, took);
        expect_in_force(summary, took_replaced);
        cluster.set_platform_fault(&Fault::default())
    })
}

fn rule_poison(config: &RunConfig) -> anyhow::Result<Summary> {
    let run = start(config)?;
    let good = run.cluster.proxy_status(0)?.rules.version;
    let poison = store_rules(&run.cluster, "poison", "neither rule nor comment".into())?;
    run.go_on(RULES_BOUND);
    let last_good_kept = (0..run.cluster.proxies().len()).all(|proxy| {
        let status = run.cluster.proxy_status(proxy);
        status.is_ok_and(|status| status.rules.version == good)
    });
    let mended = change_rules(&run.cluster, "mended")?;
    let took = wait_in_force(&run.cluster, mended);
    run.finish_with(|_, summary| {
        summary.expect(
            last_good_kept,
            format!("version {poison} replaced version {good}"),
        );
        expect_in_force(summary, took);
        Ok(())
    })
}

/// Sends callers of a proxy that isn't healthy to the next one, as the balancer does.
fn redirect_callers(run: &Run, proxy: usize) {
    let next = (proxy + 1) % run.cluster.proxies().len();
    let next_addr = run.cluster.proxies()[next].sql_addr();
    run.cluster.links().redirect_callers(proxy, next_addr);
}

/// Asks a proxy to stop, takes it out of the list as the platform does, and waits for its end.
fn stop_gracefully(run: &mut Run, proxy: usize) -> anyhow::Result<bool> {
    let mut vms = run.cluster.all_vms();
    vms[proxy].leaving = true;
    run.cluster.set_vms(&vms)?;
    redirect_callers(run, proxy);
    run.cluster.proxies()[proxy].process().terminate();
    let process = run.cluster.proxy_mut(proxy).process_mut();
    let status = process.wait_exit(STOP_BOUND)?;
    Ok(status.is_some_and(|status| status.success()))
}

fn rolling_restart(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    run.fault_begins();
    let mut ended = true;
    for proxy in 0..run.cluster.proxies().len() {
        ended &= stop_gracefully(&mut run, proxy)?;
        run.cluster.replace_proxy(proxy)?;
        redirect_callers(&run, proxy);
        let vms = run.cluster.all_vms();
        run.cluster.set_vms(&vms)?;
        run.cluster.wait_healthy(proxy);
        run.cluster.admit_callers(proxy);
        run.go_on(Duration::from_millis(300));
    }
    run.finish_with(|_, summary| {
        summary.expect(ended, "a proxy didn't end in time, or not with success");
        expect_nothing_cut(summary);
        Ok(())
    })
}

fn planned_stop(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    run.fault_begins();
    let ended = stop_gracefully(&mut run, 1)?;
    run.finish_with(|_, summary| {
        summary.expect(ended, "the proxy didn't end in time, or not with success");
        expect_nothing_cut(summary);
        Ok(())
    })
}

fn cold_start_store_down(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    run.fault_begins();
    let version = run.cluster.proxy_status(0)?.rules.version;
    platform_down(&run)?;
    run.cluster.replace_proxy(3)?;
    let took = wait_in_force(&run.cluster, version);
    let served = run.cluster.endpoints().groups.iter().all(|group| {
        let end = Instant::now() + RULES_BOUND;
        let addr = run.cluster.proxies()[3].sql_addr();
        while Instant::now() < end {
            if crate::load::probe(addr, group).is_ok() {
                return true;
            }
            thread::sleep(LOOK_AGAIN);
        }
        false
    });
    run.finish_with(|cluster, summary| {
        summary.expect(served, "the proxy that started in the outage doesn't serve");
        expect_in_force(summary, took);
        cluster.set_platform_fault(&Fault::default())
    })
}

fn zone_loss(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    run.fault_begins();
    let lost = run.rng.random_range(0..run.cluster.topology().zones.len());
    let zone = run.cluster.topology().zones[lost].clone();
    run.cluster
        .links()
        .cut_zone_off(run.cluster.topology(), &zone);
    run.go_on(Duration::from_secs(8));
    run.cluster.links().heal();
    run.finish()
}

fn churn(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    run.fault_begins();
    for _ in 0..10 {
        let proxy = run.rng.random_range(0..run.cluster.proxies().len());
        run.cluster.replace_proxy(proxy)?;
        run.go_on(Duration::from_millis(500));
    }
    run.finish()
}

fn paused_proxy(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    run.fault_begins();
    run.cluster.proxies()[2].process().pause();
    run.go_on(Duration::from_secs(5));
    let version = change_rules(&run.cluster, "while-paused")?;
    run.cluster.proxies()[2].process().resume();
    let took = wait_in_force(&run.cluster, version);
    run.finish_with(|_, summary| {
        expect_in_force(summary, took);
        Ok(())
    })
}
