//! Experiments on the fleet of proxies: rule changes, restarts, graceful stops, zone losses, churn
//! and paused proxies.

use super::failures::hang_platform;
use super::run::Run;
use super::run::RunConfig;
use super::scenarios;
use crate::cluster::Cluster;
use crate::cluster::RULES;
use crate::load::LoadConfig;
use crate::platform::Fault;
use crate::process::workspace_program_path;
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
    "paused-proxy", "a proxy is paused and resumed later", paused_proxy;
}

/// The time within which new rules must be in force on every proxy, also during a platform outage.
const RULES_IN_FORCE_TIMEOUT: Duration = Duration::from_secs(5);

/// The maximum duration of a graceful stop.
const GRACEFUL_STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// The interval between two status polls.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn start(config: &RunConfig) -> anyhow::Result<Run> {
    Run::start(config, Topology::three_zones(2, 6), LoadConfig::default())
}

/// Stores rules that differ from the default ones by a comment only, and returns their version.
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
        PutOutcome::Conflict { .. } => {
            anyhow::bail!("another writer changed the rules first; try again")
        }
    }
}

/// Waits until every proxy applies rules of at least `version`, and returns how long that took.
///
/// Returns `None` after [`RULES_IN_FORCE_TIMEOUT`].
fn wait_in_force(cluster: &Cluster, version: Version) -> Option<Duration> {
    let started = Instant::now();
    while started.elapsed() <= RULES_IN_FORCE_TIMEOUT {
        let all_apply = (0..cluster.proxies().len()).all(|proxy| {
            let status = cluster.proxy_status(proxy);
            status.is_ok_and(|status| status.rules.version >= version)
        });
        if all_apply {
            return Some(started.elapsed());
        }
        thread::sleep(POLL_INTERVAL);
    }
    None
}

fn expect_in_force(summary: &mut Summary, took: Option<Duration>) {
    if let Some(took) = took {
        summary.figure("rules_in_force_ms", took.as_millis() as f64);
    }
    summary.add_violations("I9", usize::from(took.is_none()));
}

fn expect_no_broken_connection(summary: &mut Summary) {
    let broken_connections = summary.broken;
    summary.add_violations("I8", broken_connections);
}

/// The exit code of `endivereach rules apply` when the rules are in force.
const EXIT_APPLIED: i32 = 0;

/// The exit code of `endivereach rules apply` when another operator changed the rules first.
const EXIT_CONFLICT: i32 = 3;

/// Applies rules with the command line tool `endivereach`, and returns its exit code.
fn apply(cluster: &Cluster, by: &str, expect: Version) -> anyhow::Result<i32> {
    let path = cluster.folder().join(format!("{by}.rules"));
    std::fs::write(&path, format!("{RULES}# changed by {by}\n"))?;
    let mut command = Command::new(workspace_program_path("endivereach")?);
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
        .context("a signal ended `endivereach rules apply`")
}

/// Returns the version of the rules stored in the platform.
fn stored_version(cluster: &Cluster) -> anyhow::Result<Version> {
    let current = cluster.platform().get(KIND_RULES, NAME_CURRENT)?;
    Ok(current.context("the platform holds no rules")?.version)
}

fn rule_race(config: &RunConfig) -> anyhow::Result<Summary> {
    let run = start(config)?;
    let mut unexpected_codes = Vec::new();
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
            codes.push(
                outcome.map_err(|_| anyhow::anyhow!("the thread of an operator panicked"))??,
            );
        }
        codes.sort_unstable();
        if codes != [EXIT_APPLIED, EXIT_CONFLICT] {
            unexpected_codes.push(codes);
        }
    }
    run.finish_with(|_, summary| {
        summary.expect(
            unexpected_codes.is_empty(),
            format!("got exit codes {unexpected_codes:?}; expected one success and one conflict"),
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
            codes.iter().all(|&code| code == EXIT_APPLIED),
            format!("got exit codes {codes:?} after lost answers; expected success only"),
        );
        Ok(())
    })
}

fn rule_outage(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    run.mark_fault_start();
    let version = change_rules(&run.cluster, "outage")?;
    hang_platform(&run)?;
    let took = wait_in_force(&run.cluster, version);
    run.cluster.replace_proxy(2)?;
    let replaced_took = wait_in_force(&run.cluster, version);
    run.finish_with(|cluster, summary| {
        expect_in_force(summary, took);
        expect_in_force(summary, replaced_took);
        cluster.set_platform_fault(&Fault::default())
    })
}

