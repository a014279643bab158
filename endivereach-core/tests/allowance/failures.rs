//! What each process holds while links, processes and lists of proxies fail.

use crate::executions::TOLERANCE;
use crate::fleet::Fault;
use crate::fleet::Fleet;
use crate::fleet::STEP;
use crate::fleet::tenant;
use endivereach_core::allowance::Admission;
use endivereach_core::allowance::Allowance;
use endivereach_core::allowance::Held;
use endivereach_core::allowance::Message;
use endivereach_core::allowance::MessageId;
use endivereach_core::allowance::Verdict;
use endivereach_core::ids::Incarnation;
use endivereach_core::ids::ProxyName;
use endivereach_core::tenants::TenantLimits;
use endivereach_core::tenants::Tenants;
use std::time::Duration;
use std::time::Instant;

const LIMITS: TenantLimits = TenantLimits {
    rate_per_s: 100,
    burst: 100,
};

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Opens a fleet whose coordinator holds the whole.
fn steady_fleet() -> (Fleet, usize, usize) {
    let mut fleet = Fleet::open(1, 4, &[LIMITS], Fault::None);
    let ranking = fleet.ranking(&tenant(0));
    advance(&mut fleet, 2_000);
    assert_eq!(fleet.held(ranking[0], &tenant(0)), Held::Whole);
    (fleet, ranking[0], ranking[1])
}

fn advance(fleet: &mut Fleet, time: u64) {
    let end = fleet.now + millis(time);
    while fleet.now + STEP <= end {
        fleet.step();
    }
}

/// What the coordinator and the standby hold.
fn held(fleet: &mut Fleet, first: usize, second: usize) -> (Held, Held) {
    (
        fleet.held(first, &tenant(0)),
        fleet.held(second, &tenant(0)),
    )
}

/// Returns a process that knows one tenant and the list of proxies.
fn process(name: &str, ranking: [&str; 2], now: Instant) -> Allowance {
    let mut tenants = Tenants::default();
    tenants.limits.insert(tenant(0), LIMITS);
    let mut allowance = Allowance::new(name.into(), Incarnation::new(1));
    allowance.set_tenants(now, &tenants);
    allowance.set_rankings(now, |_| ranking.map(ProxyName::from).to_vec());
    allowance
}

fn renewed(id: MessageId, verdicts: Vec<Verdict>) -> Message {
    Message::Renewed {
        id,
        verdicts,
        tokens: Vec::new(),
    }
}

/// Returns the identity and the receiver of the newest message that expects an answer.
fn last_id(sent: &[(ProxyName, Message)]) -> (ProxyName, MessageId) {
    let id = |(to, message): &(ProxyName, Message)| match message {
        Message::Renew { id, .. } | Message::Request { id, .. } => Some((to.clone(), id.clone())),
        _ => None,
    };
    sent.iter().rev().find_map(id).unwrap()
}

/// A link that is cut in one direction leaves both processes running. Together they must not hold
/// more than the whole.
#[test]
fn a_link_cut_in_one_direction_leaves_at_most_the_whole() {
    for is_renewal_lost in [true, false] {
        let (mut fleet, home, standby) = steady_fleet();
        if is_renewal_lost {
            fleet.cut(home, standby);
        } else {
            fleet.cut(standby, home);
        }
        advance(&mut fleet, 5_000);
        let expected = if is_renewal_lost {
            (Held::Half, Held::Half)
        } else {
            (Held::Half, Held::Nothing)
        };
        assert_eq!(held(&mut fleet, home, standby), expected);
        fleet.heal();
        advance(&mut fleet, 700);
        assert_eq!(
            held(&mut fleet, home, standby),
            (Held::Whole, Held::Nothing)
        );
    }
}

/// A VM that freezes for seconds must not use its lease after the standby has taken its half.
#[test]
fn a_frozen_coordinator_returns_with_half() {
    let (mut fleet, home, standby) = steady_fleet();
    fleet.cut(home, standby);
    fleet.freeze(home, millis(3_000));
    advance(&mut fleet, 3_010);
    assert_eq!(held(&mut fleet, home, standby), (Held::Half, Held::Half));
}

/// A process that is restarted can't know what its predecessor used, so it starts without tokens.
#[test]
fn a_restarted_coordinator_starts_empty() {
    let (mut fleet, home, standby) = steady_fleet();
    fleet.kill(home);
    advance(&mut fleet, 500);
    fleet.start_process(home);
    advance(&mut fleet, 150);
    assert_eq!(
        held(&mut fleet, home, standby),
        (Held::Whole, Held::Nothing)
    );
    let before = fleet.now - millis(1);
    fleet.operations(home, &tenant(0), 100);
    assert!(fleet.executed.after(&tenant(0), before) <= 15);
}

