//! Targets: connection pools for the servers of database groups, and the budget that limits them.

mod budget;
mod cancel;
mod connection;
mod login;
mod pool;

pub use self::budget::ConnectionBudget;
pub use self::budget::EqualSplit;

pub(crate) use self::cancel::CancelRegistration;
pub(crate) use self::cancel::CancelSlots;
pub(crate) use self::connection::CancelKey;
pub(crate) use self::connection::Connection;
pub(crate) use self::connection::ConnectionError;
pub(crate) use self::connection::InternalReply;
pub(crate) use self::connection::cancel;
pub(crate) use self::connection::command_tag;
pub(crate) use self::connection::has_input;
pub(crate) use self::connection::put_query;
pub(crate) use self::login::ReportedParameters;
pub(crate) use self::pool::AcquireError;
pub(crate) use self::pool::AcquireRequest;
pub(crate) use self::pool::Lease;
pub(crate) use self::pool::Pool;

use crate::callers::Counters;
use crate::context::Context;
use endivereach_core::directory::Member;
use endivereach_core::ids::GroupName;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::RwLock;

/// The connection pools of all groups in use.
#[derive(Debug)]
pub(crate) struct Targets {
    context: Arc<Context>,
    counters: Arc<Counters>,
    groups: Mutex<HashMap<GroupName, Arc<GroupPools>>>,
}

impl Targets {
    pub(crate) fn new(context: Arc<Context>, counters: Arc<Counters>) -> Self {
        Self {
            context,
            counters,
            groups: Mutex::default(),
        }
    }

    /// Returns the pools of one group, and creates them on first use.
    pub(crate) fn group(&self, name: &GroupName) -> Arc<GroupPools> {
        let mut groups = self.groups.lock().unwrap_or_else(PoisonError::into_inner);
        let group_pools = groups.entry(name.clone()).or_insert_with(|| {
            Arc::new(GroupPools {
                name: name.clone(),
                context: Arc::clone(&self.context),
                counters: Arc::clone(&self.counters),
                reported: Arc::default(),
                pools: RwLock::default(),
            })
        });
        Arc::clone(group_pools)
    }

    /// Returns the pools of every group in use.
    pub(crate) fn all(&self) -> Vec<Arc<GroupPools>> {
        let groups = self.groups.lock().unwrap_or_else(PoisonError::into_inner);
        groups.values().cloned().collect()
    }
}

/// The connection pools of one group, one for each server.
#[derive(Debug)]
pub(crate) struct GroupPools {
    name: GroupName,
    context: Arc<Context>,
    counters: Arc<Counters>,
    /// The parameters that the group's servers reported during the latest login.
    pub(crate) reported: Arc<ReportedParameters>,
    pools: RwLock<Vec<Arc<Pool>>>,
}

impl GroupPools {
    /// Returns the group's name.
    pub(crate) fn name(&self) -> &GroupName {
        &self.name
    }

    /// Returns the pool of one server. Creates the pool on first use, and replaces it when the
    /// server's address has changed.
    pub(crate) fn pool(&self, member: &Member) -> Arc<Pool> {
        let addr = self.context.settings.network.translate(member.sql_addr);
        let matches_member =
            |pool: &&Arc<Pool>| pool.address().addr == addr && pool.address().member == member.id;
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(pool) = pools.iter().find(matches_member) {
            return Arc::clone(pool);
        }
        drop(pools);
        let mut pools = self.pools.write().unwrap_or_else(PoisonError::into_inner);
        if let Some(pool) = pools.iter().find(matches_member) {
            return Arc::clone(pool);
        }
        let address = connection::Address {
            member: member.id.clone(),
            addr,
            database: self.name.as_str().into(),
        };
        for replaced in pools.extract_if(.., |pool| pool.address().member == member.id) {
            replaced.close_idle();
        }
        let (context, counters) = (Arc::clone(&self.context), Arc::clone(&self.counters));
        let pool = Arc::new(Pool::new(
            self.name.clone(),
            address,
            context,
            counters,
            Arc::clone(&self.reported),
        ));
        pools.push(Arc::clone(&pool));
        pool
    }

    /// Closes idle connections in excess of this process's share of each server's connections.
    pub(crate) fn trim(&self, budget: &impl ConnectionBudget, connections_per_server: u32) {
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        for pool in pools.iter() {
            let member = &pool.address().member;
            pool.trim(budget.share(&self.name, member, connections_per_server));
        }
    }
}
