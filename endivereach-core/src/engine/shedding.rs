//! Load: bursts and lost servers. Refuses statements that can't run in time, when they arrive and
//! when the group's state gets worse.
//!
//! This applies only to configurations with tenants.

use super::Engine;
use super::caller::Stage;
use super::group::Group;
use super::overload_counts::RefusalReason;
use super::sessions::busy_answer;
use super::sessions::queue_deadline;
use super::statement::CallerId;
use super::statement::SessionState;
use super::target::Target;
use crate::ids::GroupName;
use crate::ids::MemberId;
use crate::logfmt::LogValue;
use crate::queue::QueueEntry;
use crate::return_delay::Refused;
use crate::shedding::Ahead;
use crate::shedding::GroupRates;
use crate::shedding::ServerRate;
use crate::shedding::WaitingStatement;
use crate::tenants::TenantName;
use rand::Rng;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// The time in which a lost primary is usually replaced: 300 ms until its loss is established, and
/// 1,000 ms for the promotion, with some time for fencing.
const PRIMARY_REPLACEMENT_TIME: Duration = Duration::from_millis(1_500);

/// For how long a group may be without a known primary before it counts as lost. After a primary was
/// replaced, the probes that find its successor take less.
const UNKNOWN_PRIMARY_GRACE: Duration = Duration::from_millis(150);

/// For how long after its last [`Failure::Lagging`](super::statement::Failure::Lagging) reply a
/// replica counts as unable to run reads. It is tried every 60 ms.
const LAGGING_GRACE: Duration = Duration::from_millis(100);

/// What the last check of a group's waiting statements was based on.
#[derive(Debug, Default)]
pub(super) struct SheddingState {
    checked: GroupRates,
    had_primary: bool,
    primary_lost_at: Option<Instant>,
    /// Since when the loss of the primary counts.
    loss_counts_from: Option<Instant>,
}

/// Why a statement can't run in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Overdue {
    pub(super) expected_wait: Duration,
    pub(super) allowed_wait: Duration,
    pub(super) figures_age: Duration,
}

impl Engine {
    /// Records whether a group has a primary, and refuses the waiting statements that can't run in
    /// time if the group's state got worse since the last check.
    pub(super) fn shed_excess(&mut self, now: Instant, name: &GroupName) {
        if !self.has_tenants() {
            return;
        }
        self.record_primary_loss(now, name);
        let Some(group) = self.groups.get(name) else {
            return;
        };
        if group.queue.is_empty() {
            return;
        }
        let rates = self.group_rates(now, group);
        let is_worse = rates.are_known() && rates.is_worse_than(&group.shedding.checked);
        let excess = if is_worse {
            rates.excess(self.waiting_statements(now, group))
        } else {
            Vec::new()
        };
        if let Some(group) = self.groups.get_mut(name) {
            let checked = &mut group.shedding.checked;
            let is_better = checked.is_worse_than(&rates);
            if is_worse || is_better {
                *checked = rates;
            }
        }
        for (id, statement, expected_wait) in excess {
            let overdue = Overdue {
                expected_wait,
                allowed_wait: statement.allowed_wait,
                figures_age: rates.age(statement.needs_primary),
            };
            self.refuse_overdue(now, id, overdue);
        }
    }

    /// Queues a caller's statement, or refuses it at once if it can't run in time.
    pub(super) fn enqueue_of_tenant(&mut self, now: Instant, id: CallerId, entry: QueueEntry) {
        if let Some(overdue) = self.overdue_on_arrival(now, id, &entry) {
            self.refuse_overdue(now, id, overdue);
            return;
        }
        let Some(pending) = self.callers.get_mut(&id).and_then(|c| c.pending.as_mut()) else {
            return;
        };
        let name = pending.route.group.clone();
        if let Some(group) = self.groups.get_mut(&name) {
            let ticket = group.queue.insert(now, entry, id);
            pending.stage = Stage::Queued(ticket);
            self.changed_groups.insert(name);
        }
    }

