//! Tests of the exchange between peers: versions and revisions never decrease, and a proxy has
//! every change that its evidence and its revision claim.

use endivereach_core::exchange::Catalog;
use endivereach_core::exchange::Changes;
use endivereach_core::exchange::Evidence;
use endivereach_core::exchange::Versioned;
use endivereach_core::ids::Version;
use proptest::prelude::*;
use std::time::Duration;
use std::time::Instant;

const PROXIES: usize = 4;
const NAMES: [&str; 3] = ["a", "b", "c"];

/// One step of the simulation: a platform and proxies that pull from it and from each other.
#[derive(Clone, Debug)]
enum Step {
    Write { name: usize },
    PullFromPlatform { proxy: usize },
    PullFromPeer { proxy: usize, peer: usize },
    Restart { proxy: usize },
    Wait { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..NAMES.len()).prop_map(|name| Step::Write { name }),
        (0..PROXIES).prop_map(|proxy| Step::PullFromPlatform { proxy }),
        (0..PROXIES, 0..PROXIES).prop_map(|(proxy, peer)| Step::PullFromPeer { proxy, peer }),
        (0..PROXIES).prop_map(|proxy| Step::Restart { proxy }),
        (1..3000u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

struct Simulation {
    platform: Catalog<u64>,
    written_at: Vec<(Version, Instant)>,
    proxies: Vec<Catalog<u64>>,
    now: Instant,
}

impl Simulation {
    fn new() -> Self {
        Self {
            platform: Catalog::new(),
            written_at: Vec::new(),
            proxies: vec![Catalog::new(); PROXIES],
            now: Instant::now() + Duration::from_secs(3600),
        }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Write { name } => self.write(name),
            Step::PullFromPlatform { proxy } => {
                let changes = self.platform.changes_after(self.proxies[proxy].revision());
                let evidence = Evidence::from_platform(self.now);
                self.proxies[proxy].merge(changes, Some(evidence));
            }
            Step::PullFromPeer { proxy, peer } => {
                let changes = self.proxies[peer].changes_after(self.proxies[proxy].revision());
                let age = self.proxies[peer].evidence().map(|held| held.age(self.now));
                let evidence = age.and_then(|age| Evidence::from_peer(self.now, age));
                self.proxies[proxy].merge(changes, evidence);
            }
            Step::Restart { proxy } => self.proxies[proxy] = Catalog::new(),
            Step::Wait { ms } => self.now += Duration::from_millis(ms),
        }
    }

    fn write(&mut self, name: usize) {
        let after = self.platform.revision();
        let object = Versioned {
            name: NAMES[name].into(),
            version: after.next(),
            value: after.get(),
        };
        self.written_at.push((after.next(), self.now));
        let changes = Changes {
            after,
            revision: after.next(),
            objects: vec![object],
        };
        self.platform.merge(changes, None);
    }

    /// Returns whether every proxy has all changes that are older than its evidence.
    fn evidence_holds(&self) -> bool {
        self.proxies.iter().all(|proxy| {
            let Some(evidence) = proxy.evidence() else {
                return true;
            };
            let age = evidence.age(self.now);
            let before = |at: &Instant| self.now.duration_since(*at) > age;
            let known = self.written_at.iter().filter(|(_, at)| before(at));
            known
                .clone()
                .all(|(version, _)| proxy.revision() >= *version)
        })
    }

    /// Returns whether every proxy holds each object at the state of its own revision or newer.
    fn revisions_hold(&self) -> bool {
        self.proxies.iter().all(|proxy| {
            self.platform.objects().all(|object| {
                object.version > proxy.revision()
                    || proxy
                        .get(&object.name)
                        .is_some_and(|held| held.version >= object.version)
            })
        })
    }
}

proptest! {
    #[test]
    fn evidence_and_revisions_hold_in_every_order(steps in prop::collection::vec(step(), 1..120)) {
        let mut simulation = Simulation::new();
        for step in &steps {
            let before = simulation.proxies.clone();
            simulation.apply(step);
            prop_assert!(simulation.evidence_holds());
            prop_assert!(simulation.revisions_hold());
            if !matches!(step, Step::Restart { .. }) {
                for (old, new) in before.iter().zip(&simulation.proxies) {
                    prop_assert!(new.revision() >= old.revision());
                    for held in old.objects() {
                        prop_assert!(new.get(&held.name).is_some_and(|now| now.version >= held.version));
                    }
                }
            }
        }
    }
}

#[test]
fn an_older_object_is_ignored() {
    let mut catalog = Catalog::new();
    let at = |version: u64| Changes {
        after: Version::new(0),
        revision: Version::new(version),
        objects: vec![Versioned {
            name: "current".into(),
            version: Version::new(version),
            value: version,
        }],
    };
    assert_eq!(catalog.merge(at(7), None).len(), 1);
    assert!(catalog.merge(at(4), None).is_empty());
    assert_eq!(catalog.get("current").unwrap().value, 7);
}

#[test]
fn changes_with_a_gap_keep_revision_and_evidence() {
    let mut catalog = Catalog::<u64>::new();
    let changes = Changes {
        after: Version::new(5),
        revision: Version::new(9),
        objects: vec![],
    };
    catalog.merge(changes, Some(Evidence::from_platform(Instant::now())));
    assert_eq!(catalog.revision(), Version::new(0));
    assert_eq!(catalog.evidence(), None);
}
