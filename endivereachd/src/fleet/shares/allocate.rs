//! The periodic work on shares: each home reports its demand and confirms lowered grants, and the
//! first reachable home of a group also moves shares to the homes with demand.

use super::demand::DemandReport;
use super::demand::GroupDemand;
use super::demand::PATH_DEMAND;
use super::reclaim::ReclaimTracker;
use super::view::GroupShares;
use crate::fleet::node::Node;
use crate::groups::GroupView;
use crate::groups::MemberView;
use crate::supervisor::Child;
use endivereach_core::directory::Vm;
use endivereach_core::ids::GroupName;
use endivereach_core::ids::ProxyName;
use endivereach_core::ids::Version;
use endivereach_core::logfmt::LogValue;
use endivereach_core::shares::Demand;
use endivereach_core::shares::SharesObject;
use endivereach_wire::member::MemberClient;
use endivereach_wire::platform::KIND_SHARES;
use endivereach_wire::platform::Object;
use endivereach_wire::platform::PutOutcome;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// The interval between two passes over the groups.
const ALLOCATION_INTERVAL: Duration = Duration::from_millis(200);

/// The minimum interval between two writes of one group's shares.
const WRITE_INTERVAL_MIN: Duration = Duration::from_millis(500);

/// The increase of the interval between two writes per group, which bounds the platform's writes
/// per second independently of the number of groups.
const WRITE_INTERVAL_PER_GROUP: Duration = Duration::from_millis(15);

/// The interval between two reports of unchanged demand.
const DEMAND_REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// The delay after the first failed write to the platform. It doubles up to [`RETRY_DELAY_MAX`].
const RETRY_DELAY_MIN: Duration = Duration::from_millis(500);

/// The maximum delay after a failed write to the platform.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(8);

/// How long a stopping process waits for its connections to close.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// The interval between two status calls to the servers while a process stops.
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The maximum number of attempts of a stopping process to write a group's shares after conflicts.
const RELEASE_ATTEMPTS_MAX: usize = 5;

/// The last reported demand for one group.
struct SentDemand {
    connections_wanted: u32,
    at: Instant,
}

/// The state that is kept between two passes.
struct Allocator {
    reported: BTreeMap<GroupName, SentDemand>,
    written_at: BTreeMap<GroupName, Instant>,
    reclaim_tracker: ReclaimTracker,
    retry_at: Instant,
    retry_delay: Duration,
    operation_count: u64,
}

/// Processes the shares of every group, until the supervisor stops.
pub(crate) fn run(node: &Node, child: &Child) -> anyhow::Result<()> {
    let mut allocator = Allocator {
        reported: BTreeMap::new(),
        written_at: BTreeMap::new(),
        reclaim_tracker: ReclaimTracker::default(),
        retry_at: Instant::now(),
        retry_delay: RETRY_DELAY_MIN,
        operation_count: 0,
    };
    while child.pause(ALLOCATION_INTERVAL) {
        let now = Instant::now();
        let members = node.homes.members(node);
        let groups = node.groups.all();
        let interval = WRITE_INTERVAL_MIN + WRITE_INTERVAL_PER_GROUP * groups.len() as u32;
        let mut reports = BTreeMap::<ProxyName, Vec<GroupDemand>>::new();
        for group in groups {
            let view = group.view();
            record_open_connections(node, &view);
            recount_open_connections(node, &view);
            let homes = reachable_homes(node, &view);
            let Some(first) = homes.first().cloned() else {
                continue;
            };
            let shares = node.shares.group(&view.name);
            allocator.collect_report(node, &view.name, &shares, &first, &mut reports, now);
            if !allocator.is_due(&view.name, interval, now) {
                continue;
            }
            let is_first = first.name == node.context.id.name;
            if let Some(next) = allocator.next_object(node, &view, &shares, &homes, is_first, now) {
                allocator.write(node, shares.version, next, now);
            }
        }
        send_reports(node, &members, reports);
    }
    Ok(())
}

/// Records a group's limit and the largest number of this process's connections that one of its
/// servers counts.
fn record_open_connections(node: &Node, view: &GroupView) {
    let own_id = node.context.id.to_string();
    let counted = |member: &crate::groups::MemberView| {
        let status = member.status.as_ref()?;
        let mine = status
            .connections
            .iter()
            .filter(|count| *count.holder == *own_id);
        Some(mine.map(|count| count.count).sum::<u32>())
    };
    let open = view.members.iter().filter_map(counted).max();
    node.shares
        .set_limit_and_open(&view.name, view.connections_per_server, open.unwrap_or(0));
}

