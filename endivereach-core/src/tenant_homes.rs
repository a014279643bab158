//! The homes of tenants. Load: one tenant sends a quarter of all operations, and most VMs have an
//! eighth of a core.
//!
//! Every proxy computes the homes from the list of proxies and the routes alone, by rendezvous
//! hashing weighted by the VMs' CPU shares. The connections of a tenant are thus in one pool, and
//! its operations are counted where they pass. Two proxies with different lists may disagree for a
//! while, which costs connections but never runs a statement twice.

use crate::directory::Vm;
use crate::homes::weight;
use crate::ids::ZoneName;
use crate::tenants::TenantName;
use crate::tenants::Tenants;
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// The number of proxies in a ranking: the home, and two that serve while it can't.
pub const RANKING_LEN: usize = 3;

/// The CPU that the VM of a tenant with all operations would need, in thousandths of a core.
///
/// On the heaviest day measured, all proxies together used 450 on average. Peaks reach twice the
/// average, and half of a VM is left to its other tenants and to the sessions that it relays.
const WHOLE_LOAD_MILLICORES: u64 = 1_800;

crate::value! {
    /// The part of a core that a VM may use, in thousandths. The default is one core.
    #[serde(transparent)]
    pub struct CpuShare(u32);
}

impl CpuShare {
    /// Creates the share from thousandths of a core. Zero counts as one thousandth, so that every VM
    /// has a weight.
    pub fn from_millicores(millicores: u32) -> Self {
        Self(millicores.max(1))
    }

    /// Creates the share from a number of cores.
    ///
    /// # Examples
    ///
    /// ```
    /// use endivereach_core::tenant_homes::CpuShare;
    ///
    /// assert_eq!(CpuShare::from_cores(0.12), CpuShare::from_millicores(120));
    /// ```
    pub fn from_cores(cores: f64) -> Self {
        // The conversion saturates, and turns what isn't a number into zero.
        Self::from_millicores((cores * 1_000.0).round() as u32)
    }

    fn millicores(self) -> u32 {
        self.0.max(1)
    }
}

impl Default for CpuShare {
    fn default() -> Self {
        Self(1_000)
    }
}

/// A proxy that can be a home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HomeCandidate {
    /// The proxy's VM.
    pub vm: Vm,
    /// The CPU share of the VM.
    pub cpu_share: CpuShare,
}

/// The ranking of one tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Ranking {
    vms: Vec<Vm>,
    /// The CPU share that the tenant's home needs, at most that of the largest VM.
    needed: CpuShare,
}

/// The homes of all tenants, kept current as proxies join and leave.
///
/// # Examples
///
/// ```
/// use endivereach_core::directory::Vm;
/// use endivereach_core::tenant_homes::{CpuShare, HomeCandidate, TenantHomes};
/// use endivereach_core::tenants::{TenantLimits, Tenants};
///
/// let vm = Vm {
///     name: "entry-1".into(),
///     region: "north".into(),
///     zone: "koege".into(),
///     peer_addr: "127.0.0.1:1".parse().unwrap(),
///     sql_addr: "127.0.0.1:2".parse().unwrap(),
///     leaving: false,
/// };
/// let mut tenants = Tenants::default();
/// let limits = TenantLimits { rate_per_s: 20, burst: 20 };
/// tenants.limits.insert("harbour".into(), limits);
///
/// let mut homes = TenantHomes::default();
/// homes.set_tenants(Some(&tenants));
/// homes.set_members(vec![HomeCandidate { vm: vm.clone(), cpu_share: CpuShare::default() }]);
/// assert_eq!(homes.ranking(&"harbour".into()), [vm]);
/// assert_eq!(homes.ranking(&"pilots".into()), []);
/// ```
#[derive(Clone, Debug, Default)]
pub struct TenantHomes {
    /// The proxies that aren't leaving, ordered by name.
    members: Vec<HomeCandidate>,
    /// The part of all operations that each tenant may send, in millionths.
    parts: BTreeMap<TenantName, u64>,
    rankings: BTreeMap<TenantName, Ranking>,
    rankings_computed: u64,
}

