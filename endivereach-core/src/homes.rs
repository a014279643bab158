//! The homes of a group: the proxies that hold connections to its servers.
//!
//! Every proxy computes the homes from the member list alone, by rendezvous hashing, so that no
//! process has to assign them. Two proxies with different lists may disagree for a while. That is
//! safe, because connections are limited by shares and not by homes; it costs an extra hop at most.

use crate::directory::Vm;
use crate::ids::GroupName;
use crate::ids::ProxyName;
use crate::ids::ZoneName;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use twox_hash::XxHash64;

/// The maximum number of homes of a group. With more, each would have too few connections to reuse
/// them.
pub const HOMES_MAX: usize = 8;

/// The minimum number of connections per server that justifies a home.
pub const HOME_CONNECTIONS_MIN: u32 = 2;

/// Connections per server that are never allocated.
///
/// A holder that resumes after a pause, when its share has been reclaimed, finds a free connection
/// instead of being refused.
pub const RESERVED_CONNECTIONS: u32 = 1;

/// Returns the rendezvous weight of `member` for `key`. Members with the greatest weights are
/// chosen.
///
/// # Examples
///
/// ```
/// use endivereach_core::homes::weight;
/// let member = "entry-1".into();
/// assert_eq!(weight("bookings", &member), weight("bookings", &member));
/// ```
pub fn weight(key: &str, member: &ProxyName) -> u64 {
    let seed = XxHash64::oneshot(0, key.as_bytes());
    XxHash64::oneshot(seed, member.as_str().as_bytes())
}

/// Returns the number of homes of a group, given the connections that one server accepts.
///
/// # Examples
///
/// ```
/// use endivereach_core::homes::home_count;
/// assert_eq!(home_count(16), 7);
/// assert_eq!(home_count(1), 1);
/// ```
pub fn home_count(connections_per_server: u32) -> usize {
    let shared = connections_per_server.saturating_sub(RESERVED_CONNECTIONS);
    let homes = (shared / HOME_CONNECTIONS_MIN) as usize;
    homes.clamp(1, HOMES_MAX)
}

/// Returns the first `count` members for `key`, spread over availability zones.
///
/// The member with the greatest weight in each zone comes first, then the second of each zone, and
/// so on. Leaving members are never chosen. A member that joins or leaves changes at most two of
/// the chosen.
pub fn spread<'a>(key: &str, members: &'a [Vm], count: usize) -> Vec<&'a Vm> {
    let mut weighted: Vec<(u64, &Vm)> = members
        .iter()
        .filter(|member| !member.leaving)
        .map(|member| (weight(key, &member.name), member))
        .collect();
    weighted.sort_by(|(a, left), (b, right)| b.cmp(a).then_with(|| left.name.cmp(&right.name)));
    weighted.dedup_by(|(_, left), (_, right)| left.name == right.name);

    let mut rank_by_zone: BTreeMap<&ZoneName, usize> = BTreeMap::new();
    let mut ranked: Vec<(usize, Reverse<u64>, &Vm)> = Vec::with_capacity(weighted.len());
    for (weight, member) in weighted {
        let rank = rank_by_zone.entry(&member.zone).or_default();
        ranked.push((*rank, Reverse(weight), member));
        *rank += 1;
    }
    ranked.sort_by_key(|(rank, weight, _)| (*rank, *weight));
    ranked
        .into_iter()
        .take(count)
        .map(|(_, _, member)| member)
        .collect()
}

/// Returns the homes of a group, in the order of [`spread`].
pub fn homes<'a>(group: &GroupName, members: &'a [Vm], connections_per_server: u32) -> Vec<&'a Vm> {
    spread(group.as_str(), members, home_count(connections_per_server))
}

