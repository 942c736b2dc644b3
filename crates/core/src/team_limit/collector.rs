//! Usage of a control replica's followers.

use {
    super::{PACE_LIFETIME, TeamPace, TeamUsage, USUAL_MEMORY, demand::DemandRate, seconds},
    crate::{collections::FastMap, names::SharedName, time::Micros},
    std::collections::BTreeMap,
};

/// Silence after which a follower counts as out of touch; two probes are missing then.
const SILENCE_TIMEOUT: Micros = Micros::from_millis(500);

/// Time for which a silent follower is taken to go on; one that died stops counting then.
const SILENCE_MAXIMUM: Micros = Micros::from_millis(4_500);

/// Longest time that is booked for silent followers at once, so that a pause of this replica is no usage.
const BOOKING_MAXIMUM: Micros = Micros::from_millis(300);

/// Operations of a team that the leader has not been told.
#[derive(Clone, Copy, Debug, Default)]
struct UsageSum {
    admitted: u32,
    refused: u32,
    /// Operations of silent followers, as far as they are less than one.
    estimated: f64,
}

/// Entry that follows this replica, or did so until a moment ago.
#[derive(Debug, Default)]
struct FollowerUsage {
    heard: Micros,
    usual: FastMap<SharedName, DemandRate>,
}

/// Usage of the followers of one control replica, and the paces of their teams.
#[derive(Debug, Default)]
pub struct UsageCollector {
    sums: BTreeMap<SharedName, UsageSum>,
    followers: FastMap<SharedName, FollowerUsage>,
    /// Newest time that was seen, and the time up to which silent followers are booked.
    now: Micros,
    booked: Micros,
    paces: Vec<TeamPace>,
    paced: Micros,
}

impl UsageCollector {
    /// Returns a collector without usage.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the report of an entry, which may be empty.
    pub fn record(&mut self, entry: &SharedName, usage: &[TeamUsage], now: Micros) {
        self.now = self.now.max(now);
        let follower = self.followers.entry(entry.clone()).or_default();
        follower.heard = self.now;
        for used in usage {
            let rate = follower.usual.entry(used.team.clone()).or_default();
            rate.record(f64::from(used.admitted), USUAL_MEMORY, now);
        }
        self.restore(usage);
    }

    /// Returns the usage of all followers that the leader has not been told yet.
    ///
    /// A silent follower may be cut off and admit its usual rate, which it does not report later. Its usual rate is
    /// added, so that the others don't use its part of the limit.
    pub fn take(&mut self) -> Vec<TeamUsage> {
        self.book_silent();
        let mut usage = Vec::with_capacity(self.sums.len());
        self.sums.retain(|team, sum| {
            let whole = sum.estimated as u32;
            let admitted = sum.admitted.saturating_add(whole);
            if admitted > 0 || sum.refused > 0 {
                usage.push(TeamUsage { team: team.clone(), admitted, refused: sum.refused });
            }
            *sum = UsageSum { estimated: sum.estimated - f64::from(whole), ..UsageSum::default() };
            sum.estimated > 0.0
        });
        usage
    }

    fn book_silent(&mut self) {
        let (now, elapsed) = (self.now, self.now.since(self.booked).0.min(BOOKING_MAXIMUM.0));
        self.booked = now;
        self.followers.retain(|_, follower| now.since(follower.heard) < SILENCE_MAXIMUM);
        for follower in self.followers.values() {
            if now.since(follower.heard) < SILENCE_TIMEOUT {
                continue;
            }
            for (team, rate) in &follower.usual {
                let sum = self.sums.entry(team.clone()).or_default();
                sum.estimated += rate.at(USUAL_MEMORY, follower.heard) * seconds(Micros(elapsed));
            }
        }
    }

    /// Returns the number of entries that follow this replica.
    #[must_use]
    pub fn followers(&self) -> usize {
        let in_touch = |follower: &&FollowerUsage| self.now.since(follower.heard) < SILENCE_TIMEOUT;
        self.followers.values().filter(in_touch).count()
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
        self.now = self.now.max(now);
        self.paces = paces.to_vec();
        self.paced = now;
    }

    /// Returns the paces for an entry: the same for all, since they are shares of its own demand.
    pub fn paces_for(&mut self, entry: &SharedName, now: Micros) -> Vec<TeamPace> {
        self.now = self.now.max(now);
        if let Some(follower) = self.followers.get_mut(entry) {
            follower.heard = self.now;
        }
        if now.since(self.paced) >= PACE_LIFETIME {
            return Vec::new();
        }
        self.paces.clone()
    }

    /// Ends the stream of an entry, which may be cut off or follow another replica.
    pub fn remove(&mut self, entry: &SharedName) {
        if let Some(follower) = self.followers.get_mut(entry) {
            follower.heard = Micros(follower.heard.0.min(self.now.since(SILENCE_TIMEOUT).0));
        }
    }
}
