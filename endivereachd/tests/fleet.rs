//! Tests a small fleet in one process: the rules in force, an outage of the platform, invalid
//! rules, and shares of the connection limit.

use endivereach_core::directory::GroupObject;
use endivereach_core::directory::Member;
use endivereach_core::directory::Vm;
use endivereach_core::ids::Version;
use endivereach_core::settings::Settings;
use endivereach_core::shares::SharesObject;
use endivereach_lab::platform::Config;
use endivereach_lab::platform::Fault;
use endivereach_lab::platform::Outage;
use endivereach_lab::platform::PATH_FAULT;
use endivereach_lab::platform::PATH_VMS_SET;
use endivereach_lab::platform::Platform;
use endivereach_wire::http::Client;
use endivereach_wire::operator::NAME_CURRENT;
use endivereach_wire::operator::PATH_RULES_VERSION;
use endivereach_wire::operator::RulesObject;
use endivereach_wire::operator::RulesReport;
use endivereach_wire::operator::RulesState;
use endivereach_wire::platform::KIND_GROUP;
use endivereach_wire::platform::KIND_RULES;
use endivereach_wire::platform::KIND_SHARES;
use endivereach_wire::platform::PlatformClient;
use endivereach_wire::platform::PutOutcome;
use endivereachd::daemon::Daemon;
use std::time::Duration;
use std::time::Instant;

/// The maximum time that a test waits for an expected change.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

const ZONES: [&str; 3] = ["roskilde", "koege", "hilleroed"];

struct TestFleet {
    platform: Platform,
    client: PlatformClient,
    http: Client,
    daemons: Vec<Daemon>,
}

impl TestFleet {
    fn new(proxies: usize) -> Self {
        let platform = Platform::bind("127.0.0.1:0".parse().unwrap(), Config::default()).unwrap();
        let mut fleet = Self {
            client: PlatformClient::new(platform.addr(), CALL_TIMEOUT),
            http: Client::new(),
            platform,
            daemons: Vec::new(),
        };
        for _ in 0..proxies {
            fleet.start_proxy();
        }
        fleet.register_vms();
        fleet
    }

    /// Starts another proxy, with the proxies started before as its peers.
    fn start_proxy(&mut self) {
        let number = self.daemons.len();
        let text = format!(
            "name = \"entry-{number}\"\nregion = \"dk-east\"\nzone = \"{}\"\n\
             [listen]\nsql_addr = \"127.0.0.1:0\"\npeer_addr = \"127.0.0.1:0\"\n\
             [platform]\naddr = \"{}\"\n[target]\nuser = \"app\"\npassword = \"app\"\n",
            ZONES[number % 3],
            self.platform.addr(),
        );
        let peers = self.daemons.iter().map(|daemon| {
            let addr = daemon.ready_line().peer_addr;
            format!("[[fleet.peers]]\npeer_addr = \"{addr}\"\n")
        });
        let text = text + &peers.collect::<String>();
        let settings: Settings = toml::from_str(&text).unwrap();
        self.daemons.push(Daemon::spawn(settings).unwrap());
    }

    /// Registers every proxy in the platform's list of VMs.
    fn register_vms(&self) {
        let vms: Vec<Vm> = self.daemons.iter().enumerate().map(vm_entry).collect();
        self.call_platform(PATH_VMS_SET, &vms);
    }

    fn call_platform(&self, path: &str, request: &impl serde::Serialize) {
        let _: () = self
            .http
            .call(self.platform.addr(), path, request, CALL_TIMEOUT)
            .unwrap();
    }

    fn set_outage(&self, outage: Outage) {
        let fault = Fault {
            outage,
            ..Fault::default()
        };
        self.call_platform(PATH_FAULT, &fault);
    }

    fn put(
        &self,
        kind: &str,
        name: &str,
        expected: Version,
        value: &impl serde::Serialize,
    ) -> Version {
        match self
            .client
            .put(kind, name, expected, "test", value)
            .unwrap()
        {
            PutOutcome::Stored { version } => version,
            PutOutcome::Conflict { current } => panic!("conflict with {current:?}"),
        }
    }

    fn put_rules(&self, expected: Version, text: &str) -> Version {
        let rules = RulesObject {
            text: text.into(),
            by: "Anjali Mohan".into(),
            reason: "".into(),
            at_unix_ms: 0,
            previous: Vec::new(),
        };
        self.put(KIND_RULES, NAME_CURRENT, expected, &rules)
    }

