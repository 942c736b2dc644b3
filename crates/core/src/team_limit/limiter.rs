//! Admission of a team's operations at one entry.

use {
    super::{TeamPace, TeamUsage},
    crate::{collections::FastMap, directory::TeamRule, names::SharedName, time::Micros},
    std::sync::Arc,
};

/// Admission of the operations of all teams at one entry.
#[derive(Debug, Default)]
pub struct TeamLimiter {}

impl TeamLimiter {
    /// Returns a limiter that knows no team.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the teams and the number of entries from the directory.
    pub fn set_teams(
        &mut self,
        _teams: &FastMap<SharedName, Arc<TeamRule>>,
        _entries: usize,
        _now: Micros,
    ) {
    }

    /// Admits an operation of a team.
    ///
    /// # Errors
    ///
    /// Returns the time until the next operation of the team fits its limit.
    pub fn admit(&mut self, _team: &SharedName, _now: Micros) -> Result<(), Micros> {
        Ok(())
    }

    /// Returns the usage since the last report, to be acknowledged by the confirmation of `probe`.
    pub fn take_report(&mut self, _probe: Micros) -> Vec<TeamUsage> {
        Vec::new()
    }

    /// Returns whether a report should not wait for the interval.
    #[must_use]
    pub fn wants_report(&self) -> bool {
        false
    }

    /// Acknowledges all reports up to the one of `probe` and takes the paces that came back.
    pub fn record_confirmation(&mut self, _probe: Micros, _paces: &[TeamPace], _now: Micros) {}

    /// Puts unacknowledged reports into the next report again, since the stream that carried them is lost.
    pub fn record_disconnect(&mut self) {}
}
