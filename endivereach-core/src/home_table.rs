//! The homes of all groups, kept current as proxies join and leave.
//!
//! The homes of one group depend on every proxy, so computing them costs one hash for each proxy. A
//! proxy that joins or leaves changes the homes of few groups, and whether it can change those of a
//! group follows from one hash.

use crate::directory::Vm;
use crate::homes;
use crate::ids::GroupName;
use crate::ids::ProxyName;
use crate::ids::ZoneName;
use std::collections::BTreeMap;

/// The homes of one group.
#[derive(Clone, Debug)]
struct GroupHomes {
    connections_per_server: u32,
    homes: Vec<Vm>,
}

impl GroupHomes {
    /// Returns whether the group can have other homes once `joined` is a member.
    fn is_affected_by(&self, group: &GroupName, joined: &Vm) -> bool {
        let Some(last) = self.homes.last() else {
            return true;
        };
        if self.homes.len() < homes::home_count(self.connections_per_server) {
            return true;
        }
        let weight = |vm: &Vm| homes::weight(group.as_str(), &vm.name);
        let own_weight = weight(joined);
        let exceeds = |home: &Vm| own_weight >= weight(home);
        let homes_of =
            |zone: &ZoneName| self.homes.iter().filter(|home| &home.zone == zone).count();
        // With a smaller weight than all homes of its zone, the proxy ranks behind them. It is then
        // chosen before the last home only by a better rank, or by the same rank and its weight.
        let rank = homes_of(&joined.zone);
        let last_rank = homes_of(&last.zone) - 1;
        let is_of_zone = |home: &&Vm| home.zone == joined.zone;
        rank < last_rank
            || (rank == last_rank && exceeds(last))
            || self.homes.iter().filter(is_of_zone).any(exceeds)
    }

    fn includes(&self, name: &ProxyName) -> bool {
        self.homes.iter().any(|home| &home.name == name)
    }
}

/// The homes of all groups.
///
/// # Invariants
///
/// The homes of each group are those that [`homes::homes`] returns for the members.
///
/// # Examples
///
/// ```
/// use endivereach_core::directory::Vm;
/// use endivereach_core::home_table::HomeTable;
///
/// let vm = Vm {
///     name: "entry-1".into(),
///     region: "north".into(),
///     zone: "koege".into(),
///     peer_addr: "127.0.0.1:1".parse().unwrap(),
///     sql_addr: "127.0.0.1:2".parse().unwrap(),
///     leaving: false,
/// };
/// let mut table = HomeTable::default();
/// let group = "bookings".into();
/// table.set_group(&group, 16);
/// assert_eq!(table.set_members(vec![vm.clone()]), [group.clone()]);
/// assert_eq!(table.homes(&group), [vm]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct HomeTable {
    members: Vec<Vm>,
    has_several_regions: bool,
    groups: BTreeMap<GroupName, GroupHomes>,
    groups_computed: u64,
}

impl HomeTable {
    /// Sets the members. Returns the groups whose homes were computed again.
    pub fn set_members(&mut self, members: Vec<Vm>) -> Vec<GroupName> {
        let by_name = |members: &[Vm]| -> BTreeMap<ProxyName, Vm> {
            let members = members.iter();
            members.map(|vm| (vm.name.clone(), vm.clone())).collect()
        };
        let (before, after) = (by_name(&self.members), by_name(&members));
        let differs = |vm: &&Vm, others: &BTreeMap<ProxyName, Vm>| others.get(&vm.name) != Some(vm);
        let left: Vec<&Vm> = before.values().filter(|vm| differs(vm, &after)).collect();
        let joined: Vec<&Vm> = after.values().filter(|vm| differs(vm, &before)).collect();
        let is_affected = |name: &GroupName, group: &GroupHomes| {
            left.iter().any(|vm| group.includes(&vm.name))
                || joined.iter().any(|vm| group.is_affected_by(name, vm))
        };
        let affected: Vec<GroupName> = self
            .groups
            .iter()
            .filter(|(name, group)| is_affected(name, group))
            .map(|(name, _)| name.clone())
            .collect();
        self.has_several_regions = homes::has_several_regions(&members);
        self.members = members;
        for name in &affected {
            self.compute(name);
        }
        affected
    }

    /// Adds a group, or changes the number of connections that one of its servers accepts. Returns
    /// whether the homes of the group were computed again.
    pub fn set_group(&mut self, name: &GroupName, connections_per_server: u32) -> bool {
        let known = self.groups.get(name);
        if known.is_some_and(|group| group.connections_per_server == connections_per_server) {
            return false;
        }
        let group = GroupHomes {
            connections_per_server,
            homes: Vec::new(),
        };
        self.groups.insert(name.clone(), group);
        self.compute(name);
        true
    }

    fn compute(&mut self, name: &GroupName) {
        if let Some(group) = self.groups.get_mut(name) {
            let homes = homes::homes(name, &self.members, group.connections_per_server);
            group.homes = homes.into_iter().cloned().collect();
            self.groups_computed += 1;
        }
    }

    /// Returns the members.
    pub fn members(&self) -> &[Vm] {
        &self.members
    }

    /// Returns whether the members are in several regions.
    pub fn has_several_regions(&self) -> bool {
        self.has_several_regions
    }

    /// Returns the homes of a group, in the order of [`homes::spread`].
    pub fn homes(&self, name: &GroupName) -> &[Vm] {
        self.groups.get(name).map_or(&[], |group| &group.homes)
    }

    /// Returns how often the homes of a group were computed.
    pub fn groups_computed(&self) -> u64 {
        self.groups_computed
    }
}