    /// Returns why a statement that arrives can't run in time, or `None` if it may.
    fn overdue_on_arrival(
        &mut self,
        now: Instant,
        id: CallerId,
        entry: &QueueEntry,
    ) -> Option<Overdue> {
        let name = self.callers.get(&id)?.pending.as_ref()?.route.group.clone();
        self.record_primary_loss(now, &name);
        let group = self.groups.get(&name)?;
        if entry.last_start.is_some_and(|last| now > last) {
            return None;
        }
        let needs_primary = self.needs_primary(id);
        let rates = self.group_rates(now, group);
        if group.queue.is_empty() && rates.primary_delay.is_zero() {
            return None;
        }
        let allowed_wait = entry.limits.deadline.saturating_duration_since(now);
        // If the whole queue were ahead, which needs no look at it.
        let mut at_most = Ahead::default();
        match needs_primary {
            true => at_most.primary_only = group.queue.len(),
            false => at_most.others = group.queue.len(),
        }
        at_most.own = group.queue.len();
        let own_per_s = self.tenant_rate(now, group, entry.tenant.as_ref(), needs_primary);
        if rates.expected_wait(needs_primary, own_per_s, at_most)? <= allowed_wait {
            return None;
        }
        let ahead = Ahead {
            primary_only: group
                .queue
                .ahead_of(now, entry, |other| self.needs_primary(*other)),
            others: group
                .queue
                .ahead_of(now, entry, |other| !self.needs_primary(*other)),
            own: group.queue.ahead_of(now, entry, |other| {
                self.caller_tenant(*other) == entry.tenant.as_ref()
                    && self.needs_primary(*other) == needs_primary
            }),
        };
        let expected_wait = rates.expected_wait(needs_primary, own_per_s, ahead)?;
        let has_room = || ahead.own < self.free_places(now, group, id);
        if expected_wait <= allowed_wait || has_room() {
            return None;
        }
        Some(Overdue {
            expected_wait,
            allowed_wait,
            figures_age: rates.age(needs_primary),
        })
    }

    /// Refuses a statement that can't run in time.
    pub(super) fn refuse_overdue(&mut self, now: Instant, id: CallerId, overdue: Overdue) {
        let pending = self.callers.get(&id).and_then(|c| c.pending.as_ref());
        let Some(pending) = pending else {
            return;
        };
        log::info!(
            target: "request",
            "event=shed request={} group={} expected_ms={} allowed_ms={} figures_age_ms={}",
            LogValue(&pending.statement.request),
            LogValue(&pending.route.group),
            overdue.expected_wait.as_millis(),
            overdue.allowed_wait.as_millis(),
            overdue.figures_age.as_millis()
        );
        let reason = "too many statements wait";
        let counts = &mut self.counters.overload;
        counts.record_refusal(RefusalReason::Overload);
        let delay = self.return_delay(now, id, overdue.expected_wait);
        let answer = busy_answer(delay, reason, SessionState::Idle);
        self.refuse(now, id, answer);
    }

    /// Returns the delay after which a refused caller may repeat its statement: `default` without
    /// tenants, and otherwise drawn from the time in which the servers can serve it.
    pub(super) fn return_delay(
        &mut self,
        now: Instant,
        id: CallerId,
        default: Duration,
    ) -> Duration {
        if !self.has_tenants() {
            return default;
        }
        let needs_primary = self.needs_primary(id);
        let pending = self.callers.get(&id).and_then(|c| c.pending.as_ref());
        let group = pending.and_then(|pending| self.groups.get(&pending.route.group));
        let (Some(pending), Some(group)) = (pending, group) else {
            return default;
        };
        let rates = self.group_rates(now, group);
        let (rate, closed_for) = match needs_primary {
            true => (rates.primary, rates.primary_delay),
            false => (rates.primary.plus(rates.replicas), Duration::ZERO),
        };
        let service_time = if rate.per_s > 0.0 {
            Duration::from_secs_f64(1.0 / rate.per_s)
        } else {
            group.queue.share().average_service_time()
        };
        let closed_for = if rate.per_s > 0.0 {
            closed_for
        } else {
            closed_for.max(default)
        };
        let priority = pending.route.priority;
        let waiting = u32::try_from(group.queue.count_from(priority)).unwrap_or(u32::MAX);
        let refused = Refused {
            priority,
            closed_for,
            backlog: service_time.saturating_mul(waiting),
            service_time,
            spread_max: pending.route.statement_timeout,
        };
        let name = pending.route.group.clone();
        let draw = self.random.random();
        let group = self.groups.get_mut(&name);
        group.map_or(default, |group| {
            group.returns.next_delay(now, &refused, draw)
        })
    }

    fn waiting_statements(
        &self,
        now: Instant,
        group: &Group,
    ) -> impl Iterator<Item = (CallerId, WaitingStatement)> {
        let waiting = group.queue.in_order(now).into_iter();
        let mut tenants: BTreeMap<Option<&TenantName>, usize> = BTreeMap::new();
        let mut tenant_rates: BTreeMap<(usize, bool), Option<f64>> = BTreeMap::new();
        waiting.filter_map(move |(ticket, id)| {
            let pending = self.callers.get(id)?.pending.as_ref()?;
            let needs_primary = self.needs_primary(*id);
            let name = self.caller_tenant(*id);
            let next = tenants.len();
            let tenant = *tenants.entry(name).or_insert(next);
            let own_per_s = tenant_rates
                .entry((tenant, needs_primary))
                .or_insert_with(|| self.tenant_rate(now, group, name, needs_primary));
            let statement = WaitingStatement {
                needs_primary,
                tenant,
                own_per_s: *own_per_s,
                allowed_wait: queue_deadline(pending).saturating_duration_since(now),
                is_hopeless: group.queue.is_hopeless(now, ticket),
            };
            Some((*id, statement))
        })
    }

