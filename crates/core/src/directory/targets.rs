//! What targets say of themselves.

use {
    crate::{names::SharedName, route::TargetRole},
    serde::{Deserialize, Serialize},
};

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// Takes work.
    Ready,
    /// Is leaving and takes no new work.
    Draining,
}

/// Order of the reports of one target name.
///
/// A process that starts again under the same name counts its reports anew, so the start goes first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ReportOrder {
    /// Start of the process in milliseconds since the Unix epoch; 0 if it does not tell.
    pub incarnation: u64,
    /// Number of the report.
    pub sequence: u64,
}

/// Report of a target about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// Name of the target, unique over all groups.
    pub target: SharedName,
    /// Group that it belongs to.
    pub group: SharedName,
    /// IP address and port.
    pub address: SharedName,
    /// Availability zone.
    pub zone: SharedName,
    /// Statements that it executes at a time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: TargetState,
    /// Role by its own account.
    pub role: TargetRole,
    /// Order among its reports.
    pub order: ReportOrder,
}

impl TargetReport {
    /// Returns whether a later report tells anything but its order.
    #[must_use]
    pub fn differs(&self, later: &Self) -> bool {
        let aligned = Self { order: later.order, ..self.clone() };
        aligned != *later || self.order.incarnation != later.order.incarnation
    }
}

/// A target that left, so that a late report does not bring it back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartedTarget {
    /// Name of the target.
    pub target: SharedName,
    /// Last start that is known of it; a later start is a new process.
    pub incarnation: u64,
}
