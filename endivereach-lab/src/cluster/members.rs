//! The servers of a deployment's groups.

use super::CONTROL_TIMEOUT;
use super::Cluster;
use crate::history::FinalState;
use crate::member::MemberCounters;
use crate::member::MemberFault;
use crate::member::PATH_COUNTERS;
use crate::member::PATH_FAULT;
use crate::member::RESERVED_APPLICATION_NAME;
use crate::process::Process;
use crate::process::workspace_program_path;
use crate::sql::Answer;
use crate::sql::Login;
use crate::sql::Parameter;
use crate::sql::SqlClient;
use anyhow::Context;
use endivereach_core::directory::GroupObject;
use endivereach_wire::member::MemberClient;
use endivereach_wire::member::MemberRole;
use endivereach_wire::member::MemberStatus;
use endivereach_wire::platform::KIND_GROUP;
use endivereach_wire::platform::PutOutcome;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// How long [`Cluster::final_state`] waits for a primary.
const PRIMARY_TIMEOUT: Duration = Duration::from_secs(20);

/// The interval between two attempts to read a group's final state.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The maximum number of attempts of [`Cluster::set_leaving`], which fail when the group's object
/// changes concurrently.
const SET_LEAVING_ATTEMPTS_MAX: usize = 20;

/// The line that a server prints to standard output when it is ready.
#[derive(Debug, serde::Deserialize)]
struct MemberReadyLine {
    sql_addr: SocketAddr,
    control_addr: SocketAddr,
}

/// A running server of a group.
#[derive(Debug)]
pub struct MemberProcess {
    process: Process,
    sql_addr: SocketAddr,
    control_addr: SocketAddr,
}

impl MemberProcess {
    /// Returns the process.
    pub fn process(&self) -> &Process {
        &self.process
    }

    /// Returns the process, mutably.
    pub fn process_mut(&mut self) -> &mut Process {
        &mut self.process
    }

    /// Returns the database address of the process itself, which bypasses the links.
    pub fn sql_addr(&self) -> SocketAddr {
        self.sql_addr
    }

    /// Returns the control address of the process itself, which bypasses the links.
    pub fn control_addr(&self) -> SocketAddr {
        self.control_addr
    }
}

impl Cluster {
    /// Returns the server with the given indices.
    pub fn member(&self, group: usize, member: usize) -> &MemberProcess {
        &self.members[group][member]
    }

    /// Returns a server, mutably.
    pub fn member_mut(&mut self, group: usize, member: usize) -> &mut MemberProcess {
        &mut self.members[group][member]
    }

    /// Reads the status of a server, bypassing the links.
    ///
    /// # Errors
    ///
    /// Returns an error when the server doesn't answer.
    pub fn member_status(&self, group: usize, member: usize) -> anyhow::Result<MemberStatus> {
        let addr = self.members[group][member].control_addr;
        let status = MemberClient::new(self.http.clone(), addr).status(CONTROL_TIMEOUT)?;
        Ok(status)
    }

    /// Returns the index of the unfenced primary with the highest term, if there is one.
    pub fn primary(&self, group: usize) -> Option<usize> {
        let primary_term = |member: usize| {
            let status = self.member_status(group, member).ok()?;
            let is_primary = status.role == MemberRole::Primary && status.is_unfenced();
            is_primary.then_some((status.term, member))
        };
        let members = 0..self.topology.members_per_group;
        members
            .filter_map(primary_term)
            .max()
            .map(|(_, member)| member)
    }

    /// Kills a server if it still runs, and starts it again on the same data.
    ///
    /// # Errors
    ///
    /// Returns an error when the new process can't be started or isn't ready.
    pub fn restart_member(&mut self, group: usize, member: usize) -> anyhow::Result<()> {
        self.members[group][member].process.kill();
        self.members[group][member] = self.start_member(group, member)?;
        Ok(())
    }

    /// Reads the rows that a group's current primary holds.
    ///
    /// # Errors
    ///
    /// Returns an error when no primary can be read within `PRIMARY_TIMEOUT`.
    pub fn final_state(&self, group: usize) -> anyhow::Result<FinalState> {
        let deadline = Instant::now() + PRIMARY_TIMEOUT;
        loop {
            match self.read_state(group) {
                Ok(state) => return Ok(state),
                Err(error) if Instant::now() >= deadline => return Err(error),
                Err(_) => thread::sleep(POLL_INTERVAL),
            }
        }
    }

    fn read_state(&self, group: usize) -> anyhow::Result<FinalState> {
        let primary = self.primary(group).context("the group has no primary")?;
        let login = Login {
            user: "lab".into(),
            database: self.topology.group_name(group).as_str().into(),
            parameters: vec![Parameter {
                name: "application_name".into(),
                value: RESERVED_APPLICATION_NAME.into(),
            }],
        };
        let addr = self.members[group][primary].sql_addr;
        let mut client = SqlClient::connect(addr, &login, CONTROL_TIMEOUT)?;
        Ok(FinalState {
            bookings: client
                .query("SELECT id FROM bookings")?
                .rows
                .into_iter()
                .filter_map(|row| row.into_iter().next().flatten())
                .collect(),
            counters: caller_counters(&client.query("SELECT key, value FROM registers")?),
            pairs: pairs(&client.query("SELECT id, holder FROM wayleaves")?),
        })
    }

