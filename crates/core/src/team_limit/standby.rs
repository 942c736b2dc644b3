//! Limits of teams at one control replica while it has no leader.

use {
    super::{
        TeamPace, TeamUsage,
        ledger::{LimitLedger, UsageReport},
    },
    crate::{directory::TeamRule, names::SharedName, time::Micros},
    std::{collections::BTreeMap, mem},
};

/// Bounds the followers of one replica by their part of each limit while no leader does.
///
/// Designed for a leader that is lost while entries are still in touch with their replicas. An entry alone sees too few
/// operations of a small team to tell its usual demand from a flood; a replica sees those of all its followers. Each
/// replica grants its part of the entries of each limit, so all of them together grant the limit once. Usage is counted
/// at all times, so that a team that has just used its burst gets no second one.
#[derive(Debug, Default)]
pub struct StandbyLedger {
    ledger: LimitLedger,
    /// Usage of the followers since the last call of [`StandbyLedger::update`].
    usage: BTreeMap<SharedName, TeamUsage>,
}

impl StandbyLedger {
    /// Returns a ledger without teams.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the limits of all teams.
    pub fn set_teams(&mut self, teams: &BTreeMap<SharedName, TeamRule>, now: Micros) {
        self.ledger.set_teams(teams, now);
    }

    /// Adds the usage that a follower reports.
    pub fn record(&mut self, usage: &[TeamUsage]) {
        for used in usage {
            let sum = self.usage.entry(used.team.clone()).or_insert_with(|| TeamUsage {
                team: used.team.clone(),
                admitted: 0,
                refused: 0,
            });
            sum.admitted = sum.admitted.saturating_add(used.admitted);
            sum.refused = sum.refused.saturating_add(used.refused);
        }
    }

    /// Books the usage and returns the paces for the followers, which are `part` of all entries.
    pub fn update(&mut self, part: f64, now: Micros) -> Vec<TeamPace> {
        let mut report = UsageReport::default();
        for (_, used) in mem::take(&mut self.usage) {
            report.usage.push(used);
        }
        self.ledger.record_alone(&report, part.clamp(0.0, 1.0), now)
    }

    /// Takes over the paces of a leader, which knows the usage of all entries.
    pub fn align(&mut self, paces: &[TeamPace]) {
        self.ledger.align(paces);
    }
}
