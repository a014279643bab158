//! Tests of applying rules with the lab's platform stand-in and its injected faults.

use endivereach::apply::ApplyConfig;
use endivereach::apply::ApplyOutcome;
use endivereach::apply::Change;
use endivereach::apply::apply;
use endivereach::history;
use endivereach_core::ids::Version;
use endivereach_lab::platform::Config;
use endivereach_lab::platform::Fault;
use endivereach_lab::platform::PATH_FAULT;
use endivereach_lab::platform::Platform;
use endivereach_wire::http::Client;
use endivereach_wire::platform::PlatformClient;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_millis(250);

#[test]
fn a_change_is_applied_exactly_once_when_answers_are_lost() {
    let platform = Platform::bind("127.0.0.1:0".parse().unwrap(), Config::default()).unwrap();
    let client = PlatformClient::new(platform.addr(), TIMEOUT);
    let mut expected = Version::new(0);
    for text in ["one", "two", "three"] {
        // The answers to the archiving write and to the change itself are lost.
        let fault = Fault {
            lose_next: 2,
            ..Fault::default()
        };
        let (addr, path) = (platform.addr(), PATH_FAULT);
        Client::new()
            .call::<_, ()>(addr, path, &fault, Duration::from_secs(5))
            .unwrap();
        let change = Change {
            op_id: Change::operation_id(expected, "Ada Field", "", text),
            expected,
            text: text.into(),
            by: "Ada Field".into(),
            reason: "".into(),
            at_unix_ms: 0,
        };
        let outcome = apply(&client, &change, ApplyConfig::default()).unwrap();
        let ApplyOutcome::Accepted {
            version,
            overtaken_by: None,
        } = outcome
        else {
            panic!("{outcome:?}");
        };
        assert!(version > expected);
        expected = version;
    }
    assert_eq!(history::changes(&client).unwrap().len(), 3);
}