    /// Returns the rate at which a tenant's connections can run statements, in statements a second.
    /// A transaction holds its connection also during its pauses.
    fn tenant_rate(
        &self,
        now: Instant,
        group: &Group,
        tenant: Option<&TenantName>,
        needs_primary: bool,
    ) -> Option<f64> {
        let usage = group.usage.get(&tenant.cloned())?;
        let hold_time = usage.hold_time()?;
        let members = group.members.iter();
        let connections: usize = members
            .filter(|member| !needs_primary || group.primary_id() == Some(*member))
            .filter_map(|member| self.targets.get(member))
            .filter(|target| target.is_reachable() && !target.entry.leaving)
            .filter(|target| now >= target.lagging_until)
            .map(|target| self.tenant_limit(now, target, tenant))
            .sum();
        Some(connections as f64 / hold_time.as_secs_f64().max(f64::EPSILON))
    }

    fn record_primary_loss(&mut self, now: Instant, name: &GroupName) {
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        let primary = group.primary_id().and_then(|id| self.targets.get(id));
        let has_primary = primary.is_some_and(Target::is_reachable);
        let is_unreachable = primary.is_some_and(|target| !target.is_reachable());
        let state = &mut group.shedding;
        if has_primary {
            state.primary_lost_at = None;
            state.loss_counts_from = None;
        } else if state.had_primary {
            state.primary_lost_at = Some(now);
            state.loss_counts_from = Some(now + UNKNOWN_PRIMARY_GRACE);
        }
        if is_unreachable && state.primary_lost_at.is_some() {
            state.loss_counts_from = state.loss_counts_from.map(|from| from.min(now));
        }
        state.had_primary = has_primary;
    }

    /// Returns the rates at which this process can run statements in a group.
    ///
    /// By Little's law, each target answers as many statements at a time as this process may have
    /// in flight there, in its average response time, which includes the wait in its own queue. The
    /// connections that exist count: while statements wait, most of them are in use.
    fn group_rates(&self, now: Instant, group: &Group) -> GroupRates {
        let counts_from = group.shedding.loss_counts_from;
        let lost_at = group.shedding.primary_lost_at;
        let lost_at = lost_at.filter(|_| counts_from.is_some_and(|from| now >= from));
        let replaced_at = lost_at.map(|lost_at| lost_at + PRIMARY_REPLACEMENT_TIME);
        let remaining = replaced_at.map(|at| at.saturating_duration_since(now));
        let mut rates = GroupRates {
            primary_delay: remaining.unwrap_or_default(),
            ..GroupRates::default()
        };
        for member in &group.members {
            let Some(target) = self.targets.get(member) else {
                continue;
            };
            let is_primary = group.primary_id() == Some(member);
            if !target.is_reachable()
                || target.entry.leaving
                || (!is_primary && now < target.lagging_until + LAGGING_GRACE)
            {
                continue;
            }
            let connections = target.connections.len().max(1) as f64;
            let limit = target.concurrency.get().map_or(f64::INFINITY, f64::from);
            let response_time_s = target.response_time.as_secs_f64().max(f64::EPSILON);
            let measured_at = target.response_time_at;
            let age = measured_at.map(|at| now.saturating_duration_since(at));
            let rate = ServerRate {
                per_s: connections.min(limit) / response_time_s,
                age: age.unwrap_or(Duration::MAX),
            };
            let sum = match is_primary {
                true => &mut rates.primary,
                false => &mut rates.replicas,
            };
            *sum = sum.plus(rate);
        }
        rates
    }

    /// Returns how many more statements of a caller's tenant the targets that can run its statement
    /// would take at once.
    fn free_places(&self, now: Instant, group: &Group, id: CallerId) -> usize {
        let needs_primary = self.needs_primary(id);
        let may_run = |member: &&MemberId| !needs_primary || group.primary_id() == Some(*member);
        let members = group.members.iter().filter(may_run);
        let targets = members.filter_map(|member| self.targets.get(member));
        targets
            .filter(|target| target.is_reachable() && !target.entry.leaving)
            .filter(|target| target.admits_statement(now) && now >= target.lagging_until)
            .map(|target| {
                let tenant = self.caller_tenant(id);
                let idle = self.idle_connections(target, tenant).count();
                let held = self.tenant_connections(target, tenant).count();
                let limit = self.tenant_limit(now, target, tenant);
                let openable = if target.may_grow(now) {
                    limit.saturating_sub(held)
                } else {
                    0
                };
                let left = target.concurrency.get().map_or(usize::MAX, |limit| {
                    limit.saturating_sub(target.in_flight) as usize
                });
                (idle + openable).min(left)
            })
            .sum()
    }
}
