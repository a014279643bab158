//! Load: one tenant sends several times its usual rate beside many small tenants. Shares service
//! time among tenants, so that the backlog of one doesn't delay the others.

use crate::tenants::TenantName;
use std::collections::BTreeMap;
use std::time::Duration;

/// The maximum service time by which a tenant can be behind the one that used most. It bounds for
/// how long a tenant that was idle, or couldn't be served, precedes the others afterwards.
const CREDIT_MAX: Duration = Duration::from_millis(500);

/// The service time assumed for a statement before any was measured.
const SERVICE_TIME_INITIAL: Duration = Duration::from_millis(15);

/// The window of the moving average of service times.
const SERVICE_TIME_WINDOW: u32 = 16;

/// The maximum number of accounts, which bounds the memory. The accounts of tenants without waiting
/// statements that used least are removed first.
pub const ACCOUNTS_MAX: usize = 512;

/// The service time that tenants have used, as a virtual time for each tenant.
///
/// The tenant with the smallest virtual time is served next. A statement is charged with the average
/// service time when it is sent, and with the difference to its own when it is answered, so a lost
/// answer leaves no error behind.
///
/// # Examples
///
/// ```
/// use endivereach_core::fair_share::FairShare;
/// use std::time::Duration;
///
/// let hot = Some("harbour".into());
/// let small = Some("pilots".into());
/// let mut share = FairShare::default();
/// share.enter(&hot);
/// for _ in 0..10 {
///     share.record_start(&hot);
///     share.record_end(&hot, Duration::from_millis(30));
/// }
/// share.enter(&small);
/// assert_eq!(share.virtual_time(&small), share.virtual_time(&hot), "idle time earns nothing");
/// share.record_start(&hot);
/// assert!(share.virtual_time(&small) < share.virtual_time(&hot));
/// ```
#[derive(Clone, Debug)]
pub struct FairShare {
    accounts: BTreeMap<Option<TenantName>, Account>,
    /// The minimum virtual time of all tenants. Tenants without an account are at this time.
    floor: Duration,
    average_service_time: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Account {
    used: Duration,
    waiting: u32,
}

impl Default for FairShare {
    fn default() -> Self {
        Self {
            accounts: BTreeMap::new(),
            floor: Duration::ZERO,
            average_service_time: SERVICE_TIME_INITIAL,
        }
    }
}

impl FairShare {
    /// Counts a statement of a tenant that starts to wait. The first one starts at the minimum of
    /// the tenants that wait.
    pub fn enter(&mut self, tenant: &Option<TenantName>) {
        let entry_time = self.entry_time(tenant);
        let account = self.account(tenant);
        account.used = account.used.max(entry_time);
        account.waiting += 1;
    }

    /// Returns the virtual time of a tenant if it has waiting statements, and otherwise the one at
    /// which its next statement starts to wait.
    pub fn entry_time(&self, tenant: &Option<TenantName>) -> Duration {
        let own = self.virtual_time(tenant);
        if self.accounts.get(tenant).is_some_and(|a| a.waiting > 0) {
            return own;
        }
        let waiting = self.accounts.values().filter(|account| account.waiting > 0);
        let minimum = waiting.map(|account| account.used).min();
        own.max(minimum.unwrap_or_default())
    }

    /// Removes a statement of a tenant that doesn't wait any more.
    pub fn leave(&mut self, tenant: &Option<TenantName>) {
        if let Some(account) = self.accounts.get_mut(tenant) {
            account.waiting = account.waiting.saturating_sub(1);
        }
    }

    /// Charges a tenant for a statement that is sent to a server.
    pub fn record_start(&mut self, tenant: &Option<TenantName>) {
        let charge = self.average_service_time;
        let account = self.account(tenant);
        account.used += charge;
        let used = account.used;
        self.floor = self.floor.max(used.saturating_sub(CREDIT_MAX));
    }

    /// Corrects the charge for a statement that ended after it took `service_time` of a slot.
    pub fn record_end(&mut self, tenant: &Option<TenantName>, service_time: Duration) {
        let charged = self.average_service_time;
        let account = self.account(tenant);
        account.used = (account.used + service_time).saturating_sub(charged);
        if !service_time.is_zero() {
            self.average_service_time =
                (charged * (SERVICE_TIME_WINDOW - 1) + service_time) / SERVICE_TIME_WINDOW;
        }
    }

    /// Returns the virtual time of a tenant.
    pub fn virtual_time(&self, tenant: &Option<TenantName>) -> Duration {
        let used = self.accounts.get(tenant).map(|account| account.used);
        used.unwrap_or_default().max(self.floor)
    }

    /// Returns the average time that a statement takes of a slot.
    pub fn average_service_time(&self) -> Duration {
        self.average_service_time
    }

    /// Returns the number of accounts.
    pub fn account_count(&self) -> usize {
        self.accounts.len()
    }

    /// Returns the number of tenants with waiting statements.
    pub fn waiting_tenants(&self) -> usize {
        let waiting = self.accounts.values().filter(|account| account.waiting > 0);
        waiting.count()
    }

    fn account(&mut self, tenant: &Option<TenantName>) -> &mut Account {
        let floor = self.floor;
        if !self.accounts.contains_key(tenant) && self.accounts.len() >= ACCOUNTS_MAX {
            self.make_room();
        }
        let account = self.accounts.entry(tenant.clone()).or_default();
        account.used = account.used.max(floor);
        account
    }

    /// Removes the accounts that hold no information, or else the one that used least.
    fn make_room(&mut self) {
        let floor = self.floor;
        self.accounts
            .retain(|_, account| account.waiting > 0 || account.used > floor);
        if self.accounts.len() < ACCOUNTS_MAX {
            return;
        }
        let idle = self.accounts.iter().filter(|(_, a)| a.waiting == 0);
        let least = idle.min_by_key(|(_, a)| a.used).map(|(t, _)| t.clone());
        if let Some(least) = least {
            self.accounts.remove(&least);
        }
    }
}
