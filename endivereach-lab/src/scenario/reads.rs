//! Reads on replicas: roaming sessions, lag, stated ages, and cancelled slots.

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
    "stale-age", "a replica is cut off and reads accept a stated age", stale_age;
    "cancelled-slots", "many cancellations and many views, with lag", cancelled_slots;
}

/// The least share of reads on replicas, on Fællesrør's mix at ordinary lag.
const SHARE_FAELLESROER: f64 = 0.97;

/// The least share of reads on replicas, on Caroni's mix at ordinary lag.
const SHARE_CARONI: f64 = 0.95;

/// The least share of reads on replicas while replicas lag in bursts.
const SHARE_IN_BURSTS: f64 = 0.80;

/// How long a fault that is healed lasts.
const FAULT_TIME: Duration = Duration::from_secs(5);

/// A replica that applies nothing.
const PAUSED: MemberFault = MemberFault {
    apply: ApplyFault {
        delay_ms: 0,
        burst_every_ms: 0,
        paused: true,
    },
    commit_answer_delay_ms: 0,
};

/// Returns the fault of a replica that applies each entry `lag` after its arrival.
fn delayed(lag: Duration) -> MemberFault {
    MemberFault {
        apply: ApplyFault {
            delay_ms: lag.as_millis() as u64,
            ..ApplyFault::default()
        },
        ..MemberFault::default()
    }
}

fn expect_share(summary: &mut Summary, least: f64) {
    let share = summary.replica_read_share.unwrap_or(0.0);
    summary.expect(
        share >= least,
        format!("replicas served {share:.3} of the reads; the target is {least}"),
    );
}

fn roaming(config: &RunConfig) -> anyhow::Result<Summary> {
    let load = LoadConfig {
        mix: Mix::FAELLESROER,
        roam_every: 1,
        ..LoadConfig::default()
    };
    let run = Run::start(config, Topology::faellesroer(2, 6), load)?;
    run.go_on(FAULT_TIME);
    run.finish_with(|_, summary| {
        expect_share(summary, SHARE_FAELLESROER);
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
        run.cluster.set_member_fault(group, 1, &PAUSED)?;
    }
    run.go_on(FAULT_TIME);
    run.finish_with(|_, summary| {
        expect_share(summary, SHARE_FAELLESROER);
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
        set_lag(&run, &delayed(lag))?;
        run.go_on(Duration::from_millis(800));
        set_lag(&run, &MemberFault::default())?;
        run.go_on(Duration::from_millis(800));
    }
    run.finish_with(|_, summary| {
        expect_share(summary, SHARE_IN_BURSTS);
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
    run.fault_begins();
    let primary = run.cluster.primary(0).unwrap_or(0);
    let replica = (primary + 1) % run.cluster.topology().members_per_group;
    run.cluster.links().cut_member_off(0, replica);
    run.go_on(FAULT_TIME);
    run.cluster.links().heal();
    run.finish()
}

fn cancelled_slots(config: &RunConfig) -> anyhow::Result<Summary> {
    let load = LoadConfig {
        mix: Mix {
            cancel: 25,
            view_free: 60,
            ..Mix::CARONI
        },
        think: Duration::from_millis(10),
        ..LoadConfig::default()
    };
    let run = Run::start(config, Topology::caroni(2, 6), load)?;
    set_lag(&run, &delayed(Duration::from_millis(150)))?;
    run.go_on(FAULT_TIME);
    set_lag(&run, &MemberFault::default())?;
    run.go_on(FAULT_TIME);
    run.finish_with(|_, summary| {
        summary.figure("target_share", SHARE_CARONI);
        Ok(())
    })
}

fn set_lag(run: &Run, fault: &MemberFault) -> anyhow::Result<()> {
    for group in 0..run.cluster.topology().groups {
        for member in 0..run.cluster.topology().members_per_group {
            run.cluster.set_member_fault(group, member, fault)?;
        }
    }
    Ok(())
}
