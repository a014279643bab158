//! Connection shares: the limit holds while holders die, pause, and act on old views.

use endivereach_core::cases;
use endivereach_core::ids::ProxyName;
use endivereach_core::shares::Demand;
use endivereach_core::shares::LEASE_DURATION;
use endivereach_core::shares::LEASE_MARGIN;
use endivereach_core::shares::Lapse;
use endivereach_core::shares::SharesObject;
use endivereach_core::shares::allowed;
use proptest::prelude::*;
use std::time::Duration;
use std::time::Instant;

const PROXIES: usize = 4;

fn name(number: usize) -> ProxyName {
    format!("entry-{number}").as_str().into()
}

/// One step of anybody, in any order. A proxy that takes no step is paused.
#[derive(Clone, Debug)]
enum Step {
    Rebalance {
        homes: Vec<(usize, u32)>,
    },
    Learn {
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
    Die {
        proxy: usize,
    },
    Release {
        proxy: usize,
    },
    Withdraw {
        proxy: usize,
    },
    Look {
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
    /// Takes a holder's share over, as quickly as the evidence allows, and hands it to the others.
    TakeOver {
        proxy: usize,
        wait_ms: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let proxy = 0..PROXIES;
    prop_oneof![
        2 => prop::collection::btree_map(0..PROXIES, 0..30u32, 0..PROXIES + 1)
            .prop_map(|homes| Step::Rebalance { homes: homes.into_iter().collect() }),
        3 => proxy.clone().prop_map(|proxy| Step::Learn { proxy }),
        6 => proxy.clone().prop_map(|proxy| Step::Open { proxy }),
        2 => proxy.clone().prop_map(|proxy| Step::Close { proxy }),
        2 => (proxy.clone(), any::<bool>())
            .prop_map(|(proxy, answer_lost)| Step::Confirm { proxy, answer_lost }),
        1 => proxy.clone().prop_map(|proxy| Step::Die { proxy }),
        1 => proxy.clone().prop_map(|proxy| Step::Release { proxy }),
        1 => proxy.clone().prop_map(|proxy| Step::Withdraw { proxy }),
        2 => proxy.clone().prop_map(|proxy| Step::Look { proxy }),
        1 => (proxy, any::<bool>()).prop_map(|(proxy, is_listed)| Step::Reclaim { proxy, is_listed }),
        2 => (1..8000u64).prop_map(|ms| Step::Wait { ms }),
        3 => (0..PROXIES).prop_map(|proxy| Step::OpenAll { proxy }),
        2 => (0..PROXIES, 1..20_000u64).prop_map(|(proxy, wait_ms)| Step::TakeOver { proxy, wait_ms }),
    ]
}

/// A proxy: its view of the object, when that was current, and its open connections.
#[derive(Clone, Debug, Default)]
struct Proxy {
    view: Option<(SharesObject, Instant)>,
    open: u32,
    lapse: Option<Lapse>,
}

struct World {
    object: SharesObject,
    limit: u32,
    proxies: Vec<Proxy>,
    now: Instant,
}

impl World {
    fn new(limit: u32) -> Self {
        Self {
            object: SharesObject::new("bookings".into(), limit),
            limit,
            proxies: vec![Proxy::default(); PROXIES],
            now: Instant::now(),
        }
    }

    fn allowed(&self, proxy: usize) -> u32 {
        let state = &self.proxies[proxy];
        let view = state.view.as_ref();
        let holder = view.and_then(|(object, _)| object.holder(&name(proxy)));
        let age = view.map(|(_, at)| self.now - *at);
        allowed(holder, age, state.open)
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
                    .map(|(proxy, wanted)| Demand {
                        name: name(*proxy),
                        wanted: *wanted,
                    })
                    .collect();
                self.store(self.object.rebalance(self.limit, &homes));
            }
            Step::Learn { proxy } => {
                self.proxies[*proxy].view = Some((self.object.clone(), self.now));
            }
            Step::Open { proxy } => {
                if self.proxies[*proxy].open < self.allowed(*proxy) {
                    self.proxies[*proxy].open += 1;
                }
            }
            Step::Close { proxy } => {
                let open = &mut self.proxies[*proxy].open;
                *open = open.saturating_sub(1);
            }
            Step::Confirm { proxy, answer_lost } => {
                // The grant is taken in before the confirmation is written.
                self.proxies[*proxy].view = Some((self.object.clone(), self.now));
                let open = self.proxies[*proxy].open;
                self.store(self.object.confirm(&name(*proxy), open));
                if !answer_lost {
                    self.proxies[*proxy].view = Some((self.object.clone(), self.now));
                }
            }
            Step::Die { proxy } => {
                self.proxies[*proxy] = Proxy {
                    lapse: self.proxies[*proxy].lapse,
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
                    self.proxies[*proxy].lapse = Some(Lapse::new(self.now));
                }
            }
            Step::Look { proxy } => {
                let now = self.now;
                let state = &mut self.proxies[*proxy];
                let open = state.open;
                if let Some(lapse) = &mut state.lapse {
                    lapse.record_count(now, open);
                }
            }
            Step::Reclaim { proxy, is_listed } => {
                let proven = self.proxies[*proxy]
                    .lapse
                    .is_some_and(|lapse| lapse.is_proven());
                if proven && self.proxies[*proxy].open == 0 {
                    // A VM that left the list has no process any more.
                    if !is_listed {
                        self.proxies[*proxy].view = None;
                    }
                    self.store(self.object.reclaim(&name(*proxy), *is_listed));
                    self.proxies[*proxy].lapse = None;
                }
            }
            Step::Wait { ms } => self.now += Duration::from_millis(*ms),
            Step::OpenAll { proxy } => {
                while self.proxies[*proxy].open < self.allowed(*proxy) {
                    self.proxies[*proxy].open += 1;
                }
            }
            Step::TakeOver { proxy, wait_ms } => self.take_over(*proxy, *wait_ms),
        }
        self.drop_overtaken_lapses();
    }

    fn take_over(&mut self, proxy: usize, wait_ms: u64) {
        self.apply(&Step::Withdraw { proxy });
        for _ in 0..2 {
            self.apply(&Step::Wait { ms: wait_ms });
            self.apply(&Step::Look { proxy });
        }
        self.apply(&Step::Reclaim {
            proxy,
            is_listed: true,
        });
        let others: Vec<usize> = (0..PROXIES).filter(|other| *other != proxy).collect();
        let homes = others.iter().map(|other| (*other, 30)).collect();
        self.apply(&Step::Rebalance { homes });
        for other in others {
            self.apply(&Step::Learn { proxy: other });
            self.apply(&Step::OpenAll { proxy: other });
        }
    }

    /// A grant that was raised again ends the withdrawal before it.
    fn drop_overtaken_lapses(&mut self) {
        for (number, proxy) in self.proxies.iter_mut().enumerate() {
            let granted = self
                .object
                .holder(&name(number))
                .map_or(0, |holder| holder.granted);
            if granted > 0 {
                proxy.lapse = None;
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn the_limit_is_never_passed(limit in 2..24u32, steps in prop::collection::vec(step(), 1..250)) {
        let mut world = World::new(limit);
        for step in &steps {
            world.apply(step);
            let open: u32 = world.proxies.iter().map(|proxy| proxy.open).sum();
            prop_assert!(world.object.held() <= world.object.usable());
            prop_assert!(open <= world.object.usable(), "{open} open after {step:?}");
        }
    }

    #[test]
    fn everybody_alive_reaches_its_target(limit in 8..40u32, wanted in prop::collection::vec(0..30u32, PROXIES)) {
        let homes: Vec<Demand> = wanted
            .iter()
            .enumerate()
            .map(|(number, wanted)| Demand { name: name(number), wanted: *wanted })
            .collect();
        // Start from one holder that has everything.
        let start = [Demand { name: name(0), wanted: limit }];
        let mut object = SharesObject::new("bookings".into(), limit).rebalance(limit, &start).unwrap();
        for _ in 0..4 {
            object = object.rebalance(limit, &homes).unwrap_or(object);
            for home in &homes {
                object = object.confirm(&home.name, 0).unwrap_or(object);
            }
        }
        let total: u32 = wanted.iter().sum();
        for home in &homes {
            let granted = object.holder(&home.name).unwrap().granted;
            prop_assert!(granted >= 1);
            prop_assert!(total > object.usable() - PROXIES as u32 || granted >= home.wanted);
        }
    }
}

fn is_divided(limit: u32, wanted: &[u32], expected: &[u32]) {
    let homes: Vec<Demand> = wanted
        .iter()
        .enumerate()
        .map(|(number, wanted)| Demand {
            name: name(number),
            wanted: *wanted,
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
    is_divided;
    idle_homes_split_equally: 16, &[0, 0, 0], &[5, 5, 5];
    demand_moves_shares: 16, &[30, 0, 0], &[13, 1, 1];
    small_demands_are_met_first: 17, &[30, 3, 30], &[7, 3, 6];
    one_connection_is_reserved: 2, &[9], &[1];
    nothing_to_share: 1, &[9], &[0];
}

#[test]
fn a_look_before_the_lease_lapsed_proves_nothing() {
    let now = Instant::now();
    let mut lapse = Lapse::new(now);
    lapse.record_count(now + LEASE_DURATION, 0);
    lapse.record_count(now + LEASE_DURATION + LEASE_MARGIN, 0);
    assert!(!lapse.is_proven());
    lapse.record_count(now + LEASE_DURATION + LEASE_MARGIN, 0);
    assert!(!lapse.is_proven(), "the same look counted twice");
    lapse.record_count(
        now + LEASE_DURATION + LEASE_MARGIN + Duration::from_secs(1),
        0,
    );
    assert!(lapse.is_proven());
}
