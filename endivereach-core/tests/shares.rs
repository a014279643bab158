//! Tests that the connection limit holds while holders crash, pause and use old views.

use endivereach_core::cases;
use endivereach_core::ids::ProxyName;
use endivereach_core::shares::Demand;
use endivereach_core::shares::LEASE_DURATION;
use endivereach_core::shares::LEASE_MARGIN;
use endivereach_core::shares::ReclaimEvidence;
use endivereach_core::shares::SharesObject;
use endivereach_core::shares::allowed_connections;
use proptest::prelude::*;
use std::time::Duration;
use std::time::Instant;

const PROXIES: usize = 4;

fn name(number: usize) -> ProxyName {
    format!("entry-{number}").as_str().into()
}

/// One step of the simulation, in any order. A proxy without steps is paused.
#[derive(Clone, Debug)]
enum Step {
    Rebalance {
        homes: Vec<(usize, u32)>,
    },
    RefreshView {
        proxy: usize,
    },
    Open {
        proxy: usize,
    },
    Close {
        proxy: usize,
    },
    Confirm {
        proxy: usize,
        answer_lost: bool,
    },
    Crash {
        proxy: usize,
    },
    Release {
        proxy: usize,
    },
    Withdraw {
        proxy: usize,
    },
    CountConnections {
        proxy: usize,
    },
    Reclaim {
        proxy: usize,
        is_listed: bool,
    },
    Wait {
        ms: u64,
    },
    OpenAll {
        proxy: usize,
    },
    /// Reclaims a holder's share as soon as the evidence allows, and reallocates it to the others.
    ReclaimAndReallocate {
        proxy: usize,
        wait_ms: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let proxy = 0..PROXIES;
    prop_oneof![
        2 => prop::collection::btree_map(0..PROXIES, 0..30u32, 0..PROXIES + 1)
            .prop_map(|homes| Step::Rebalance { homes: homes.into_iter().collect() }),
        3 => proxy.clone().prop_map(|proxy| Step::RefreshView { proxy }),
        6 => proxy.clone().prop_map(|proxy| Step::Open { proxy }),
        2 => proxy.clone().prop_map(|proxy| Step::Close { proxy }),
        2 => (proxy.clone(), any::<bool>())
            .prop_map(|(proxy, answer_lost)| Step::Confirm { proxy, answer_lost }),
        1 => proxy.clone().prop_map(|proxy| Step::Crash { proxy }),
        1 => proxy.clone().prop_map(|proxy| Step::Release { proxy }),
        1 => proxy.clone().prop_map(|proxy| Step::Withdraw { proxy }),
        2 => proxy.clone().prop_map(|proxy| Step::CountConnections { proxy }),
        1 => (proxy, any::<bool>()).prop_map(|(proxy, is_listed)| Step::Reclaim { proxy, is_listed }),
        2 => (1..8000u64).prop_map(|ms| Step::Wait { ms }),
        3 => (0..PROXIES).prop_map(|proxy| Step::OpenAll { proxy }),
        2 => (0..PROXIES, 1..20_000u64).prop_map(|(proxy, wait_ms)| Step::ReclaimAndReallocate { proxy, wait_ms }),
    ]
}

/// A proxy with its view of the object, the time of that view and its open connections.
#[derive(Clone, Debug, Default)]
struct Proxy {
    view: Option<(SharesObject, Instant)>,
    open: u32,
    reclaim_evidence: Option<ReclaimEvidence>,
}

struct Simulation {
    object: SharesObject,
    limit: u32,
    proxies: Vec<Proxy>,
    now: Instant,
}

impl Simulation {
    fn new(limit: u32) -> Self {
        Self {
            object: SharesObject::new("bookings".into(), limit),
            limit,
            proxies: vec![Proxy::default(); PROXIES],
            now: Instant::now(),
        }
    }

    fn allowed_connections(&self, proxy: usize) -> u32 {
        let state = &self.proxies[proxy];
        let view = state.view.as_ref();
        let holder = view.and_then(|(object, _)| object.holder(&name(proxy)));
        let age = view.map(|(_, at)| self.now - *at);
        allowed_connections(holder, age, state.open)
    }