/// Returns the home that a session is forwarded to: one in the proxy's own zone, if any answers
/// there. Successive values of `round_robin` select different homes, which balances the sessions.
///
/// # Examples
///
/// ```
/// use endivereach_core::directory::Vm;
/// use endivereach_core::homes::nearest;
///
/// let vm = |name: &str, zone: &str| Vm {
///     name: name.into(),
///     region: "north".into(),
///     zone: zone.into(),
///     peer_addr: "127.0.0.1:1".parse().unwrap(),
///     sql_addr: "127.0.0.1:2".parse().unwrap(),
///     leaving: false,
/// };
/// let (far, near) = (vm("entry-1", "koege"), vm("entry-2", "roskilde"));
/// let homes = [&far, &near];
/// let zone = "roskilde".into();
/// assert_eq!(nearest(&homes, &zone, 0, |_| false), Some(&near));
/// assert_eq!(nearest(&homes, &zone, 0, |home| home == &near), Some(&far));
/// ```
pub fn nearest<'a>(
    homes: &[&'a Vm],
    zone: &ZoneName,
    round_robin: usize,
    is_failing: impl Fn(&Vm) -> bool,
) -> Option<&'a Vm> {
    let answering = || homes.iter().filter(|home| !is_failing(home));
    let near: Vec<&&Vm> = answering().filter(|home| &home.zone == zone).collect();
    let choice = if near.is_empty() {
        answering().collect()
    } else {
        near
    };
    let index = round_robin.checked_rem(choice.len())?;
    Some(choice[index])
}

/// How far a session travels if a home serves it, nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Detour {
    /// The home is in the proxy's zone.
    None,
    /// The home is in another zone of the region, beside a server of the group: most reads cross
    /// between zones once.
    ToServer,
    /// The home is in another zone of the region without a server of the group: every statement
    /// crosses between zones twice.
    WithinRegion,
    /// The home is in another region.
    ToOtherRegion,
}

/// Returns the home that a session is forwarded to where the proxies are in several regions.
///
/// Load: the home of a zone restarts, and the zone's sessions need another one. A home in another
/// region delays every statement by the distance, and a session keeps its home until it ends, so one
/// of the own region is preferred, and among those one beside a server of the group.
///
/// # Examples
///
/// ```
/// use endivereach_core::directory::Vm;
/// use endivereach_core::homes::nearest_in_regions;
///
/// let vm = |name: &str, zone: &str, region: &str| Vm {
///     name: name.into(),
///     region: region.into(),
///     zone: zone.into(),
///     peer_addr: "127.0.0.1:1".parse().unwrap(),
///     sql_addr: "127.0.0.1:2".parse().unwrap(),
///     leaving: false,
/// };
/// let own = vm("entry-1", "koege", "east");
/// let near = vm("entry-2", "roskilde", "east");
/// let far = vm("entry-3", "aarhus", "west");
/// let homes = [&far, &near];
/// let is_near = |vm: &Vm| vm == &near;
/// assert_eq!(nearest_in_regions(&homes, &own, |_| false, 0, |_| false), Some(&near));
/// assert_eq!(nearest_in_regions(&homes, &own, |_| false, 0, is_near), Some(&far));
/// ```
pub fn nearest_in_regions<'a>(
    homes: &[&'a Vm],
    own: &Vm,
    has_server: impl Fn(&ZoneName) -> bool,
    round_robin: usize,
    is_failing: impl Fn(&Vm) -> bool,
) -> Option<&'a Vm> {
    let detour = |home: &Vm| match () {
        () if home.zone == own.zone => Detour::None,
        () if home.region != own.region => Detour::ToOtherRegion,
        () if has_server(&home.zone) => Detour::ToServer,
        () => Detour::WithinRegion,
    };
    let answering = || homes.iter().filter(|home| !is_failing(home));
    let least = answering().map(|home| detour(home)).min()?;
    let choice: Vec<&&Vm> = answering().filter(|home| detour(home) == least).collect();
    let index = round_robin.checked_rem(choice.len())?;
    Some(choice[index])
}

/// Returns whether members that stay are in several regions.
pub fn has_several_regions(members: &[Vm]) -> bool {
    let mut staying = members.iter().filter(|vm| !vm.leaving);
    let first = staying.next();
    first.is_some_and(|first| staying.any(|vm| vm.region != first.region))
}
