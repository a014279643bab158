//! This process's shares of the servers' connections, and the allocation of shares to all homes.

mod allocate;
mod demand;
mod reclaim;
mod view;

pub(crate) use self::allocate::release_shares;
pub(crate) use self::allocate::run;
pub(crate) use self::demand::DemandReport;
pub(crate) use self::demand::DemandReports;
pub(crate) use self::demand::PATH_DEMAND;
pub(crate) use self::demand::record_report;
pub use self::view::Budget;
pub(crate) use self::view::Shares;