impl TenantHomes {
    /// Sets the proxies. Those that are leaving are never homes. Returns whether a ranking changed.
    pub fn set_members(&mut self, mut members: Vec<HomeCandidate>) -> bool {
        members.retain(|member| !member.vm.leaving);
        members.sort_by(|a, b| a.vm.name.cmp(&b.vm.name));
        members.dedup_by(|a, b| a.vm.name == b.vm.name);
        if members == self.members {
            return false;
        }
        let before = std::mem::replace(&mut self.members, members);
        let left: Vec<&HomeCandidate> = missing_from(&self.members, &before);
        let joined: Vec<&HomeCandidate> = missing_from(&before, &self.members);
        let affected: Vec<TenantName> = self
            .rankings
            .iter()
            .filter(|(tenant, ranking)| {
                ranking.needed != self.needed(tenant)
                    || left.iter().any(|member| ranking.vms.contains(&member.vm))
                    || joined
                        .iter()
                        .any(|member| self.can_enter(tenant, ranking, member))
            })
            .map(|(tenant, _)| tenant.clone())
            .collect();
        self.compute(affected)
    }

    /// Sets the tenants; `None` if callers need no key. Returns whether a ranking changed.
    pub fn set_tenants(&mut self, tenants: Option<&Tenants>) -> bool {
        let no_limits = BTreeMap::new();
        let limits = tenants.map_or(&no_limits, |tenants| &tenants.limits);
        let total: u64 = limits.values().map(|l| u64::from(l.rate_per_s)).sum();
        let part = |rate: u32| u64::from(rate) * 1_000_000 / total.max(1);
        self.parts = limits
            .iter()
            .map(|(tenant, limits)| (tenant.clone(), part(limits.rate_per_s)))
            .collect();
        let before = self.rankings.len();
        let parts = &self.parts;
        self.rankings.retain(|tenant, _| parts.contains_key(tenant));
        let is_removed = self.rankings.len() < before;
        let is_affected = |tenant: &&TenantName| {
            let ranking = self.rankings.get(*tenant);
            ranking.is_none_or(|ranking| ranking.needed != self.needed(tenant))
        };
        let affected = self.parts.keys().filter(is_affected).cloned().collect();
        self.compute(affected) || is_removed
    }

    /// Returns the first three proxies for a tenant; the first is its home. The ranking is empty if
    /// the tenant or the list of proxies isn't known.
    ///
    /// The second is in another availability zone than the first where possible, so that the loss of
    /// a zone leaves one of them.
    pub fn ranking(&self, tenant: &TenantName) -> &[Vm] {
        let ranking = self.rankings.get(tenant);
        ranking.map_or(&[], |ranking| &ranking.vms)
    }

    /// Returns the tenants of the current routes, with their rankings.
    pub fn rankings(&self) -> impl Iterator<Item = (&TenantName, &[Vm])> {
        let rankings = self.rankings.iter();
        rankings.map(|(tenant, ranking)| (tenant, ranking.vms.as_slice()))
    }

    /// Returns how often a ranking was computed.
    pub fn rankings_computed(&self) -> u64 {
        self.rankings_computed
    }

    /// Returns the CPU share that the home of a tenant needs. If no VM is large enough, the largest
    /// are.
    fn needed(&self, tenant: &TenantName) -> CpuShare {
        let part = self.parts.get(tenant).copied().unwrap_or_default();
        let needed = u32::try_from(part * WHOLE_LOAD_MILLICORES / 1_000_000).unwrap_or(u32::MAX);
        let largest = self.members.iter().map(|member| member.cpu_share).max();
        CpuShare::from_millicores(needed).min(largest.unwrap_or_default())
    }