/// After the loss of all processes, every caller returns at once, and nobody knows what was used
/// before. The tolerance of the limit must be enough for the callers of the first moment.
#[test]
fn a_fleet_that_restarts_whole_starts_with_a_part_of_the_tolerance() {
    let (mut fleet, home, _) = steady_fleet();
    for index in 0..4 {
        fleet.kill(index);
    }
    advance(&mut fleet, 1_000);
    for index in 0..4 {
        fleet.start_process(index);
    }
    advance(&mut fleet, 300);
    let before = fleet.now - millis(1);
    fleet.operations(home, &tenant(0), 100);
    let credit = TOLERANCE.operations(LIMITS) / 2;
    let executed = fleet.executed.after(&tenant(0), before);
    assert!((credit as usize..credit as usize + 30).contains(&executed));
}

/// A coordinator that can no longer know whether it was removed must hold nothing by the time it may
/// be.
#[test]
fn an_isolated_coordinator_holds_nothing_before_it_is_removed() {
    let (mut fleet, home, standby) = steady_fleet();
    fleet.cut(home, standby);
    fleet.cut(standby, home);
    fleet.cut_store(home);
    advance(&mut fleet, 7_000);
    assert_eq!(held(&mut fleet, home, standby), (Held::Half, Held::Half));
    advance(&mut fleet, 1_500);
    assert_eq!(held(&mut fleet, home, standby), (Held::Nothing, Held::Half));
    assert_eq!(fleet.ranking(&tenant(0))[0], home);
    advance(&mut fleet, 3_000);
    assert_eq!(fleet.ranking(&tenant(0))[0], standby);
    assert_eq!(
        held(&mut fleet, home, standby),
        (Held::Nothing, Held::Whole)
    );
}

/// A standby that removed the same live process again and again would empty the list.
#[test]
fn a_coordinator_is_removed_at_most_once_a_minute() {
    let now = Instant::now();
    let mut standby = process("front-2", ["front-1", "front-2"], now);
    let lost = |standby: &mut Allowance, at| standby.take_lost_coordinator(now + millis(at));
    assert_eq!(lost(&mut standby, 9_900), None);
    assert_eq!(lost(&mut standby, 10_000), Some("front-1".into()));
    assert_eq!(lost(&mut standby, 69_000), None);
    assert_eq!(lost(&mut standby, 70_000), Some("front-1".into()));
}

/// Two proxies with different lists, one of which is older, must not both hold the whole.
#[test]
fn a_denied_coordinator_holds_nothing_and_asks_the_other() {
    let now = Instant::now();
    let mut first = process("front-1", ["front-1", "front-2"], now);
    let (to, id) = last_id(&first.poll(now));
    let verdicts = vec![Verdict::Denied {
        coordinator: "front-3".into(),
    }];
    first.receive(now, &to, renewed(id, verdicts));
    let later = now + millis(1_400);
    assert_eq!(first.held(later, &tenant(0)), Held::Nothing);
    assert_eq!(first.admit(later, &tenant(0)), Admission::Wait);
    let sent = first.poll(later);
    assert_eq!(last_id(&sent).0, "front-3".into());
    // It tells the other that it believes to be the coordinator, so that the other holds half.
    let renewed = |(to, message): &(ProxyName, Message)| {
        to == &"front-3".into() && matches!(message, Message::Renew { .. })
    };
    assert!(sent.iter().any(renewed));
}

/// A standby that is cut off from the store must not keep a tenant without service by its old list.
#[test]
fn a_standby_with_an_old_list_acknowledges_one_new_coordinator() {
    let now = Instant::now();
    let mut standby = process("front-2", ["front-1", "front-2"], now);
    let mut verdict = |from: &str, at: u64| {
        let id = MessageId {
            incarnation: Incarnation::new(9),
            sequence: at,
        };
        let tenants = vec![tenant(0)];
        let at = now + millis(at);
        standby.receive(at, &from.into(), Message::Renew { id, tenants });
        let sent = standby.poll(at);
        let held = standby.held(at, &tenant(0));
        let answer = sent.iter().find_map(|(_, message)| match message {
            Message::Renewed { verdicts, .. } => Some(verdicts[0].clone()),
            _ => None,
        });
        (answer.unwrap(), held)
    };
    let objection = Verdict::Denied {
        coordinator: "front-1".into(),
    };
    assert_eq!(verdict("front-3", 1_000).0, objection);
    let acknowledged = (Verdict::Acknowledged, Held::Nothing);
    assert_eq!(verdict("front-3", 9_000), acknowledged);
    assert_eq!(verdict("front-3", 9_300), acknowledged);
    assert_eq!(verdict("front-4", 9_400).0, objection);
    assert_eq!(verdict("front-4", 11_000), acknowledged);
}

/// A holder that hears from another process that believes to be coordinator or standby can't know
/// what that process holds.
#[test]
fn a_holder_with_a_conflict_holds_half() {
    let now = Instant::now();
    for is_claim in [true, false] {
        let mut first = process("front-1", ["front-1", "front-2"], now);
        let (to, id) = last_id(&first.poll(now));
        let verdicts = vec![Verdict::Acknowledged];
        first.receive(now, &to, renewed(id, verdicts));
        assert_eq!(first.held(now, &tenant(0)), Held::Whole);
        let tenants = vec![tenant(0)];
        let id = MessageId {
            incarnation: Incarnation::new(9),
            sequence: 1,
        };
        let conflict = if is_claim {
            Message::Claim { tenants }
        } else {
            Message::Renew { id, tenants }
        };
        first.receive(now, &"front-3".into(), conflict);
        assert_eq!(first.held(now, &tenant(0)), Held::Half);
    }
}

