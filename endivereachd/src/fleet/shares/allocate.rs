//! The shares' slow duties: reporting demand, confirming lowered grants, and, for the first home of
//! a group that answers, moving shares to where they are needed.

use super::demand::DemandReport;
use super::demand::GroupDemand;
use super::demand::PATH_DEMAND;
use super::reclaim::Lapses;
use super::view::GroupShares;
use crate::fleet::node::Node;
use crate::groups::GroupView;
use crate::groups::MemberView;
use crate::supervisor::Child;
use endivereach_core::directory::Vm;
use endivereach_core::ids::GroupName;
use endivereach_core::ids::ProxyName;
use endivereach_core::ids::Version;
use endivereach_core::shares::Demand;
use endivereach_core::shares::SharesObject;
use endivereach_wire::member::MemberClient;
use endivereach_wire::platform::KIND_SHARES;
use endivereach_wire::platform::Object;
use endivereach_wire::platform::PutOutcome;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// How often the duties are looked at.
const TICK: Duration = Duration::from_millis(200);

/// The shortest time between two writes to one group's shares.
const WRITE_INTERVAL_MIN: Duration = Duration::from_millis(500);

/// How much longer the time between two writes gets with each group, so that the platform's writes
/// a second stay bounded however many groups there are.
const WRITE_INTERVAL_PER_GROUP: Duration = Duration::from_millis(15);

/// How often demand is reported again when it doesn't change.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// The pause after the platform didn't answer a write. It doubles up to [`PAUSE_MAX`].
const PAUSE_MIN: Duration = Duration::from_millis(500);

/// The longest pause after the platform didn't answer.
const PAUSE_MAX: Duration = Duration::from_secs(8);

/// How long a stopping process waits for its connections to be closed.
const HAND_ON_WAIT: Duration = Duration::from_secs(2);

/// The pause between two looks at the servers while a process stops.
const HAND_ON_LOOK: Duration = Duration::from_millis(50);

/// How often a stopping process writes a group's shares when others write them too.
const HAND_ON_ATTEMPTS: usize = 5;

/// What was last reported of one group.
struct Reported {
    wanted: u32,
    at: Instant,
}

/// What the duties remember between two looks.
struct Duties {
    reported: BTreeMap<GroupName, Reported>,
    written_at: BTreeMap<GroupName, Instant>,
    lapses: Lapses,
    retry_at: Instant,
    pause: Duration,
    operations: u64,
}

/// Does the duties of every group, until the tree stops.
pub(crate) fn run(node: &Node, child: &Child) -> anyhow::Result<()> {
    let mut duties = Duties {
        reported: BTreeMap::new(),
        written_at: BTreeMap::new(),
        lapses: Lapses::default(),
        retry_at: Instant::now(),
        pause: PAUSE_MIN,
        operations: 0,
    };
    while child.pause(TICK) {
        let now = Instant::now();
        let members = node.homes.members(node);
        let groups = node.groups.all();
        let interval = WRITE_INTERVAL_MIN + WRITE_INTERVAL_PER_GROUP * groups.len() as u32;
        let mut reports = BTreeMap::<ProxyName, Vec<GroupDemand>>::new();
        for group in groups {
            let view = group.view();
            note_group(node, &view);
            note_lowered(node, &view);
            let homes = answering_homes(node, &view);
            let Some(first) = homes.first().cloned() else {
                continue;
            };
            let shares = node.shares.group(&view.name);
            duties.collect_report(node, &view.name, &shares, &first, &mut reports, now);
            if !duties.is_due(&view.name, interval, now) {
                continue;
            }
            let is_first = first.name == node.context.id.name;
            if let Some(next) = duties.next_object(node, &view, &shares, &homes, is_first, now) {
                duties.write(node, shares.version, next, now);
            }
        }
        send_reports(node, &members, reports);
    }
    Ok(())
}