    fn rules_report(&self, proxy: usize) -> RulesReport {
        let addr = self.daemons[proxy].ready_line().peer_addr;
        self.http
            .call(addr, PATH_RULES_VERSION, &(), CALL_TIMEOUT)
            .unwrap()
    }

    fn wait_for_rules(&self, version: Version, state: RulesState) {
        for proxy in 0..self.daemons.len() {
            wait_until(|| {
                let rules_report = self.rules_report(proxy);
                rules_report.version == version && rules_report.state == state
            });
        }
    }
}

fn vm_entry((number, daemon): (usize, &Daemon)) -> Vm {
    let ready = daemon.ready_line();
    Vm {
        name: ready.name,
        region: "dk-east".into(),
        zone: ZONES[number % 3].into(),
        peer_addr: ready.peer_addr,
        sql_addr: ready.sql_addr,
        leaving: false,
    }
}

fn wait_until(mut is_done: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !is_done() {
        assert!(
            Instant::now() < deadline,
            "the condition did not become true"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn group() -> GroupObject {
    let member = |id: &str| Member {
        id: id.into(),
        zone: "koege".into(),
        sql_addr: "127.0.0.1:1".parse().unwrap(),
        control_addr: "127.0.0.1:2".parse().unwrap(),
        leaving: false,
    };
    GroupObject {
        name: "member-ledger-1".into(),
        term: endivereach_core::ids::Term::new(1),
        primary: "db-1".into(),
        members: vec![member("db-1"), member("db-2"), member("db-3")],
        connections_per_server: 16,
        slots_per_server: 2,
        grants: Vec::new(),
        granted_up_to: endivereach_core::ids::Term::new(1),
    }
}

const RULES: &str =
    "groups * read bookings session  # Anjali Mohan, desk: my own booking must show\n";

#[test]
fn rules_reach_every_proxy_and_stay_in_force_during_a_platform_outage() {
    let mut fleet = TestFleet::new(4);
    let first = fleet.put_rules(Version::new(0), RULES);
    fleet.wait_for_rules(first, RulesState::Current);
    let second = fleet.put_rules(first, &RULES.replace("session", "latest"));
    fleet.wait_for_rules(second, RulesState::Current);

    fleet.set_outage(Outage::Refuse);
    fleet.wait_for_rules(second, RulesState::Unconfirmed);

    // A proxy that starts while the platform is down gets the rules from its peers, and never an
    // older version.
    fleet.start_proxy();
    let new_proxy = fleet.daemons.len() - 1;
    wait_until(|| {
        let version = fleet.rules_report(new_proxy).version;
        assert!(version == Version::new(0) || version == second);
        version == second
    });
    assert_eq!(fleet.rules_report(new_proxy).state, RulesState::Unconfirmed);
    fleet.set_outage(Outage::None);
    fleet.register_vms();
    fleet.wait_for_rules(second, RulesState::Current);
}

#[test]
fn invalid_rules_are_refused_and_the_last_valid_ones_stay_in_force() {
    let fleet = TestFleet::new(3);
    let valid = fleet.put_rules(Version::new(0), RULES);
    fleet.wait_for_rules(valid, RulesState::Current);
    let invalid = fleet.put_rules(valid, "read everything somehow\n");
    for proxy in 0..3 {
        wait_until(|| {
            fleet
                .rules_report(proxy)
                .refused
                .is_some_and(|refusal| refusal.version == invalid)
        });
        let rules_report = fleet.rules_report(proxy);
        assert_eq!(rules_report.version, valid);
    }
    fleet.wait_for_rules(valid, RulesState::Current);
}

#[test]
fn connections_are_shared_within_the_limit() {
    let fleet = TestFleet::new(3);
    let group = group();
    fleet.put(KIND_GROUP, group.name.as_str(), Version::new(0), &group);
    // The first proxy may take every connection before the others start; it then releases some.
    wait_until(|| {
        let stored = fleet.client.get(KIND_SHARES, group.name.as_str()).unwrap();
        let Some(stored) = stored else { return false };
        let object: SharesObject = stored.decode().unwrap();
        assert!(object.held() <= object.usable());
        object
            .holders
            .iter()
            .filter(|holder| holder.granted >= 1)
            .count()
            == 3
    });
}
