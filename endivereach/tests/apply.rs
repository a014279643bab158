//! Tests of applying rules, with a platform that loses requests and answers, and with concurrent
//! operators.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod support;

use endivereach::apply::ApplyConfig;
use endivereach::apply::ApplyError;
use endivereach::apply::ApplyOutcome;
use endivereach::apply::apply;
use endivereach::history;
use endivereach_core::cases;
use endivereach_core::ids::Version;
use proptest::prelude::*;
use support::FakePlatform;
use support::Fault;
use support::MANY_ATTEMPTS;
use support::change;

fn accepted(version: u64) -> ApplyOutcome {
    ApplyOutcome::Accepted {
        version: Version::new(version),
        overtaken_by: None,
    }
}

fn assert_applied_once_despite(faults: &[Fault]) {
    let platform = FakePlatform::bind(faults.iter().copied());
    let outcome = apply(
        &platform.client(),
        &change("Ada Field", 0, "text"),
        MANY_ATTEMPTS,
    )
    .unwrap();
    assert_eq!(outcome, accepted(1));
    assert_eq!(platform.effective_writes(), 1);
    let current = history::current(&platform.client()).unwrap().unwrap();
    assert_eq!(&*current.rules.by, "Ada Field");
}

cases! {
    assert_applied_once_despite;
    no_fault: &[];
    lost_answer: &[Fault::LoseAnswer];
    lost_request: &[Fault::LoseRequest];
    refused_twice: &[Fault::Refuse, Fault::Refuse];
    lost_request_then_lost_answer: &[Fault::LoseRequest, Fault::LoseAnswer];
}

#[test]
fn a_conflict_lists_the_other_change_and_overwrites_nothing() {
    let platform = FakePlatform::bind([]);
    let client = platform.client();
    apply(&client, &change("Ada Field", 0, "first"), MANY_ATTEMPTS).unwrap();
    let outcome = apply(&client, &change("Ben Oak", 0, "second"), MANY_ATTEMPTS).unwrap();
    let ApplyOutcome::Conflict { changes } = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(changes.len(), 1);
    assert_eq!(&*changes[0].by, "Ada Field");
    let current = history::current(&client).unwrap().unwrap();
    assert_eq!(&*current.rules.text, "first");
}

#[test]
fn a_change_is_found_after_another_change_replaced_it() {
    let platform = FakePlatform::bind([Fault::LoseAnswerAndReplace]);
    let outcome = apply(
        &platform.client(),
        &change("Ada Field", 0, "text"),
        MANY_ATTEMPTS,
    )
    .unwrap();
    let ApplyOutcome::Accepted {
        version,
        overtaken_by: Some(newer),
    } = outcome
    else {
        panic!("{outcome:?}");
    };
    assert_eq!(version, Version::new(1));
    assert_eq!(&*newer.by, "Dee Ash");
}

/// Makes only two attempts.
const TWO_ATTEMPTS: ApplyConfig = ApplyConfig {
    attempts_max: 2,
    ..MANY_ATTEMPTS
};

#[test]
fn nothing_is_changed_when_the_platform_is_down_from_the_start() {
    let platform = FakePlatform::bind([]);
    platform.set_down(true);
    let error = apply(
        &platform.client(),
        &change("Ada Field", 0, "text"),
        TWO_ATTEMPTS,
    )
    .unwrap_err();
    assert!(matches!(error, ApplyError::NotStored { .. }), "{error}");
    platform.set_down(false);
    assert_eq!(history::current(&platform.client()).unwrap(), None);
}

#[test]
fn a_command_with_unknown_outcome_can_be_run_again() {
    let platform = FakePlatform::bind([Fault::LoseAnswer]);
    let config = ApplyConfig {
        attempts_max: 1,
        ..MANY_ATTEMPTS
    };
    let change = change("Ada Field", 0, "text");
    let error = apply(&platform.client(), &change, config).unwrap_err();
    assert!(matches!(error, ApplyError::Unknown { .. }), "{error}");
    assert_eq!(
        apply(&platform.client(), &change, MANY_ATTEMPTS).unwrap(),
        accepted(1)
    );
    assert_eq!(platform.effective_writes(), 1);
}

#[test]
fn every_replaced_version_can_be_read_again() {
    let platform = FakePlatform::bind([]);
    let client = platform.client();
    let mut version = 0;
    for text in ["one", "two", "three"] {
        let outcome = apply(&client, &change("Ada Field", version, text), MANY_ATTEMPTS).unwrap();
        let ApplyOutcome::Accepted { version: new, .. } = outcome else {
            panic!("{outcome:?}");
        };
        version = new.get();
    }
    let changes = history::changes(&client).unwrap();
    let texts: Vec<String> = changes
        .iter()
        .map(|change| {
            history::at_version(&client, change.version)
                .unwrap()
                .rules
                .text
                .into()
        })
        .collect();
    assert_eq!(texts, ["three", "two", "one"]);
    assert!(history::at_version(&client, Version::new(9_999)).is_err());
}

#[test]
fn the_oldest_listed_change_is_found() {
    let platform = FakePlatform::bind([]);
    let client = platform.client();
    let first = change("Ada Field", 0, "first");
    let mut version = 0;
    for number in 0..=endivereach_wire::operator::PREVIOUS_CHANGES_MAX {
        let change = match number {
            0 => first.clone(),
            _ => change("Ben Oak", version, "later"),
        };
        let ApplyOutcome::Accepted { version: new, .. } =
            apply(&client, &change, MANY_ATTEMPTS).unwrap()
        else {
            panic!("change {number}");
        };
        version = new.get();
    }
    let outcome = apply(&client, &first, MANY_ATTEMPTS).unwrap();
    assert!(
        matches!(outcome, ApplyOutcome::Accepted { version, .. } if version == Version::new(1))
    );
}

fn faults() -> impl Strategy<Value = Vec<Fault>> {
    let fault = prop::sample::select(vec![
        Fault::None,
        Fault::LoseRequest,
        Fault::LoseAnswer,
        Fault::Refuse,
    ]);
    prop::collection::vec(fault, 0..3)
}

/// Applies a change to the newest version, and retries after conflicts until it is accepted.
fn apply_until_accepted(platform: &FakePlatform, by: &str) -> Version {
    let client = platform.client();
    loop {
        let current = history::current(&client).unwrap();
        let expected = current.map_or(0, |current| current.version.get());
        let outcome = apply(&client, &change(by, expected, by), MANY_ATTEMPTS).unwrap();
        if let ApplyOutcome::Accepted { version, .. } = outcome {
            return version;
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(12))]

    #[test]
    fn concurrent_operators_are_each_accepted_once_and_overwrite_nothing(faults in faults()) {
        let platform = FakePlatform::bind(faults);
        let versions = std::thread::scope(|scope| {
            let ada = scope.spawn(|| apply_until_accepted(&platform, "Ada Field"));
            let ben = scope.spawn(|| apply_until_accepted(&platform, "Ben Oak"));
            [ada.join().unwrap(), ben.join().unwrap()]
        });
        prop_assert_eq!(platform.effective_writes(), 2);
        let changes = history::changes(&platform.client()).unwrap();
        let mut expected = versions.to_vec();
        expected.sort_by(|a, b| b.cmp(a));
        prop_assert_eq!(changes.iter().map(|change| change.version).collect::<Vec<_>>(), expected);
    }
}
