//! Limits of teams over all entries: free admission within a bounded credit, and shares near the limit.
//!
//! An entry admits or refuses operations by its [`TeamLimiter`] and reports what it did. A replica of control sums the
//! reports of its followers in a [`UsageCollector`] and asks the leader, whose [`LimitLedger`] answers with paces. While
//! no leader answers, the replica's [`StandbyLedger`] bounds its followers by their part of each limit. An entry that reaches
//! no replica asks other entries, [`AdmissionPeers`], to count what it can't admit alone.

mod collector;
mod demand;
mod ledger;
mod limiter;
mod peers;
mod standby;

pub use {
    collector::UsageCollector,
    ledger::{ControlMembers, LimitLedger, UsageReport},
    limiter::{PeerVerdict, TeamLimiter},
    peers::{AdmissionPeers, PeerRequest},
    standby::StandbyLedger,
};

use crate::{directory::TeamLimit, names::SharedName, time::Micros};

/// Value of [`TeamPace::rate`] at which every operation is admitted.
pub const FULL_RATE: u64 = 1_000_000;

/// Time for which a pace holds without being renewed, while an entry is in touch.
const PACE_LIFETIME: Micros = Micros::from_millis(1_500);

/// Time over which the usual rate of an entry is averaged, so that its part of the team's rate is known when contact is
/// lost.
const USUAL_MEMORY: Micros = Micros::from_secs(5);

/// Span in seconds over which the tolerance of a limit is granted.
const TOLERANCE_SPAN: f64 = 5.0;

/// Part of a limit over `TOLERANCE_SPAN` that may be exceeded.
const TOLERANCE_PART: f64 = 0.1;

/// Operations that may be exceeded on top, which lets small teams vary.
const TOLERANCE_OPERATIONS: f64 = 20.0;

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

/// Share of a team's operations that every entry admits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamPace {
    /// Name of the team.
    pub team: SharedName,
    /// Rate of admission, in millionths of the operations that are asked for; `None` if the team is no longer near its
    /// limit.
    pub rate: Option<u64>,
}

/// Returns a duration in seconds.
#[must_use]
const fn seconds(span: Micros) -> f64 {
    span.0 as f64 / 1_000_000.0
}

/// Returns the operations by which a limit may be exceeded over `TOLERANCE_SPAN`.
const fn tolerance(limit: TeamLimit) -> f64 {
    let rate = limit.rate as f64 / 1_000.0;
    (rate * TOLERANCE_SPAN + limit.burst as f64) * TOLERANCE_PART + TOLERANCE_OPERATIONS
}