    /// Replaces the faults injected into a server.
    ///
    /// # Errors
    ///
    /// Returns an error when the server doesn't answer.
    pub fn set_member_fault(
        &self,
        group: usize,
        member: usize,
        fault: &MemberFault,
    ) -> anyhow::Result<()> {
        let addr = self.members[group][member].control_addr;
        self.http
            .call::<_, ()>(addr, PATH_FAULT, fault, CONTROL_TIMEOUT)?;
        Ok(())
    }

    /// Reads the counters of a server.
    ///
    /// # Errors
    ///
    /// Returns an error when the server doesn't answer.
    pub fn member_counters(&self, group: usize, member: usize) -> anyhow::Result<MemberCounters> {
        let addr = self.members[group][member].control_addr;
        let counters = self.http.call(addr, PATH_COUNTERS, &(), CONTROL_TIMEOUT)?;
        Ok(counters)
    }

    /// Reads the counters of every reachable server.
    pub fn all_counters(&self) -> Vec<MemberCounters> {
        let servers = (0..self.topology.groups).flat_map(|group| {
            (0..self.topology.members_per_group).map(move |member| (group, member))
        });
        servers
            .filter_map(|(group, member)| self.member_counters(group, member).ok())
            .collect()
    }

    /// Marks a server as leaving in its group's object.
    ///
    /// # Errors
    ///
    /// Returns an error when the object can't be changed.
    pub fn set_leaving(&self, group: usize, member: usize) -> anyhow::Result<()> {
        let name = self.topology.group_name(group);
        let id = self.topology.member_id(group, member);
        let platform = self.platform();
        for attempt in 0..SET_LEAVING_ATTEMPTS_MAX {
            let object = platform.get(KIND_GROUP, name.as_str())?;
            let object = object.context("the platform has no object for the group")?;
            let mut value: GroupObject = object.decode().map_err(anyhow::Error::msg)?;
            for member in value.members.iter_mut().filter(|member| member.id == id) {
                member.leaving = true;
            }
            let op_id = format!("lab-leaving-{attempt}");
            let outcome =
                platform.put(KIND_GROUP, name.as_str(), object.version, &op_id, &value)?;
            if matches!(outcome, PutOutcome::Stored { .. }) {
                return Ok(());
            }
        }
        anyhow::bail!("the object of group {name} changed during every attempt; try again")
    }

    pub(super) fn start_members(&mut self) -> anyhow::Result<()> {
        for group in 0..self.topology.groups {
            self.members.push(Vec::new());
            for member in 0..self.topology.members_per_group {
                let process = self.start_member(group, member)?;
                self.members[group].push(process);
            }
        }
        Ok(())
    }

    fn start_member(&mut self, group: usize, member: usize) -> anyhow::Result<MemberProcess> {
        let id = self.topology.member_id(group, member);
        let lab = workspace_program_path("endivereach-lab")?;
        let args = self.member_args(group, member)?;
        let (process, ready): (_, MemberReadyLine) =
            Process::spawn(id.as_str(), &lab, &args, &self.folder)?;
        self.links
            .set_member(group, member, ready.sql_addr, ready.control_addr);
        Ok(MemberProcess {
            process,
            sql_addr: ready.sql_addr,
            control_addr: ready.control_addr,
        })
    }

    fn member_args(&self, group: usize, member: usize) -> anyhow::Result<Vec<String>> {
        let id = self.topology.member_id(group, member);
        let folder = self.folder.join(id.as_str());
        std::fs::create_dir_all(&folder)?;
        let peers = self.links.member_peers(&self.topology, group, member);
        let text = |value: &dyn std::fmt::Display| value.to_string();
        let mut args = vec![
            "member".into(),
            "--group".into(),
            text(&self.topology.group_name(group)),
            "--id".into(),
            text(&id),
            "--primary".into(),
            text(&self.topology.member_id(group, 0)),
            "--data-dir".into(),
            text(&folder.display()),
            "--connections".into(),
            text(&self.topology.connections_per_server),
            "--slots".into(),
            text(&self.topology.slots_per_server),
            "--service-us".into(),
            text(&self.topology.service_time.as_micros()),
            "--connect-ms".into(),
            text(&self.topology.connect_delay.as_millis()),
        ];
        for peer in peers {
            args.push("--peer".into());
            args.push(format!("{}={}", peer.id, peer.control_addr));
        }
        Ok(args)
    }
}

fn caller_counters(answer: &Answer) -> std::collections::BTreeMap<u32, i64> {
    let counter = |row: &crate::sql::TextRow| {
        let caller = row.first()?.as_deref()?.strip_prefix("caller-")?;
        let value = row.get(1)?.as_deref()?;
        Some((caller.parse().ok()?, value.parse().ok()?))
    };
    answer.rows.iter().filter_map(counter).collect()
}

fn pairs(answer: &Answer) -> std::collections::BTreeMap<Box<str>, Vec<Box<str>>> {
    let mut pairs = std::collections::BTreeMap::<_, Vec<_>>::new();
    for row in &answer.rows {
        let [Some(id), Some(holder)] = &row[..] else {
            continue;
        };
        let pair = id.rsplit_once('.').map_or(&**id, |(pair, _)| pair);
        pairs.entry(pair.into()).or_default().push(holder.clone());
    }
    pairs
}