/// Takes in the limit of a group and what its servers count of this process's connections.
fn note_group(node: &Node, view: &GroupView) {
    let me = node.context.id.to_string();
    let counted = |member: &crate::groups::MemberView| {
        let status = member.status.as_ref()?;
        let mine = status
            .connections
            .iter()
            .filter(|count| *count.holder == *me);
        Some(mine.map(|count| count.count).sum::<u32>())
    };
    let open = view.members.iter().filter_map(counted).max();
    node.shares
        .note_open(&view.name, view.connections_per_server, open.unwrap_or(0));
}

/// Asks the servers afresh while this process has more connections than its grant, because somebody
/// waits for the difference and the statuses of calm times are seconds old.
fn note_lowered(node: &Node, view: &GroupView) {
    let shares = node.shares.group(&view.name);
    let me = &node.context.id.name;
    let object = shares.object.as_ref();
    let granted = object.map_or(0, |object| {
        object.holder(me).map_or(0, |holder| holder.granted)
    });
    if shares.open <= granted {
        return;
    }
    let counts = view
        .members
        .iter()
        .map(|member| count_own(node, member).unwrap_or(shares.open));
    let open = counts.max().unwrap_or(shares.open);
    node.shares
        .note_open(&view.name, view.connections_per_server, open);
}

/// Returns the homes of a group that answer, in their order.
fn answering_homes(node: &Node, view: &GroupView) -> Vec<Vm> {
    let homes = node
        .homes
        .homes(node, &view.name, view.connections_per_server);
    let contents = node.known.lock();
    let me = &contents.me.name;
    let answers = |vm: &&Vm| &vm.name == me || contents.membership.is_answering(&vm.name);
    homes.iter().filter(answers).cloned().collect()
}

impl Duties {
    /// Adds a group's demand to the report for its first home, when it changed or is old.
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
        let wanted = shares.wanted(now);
        let last = self.reported.get(group);
        let is_old = |last: &Reported| {
            last.wanted != wanted || (wanted > 0 && now - last.at >= REPORT_INTERVAL)
        };
        if last.map_or(wanted > 0, is_old) {
            let demand = GroupDemand {
                group: group.clone(),
                wanted,
            };
            reports.entry(first.name.clone()).or_default().push(demand);
            self.reported
                .insert(group.clone(), Reported { wanted, at: now });
        }
    }

    fn is_due(&self, group: &GroupName, interval: Duration, now: Instant) -> bool {
        let written_at = self.written_at.get(group);
        now >= self.retry_at && written_at.is_none_or(|at| now - *at >= interval)
    }

    /// Returns the share object as this process should write it, if it should.
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
            // Whether there is an object is known only once the platform's answer is.
            None if shares.version == Version::new(0)
                && node.shares.evidence_age(now).is_some() =>
            {
                SharesObject::new(view.name.clone(), limit)
            }
            None => return None,
        };
        let me = &node.context.id.name;
        if let Some(next) = object.confirm(me, shares.open) {
            return Some(next);
        }
        if !is_first {
            return None;
        }
        if let Some(next) = self.lapses.reclaim(node, view, &object, now) {
            node.counters.shares_reclaimed.add();
            return Some(next);
        }
        let demands: Vec<Demand> = homes
            .iter()
            .map(|home| Demand {
                name: home.name.clone(),
                wanted: if &home.name == me {
                    shares.wanted(now)
                } else {
                    let reported = node.reports.wanted(&view.name, &home.name, now);
                    reported.unwrap_or(0)
                },
            })
            .collect();
        object.rebalance(limit, &demands)
    }

    /// Writes a group's shares if nobody else did first, and takes in what is stored.
    fn write(&mut self, node: &Node, expected: Version, next: SharesObject, now: Instant) {
        let name = next.group.clone();
        self.operations += 1;
        let operation = format!("{}/shares/{}", node.context.id, self.operations);
        self.written_at.insert(name.clone(), now);
        node.counters.platform_writes.add();
        let stored = node
            .platform
            .put(KIND_SHARES, name.as_str(), expected, &operation, &next);
        match stored {
            Ok(PutOutcome::Stored { version }) => {
                node.counters.shares_written.add();
                node.shares.take(version, next);
                self.pause = PAUSE_MIN;
            }
            Ok(PutOutcome::Conflict { current }) => {
                take_current(node, current);
                self.pause = PAUSE_MIN;
            }
            Err(error) => {
                // The change may have taken effect: the watch tells, and a repeat would conflict.
                log::debug!("shares of {name}: {error}");
                node.counters.platform_calls_failed.add();
                self.retry_at = now + self.pause;
                self.pause = (self.pause * 2).min(PAUSE_MAX);
            }
        }
    }
}

