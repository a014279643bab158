//! Announcements between proxies: how new their copies of the platform's objects are, and that a
//! promotion begins.
//!
//! The platform may hold a watch for many seconds, and nothing on its connection shows that an answer
//! was lost. So each proxy that watches the platform by itself tells one other such proxy a second at
//! which version each of its copies last changed. A proxy whose copy lacks such a change, while its watch
//! is held, reads the objects again. This costs calls only when an answer was lost.
//!
//! Proxies that follow a reader aren't told: their polls and the reader's watches are short.

use crate::datagrams::Announcement;
use crate::mirror::Mirror;
use crate::platform::ObjectKind;
use crate::platform::Platform;
use crate::protocol::Protocol;
use crate::proxy::ProxyProcess;
use endivereach_core::ids::GroupName;
use endivereach_core::ids::ProxyName;
use endivereach_core::logfmt::LogValue;
use endivereach_core::store_era::StorePosition;
use std::time::Duration;
use std::time::Instant;

/// The interval between two announcements of this process's copies. Each goes to one other proxy, so it
/// is also the mean interval at which a proxy is told.
const COPIES_INTERVAL: Duration = Duration::from_secs(1);

/// The interval between two announcements of senders that aren't listed, of which anybody may send any
/// number.
const UNLISTED_INTERVAL: Duration = Duration::from_secs(4);

/// The times that the announcement of a promotion is sent, as datagrams may be lost.
const PROMOTION_DATAGRAMS: usize = 2;

/// When and to whom this process announces its copies next.
#[derive(Debug)]
pub(crate) struct Announcer {
    next_at: Instant,
    round: usize,
    /// When an announcement of a sender that isn't listed may count again.
    next_unlisted_at: Instant,
}

impl Announcer {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            next_at: now,
            round: 0,
            next_unlisted_at: now,
        }
    }

    /// Returns the proxy to tell now, if it is time for an announcement.
    fn next_peer<'a>(&mut self, now: Instant, peers: &'a [ProxyName]) -> Option<&'a ProxyName> {
        if now < self.next_at {
            return None;
        }
        self.next_at = now + COPIES_INTERVAL;
        self.round = self.round.wrapping_add(1);
        peers.get(self.round.checked_rem(peers.len())?)
    }
}

impl<P: Protocol, A: Platform> ProxyProcess<P, A> {
    /// Tells another proxy how new this process's copies are, and reads those again whose watch has lost
    /// an answer. Must be called with the engine's timeouts.
    pub(crate) fn check_copies(&mut self, now: Instant) {
        if self.feed_client.reader().is_some() {
            return;
        }
        self.announce_copies(now);
        for mirror_index in 0..self.mirrors.len() {
            if self.mirrors[mirror_index].has_lost_answer(now) {
                self.list_again(now, mirror_index);
            }
        }
    }

    fn announce_copies(&mut self, now: Instant) {
        let peers = self.source_selector.lone_watchers();
        let Some(datagrams) = &mut self.datagrams else {
            return;
        };
        let Some(peer) = self.announcer.next_peer(now, peers) else {
            return;
        };
        let changed_at = self.mirrors.iter().map(Mirror::changed_at).collect();
        let announcement = Announcement::Copies {
            era: self.era.current(),
            changed_at,
        };
        datagrams.announce(peer, &announcement);
    }

    /// Reads all objects of a kind, because the answer to its watch was lost.
    fn list_again(&mut self, now: Instant, mirror_index: usize) {
        let mirror = &self.mirrors[mirror_index];
        log::warn!(
            target: "belief",
            "event=watch-answer-lost kind={:?} version={} held_ms={}",
            mirror.kind(),
            mirror.store_version(),
            mirror.call_age(now).as_millis()
        );
        self.telemetry.count_lost_watch_answer();
        self.restart_mirror_call(now, mirror_index);
        self.mirrors[mirror_index].list_current();
    }

    /// Tells all other proxies that this process begins to promote a server of a group. They hold the
    /// acknowledgements that the promotion may lose, before the store shows them that it has begun.
    pub(crate) fn announce_promotion(&mut self, group: &GroupName) {
        let Some(datagrams) = &mut self.datagrams else {
            return;
        };
        let announcement = Announcement::Promotion {
            group: group.clone(),
        };
        for _ in 0..PROMOTION_DATAGRAMS {
            datagrams.announce_to_all(&announcement);
        }
    }

    /// Processes the announcement of a sender that isn't listed. It may be a proxy that started while this
    /// one lost an answer, so it counts only as a sign that the list of proxies is old.
    pub(crate) fn on_unlisted_announcement(&mut self, now: Instant, announcement: &Announcement) {
        let Announcement::Copies { era, changed_at } = announcement else {
            return;
        };
        if now < self.announcer.next_unlisted_at {
            return;
        }
        let own_era = self.era.current();
        for (mirror, version) in self.mirrors.iter_mut().zip(changed_at) {
            let announced = StorePosition {
                era: *era,
                version: *version,
            };
            if mirror.kind() == ObjectKind::Own
                && mirror.record_announcement(now, own_era, announced)
            {
                self.announcer.next_unlisted_at = now + UNLISTED_INTERVAL;
            }
        }
    }

    /// Processes what another proxy announced.
    pub(crate) fn on_announcement(
        &mut self,
        now: Instant,
        from: &ProxyName,
        announcement: &Announcement,
    ) {
        match announcement {
            Announcement::Copies { era, changed_at } => {
                let own_era = self.era.current();
                // The mirrors are in the order of the kinds.
                for (mirror, version) in self.mirrors.iter_mut().zip(changed_at) {
                    let announced = StorePosition {
                        era: *era,
                        version: *version,
                    };
                    mirror.record_announcement(now, own_era, announced);
                }
            }
            Announcement::Promotion { group } => {
                log::info!(
                    target: "belief",
                    "event=promotion-announced group={} proxy={}",
                    LogValue(group),
                    LogValue(from)
                );
                self.engine.promotion_announced(now, group);
            }
        }
    }
}
