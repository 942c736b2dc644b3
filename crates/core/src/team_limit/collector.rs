//! Usage of a control replica's followers and the division of paces among them.

use {
    super::{TeamPace, TeamUsage},
    crate::{names::SharedName, time::Micros},
};

/// Usage of the followers of one control replica, and the paces of their teams.
#[derive(Debug, Default)]
pub struct UsageCollector {}

impl UsageCollector {
    /// Returns a collector without usage.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the report of an entry.
    pub fn record(&mut self, _entry: &SharedName, _usage: &[TeamUsage], _now: Micros) {}

    /// Returns the usage of all followers that the leader has not been told yet.
    pub fn take(&mut self) -> Vec<TeamUsage> {
        Vec::new()
    }

    /// Puts back usage that the leader did not answer.
    pub fn restore(&mut self, _usage: &[TeamUsage]) {}

    /// Takes the leader's paces for all followers of this replica.
    pub fn set_paces(&mut self, _paces: &[TeamPace], _now: Micros) {}

    /// Returns the part of the paces that is an entry's.
    pub fn paces_for(&mut self, _entry: &SharedName, _now: Micros) -> Vec<TeamPace> {
        Vec::new()
    }

    /// Forgets the demand of an entry whose stream ended.
    pub fn remove(&mut self, _entry: &SharedName) {}
}
