//! Loads: the number of messages by the size of the fleet, and a tenant far above its limit.

use crate::executions::TOLERANCE;
use crate::fleet::Fault;
use crate::fleet::Fleet;
use crate::fleet::tenant;
use endivereach_core::allowance::Held;
use endivereach_core::tenants::TenantLimits;
use std::time::Duration;
use std::time::Instant;

/// A tenant that usually sends 100 operations a second, and its limit at 1.6 times that.
const USUAL_PER_S: u32 = 100;
const LIMITS: TenantLimits = TenantLimits {
    rate_per_s: 160,
    burst: 160,
};

/// Advances the clock while a tenant sends operations to one process. Returns how many ran.
fn load(fleet: &mut Fleet, index: usize, per_s: u32, duration: Duration) -> usize {
    let start: Instant = fleet.now;
    let mut sent = 0;
    while fleet.now < start + duration {
        fleet.step();
        let due = (f64::from(per_s) * (fleet.now - start).as_secs_f64()) as u32;
        fleet.operations(index, &tenant(0), due - sent);
        sent = due;
    }
    fleet.executed.after(&tenant(0), start)
}

fn limit_over(duration: Duration) -> f64 {
    f64::from(LIMITS.rate_per_s) * duration.as_secs_f64()
}

/// A fleet that sends a message to every proxy would exceed the control budget as it grows. The
/// number of messages depends on the number of tenants alone.
fn check_message_count(processes: usize) {
    let limits = vec![LIMITS; 73];
    let mut fleet = Fleet::open(1, processes, &limits, Fault::None);
    let duration = Duration::from_secs(6);
    load(&mut fleet, 0, 0, Duration::from_secs(2));
    let before = fleet.messages_sent;
    load(&mut fleet, 0, 0, duration);
    let per_s = (fleet.messages_sent - before) as f64 / duration.as_secs_f64();
    let per_process = per_s / processes as f64;
    println!("{processes} proxies: {per_s:.0} messages/s, {per_process:.1} for each");
    // One renewal and one answer in 300 ms for each pair of coordinator and standby.
    assert!(per_s <= 73.0 * 2.0 / 0.3);
    // In a small fleet, the tenants share the pairs.
    assert!(per_process <= (processes as f64 - 1.0) * 2.0 / 0.3);
}

endivereach_core::cases! {
    check_message_count;
    messages_of_6_proxies: 6;
    messages_of_62_proxies: 62;
    messages_of_300_proxies: 300;
}

/// Load: a tenant at 7.5 times its usual rate. What is refused below its limit is lost to it.
#[test]
fn a_hot_tenant_is_served_at_its_limit() {
    for loss in [0.0, 0.02] {
        let mut fleet = Fleet::open(2, 62, &[LIMITS], Fault::None);
        fleet.loss = loss;
        let home = fleet.ranking(&tenant(0))[0];
        load(&mut fleet, home, USUAL_PER_S, Duration::from_secs(5));
        let duration = Duration::from_secs(20);
        let served = load(&mut fleet, home, USUAL_PER_S * 15 / 2, duration);
        let part = served as f64 / limit_over(duration);
        println!("served {part:.3} of the limit with {loss} of the datagrams lost");
        assert!(part >= 0.95);
        assert!(fleet.executed.worst_excess(LIMITS, 1.0) <= 0.0);
    }
}

/// Load: a tenant within its limit, of which nothing may be refused once its home is steady.
#[test]
fn a_tenant_within_its_limit_is_never_refused() {
    let mut fleet = Fleet::open(3, 62, &[LIMITS], Fault::None);
    let home = fleet.ranking(&tenant(0))[0];
    load(&mut fleet, home, 0, Duration::from_secs(2));
    load(&mut fleet, home, USUAL_PER_S, Duration::from_secs(20));
    assert_eq!(fleet.refused, 0);
}

