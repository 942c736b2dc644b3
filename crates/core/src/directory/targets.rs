//! Reports of targets about themselves.

use {
    crate::{names::SharedName, route::TargetRole},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
    thiserror::Error,
};

/// Maximum length of a name in a report, in bytes.
pub const MAX_REPORT_NAME_BYTES: usize = 255;

/// Maximum number of slots of a target.
pub const MAX_TARGET_SLOTS: u32 = 65_535;

/// Latest start time of a process that is taken for one, in milliseconds since the Unix epoch: the year 2200.
const MAX_INCARNATION: u64 = 7_258_118_400_000;

/// Highest sequence number of a report: the largest integer up to which JSON writers agree.
const MAX_SEQUENCE: u64 = (1 << 53) - 1;

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

impl ReportOrder {
    /// Returns whether a process can have numbered a report so.
    #[must_use]
    pub const fn is_plausible(self) -> bool {
        self.incarnation <= MAX_INCARNATION && self.sequence <= MAX_SEQUENCE
    }

    /// Returns an order after this implausible one, also implausible; `None` after the highest order.
    fn successor(self) -> Option<Self> {
        if self.incarnation <= MAX_INCARNATION {
            return Some(Self { incarnation: MAX_INCARNATION + 1, sequence: 0 });
        }
        match self.sequence.checked_add(1) {
            Some(sequence) => Some(Self { sequence, ..self }),
            None => {
                self.incarnation.checked_add(1).map(|incarnation| Self { incarnation, sequence: 0 })
            }
        }
    }
}

/// Why a report is not recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReportFault {
    /// The name of the target, its group or its zone is empty or too long.
    #[error("a name is empty or longer than {MAX_REPORT_NAME_BYTES} bytes")]
    NameLength,
    /// The address is not an IP address and a port that a target can listen on.
    #[error("the address is not an IP address with a port from 1 to 65535")]
    Address,
    /// The number of slots is out of range.
    #[error("the number of slots is not from 1 to {MAX_TARGET_SLOTS}")]
    Slots,
    /// The start time or the sequence number is out of range.
    #[error("the start time or the sequence number is out of range")]
    Order,
    /// The target or its address is recorded for a group of the routes, and the report names a group that is not one of them.
    #[error("the target or its address belongs to another group, which is served")]
    UnknownGroup,
    /// Too many targets of groups without a rule are recorded.
    #[error("too many targets of unknown groups")]
    TooManyUnknown,
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
    /// Checks the report, which may come from anyone who reaches control.
    ///
    /// One with a later order than its target ever reaches would hide all that the target reports afterwards.
    ///
    /// # Errors
    ///
    /// Returns the first fault.
    pub fn check(&self) -> Result<(), ReportFault> {
        self.check_content()?;
        if self.order.is_plausible() { Ok(()) } else { Err(ReportFault::Order) }
    }

    /// Checks all but the order.
    ///
    /// # Errors
    ///
    /// Returns the first fault.
    pub fn check_content(&self) -> Result<(), ReportFault> {
        for name in [&self.target, &self.group, &self.zone] {
            if name.is_empty() || name.len() > MAX_REPORT_NAME_BYTES {
                return Err(ReportFault::NameLength);
            }
        }
        if self.address.parse::<SocketAddr>().is_ok_and(|address| address.port() > 0) {
            if (1..=MAX_TARGET_SLOTS).contains(&self.slots) {
                return Ok(());
            }
            return Err(ReportFault::Slots);
        }
        Err(ReportFault::Address)
    }

    /// Returns the report with an order after `recorded`, if that is one which the target never reaches.
    ///
    /// Earlier versions recorded such orders, and replicas of all versions have to apply a report alike.
    #[must_use]
    pub fn following(self, recorded: ReportOrder) -> Self {
        if recorded.is_plausible() { self } else { self.after(recorded) }
    }

    /// Returns the report with an order after `recorded`, whatever its own is: that of another writer may be later than any
    /// that the target reaches.
    #[must_use]
    pub fn replacing(self, recorded: ReportOrder) -> Self {
        if recorded < self.order { self } else { self.after(recorded) }
    }

    fn after(self, recorded: ReportOrder) -> Self {
        let order = recorded.successor().unwrap_or(self.order);
        Self { order, ..self }
    }

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