    /// Returns whether a proxy that joined can be in a ranking.
    fn can_enter(&self, tenant: &TenantName, ranking: &Ranking, joined: &HomeCandidate) -> bool {
        let rank = |vm: &Vm| {
            let member = self.members.iter().find(|member| member.vm == *vm);
            member.map(|member| Rank::new(tenant, member, ranking.needed))
        };
        let own = Rank::new(tenant, joined, ranking.needed);
        // With a worse rank than all of the ranking and in a zone of one of them, the proxy is never
        // preferred for its zone: the one in the ranking is.
        ranking.vms.len() < RANKING_LEN
            || !ranking.vms.iter().any(|vm| vm.zone == joined.vm.zone)
            || ranking
                .vms
                .iter()
                .any(|vm| rank(vm).is_none_or(|rank| own.compare(&rank).is_lt()))
    }

    /// Computes rankings again. Returns whether one of them changed.
    fn compute(&mut self, tenants: Vec<TenantName>) -> bool {
        let mut is_changed = false;
        for tenant in tenants {
            let needed = self.needed(&tenant);
            let vms = rank_all(&tenant, &self.members, needed);
            let ranking = Ranking { vms, needed };
            self.rankings_computed += 1;
            let before = self.rankings.insert(tenant, ranking.clone());
            is_changed |= before.is_none_or(|before| before.vms != ranking.vms);
        }
        is_changed
    }
}

/// Returns the members that `others` doesn't contain unchanged. Both are ordered by name.
fn missing_from<'m>(
    others: &[HomeCandidate],
    members: &'m [HomeCandidate],
) -> Vec<&'m HomeCandidate> {
    let is_missing = |member: &&HomeCandidate| {
        let index = others.binary_search_by(|other| other.vm.name.cmp(&member.vm.name));
        index.map_or(true, |index| others[index] != **member)
    };
    members.iter().filter(is_missing).collect()
}

/// How well a proxy suits a tenant, apart from its zone.
struct Rank<'m> {
    is_too_small: bool,
    /// The weighted distance of the proxy from the tenant; the smallest comes first.
    distance: f64,
    vm: &'m Vm,
}

impl<'m> Rank<'m> {
    fn new(tenant: &TenantName, member: &'m HomeCandidate, needed: CpuShare) -> Self {
        let hash = weight(&format!("tenant/{tenant}"), &member.vm.name);
        // A uniform number above 0 and up to 1. The smallest of exponentially distributed numbers
        // belongs to each proxy with a probability in proportion to its share.
        let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 1.0);
        Self {
            is_too_small: member.cpu_share < needed,
            distance: -uniform.ln() / f64::from(member.cpu_share.millicores()),
            vm: &member.vm,
        }
    }

    fn compare(&self, other: &Self) -> Ordering {
        self.is_too_small
            .cmp(&other.is_too_small)
            .then_with(|| self.distance.total_cmp(&other.distance))
            .then_with(|| self.vm.name.cmp(&other.vm.name))
    }
}

fn rank_all(tenant: &TenantName, members: &[HomeCandidate], needed: CpuShare) -> Vec<Vm> {
    let mut ranks: Vec<Rank<'_>> = members
        .iter()
        .map(|member| Rank::new(tenant, member, needed))
        .collect();
    ranks.sort_by(Rank::compare);
    let mut chosen: Vec<Vm> = Vec::with_capacity(RANKING_LEN);
    while chosen.len() < RANKING_LEN && !ranks.is_empty() {
        let is_used = |zone: &ZoneName| chosen.iter().any(|vm| vm.zone == *zone);
        let size = ranks[0].is_too_small;
        let index = ranks
            .iter()
            .position(|rank| rank.is_too_small == size && !is_used(&rank.vm.zone))
            .unwrap_or(0);
        chosen.push(ranks.remove(index).vm.clone());
    }
    chosen
}