    fn store(&mut self, next: Option<SharesObject>) -> bool {
        let stored = next.is_some();
        self.object = next.unwrap_or_else(|| self.object.clone());
        stored
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Rebalance { homes } => {
                let homes: Vec<Demand> = homes
                    .iter()
                    .map(|(proxy, connections_wanted)| Demand {
                        name: name(*proxy),
                        connections_wanted: *connections_wanted,
                    })
                    .collect();
                self.store(self.object.rebalance(self.limit, &homes));
            }
            Step::RefreshView { proxy } => {
                self.proxies[*proxy].view = Some((self.object.clone(), self.now));
            }
            Step::Open { proxy } => {
                if self.proxies[*proxy].open < self.allowed_connections(*proxy) {
                    self.proxies[*proxy].open += 1;
                }
            }
            Step::Close { proxy } => {
                let open = &mut self.proxies[*proxy].open;
                *open = open.saturating_sub(1);
            }
            Step::Confirm { proxy, answer_lost } => {
                // The proxy applies the grant before it writes the confirmation.
                self.proxies[*proxy].view = Some((self.object.clone(), self.now));
                let open = self.proxies[*proxy].open;
                self.store(self.object.confirm(&name(*proxy), open));
                if !answer_lost {
                    self.proxies[*proxy].view = Some((self.object.clone(), self.now));
                }
            }
            Step::Crash { proxy } => {
                self.proxies[*proxy] = Proxy {
                    reclaim_evidence: self.proxies[*proxy].reclaim_evidence,
                    ..Proxy::default()
                }
            }
            Step::Release { proxy } => {
                let state = &mut self.proxies[*proxy];
                state.open = 0;
                state.view = None;
                self.store(self.object.release(&name(*proxy)));
            }
            Step::Withdraw { proxy } => {
                if self.store(self.object.withdraw(&name(*proxy))) {
                    self.proxies[*proxy].reclaim_evidence = Some(ReclaimEvidence::new(self.now));
                }
            }
            Step::CountConnections { proxy } => {
                let now = self.now;
                let state = &mut self.proxies[*proxy];
                let open = state.open;
                if let Some(reclaim_evidence) = &mut state.reclaim_evidence {
                    reclaim_evidence.record_count(now, open);
                }
            }
            Step::Reclaim { proxy, is_listed } => {
                let proven = self.proxies[*proxy]
                    .reclaim_evidence
                    .is_some_and(|reclaim_evidence| reclaim_evidence.is_proven());
                if proven && self.proxies[*proxy].open == 0 {
                    // No process runs on a VM that was removed from the list.
                    if !is_listed {
                        self.proxies[*proxy].view = None;
                    }
                    self.store(self.object.reclaim(&name(*proxy), *is_listed));
                    self.proxies[*proxy].reclaim_evidence = None;
                }
            }
            Step::Wait { ms } => self.now += Duration::from_millis(*ms),
            Step::OpenAll { proxy } => {
                while self.proxies[*proxy].open < self.allowed_connections(*proxy) {
                    self.proxies[*proxy].open += 1;
                }
            }
            Step::ReclaimAndReallocate { proxy, wait_ms } => {
                self.reclaim_and_reallocate(*proxy, *wait_ms)
            }
        }
        self.drop_superseded_lapses();
    }

    fn reclaim_and_reallocate(&mut self, proxy: usize, wait_ms: u64) {
        self.apply(&Step::Withdraw { proxy });
        for _ in 0..2 {
            self.apply(&Step::Wait { ms: wait_ms });
            self.apply(&Step::CountConnections { proxy });
        }
        self.apply(&Step::Reclaim {
            proxy,
            is_listed: true,
        });
        let others: Vec<usize> = (0..PROXIES).filter(|other| *other != proxy).collect();
        let homes = others.iter().map(|other| (*other, 30)).collect();
        self.apply(&Step::Rebalance { homes });
        for other in others {
            self.apply(&Step::RefreshView { proxy: other });
            self.apply(&Step::OpenAll { proxy: other });
        }
    }