fn take_current(node: &Node, current: Option<Object>) {
    let Some(current) = current else { return };
    if let Err(reason) = node.shares.learn(current.version, &current.value) {
        log::warn!("shares of {} can't be decoded: {reason}", current.name);
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
            log::debug!("report of demand to {}: {error}", home.name);
        }
    }
}

/// Gives up every share of this process, once its connections are closed.
///
/// The pools close their idle connections as soon as the shares are stopped. Each server is then
/// asked afresh, because the statuses of calm times are seconds old. A share whose connections are
/// still open is only withdrawn: the next first home takes it back on the evidence of the servers'
/// counts.
pub(crate) fn hand_on(node: &Node) {
    let deadline = Instant::now() + HAND_ON_WAIT;
    let groups = node.groups.all();
    for group in &groups {
        node.shares.stop(&group.view().name);
    }
    for group in &groups {
        let view = group.view();
        let closed = wait_until_closed(node, &view, deadline);
        if !give_up(node, &view.name, closed) {
            log::info!(
                "shares of {} are left to be taken back by others",
                view.name
            );
        }
    }
}

/// Waits until no server of a group counts a connection of this process.
fn wait_until_closed(node: &Node, view: &GroupView, deadline: Instant) -> bool {
    loop {
        if view.members.iter().all(|member| counts_none(node, member)) {
            return true;
        }
        if Instant::now() >= deadline {
            return false;
        }
        std::thread::sleep(HAND_ON_LOOK);
    }
}

/// Returns whether a server, asked now, counts no connection of this process.
fn counts_none(node: &Node, member: &MemberView) -> bool {
    count_own(node, member) == Some(0)
}

/// Returns how many connections of this process a server counts now, if it answers.
fn count_own(node: &Node, member: &MemberView) -> Option<u32> {
    let addr = node
        .context
        .settings
        .network
        .reach(member.member.control_addr);
    let client = MemberClient::new(node.context.http.clone(), addr);
    let me = node.context.id.to_string();
    let status = client.status(node.config.call_timeout).ok()?;
    let own = status.connections.iter();
    let own = own.filter(|count| *count.holder == *me);
    Some(own.map(|count| count.count).sum())
}

/// Releases this process's share of a group, or withdraws its grant while connections are open.
/// Returns whether nothing is left to be done.
fn give_up(node: &Node, group: &GroupName, closed: bool) -> bool {
    let me = &node.context.id.name;
    for attempt in 0..HAND_ON_ATTEMPTS {
        let shares = node.shares.group(group);
        let object = shares.object.as_ref();
        let next = object.and_then(|object| match closed {
            true => object.release(me),
            false => object.withdraw(me),
        });
        let Some(next) = next else { return true };
        let operation = format!("{}/shares/hand-on/{group}/{attempt}", node.context.id);
        node.counters.platform_writes.add();
        let name = group.as_str();
        match node
            .platform
            .put(KIND_SHARES, name, shares.version, &operation, &next)
        {
            Ok(PutOutcome::Stored { .. }) => return true,
            Ok(PutOutcome::Conflict { current }) => take_current(node, current),
            Err(_) => return false,
        }
    }
    false
}