fn rule_poison(config: &RunConfig) -> anyhow::Result<Summary> {
    let run = start(config)?;
    let good_version = run.cluster.proxy_status(0)?.rules.version;
    let invalid_version = store_rules(&run.cluster, "poison", "neither rule nor comment".into())?;
    run.run_load_for(RULES_IN_FORCE_TIMEOUT);
    let all_kept_good_version = (0..run.cluster.proxies().len()).all(|proxy| {
        let status = run.cluster.proxy_status(proxy);
        status.is_ok_and(|status| status.rules.version == good_version)
    });
    let fixed_version = change_rules(&run.cluster, "mended")?;
    let fixed_took = wait_in_force(&run.cluster, fixed_version);
    run.finish_with(|_, summary| {
        summary.expect(
            all_kept_good_version,
            format!("a proxy stopped applying rules version {good_version} after invalid version {invalid_version} was stored"),
        );
        expect_in_force(summary, fixed_took);
        Ok(())
    })
}

/// Redirects the callers of an unhealthy proxy to the next proxy, as a load balancer does.
fn redirect_callers(run: &Run, proxy: usize) {
    let next = (proxy + 1) % run.cluster.proxies().len();
    let next_addr = run.cluster.proxies()[next].sql_addr();
    run.cluster.links().redirect_callers(proxy, next_addr);
}

/// Marks a proxy as leaving in the platform's list of VMs, stops it gracefully, and waits for its
/// exit. Returns whether it exited in time and with success.
fn stop_gracefully(run: &mut Run, proxy: usize) -> anyhow::Result<bool> {
    let mut vms = run.cluster.all_vms();
    vms[proxy].leaving = true;
    run.cluster.set_vms(&vms)?;
    redirect_callers(run, proxy);
    run.cluster.proxies()[proxy].process().terminate();
    let process = run.cluster.proxy_mut(proxy).process_mut();
    let status = process.wait_exit(GRACEFUL_STOP_TIMEOUT)?;
    Ok(status.is_some_and(|status| status.success()))
}

fn rolling_restart(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    run.mark_fault_start();
    let mut all_stopped = true;
    for proxy in 0..run.cluster.proxies().len() {
        all_stopped &= stop_gracefully(&mut run, proxy)?;
        run.cluster.replace_proxy(proxy)?;
        redirect_callers(&run, proxy);
        let vms = run.cluster.all_vms();
        run.cluster.set_vms(&vms)?;
        run.cluster.wait_healthy(proxy);
        run.cluster.end_redirect(proxy);
        run.run_load_for(Duration::from_millis(300));
    }
    run.finish_with(|_, summary| {
        summary.expect(
            all_stopped,
            "a proxy didn't exit in time, or exited with an error",
        );
        expect_no_broken_connection(summary);
        Ok(())
    })
}

fn planned_stop(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    run.mark_fault_start();
    let stopped = stop_gracefully(&mut run, 1)?;
    run.finish_with(|_, summary| {
        summary.expect(
            stopped,
            "the proxy didn't exit in time, or exited with an error",
        );
        expect_no_broken_connection(summary);
        Ok(())
    })
}

fn cold_start_store_down(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    run.mark_fault_start();
    let version = run.cluster.proxy_status(0)?.rules.version;
    hang_platform(&run)?;
    run.cluster.replace_proxy(3)?;
    let took = wait_in_force(&run.cluster, version);
    let served = run.cluster.endpoints().groups.iter().all(|group| {
        let deadline = Instant::now() + RULES_IN_FORCE_TIMEOUT;
        let addr = run.cluster.proxies()[3].sql_addr();
        while Instant::now() < deadline {
            if crate::load::probe(addr, group).is_ok() {
                return true;
            }
            thread::sleep(POLL_INTERVAL);
        }
        false
    });
    run.finish_with(|cluster, summary| {
        summary.expect(
            served,
            "the proxy that started during the outage doesn't serve every group",
        );
        expect_in_force(summary, took);
        cluster.set_platform_fault(&Fault::default())
    })
}

fn zone_loss(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    run.mark_fault_start();
    let lost_zone = run.rng.random_range(0..run.cluster.topology().zones.len());
    let zone = run.cluster.topology().zones[lost_zone].clone();
    run.cluster
        .links()
        .partition_zone(run.cluster.topology(), &zone);
    run.run_load_for(Duration::from_secs(8));
    run.cluster.links().restore();
    run.finish()
}

fn churn(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    run.mark_fault_start();
    for _ in 0..10 {
        let proxy = run.rng.random_range(0..run.cluster.proxies().len());
        run.cluster.replace_proxy(proxy)?;
        run.run_load_for(Duration::from_millis(500));
    }
    run.finish()
}

fn paused_proxy(config: &RunConfig) -> anyhow::Result<Summary> {
    let mut run = start(config)?;
    run.mark_fault_start();
    run.cluster.proxies()[2].process().pause();
    run.run_load_for(Duration::from_secs(5));
    let version = change_rules(&run.cluster, "while-paused")?;
    run.cluster.proxies()[2].process().resume();
    let took = wait_in_force(&run.cluster, version);
    run.finish_with(|_, summary| {
        expect_in_force(summary, took);
        Ok(())
    })
}