    /// Discards the evidence for a withdrawal after which the grant was raised again.
    fn drop_superseded_lapses(&mut self) {
        for (number, proxy) in self.proxies.iter_mut().enumerate() {
            let granted = self
                .object
                .holder(&name(number))
                .map_or(0, |holder| holder.granted);
            if granted > 0 {
                proxy.reclaim_evidence = None;
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn the_limit_is_never_exceeded(limit in 2..24u32, steps in prop::collection::vec(step(), 1..250)) {
        let mut simulation = Simulation::new(limit);
        for step in &steps {
            simulation.apply(step);
            let open: u32 = simulation.proxies.iter().map(|proxy| proxy.open).sum();
            prop_assert!(simulation.object.held() <= simulation.object.usable());
            prop_assert!(open <= simulation.object.usable(), "{open} open after {step:?}");
        }
    }

    #[test]
    fn every_home_reaches_its_target(limit in 8..40u32, connections_wanted in prop::collection::vec(0..30u32, PROXIES)) {
        let homes: Vec<Demand> = connections_wanted
            .iter()
            .enumerate()
            .map(|(number, connections_wanted)| Demand { name: name(number), connections_wanted: *connections_wanted })
            .collect();
        // Initially, one holder has all connections.
        let start = [Demand { name: name(0), connections_wanted: limit }];
        let mut object = SharesObject::new("bookings".into(), limit).rebalance(limit, &start).unwrap();
        for _ in 0..4 {
            object = object.rebalance(limit, &homes).unwrap_or(object);
            for home in &homes {
                object = object.confirm(&home.name, 0).unwrap_or(object);
            }
        }
        let total: u32 = connections_wanted.iter().sum();
        for home in &homes {
            let granted = object.holder(&home.name).unwrap().granted;
            prop_assert!(granted >= 1);
            prop_assert!(total > object.usable() - PROXIES as u32 || granted >= home.connections_wanted);
        }
    }
}

fn check_division(limit: u32, connections_wanted: &[u32], expected: &[u32]) {
    let homes: Vec<Demand> = connections_wanted
        .iter()
        .enumerate()
        .map(|(number, connections_wanted)| Demand {
            name: name(number),
            connections_wanted: *connections_wanted,
        })
        .collect();
    let empty = SharesObject::new("bookings".into(), limit);
    let object = empty.rebalance(limit, &homes).unwrap_or(empty);
    let granted: Vec<u32> = homes
        .iter()
        .map(|home| object.holder(&home.name).map_or(0, |holder| holder.granted))
        .collect();
    assert_eq!(granted, expected);
}

cases! {
    check_division;
    idle_homes_split_equally: 16, &[0, 0, 0], &[5, 5, 5];
    demand_moves_shares: 16, &[30, 0, 0], &[13, 1, 1];
    small_demands_are_met_first: 17, &[30, 3, 30], &[7, 3, 6];
    one_connection_is_reserved: 2, &[9], &[1];
    no_connection_to_share: 1, &[9], &[0];
}

#[test]
fn counts_before_the_lease_expires_are_ignored() {
    let now = Instant::now();
    let mut reclaim_evidence = ReclaimEvidence::new(now);
    reclaim_evidence.record_count(now + LEASE_DURATION, 0);
    reclaim_evidence.record_count(now + LEASE_DURATION + LEASE_MARGIN, 0);
    assert!(!reclaim_evidence.is_proven());
    reclaim_evidence.record_count(now + LEASE_DURATION + LEASE_MARGIN, 0);
    assert!(
        !reclaim_evidence.is_proven(),
        "a repeated count was accepted"
    );
    reclaim_evidence.record_count(
        now + LEASE_DURATION + LEASE_MARGIN + Duration::from_secs(1),
        0,
    );
    assert!(reclaim_evidence.is_proven());
}