/// Counts this process's connections by new status calls while it has more than its grant.
///
/// Another home waits for the difference, and the status of a healthy group can be seconds old.
fn recount_open_connections(node: &Node, view: &GroupView) {
    let shares = node.shares.group(&view.name);
    let own_name = &node.context.id.name;
    let object = shares.object.as_ref();
    let granted = object.map_or(0, |object| {
        object.holder(own_name).map_or(0, |holder| holder.granted)
    });
    if shares.open_connections <= granted {
        return;
    }
    let counts = view
        .members
        .iter()
        .map(|member| count_own_connections(node, member).unwrap_or(shares.open_connections));
    let open = counts.max().unwrap_or(shares.open_connections);
    node.shares
        .set_limit_and_open(&view.name, view.connections_per_server, open);
}

/// Returns the homes of a group that answer calls, ordered by rank.
fn reachable_homes(node: &Node, view: &GroupView) -> Vec<Vm> {
    let homes = node
        .homes
        .homes(node, &view.name, view.connections_per_server);
    let contents = node.fleet_state.lock();
    let own_name = &contents.own_vm.name;
    let is_reachable =
        |vm: &&Vm| &vm.name == own_name || contents.membership.is_answering(&vm.name);
    homes.iter().filter(is_reachable).cloned().collect()
}

impl Allocator {
    /// Adds a group's demand to the report for its first home, if it changed or was reported long
    /// ago.
    fn collect_report(
        &mut self,
        node: &Node,
        group: &GroupName,
        shares: &GroupShares,
        first: &Vm,
        reports: &mut BTreeMap<ProxyName, Vec<GroupDemand>>,
        now: Instant,
    ) {
        if first.name == node.context.id.name {
            return;
        }
        let connections_wanted = shares.connections_wanted(now);
        let last = self.reported.get(group);
        let needs_report = |last: &SentDemand| {
            last.connections_wanted != connections_wanted
                || (connections_wanted > 0 && now - last.at >= DEMAND_REPORT_INTERVAL)
        };
        if last.map_or(connections_wanted > 0, needs_report) {
            let demand = GroupDemand {
                group: group.clone(),
                connections_wanted,
            };
            reports.entry(first.name.clone()).or_default().push(demand);
            self.reported.insert(
                group.clone(),
                SentDemand {
                    connections_wanted,
                    at: now,
                },
            );
        }
    }

    fn is_due(&self, group: &GroupName, interval: Duration, now: Instant) -> bool {
        let written_at = self.written_at.get(group);
        now >= self.retry_at && written_at.is_none_or(|at| now - *at >= interval)
    }

    /// Returns the share object that this process should write, or `None` if no write is needed.
    fn next_object(
        &mut self,
        node: &Node,
        view: &GroupView,
        shares: &GroupShares,
        homes: &[Vm],
        is_first: bool,
        now: Instant,
    ) -> Option<SharesObject> {
        let limit = view.connections_per_server;
        let object = match &shares.object {
            Some(object) => object.clone(),
            // Without evidence from the platform an object may exist that this process doesn't
            // know.
            None if shares.version == Version::new(0)
                && node.shares.evidence_age(now).is_some() =>
            {
                SharesObject::new(view.name.clone(), limit)
            }
            None => return None,
        };
        let own_name = &node.context.id.name;
        if let Some(next) = object.confirm(own_name, shares.open_connections) {
            return Some(next);
        }
        if !is_first {
            return None;
        }
        if let Some(next) = self.reclaim_tracker.reclaim(node, view, &object, now) {
            node.counters.shares_reclaimed.increment();
            return Some(next);
        }
        let demands: Vec<Demand> = homes
            .iter()
            .map(|home| Demand {
                name: home.name.clone(),
                connections_wanted: if &home.name == own_name {
                    shares.connections_wanted(now)
                } else {
                    let reported = node
                        .demand_reports
                        .connections_wanted(&view.name, &home.name, now);
                    reported.unwrap_or(0)
                },
            })
            .collect();
        object.rebalance(limit, &demands)
    }

