//! Experiments on replica reads: sessions that change proxies, replication lag, maximum ages, and
//! cancelled slots.

use super::run::Run;
use super::run::RunConfig;
use super::scenarios;
use crate::load::LoadConfig;
use crate::load::Mix;
use crate::member::ApplyFault;
use crate::member::MemberFault;
use crate::summary::Summary;
use crate::topology::Topology;
use std::time::Duration;

scenarios! {
    "roaming", "every caller changes its proxy after each request", roaming;
    "lagging-replica", "one replica stops applying the log", lagging_replica;
    "lag-bursts", "replicas lag in bursts", lag_bursts;
    "stale-age", "a replica is cut off and reads accept a maximum age", stale_age;
    "cancelled-slots", "many cancellations and many views, with lag", cancelled_slots;
}

/// The minimum share of reads that replicas serve, for Fællesrør's mix at ordinary lag.
const REPLICA_READ_SHARE_MIN_FAELLESROER: f64 = 0.97;

/// The target share of reads that replicas serve, for Caroni's mix at ordinary lag. It is reported
/// but not checked.
const REPLICA_READ_SHARE_TARGET_CARONI: f64 = 0.95;

/// The minimum share of reads that replicas serve while they lag in bursts.
const REPLICA_READ_SHARE_MIN_LAG_BURSTS: f64 = 0.80;

/// The duration of an injected fault.
const FAULT_DURATION: Duration = Duration::from_secs(5);

/// A fault that stops a replica from applying its log.
const APPLY_PAUSED: MemberFault = MemberFault {
    apply: ApplyFault {
        delay_ms: 0,
        burst_every_ms: 0,
        paused: true,
    },
    commit_answer_delay_ms: 0,
};

/// Returns a fault that makes a replica apply each log entry `lag` after receiving it.
fn delayed_apply(lag: Duration) -> MemberFault {
    MemberFault {
        apply: ApplyFault {
            delay_ms: lag.as_millis() as u64,
            ..ApplyFault::default()
        },
        ..MemberFault::default()
    }
}

fn expect_replica_read_share(summary: &mut Summary, min_share: f64) {
    let share = summary.replica_read_share.unwrap_or(0.0);
    summary.expect(
        share >= min_share,
        format!("replicas served {share:.3} of the reads; the target is {min_share}"),
    );
}

fn roaming(config: &RunConfig) -> anyhow::Result<Summary> {
    let load = LoadConfig {
        mix: Mix::FAELLESROER,
        requests_per_connection: 1,
        ..LoadConfig::default()
    };
    let run = Run::start(config, Topology::faellesroer(2, 6), load)?;
    run.run_load_for(FAULT_DURATION);
    run.finish_with(|_, summary| {
        expect_replica_read_share(summary, REPLICA_READ_SHARE_MIN_FAELLESROER);
        Ok(())
    })
}

fn lagging_replica(config: &RunConfig) -> anyhow::Result<Summary> {
    let load = LoadConfig {
        mix: Mix::FAELLESROER,
        ..LoadConfig::default()
    };
    let run = Run::start(config, Topology::faellesroer(2, 6), load)?;
    for group in 0..run.cluster.topology().groups {
        run.cluster.set_member_fault(group, 1, &APPLY_PAUSED)?;
    }
    run.run_load_for(FAULT_DURATION);
    run.finish_with(|_, summary| {
        expect_replica_read_share(summary, REPLICA_READ_SHARE_MIN_FAELLESROER);
        Ok(())
    })
}

fn lag_bursts(config: &RunConfig) -> anyhow::Result<Summary> {
    let load = LoadConfig {
        mix: Mix::FAELLESROER,
        ..LoadConfig::default()
    };
    let run = Run::start(config, Topology::faellesroer(2, 6), load)?;
    for burst in 0..4u32 {
        let lag = Duration::from_millis(200 + 150 * u64::from(burst));
        set_all_member_faults(&run, &delayed_apply(lag))?;
        run.run_load_for(Duration::from_millis(800));
        set_all_member_faults(&run, &MemberFault::default())?;
        run.run_load_for(Duration::from_millis(800));
    }
    run.finish_with(|_, summary| {
        expect_replica_read_share(summary, REPLICA_READ_SHARE_MIN_LAG_BURSTS);
        Ok(())
    })
}

fn stale_age(config: &RunConfig) -> anyhow::Result<Summary> {
    let load = LoadConfig {
        mix: Mix {
            read_aged: 60,
            ..Mix::FAELLESROER
        },
        ..LoadConfig::default()
    };
    let mut run = Run::start(config, Topology::faellesroer(2, 6), load)?;
    run.mark_fault_start();
    let primary = run.cluster.primary(0).unwrap_or(0);
    let replica = (primary + 1) % run.cluster.topology().members_per_group;
    run.cluster.links().partition_member(0, replica);
    run.run_load_for(FAULT_DURATION);
    run.cluster.links().restore();
    run.finish()
}

fn cancelled_slots(config: &RunConfig) -> anyhow::Result<Summary> {
    let load = LoadConfig {
        mix: Mix {
            cancel: 25,
            view_free: 60,
            ..Mix::CARONI
        },
        think_time: Duration::from_millis(10),
        ..LoadConfig::default()
    };
    let run = Run::start(config, Topology::three_zones(2, 6), load)?;
    set_all_member_faults(&run, &delayed_apply(Duration::from_millis(150)))?;
    run.run_load_for(FAULT_DURATION);
    set_all_member_faults(&run, &MemberFault::default())?;
    run.run_load_for(FAULT_DURATION);
    run.finish_with(|_, summary| {
        summary.figure("target_share", REPLICA_READ_SHARE_TARGET_CARONI);
        Ok(())
    })
}

fn set_all_member_faults(run: &Run, fault: &MemberFault) -> anyhow::Result<()> {
    for group in 0..run.cluster.topology().groups {
        for member in 0..run.cluster.topology().members_per_group {
            run.cluster.set_member_fault(group, member, fault)?;
        }
    }
    Ok(())
}