/// Tokens that are kept for later would be used on top of the limit of that time.
#[test]
fn granted_tokens_expire_500_ms_after_the_request() {
    let now = Instant::now();
    let mut other = process("front-9", ["front-1", "front-2"], now);
    assert_eq!(other.admit(now, &tenant(0)), Admission::Wait);
    let (to, id) = last_id(&other.poll(now));
    let grant = |id: MessageId| Message::Grant {
        id,
        tenant: tenant(0),
        tokens: 3,
        held: Held::Whole,
        retry_after_ms: 0,
    };
    let from_predecessor = MessageId {
        incarnation: Incarnation::new(0),
        ..id.clone()
    };
    other.receive(now, &to, grant(from_predecessor));
    assert_eq!(other.admit_waiting(now, &tenant(0)), Admission::Wait);
    other.receive(now + millis(40), &to, grant(id.clone()));
    // A repeated datagram must not add tokens.
    other.receive(now + millis(41), &to, grant(id));
    for at in [50, 499] {
        assert_eq!(
            other.admit(now + millis(at), &tenant(0)),
            Admission::Admitted
        );
    }
    assert_eq!(other.admit(now + millis(500), &tenant(0)), Admission::Wait);
}

/// Tokens that were given to the next holder and are still used would count twice.
#[test]
fn tokens_that_were_given_up_are_not_used() {
    let now = Instant::now();
    let mut first = process("front-1", ["front-1", "front-2"], now);
    let (to, id) = last_id(&first.poll(now));
    first.receive(now, &to, renewed(id, vec![Verdict::Acknowledged]));
    let later = now + millis(800);
    first.set_rankings(later, |_| vec!["front-2".into(), "front-1".into()]);
    let id = MessageId {
        incarnation: Incarnation::new(9),
        sequence: 1,
    };
    let tenants = vec![tenant(0)];
    first.receive(later, &"front-2".into(), Message::Renew { id, tenants });
    let sent = first.poll(later);
    let given = sent.iter().find_map(|(_, message)| match message {
        Message::Renewed { tokens, .. } => Some(tokens[0]),
        _ => None,
    });
    assert_eq!(given, Some(80));
    assert_eq!(first.admit(later, &tenant(0)), Admission::Wait);
}

/// Guards against tokens that count twice: the announcement of a coordinator comes again after that of
/// another one.
#[test]
fn a_repeated_announcement_adds_no_tokens() {
    let now = Instant::now();
    let mut standby = process("front-2", ["front-1", "front-2"], now);
    let stop = |incarnation, tokens| Message::Stop {
        incarnation: Incarnation::new(incarnation),
        tenants: vec![tenant(0)],
        tokens: vec![tokens],
    };
    standby.receive(now, &"front-1".into(), stop(1, 30));
    standby.receive(now, &"front-3".into(), stop(3, 0));
    standby.receive(now, &"front-1".into(), stop(1, 30));
    let admitted = (0..100).filter(|_| standby.admit(now, &tenant(0)) == Admission::Admitted);
    assert_eq!(admitted.count(), 30);
}

/// A lower limit is in force at once, wherever the bucket is, if the platform states no window.
#[test]
fn a_lower_limit_is_in_force_at_once() {
    let (mut fleet, home, _) = steady_fleet();
    fleet.set_tolerance(None);
    let low = TenantLimits {
        rate_per_s: 10,
        burst: 10,
    };
    fleet.set_limits(low);
    let start = fleet.now;
    for _ in 0..400 {
        fleet.step();
        fleet.operations(home, &tenant(0), 1);
    }
    // The full bucket gains nothing in the first step.
    assert_eq!(fleet.executed.after(&tenant(0), start), 10 + 39);
}

/// The operations of a tenant that was removed must not run without a limit.
#[test]
fn a_removed_tenant_is_refused() {
    let now = Instant::now();
    let mut first = process("front-1", ["front-1", "front-2"], now);
    first.set_tenants(now, &Tenants::default());
    let admission = first.admit(now, &tenant(0));
    assert!(matches!(admission, Admission::Refused { .. }));
}

/// After the loss of all power, every caller returns at once. A process that has been up for a while
/// before it holds its part must not refuse them for want of tokens.
#[test]
fn a_part_that_is_taken_late_is_credited_with_half_of_the_time_since_the_start() {
    let now = Instant::now();
    let mut coordinator = process("front-1", ["front-1", "front-2"], now);
    coordinator.set_started_at(now);
    let taken_at = now + millis(800);
    let sent = coordinator.poll(taken_at);
    let (standby, id) = last_id(&sent);
    let verdicts = vec![Verdict::Acknowledged];
    coordinator.receive(taken_at, &standby, renewed(id, verdicts));
    let admitted =
        (0..1_000).filter(|_| coordinator.admit(taken_at, &tenant(0)) == Admission::Admitted);
    let expected = LIMITS.rate_per_s as usize * 400 / 1_000;
    assert_eq!(admitted.count(), expected);
}