/// Load: the operator lowers the limit of a tenant that uses all of it. The tenant is owed the earlier
/// limit until the lower one binds, which is a window after all proxies could know it.
#[test]
fn a_lower_limit_applies_before_it_binds() {
    let mut fleet = Fleet::open(9, 62, &[LIMITS], Fault::None);
    let home = fleet.ranking(&tenant(0))[0];
    load(&mut fleet, home, USUAL_PER_S, Duration::from_secs(5));
    let low = TenantLimits {
        rate_per_s: 40,
        burst: 40,
    };
    fleet.set_limits(low);
    let (lowered_at, refused) = (fleet.now, fleet.refused);
    load(&mut fleet, home, USUAL_PER_S, Duration::from_millis(2_900));
    assert_eq!(fleet.refused, refused);
    load(&mut fleet, home, USUAL_PER_S, Duration::from_secs(10));
    fleet.executed.forget_until(lowered_at + TOLERANCE.window);
    assert!(fleet.executed.worst_excess(low, 1.0) <= 0.0);
}

/// Load: configurations in quick succession. Each lowers the limit, and none may put off the first.
#[test]
fn limits_that_are_lowered_again_and_again_take_effect() {
    let mut fleet = Fleet::open(10, 62, &[LIMITS], Fault::None);
    let home = fleet.ranking(&tenant(0))[0];
    load(&mut fleet, home, USUAL_PER_S, Duration::from_secs(5));
    let lowered_at = fleet.now;
    let low = |rate| TenantLimits {
        rate_per_s: rate,
        burst: rate,
    };
    for rate in (41..=50).rev() {
        fleet.set_limits(low(rate));
        load(&mut fleet, home, USUAL_PER_S, Duration::from_secs(1));
    }
    fleet.executed.forget_until(lowered_at + TOLERANCE.window);
    assert!(fleet.executed.worst_excess(low(47), 1.0) <= 0.0);
}

/// Load: sessions of a hot tenant at a proxy that reached no home. Their operations run by tokens
/// that the holder grants.
#[test]
fn a_hot_tenant_is_served_away_from_its_home() {
    let mut fleet = Fleet::open(4, 62, &[LIMITS], Fault::None);
    let ranking = fleet.ranking(&tenant(0));
    let other = (0..62).find(|index| !ranking.contains(index)).unwrap();
    load(&mut fleet, other, USUAL_PER_S, Duration::from_secs(5));
    let duration = Duration::from_secs(20);
    let served = load(&mut fleet, other, USUAL_PER_S * 15 / 2, duration);
    let part = served as f64 / limit_over(duration);
    println!("served {part:.3} of the limit away from home");
    assert!(part >= 0.75);
    assert!(fleet.executed.worst_excess(LIMITS, 1.0) <= 0.0);
}

/// Load: the home of a hot tenant is killed. The standby serves half of the limit until the home is
/// back.
#[test]
fn a_killed_coordinator_leaves_half_of_the_limit() {
    let mut fleet = Fleet::open(5, 62, &[LIMITS], Fault::None);
    let ranking = fleet.ranking(&tenant(0));
    let (home, standby) = (ranking[0], ranking[1]);
    load(
        &mut fleet,
        home,
        USUAL_PER_S * 15 / 2,
        Duration::from_secs(5),
    );
    fleet.kill(home);
    load(
        &mut fleet,
        standby,
        USUAL_PER_S * 15 / 2,
        Duration::from_millis(1_600),
    );
    let duration = Duration::from_secs(6);
    let served = load(&mut fleet, standby, USUAL_PER_S * 15 / 2, duration);
    let part = served as f64 / limit_over(duration);
    println!("served {part:.3} of the limit after the home was killed");
    assert!(part >= 0.5 * 0.99);
    // The registration is removed after 10 s, and the standby becomes the coordinator.
    load(&mut fleet, standby, USUAL_PER_S, Duration::from_secs(4));
    assert_eq!(fleet.ranking(&tenant(0))[0], standby);
    let served = load(&mut fleet, standby, USUAL_PER_S * 15 / 2, duration);
    assert!(served as f64 / limit_over(duration) >= 0.95);
    assert!(fleet.executed.worst_excess(LIMITS, 1.0) <= 0.0);
}