    /// Writes a group's shares unless their version has changed, and applies the stored object.
    fn write(&mut self, node: &Node, expected: Version, next: SharesObject, now: Instant) {
        let name = next.group.clone();
        self.operation_count += 1;
        let operation = format!("{}/shares/{}", node.context.id, self.operation_count);
        self.written_at.insert(name.clone(), now);
        node.counters.platform_writes.increment();
        let stored = node
            .platform
            .put(KIND_SHARES, name.as_str(), expected, &operation, &next);
        match stored {
            Ok(PutOutcome::Stored { version }) => {
                node.counters.shares_written.increment();
                node.shares.update_object(version, next);
                self.retry_delay = RETRY_DELAY_MIN;
            }
            Ok(PutOutcome::Conflict { current }) => {
                apply_current(node, current);
                self.retry_delay = RETRY_DELAY_MIN;
            }
            Err(error) => {
                // The write may have taken effect. The watch will show that, and a repeat would
                // conflict.
                log::debug!("writing the shares of {name} failed: {error}");
                node.counters.platform_calls_failed.increment();
                self.retry_at = now + self.retry_delay;
                self.retry_delay = (self.retry_delay * 2).min(RETRY_DELAY_MAX);
            }
        }
    }
}

fn apply_current(node: &Node, current: Option<Object>) {
    let Some(current) = current else { return };
    if let Err(reason) = node
        .shares
        .update_from_bytes(current.version, &current.value)
    {
        log::warn!(
            "shares of {} can't be decoded: {reason}",
            LogValue(&current.name)
        );
    }
}

fn send_reports(node: &Node, members: &[Vm], reports: BTreeMap<ProxyName, Vec<GroupDemand>>) {
    for (home, groups) in reports {
        let Some(home) = members.iter().find(|vm| vm.name == home) else {
            continue;
        };
        let report = DemandReport {
            from: node.context.id.name.clone(),
            groups,
        };
        let sent = node.call_peer(home, |addr| {
            let timeout = node.config.call_timeout;
            let http = &node.context.http;
            http.call::<_, ()>(addr, PATH_DEMAND, &report, timeout)
        });
        if let Err(error) = sent {
            log::debug!("reporting demand to {} failed: {error}", home.name);
        }
    }
}

/// Releases every share of this process after its connections are closed.
///
/// The pools close their idle connections as soon as the shares allow no connection. New status
/// calls then count the connections, because the status of a healthy group can be seconds old. A
/// share whose connections are still open is only withdrawn: the first home of the group reclaims
/// it once the servers count none of its connections.
pub(crate) fn release_shares(node: &Node) {
    let deadline = Instant::now() + RELEASE_TIMEOUT;
    let groups = node.groups.all();
    for group in &groups {
        node.shares.stop(&group.view().name);
    }
    for group in &groups {
        let view = group.view();
        let closed = wait_until_closed(node, &view, deadline);
        if !release_share(node, &view.name, closed) {
            log::info!(
                "shares of {} were not released; another home will reclaim them",
                view.name
            );
        }
    }
}

/// Waits until no server of a group counts a connection of this process. Returns whether that
/// happened.
fn wait_until_closed(node: &Node, view: &GroupView, deadline: Instant) -> bool {
    loop {
        if view
            .members
            .iter()
            .all(|member| has_no_connections(node, member))
        {
            return true;
        }
        if Instant::now() >= deadline {
            return false;
        }
        std::thread::sleep(RELEASE_POLL_INTERVAL);
    }
}

/// Returns whether a server answers a status call and counts no connection of this process.
fn has_no_connections(node: &Node, member: &MemberView) -> bool {
    count_own_connections(node, member) == Some(0)
}

/// Returns the number of this process's connections that a server counts, or `None` without an
/// answer.
fn count_own_connections(node: &Node, member: &MemberView) -> Option<u32> {
    let addr = node
        .context
        .settings
        .network
        .translate(member.member.control_addr);
    let client = MemberClient::new(node.context.http.clone(), addr);
    let own_id = node.context.id.to_string();
    let status = client.status(node.config.call_timeout).ok()?;
    let own = status.connections.iter();
    let own = own.filter(|count| *count.holder == *own_id);
    Some(own.map(|count| count.count).sum())
}

/// Releases this process's share of a group, or withdraws its grant while connections are open.
/// Returns whether the object was stored or needed no change.
fn release_share(node: &Node, group: &GroupName, closed: bool) -> bool {
    let own_name = &node.context.id.name;
    for attempt in 0..RELEASE_ATTEMPTS_MAX {
        let shares = node.shares.group(group);
        let object = shares.object.as_ref();
        let next = object.and_then(|object| match closed {
            true => object.release(own_name),
            false => object.withdraw(own_name),
        });
        let Some(next) = next else { return true };
        let operation = format!("{}/shares/hand-on/{group}/{attempt}", node.context.id);
        node.counters.platform_writes.increment();
        let name = group.as_str();
        match node
            .platform
            .put(KIND_SHARES, name, shares.version, &operation, &next)
        {
            Ok(PutOutcome::Stored { .. }) => return true,
            Ok(PutOutcome::Conflict { current }) => apply_current(node, current),
            Err(_) => return false,
        }
    }
    false
}
