//! Usage of a control replica's followers.

use {
    super::{PACE_LIFETIME, TeamPace, TeamUsage},
    crate::{names::SharedName, time::Micros},
    std::{collections::BTreeMap, mem},
};

/// Operations of a team that the leader has not been told.
#[derive(Clone, Copy, Debug, Default)]
struct UsageSum {
    admitted: u32,
    refused: u32,
}

/// Usage of the followers of one control replica, and the paces of their teams.
#[derive(Debug, Default)]
pub struct UsageCollector {
    sums: BTreeMap<SharedName, UsageSum>,
    paces: Vec<TeamPace>,
    paced: Micros,
}

impl UsageCollector {
    /// Returns a collector without usage.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the report of an entry.
    pub fn record(&mut self, _entry: &SharedName, usage: &[TeamUsage], _now: Micros) {
        self.restore(usage);
    }

    /// Returns the usage of all followers that the leader has not been told yet.
    pub fn take(&mut self) -> Vec<TeamUsage> {
        let mut usage = Vec::with_capacity(self.sums.len());
        for (team, sum) in mem::take(&mut self.sums) {
            usage.push(TeamUsage { team, admitted: sum.admitted, refused: sum.refused });
        }
        usage
    }

    /// Puts back usage that the leader did not answer.
    pub fn restore(&mut self, usage: &[TeamUsage]) {
        for used in usage {
            let sum = self.sums.entry(used.team.clone()).or_default();
            sum.admitted = sum.admitted.saturating_add(used.admitted);
            sum.refused = sum.refused.saturating_add(used.refused);
        }
    }

    /// Takes the leader's paces, which replace the former ones.
    pub fn set_paces(&mut self, paces: &[TeamPace], now: Micros) {
        self.paces = paces.to_vec();
        self.paced = now;
    }

    /// Returns the paces for an entry: the same for all, since they are shares of its own demand.
    pub fn paces_for(&mut self, _entry: &SharedName, now: Micros) -> Vec<TeamPace> {
        if now.since(self.paced) >= PACE_LIFETIME {
            return Vec::new();
        }
        self.paces.clone()
    }

    /// Forgets an entry whose stream ended.
    pub const fn remove(&mut self, _entry: &SharedName) {}
}
