//! The platform stand-in's object API and its injected faults.

use endivereach_core::ids::Version;
use endivereach_lab::platform::Config;
use endivereach_lab::platform::Counters;
use endivereach_lab::platform::Fault;
use endivereach_lab::platform::Outage;
use endivereach_lab::platform::PATH_COUNTERS;
use endivereach_lab::platform::PATH_FAULT;
use endivereach_lab::platform::Platform;
use endivereach_wire::http::CallError;
use endivereach_wire::http::Client;
use endivereach_wire::platform::PlatformClient;
use endivereach_wire::platform::PutOutcome;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);

fn platform() -> Platform {
    Platform::bind("127.0.0.1:0".parse().unwrap(), Config::default()).unwrap()
}

fn client(platform: &Platform) -> PlatformClient {
    PlatformClient::new(platform.addr(), TIMEOUT)
}

fn set_fault(platform: &Platform, fault: &Fault) {
    let _: () = Client::new()
        .call(platform.addr(), PATH_FAULT, fault, TIMEOUT)
        .unwrap();
}

fn counters(platform: &Platform) -> Counters {
    Client::new()
        .call(platform.addr(), PATH_COUNTERS, &(), TIMEOUT)
        .unwrap()
}

fn stored(outcome: Result<PutOutcome, CallError>) -> Version {
    match outcome.unwrap() {
        PutOutcome::Stored { version } => version,
        PutOutcome::Conflict { current } => panic!("conflict with {current:?}"),
    }
}

#[test]
fn a_put_with_a_stale_version_changes_nothing() {
    let platform = platform();
    let client = client(&platform);
    let zero = Version::new(0);
    let first = stored(client.put("rules", "all", zero, "op-1", &"a"));
    let outcome = client.put("rules", "all", zero, "op-2", &"b").unwrap();
    let PutOutcome::Conflict { current } = outcome else {
        panic!("the put must conflict");
    };
    let current = current.unwrap();
    assert_eq!((current.version, &*current.op_id), (first, "op-1"));
    assert_eq!(current.decode::<String>().unwrap(), "a");
    assert_eq!(counters(&platform).conflicts, 1);
}

#[test]
fn a_watch_returns_on_a_change_of_its_kind() {
    let platform = platform();
    let client = client(&platform);
    let watcher = {
        let client = client.clone();
        std::thread::spawn(move || client.watch("rules", Version::new(0), TIMEOUT).unwrap())
    };
    stored(client.put("other", "x", Version::new(0), "op-1", &1u32));
    let version = stored(client.put("rules", "all", Version::new(0), "op-2", &2u32));
    let answer = watcher.join().unwrap();
    assert_eq!(answer.revision, version);
    assert_eq!(answer.objects.len(), 1);
    assert_eq!(answer.objects[0].version, version);
}

#[test]
fn a_watch_without_a_change_times_out() {
    let platform = platform();
    let wait = Duration::from_millis(20);
    let answer = client(&platform).watch("rules", Version::new(0), wait);
    assert!(answer.unwrap().objects.is_empty());
}

#[test]
fn an_outage_refuses_or_hangs_until_it_ends() {
    let platform = platform();
    let fault = |outage| Fault {
        outage,
        ..Fault::default()
    };
    set_fault(&platform, &fault(Outage::Refuse));
    let error = client(&platform).get("rules", "all").unwrap_err();
    assert_eq!(error.refusal_kind(), Some("unavailable"));
    set_fault(&platform, &fault(Outage::Hang));
    let short_timeout_client = PlatformClient::new(platform.addr(), Duration::from_millis(50));
    let error = short_timeout_client.get("rules", "all").unwrap_err();
    assert!(matches!(error, CallError::NoAnswer { .. }));
    set_fault(&platform, &Fault::default());
    assert_eq!(client(&platform).get("rules", "all").unwrap(), None);
    assert_eq!(counters(&platform).outages, 2);
}

#[test]
fn a_write_with_a_lost_answer_takes_effect() {
    let platform = platform();
    let lost_answer = Fault {
        lose_next: 1,
        ..Fault::default()
    };
    set_fault(&platform, &lost_answer);
    let short_timeout_client = PlatformClient::new(platform.addr(), Duration::from_millis(100));
    let error = short_timeout_client
        .put("rules", "all", Version::new(0), "op-1", &"a")
        .unwrap_err();
    assert!(matches!(error, CallError::NoAnswer { .. }));
    let object = client(&platform).get("rules", "all").unwrap().unwrap();
    assert_eq!(&*object.op_id, "op-1");
    assert_eq!(counters(&platform).answers_lost, 1);
}

#[test]
fn writes_beyond_the_rate_are_refused() {
    let config = Config {
        writes_per_second: Some(0),
        ..Config::default()
    };
    let platform = Platform::bind("127.0.0.1:0".parse().unwrap(), config).unwrap();
    let error = client(&platform)
        .put("rules", "all", Version::new(0), "op-1", &"a")
        .unwrap_err();
    assert_eq!(error.refusal_kind(), Some("rate_limited"));
    assert_eq!(client(&platform).list("rules").unwrap(), Vec::new());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(12))]

    /// A put succeeds if and only if it expects the current version, and every new version is
    /// higher than all before.
    #[test]
    fn conditional_puts_match_a_map(
        puts in prop::collection::vec((0..3u8, prop::bool::ANY), 1..30),
    ) {
        let platform = platform();
        let client = client(&platform);
        let mut model = BTreeMap::<u8, Version>::new();
        let mut revision = Version::new(0);
        for (name, is_current) in puts {
            let stored_version = model.get(&name).copied().unwrap_or_default();
            let expected = if is_current { stored_version } else { stored_version.next() };
            let outcome = client
                .put("kind", &name.to_string(), expected, "op", &name)
                .unwrap();
            match outcome {
                PutOutcome::Stored { version } => {
                    prop_assert!(is_current && version > revision);
                    revision = version;
                    model.insert(name, version);
                }
                PutOutcome::Conflict { .. } => prop_assert!(!is_current),
            }
        }
        prop_assert_eq!(client.list("kind").unwrap().len(), model.len());
    }
}