/// Load: a rolling restart. A home that stops announces it, and its tenants lose next to nothing.
#[test]
fn a_stopping_coordinator_hands_the_bucket_over() {
    let mut fleet = Fleet::open(6, 62, &[LIMITS], Fault::None);
    let ranking = fleet.ranking(&tenant(0));
    let (home, standby) = (ranking[0], ranking[1]);
    load(&mut fleet, home, USUAL_PER_S, Duration::from_secs(5));
    fleet.stop(home);
    load(&mut fleet, standby, USUAL_PER_S, Duration::from_millis(100));
    let refused = fleet.refused;
    load(&mut fleet, standby, USUAL_PER_S, Duration::from_secs(6));
    assert_eq!(fleet.refused, refused);
    let duration = Duration::from_secs(6);
    let served = load(&mut fleet, standby, USUAL_PER_S * 15 / 2, duration);
    assert!(served as f64 / limit_over(duration) >= 0.95);
    assert!(fleet.executed.worst_excess(LIMITS, 1.0) <= 0.0);
}

/// Load: a rolling restart, and a tenant whose callers send a burst just after its home began to stop.
/// What the tenant saved up moves with the bucket.
#[test]
fn a_stopping_coordinator_hands_its_tokens_over() {
    let mut fleet = Fleet::open(7, 62, &[LIMITS], Fault::None);
    let ranking = fleet.ranking(&tenant(0));
    let (home, standby) = (ranking[0], ranking[1]);
    load(&mut fleet, home, USUAL_PER_S, Duration::from_secs(5));
    fleet.stop(home);
    load(&mut fleet, standby, 0, Duration::from_millis(100));
    let before = fleet.now - Duration::from_millis(1);
    fleet.operations(standby, &tenant(0), 2 * LIMITS.burst);
    let served = fleet.executed.after(&tenant(0), before);
    println!("{served} of a burst of {}", LIMITS.burst);
    assert!(served as u32 >= LIMITS.burst * 9 / 10);
    load(&mut fleet, standby, USUAL_PER_S, Duration::from_secs(6));
    assert!(fleet.executed.worst_excess(LIMITS, 1.0) <= 0.0);
}

/// Load: a home that was restarted returns, and takes back what the proxy in its place has saved up.
#[test]
fn a_coordinator_that_returns_is_given_the_tokens() {
    let mut fleet = Fleet::open(8, 4, &[LIMITS], Fault::None);
    let ranking = fleet.ranking(&tenant(0));
    let (home, standby) = (ranking[0], ranking[1]);
    fleet.stop(home);
    load(&mut fleet, standby, 0, Duration::from_secs(6));
    fleet.start_process(home);
    let started_at = fleet.now;
    while fleet.held(home, &tenant(0)) != Held::Whole {
        fleet.step();
        assert!(fleet.now < started_at + Duration::from_secs(3));
    }
    let before = fleet.now - Duration::from_millis(1);
    fleet.operations(home, &tenant(0), 2 * LIMITS.burst);
    let served = fleet.executed.after(&tenant(0), before);
    println!("{served} of a burst of {}", LIMITS.burst);
    assert!(served as u32 >= LIMITS.burst * 9 / 10);
}

/// Load: a proxy joins and becomes the home of a hot tenant. Until the old home has read the new
/// list, neither knows what the other holds.
#[test]
fn a_coordinator_that_joins_takes_the_bucket_over() {
    let mut worst: f64 = 1.0;
    for seed in 0..10 {
        let mut fleet = Fleet::open(seed, 20, &[LIMITS], Fault::None);
        let ranking = fleet.ranking(&tenant(0));
        let (home, standby) = (ranking[0], ranking[1]);
        fleet.stop(home);
        load(&mut fleet, standby, USUAL_PER_S, Duration::from_secs(6));
        fleet.start_process(home);
        let mut served = 0;
        let mut joined = Duration::ZERO;
        // The sessions move when their entry proxies read the new list, on average after a second.
        for index in [standby, standby, home, home] {
            let duration = Duration::from_millis(700);
            served += load(&mut fleet, index, USUAL_PER_S, duration);
            joined += duration;
        }
        worst = worst.min(served as f64 / (f64::from(USUAL_PER_S) * joined.as_secs_f64()));
        load(&mut fleet, home, USUAL_PER_S, Duration::from_secs(1));
        assert_eq!(fleet.ranking(&tenant(0))[0], home);
        let refused = fleet.refused;
        load(&mut fleet, home, USUAL_PER_S, Duration::from_secs(3));
        assert_eq!(fleet.refused, refused);
    }
    println!("served at least {worst:.3} of the usual load while a home joined");
    assert!(worst >= 0.6);
}
