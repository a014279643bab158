//! This process's shares of the servers' connections, and its duties for everybody's shares.

mod allocate;
mod demand;
mod reclaim;
mod view;

pub(crate) use self::allocate::hand_on;
pub(crate) use self::allocate::run;
pub(crate) use self::demand::DemandReport;
pub(crate) use self::demand::PATH_DEMAND;
pub(crate) use self::demand::Reports;
pub(crate) use self::demand::take_report;
pub use self::view::Budget;
pub(crate) use self::view::Shares;
