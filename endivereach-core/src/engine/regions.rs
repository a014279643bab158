//! Servers in other regions: which servers are far, and whether a read may be sent to them.
//!
//! Load: a site with two regions 30 ms apart. None of this applies while the list of proxies names one
//! region.

use super::Engine;
use super::target::Target;
use crate::far_reads::FarReads;
use crate::ids::GroupName;
use crate::ids::RegionName;
use crate::ids::ZoneName;
use crate::logfmt::LogValue;
use crate::routing::Candidate;
use crate::routing::Distance;
use crate::routing::OTHER_REGION_ROUND_TRIP;
use crate::routing::OTHER_ZONE_ROUND_TRIP;
use crate::routing::SERVICE_TIME_DEFAULT;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

impl Engine {
    /// Sets the region of each zone that has proxies.
    pub fn set_regions(&mut self, regions: BTreeMap<ZoneName, RegionName>) {
        let own = &self.location.region;
        let has_several = regions.values().any(|region| region != own);
        let regions = if has_several {
            regions
        } else {
            BTreeMap::new()
        };
        if regions.is_empty() != self.regions.is_empty() {
            log::info!(target: "belief", "event=regions several={has_several}");
        }
        self.regions = regions;
    }

    /// Returns whether a server is known to run in another region.
    pub(super) fn is_far(&self, target: &Target) -> bool {
        let region = self.regions.get(&target.entry.zone);
        region.is_some_and(|region| *region != self.location.region)
    }

    /// Returns the distance to a server and the time that one statement takes in a slot there.
    pub(super) fn distance(&self, target: &Target) -> (Distance, Duration) {
        let response_time = target.response_time;
        if target.entry.zone == self.location.zone {
            return (Distance::SameZone, response_time);
        }
        if self.regions.is_empty() {
            return (Distance::OtherZone, response_time);
        }
        let measured = target.round_trip.get();
        if !self.is_far(target) {
            // Bytes between zones are priced, so another zone never counts as nearer than this.
            let round_trip = measured.unwrap_or_default().max(OTHER_ZONE_ROUND_TRIP);
            return (Distance::Measured(round_trip), response_time);
        }
        let round_trip = measured.unwrap_or(OTHER_REGION_ROUND_TRIP);
        // The response time includes the round trip, which doesn't occupy a slot.
        let service_time = response_time.saturating_sub(round_trip);
        (
            Distance::Measured(round_trip),
            service_time.max(SERVICE_TIME_DEFAULT),
        )
    }
}

/// A server that is considered for a read.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadTarget {
    pub(super) candidate: Candidate,
    /// Whether it is in another region.
    pub(super) is_far: bool,
    /// Whether it may serve the read.
    pub(super) may_serve: bool,
    /// Whether it can't take another statement now.
    pub(super) is_full: bool,
}

/// Returns whether a read that has waited for `waited` may be sent to another region.
pub(super) fn admits_far_read(
    now: Instant,
    name: &GroupName,
    far_reads: &mut FarReads,
    waited: Duration,
    targets: &[ReadTarget],
) -> bool {
    let usable = |is_far: bool| {
        let usable = targets.iter().filter(|target| target.may_serve);
        usable.filter(move |target| target.is_far == is_far)
    };
    let best = |is_far: bool| {
        let times = usable(is_far).map(|target| target.candidate.expected_completion());
        times.min()
    };
    let (Some(near), Some(far)) = (best(false), best(true)) else {
        // There is no choice between near and far servers.
        return true;
    };
    // A read that has waited while all near servers were full is expected to wait as long again.
    let queued = if usable(false).all(|target| target.is_full) {
        waited
    } else {
        Duration::ZERO
    };
    let was_in_use = far_reads.is_in_use(now);
    let is_admitted = far_reads.admit(now, near + queued, far);
    if is_admitted && !was_in_use {
        log::info!(
            target: "belief",
            "event=far-reads group={} near_ms={} far_ms={}",
            LogValue(name),
            (near + queued).as_millis(),
            far.as_millis()
        );
    }
    is_admitted
}
