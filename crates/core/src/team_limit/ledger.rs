//! Token buckets of all teams at the leader of control.

use {
    super::{TeamPace, TeamUsage},
    crate::{directory::TeamRule, names::SharedName, time::Micros},
    std::collections::BTreeMap,
};

/// Token buckets of the teams with a limit.
#[derive(Debug, Default)]
pub struct LimitLedger {}

impl LimitLedger {
    /// Returns a ledger without teams.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the limits of all teams.
    pub fn set_teams(&mut self, _teams: &BTreeMap<SharedName, TeamRule>, _now: Micros) {}

    /// Adds the usage of a replica's followers and returns the paces for them.
    pub fn record(
        &mut self,
        _replica: &SharedName,
        _usage: &[TeamUsage],
        _now: Micros,
    ) -> Vec<TeamPace> {
        Vec::new()
    }

    /// Forgets all buckets, since leadership is lost.
    pub fn clear(&mut self) {}
}
