//! Limits of teams over all entries: free admission within a bounded credit, and paces near the limit.
//!
//! An entry admits or refuses operations by its [`TeamLimiter`] and reports what it did. A replica of control sums the
//! reports of its followers in a [`UsageCollector`] and asks the leader, whose [`LimitLedger`] answers with paces.

#![allow(clippy::missing_const_for_fn, reason = "the bodies are not written yet")]

mod collector;
mod ledger;
mod limiter;

pub use {collector::UsageCollector, ledger::LimitLedger, limiter::TeamLimiter};

use crate::names::SharedName;

/// Operations of a team since the last report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamUsage {
    /// Name of the team.
    pub team: SharedName,
    /// Operations that were admitted.
    pub admitted: u32,
    /// Operations that were refused because of the limit.
    pub refused: u32,
}

/// Rate at which operations of a team may be admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamPace {
    /// Name of the team.
    pub team: SharedName,
    /// Thousandths of an operation per second; `None` if the team is no longer near its limit.
    pub rate: Option<u64>,
}
