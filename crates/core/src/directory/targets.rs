//! Reports of targets about themselves.

use {
    crate::{names::SharedName, route::TargetRole},
    serde::{Deserialize, Serialize},
};

/// Whether a target accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// Accepts work.
    Ready,
    /// Is leaving and accepts no new work.
    Draining,
}

/// Ordering of the reports of one target name.
///
/// A process that restarts under the same name numbers its reports from the beginning, so the start time is compared
/// first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ReportOrder {
    /// Start time of the process in milliseconds since the Unix epoch; 0 if the process does not report it.
    pub incarnation: u64,
    /// Sequence number of the report since the start of the process.
    pub sequence: u64,
}

/// Report of a target about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// Name of the target, unique over all groups.
    pub target: SharedName,
    /// Group of the target.
    pub group: SharedName,
    /// IP address and port.
    pub address: SharedName,
    /// Availability zone.
    pub zone: SharedName,
    /// Number of statements that the target executes at a time.
    pub slots: u32,
    /// Whether the target accepts new work.
    pub state: TargetState,
    /// Role that the target reports.
    pub role: TargetRole,
    /// Position among the reports of this target.
    pub order: ReportOrder,
}

impl TargetReport {
    /// Returns whether a later report differs in anything but its sequence number.
    #[must_use]
    pub fn differs(&self, later: &Self) -> bool {
        let aligned = Self { order: later.order, ..self.clone() };
        aligned != *later || self.order.incarnation != later.order.incarnation
    }
}

/// Target that was removed; kept so that a late report does not add it again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartedTarget {
    /// Name of the target.
    pub target: SharedName,
    /// Last known start time of the target; a report with a later one comes from a new process.
    pub incarnation: u64,
}
