//! The mixes of requests of the customers.

use crate::history::Op;
use rand::Rng;
use std::time::Duration;

/// The weight of each kind of request; a kind is drawn in proportion to its weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mix {
    /// Increments of the caller's own counter.
    pub increment: u32,
    /// Insertions of one booking.
    pub book: u32,
    /// Insertions of two rows in one transaction.
    pub register_pair: u32,
    /// Cancellations of slots.
    pub cancel: u32,
    /// Reads of the caller's own counter.
    pub read_own: u32,
    /// Reads that accept data up to a maximum age.
    pub read_aged: u32,
    /// Reads that must see the latest data.
    pub read_latest: u32,
    /// Views that list the free slots.
    pub view_free: u32,
}

impl Mix {
    /// Caroni's mix during the day: bookings, schedule views and cancellations.
    pub const CARONI: Self = Self {
        increment: 8,
        book: 14,
        register_pair: 4,
        cancel: 4,
        read_own: 24,
        read_aged: 8,
        read_latest: 6,
        view_free: 32,
    };

    /// Fællesrør's mix: nine in ten requests are reads. Of these, 70% read the session's own
    /// writes, 20% accept a maximum age, and 10% need the latest data.
    pub const FAELLESROER: Self = Self {
        increment: 4,
        book: 2,
        register_pair: 4,
        cancel: 0,
        read_own: 63,
        read_aged: 18,
        read_latest: 9,
        view_free: 0,
    };

    /// Writes only, for measuring write gaps.
    pub const WRITES: Self = Self {
        increment: 40,
        book: 50,
        register_pair: 10,
        cancel: 0,
        read_own: 0,
        read_aged: 0,
        read_latest: 0,
        view_free: 0,
    };

    fn weights(&self) -> [u32; 8] {
        [
            self.increment,
            self.book,
            self.register_pair,
            self.cancel,
            self.read_own,
            self.read_aged,
            self.read_latest,
            self.view_free,
        ]
    }

    /// Draws the next request of a caller. `count` makes the names that it inserts unique.
    ///
    /// # Panics
    ///
    /// Panics when every weight is zero.
    pub fn draw(&self, rng: &mut impl Rng, caller: u32, count: u32, max_age: Duration) -> Op {
        let weights = self.weights();
        let mut remaining = rng.random_range(0..weights.iter().sum());
        let drawn = weights.iter().position(|&weight| {
            let is_drawn = remaining < weight;
            remaining = remaining.saturating_sub(weight);
            is_drawn
        });
        match drawn {
            Some(0) => Op::Increment,
            Some(1) => Op::Book {
                id: format!("booking-{caller}-{count}").into(),
            },
            Some(2) => Op::RegisterPair {
                pair: format!("{caller}.{count}").into(),
            },
            Some(3) => Op::Cancel {
                slot: format!("slot-{}", rng.random_range(0..super::SLOTS_PER_GROUP)).into(),
            },
            Some(4) => Op::ReadOwn,
            Some(5) => Op::ReadAged { max_age },
            Some(6) => Op::ReadLatest,
            _ => Op::ViewFree,
        }
    }
}
