//! Admission of a team's operations at one entry.

use {
    super::{
        FULL_RATE, PACE_LIFETIME, TeamPace, TeamUsage, USUAL_MEMORY, demand::DemandRate, seconds,
        tolerance,
    },
    crate::{
        collections::FastMap,
        directory::{TeamLimit, TeamRule},
        names::SharedName,
        time::Micros,
    },
    foldhash::fast::FixedState,
    std::{collections::VecDeque, hash::BuildHasher, mem, sync::Arc},
};

/// Age of the newest confirmed probe from which an entry counts itself as out of touch: two lost probes.
const CONTACT_TIMEOUT: Micros = Micros::from_millis(600);

/// Least credit of unacknowledged operations; a report takes less than half a second to be acknowledged.
const CREDIT_FLOOR: f64 = 8.0;

/// Part of the burst that an entry admits before it is acknowledged; a larger one would let a flood that begins when
/// entries are cut off take a second burst.
const CREDIT_BURST: f64 = 0.25;

/// Number of entries from which the credit falls with the square root of their number.
const CREDIT_ENTRIES: f64 = 16.0;

/// Seconds of its usual rate by which the credit of an entry is larger.
const CREDIT_SECONDS: f64 = 2.0;

/// A report is due when this part of the credit is unreported.
const REPORT_PART: f64 = 0.125;

/// Unreported operations below which a report can always wait for the interval.
const REPORT_FLOOR: f64 = 2.0;

/// Wait of a caller when the credit is used up: half a report interval, after which the reports are acknowledged.
const CREDIT_WAIT: Micros = Micros::from_millis(100);

/// Part of the tolerance of a limit that all entries out of touch admit together beyond their rates; the leader uses the
/// rest before it paces a team.
const ALONE_TOLERANCE: f64 = 0.75;

/// Part of the burst that all entries out of touch admit together beyond their rates.
const ALONE_BURST: f64 = 0.5;

/// Part of its usual rate that an entry out of touch admits.
const ALONE_USUAL: f64 = 0.9;

/// Part of the rate that is divided equally among entries out of touch, beside their usual demand.
const ALONE_PART: f64 = 0.3;

/// Part of the burst that all entries out of touch admit together if the team was near its limit.
const ALONE_PACED_BURST: f64 = 0.2;

/// Part of its usual rate that an entry out of touch admits if the team was near its limit, since those in touch use the
/// limit up.
const ALONE_PACE: f64 = 0.5;

/// Longest time to retry; the level of a bucket can't be foreseen longer.
const RETRY_MAXIMUM: f64 = 5.0;

/// Shortest time to retry.
const RETRY_MINIMUM: f64 = 0.005;

/// Time over which refused operations are spread.
const RETRY_SPREAD: f64 = 1.0;

/// Bucket of a team at an entry that is out of touch.
#[derive(Clone, Copy, Debug)]
struct AloneBucket {
    level: f64,
    capacity: f64,
    rate: f64,
    updated: Micros,
}

impl AloneBucket {
    fn new(capacity: f64, rate: f64, taken: f64, updated: Micros) -> Self {
        Self { level: capacity - taken, capacity, rate, updated }
    }

    fn refill(&mut self, now: Micros) {
        let gained = seconds(now.since(self.updated)) * self.rate;
        self.level = (self.level + gained).min(self.capacity.max(1.0));
        self.updated = self.updated.max(now);
    }
}

/// State of one team with a limit.
#[derive(Debug)]
struct TeamState {
    limit: TeamLimit,
    /// Operations that were admitted and acknowledged.
    usual: DemandRate,
    admitted: u32,
    refused: u32,
    unacknowledged: u32,
    /// Admitted part of the demand, and when it was confirmed last.
    share: f64,
    paced: Micros,
    /// Fraction of an operation that is carried to the next one, so that a share is met without chance.
    phase: f64,
    alone: Option<AloneBucket>,
}

impl TeamState {
    fn new(limit: TeamLimit, phase: f64) -> Self {
        Self {
            limit,
            usual: DemandRate::default(),
            admitted: 0,
            refused: 0,
            unacknowledged: 0,
            share: 1.0,
            paced: Micros::ZERO,
            phase,
            alone: None,
        }
    }

    const fn rate(&self) -> f64 {
        self.limit.rate as f64 / 1_000.0
    }

    fn credit(&self, entries: f64, now: Micros) -> f64 {
        let spread = CREDIT_BURST * (CREDIT_ENTRIES / entries).sqrt().min(1.0);
        let usual = self.usual.at(USUAL_MEMORY, now);
        (self.limit.burst as f64 * spread).max(CREDIT_FLOOR) + usual * CREDIT_SECONDS
    }

    /// Admits within the credit and the share of the team.
    fn admit_in_touch(&mut self, entries: f64, now: Micros) -> Result<(), Micros> {
        if f64::from(self.unacknowledged) >= self.credit(entries, now) {
            return Err(CREDIT_WAIT);
        }
        if now.since(self.paced) >= PACE_LIFETIME {
            self.share = 1.0;
        }
        if self.share >= 1.0 {
            return Ok(());
        }
        self.phase += self.share;
        if self.phase >= 1.0 {
            self.phase -= 1.0;
            return Ok(());
        }
        // The team's rate needs this long for what it refuses in `RETRY_SPREAD`.
        Err(self.retry((1.0 / self.share - 1.0) * RETRY_SPREAD))
    }

    /// Admits by the entry's own bucket.
    fn admit_alone(&mut self, entries: f64, contact: Micros, now: Micros) -> Result<(), Micros> {
        if self.alone.is_none() {
            self.alone = Some(self.open_alone(entries, contact, now));
        }
        let Some(bucket) = &mut self.alone else {
            return Ok(());
        };
        bucket.refill(now);
        // The phase lets a credit of half an operation admit one operation at every second entry.
        if bucket.level + self.phase >= 1.0 {
            bucket.level -= 1.0;
            return Ok(());
        }
        let missing = 1.0 - self.phase - bucket.level;
        let wait = missing / bucket.rate.max(f64::MIN_POSITIVE);
        Err(self.retry(wait))
    }

    /// Returns the bucket of an entry that lost contact, as of its last contact: its usual rate, a part of the team's
    /// rate, and a credit. Operations that are unacknowledged are taken out of it.
    fn open_alone(&self, entries: f64, contact: Micros, now: Micros) -> AloneBucket {
        let usual = self.usual.at(USUAL_MEMORY, now);
        let burst = self.limit.burst as f64 / entries;
        let taken = f64::from(self.unacknowledged);
        if self.share < 1.0 {
            return AloneBucket::new(burst * ALONE_PACED_BURST, usual * ALONE_PACE, taken, contact);
        }
        let capacity = burst * ALONE_BURST + tolerance(self.limit) * ALONE_TOLERANCE / entries;
        let rate = usual * ALONE_USUAL + self.rate() * ALONE_PART / entries;
        AloneBucket::new(capacity, rate, taken, contact)
    }

    /// Ends the time out of touch.
    ///
    /// What the entry's bucket gained meanwhile is part of the team's rate, so only what it took beyond is reported. A
    /// report of everything would count as one burst, since the leader's bucket was full.
    fn settle(&mut self, now: Micros) {
        let Some(mut bucket) = self.alone.take() else {
            return;
        };
        bucket.refill(now);
        let taken = (bucket.capacity - bucket.level).ceil().max(0.0) as u32;
        let settled = self.admitted.saturating_sub(taken);
        self.admitted -= settled;
        self.unacknowledged = self.unacknowledged.saturating_sub(settled);
        self.refused = 0;
    }

    fn retry(&self, wait: f64) -> Micros {
        let next = (1.0 / self.rate().max(f64::MIN_POSITIVE)).clamp(RETRY_MINIMUM, RETRY_MAXIMUM);
        Micros((wait.clamp(next, RETRY_MAXIMUM) * 1_000_000.0) as u64)
    }
}

/// Answer to an entry that is out of touch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerVerdict {
    /// The operation is admitted and counted.
    Admitted,
    /// The team is at its limit; the next operation fits after this time.
    OverLimit(Micros),
    /// This entry is out of touch as well, or does not know the team.
    Unknown,
}

/// Report that has not been acknowledged.
#[derive(Debug)]
struct SentReport {
    probe: Micros,
    usage: Vec<TeamUsage>,
}

/// Admission of the operations of all teams at one entry.
#[derive(Debug, Default)]
pub struct TeamLimiter {
    states: FastMap<SharedName, TeamState>,
    entries: usize,
    /// Newest probe that was confirmed.
    contact: Micros,
    sent: VecDeque<SentReport>,
    urgent: bool,
}

impl TeamLimiter {
    /// Returns a limiter that knows no team.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the teams and the number of entries from the directory.
    pub fn set_teams(
        &mut self,
        teams: &FastMap<SharedName, Arc<TeamRule>>,
        entries: usize,
        now: Micros,
    ) {
        self.entries = entries;
        self.states.retain(|team, _| teams.get(team).is_some_and(|rule| rule.limit.is_some()));
        for (team, rule) in teams {
            let Some(limit) = rule.limit else {
                continue;
            };
            if let Some(state) = self.states.get_mut(team) {
                state.limit = limit;
                continue;
            }
            let phase = initial_phase(team, now);
            self.states.insert(team.clone(), TeamState::new(limit, phase));
        }
    }

    /// Admits an operation of a team.
    ///
    /// # Errors
    ///
    /// Returns the time until the next operation of the team fits its limit.
    pub fn admit(&mut self, team: &SharedName, now: Micros) -> Result<(), Micros> {
        let Some(state) = self.states.get_mut(team) else {
            return Ok(());
        };
        let entries = self.entries.max(1) as f64;
        let in_touch = is_in_touch(self.contact, now);
        let verdict = if in_touch {
            state.admit_in_touch(entries, now)
        } else {
            state.admit_alone(entries, self.contact, now)
        };
        if verdict.is_ok() {
            state.admitted = state.admitted.saturating_add(1);
            state.unacknowledged = state.unacknowledged.saturating_add(1);
            let due = (state.credit(entries, now) * REPORT_PART).max(REPORT_FLOOR);
            self.urgent |= f64::from(state.admitted) >= due;
        } else {
            state.refused = state.refused.saturating_add(1);
        }
        verdict
    }

    /// Returns whether control has counted what this entry reported, up to two lost probes ago.
    #[must_use]
    pub const fn is_in_touch(&self, now: Micros) -> bool {
        is_in_touch(self.contact, now)
    }

    /// Admits an operation that another entry could not admit alone.
    pub fn admit_for_peer(&mut self, team: &SharedName, now: Micros) -> PeerVerdict {
        if !self.is_in_touch(now) || !self.states.contains_key(team) {
            return PeerVerdict::Unknown;
        }
        match self.admit(team, now) {
            Ok(()) => PeerVerdict::Admitted,
            Err(retry_after) => PeerVerdict::OverLimit(retry_after),
        }
    }

    /// Returns the usage since the last report, to be acknowledged by the confirmation of `probe`.
    pub fn take_report(&mut self, probe: Micros) -> Vec<TeamUsage> {
        self.urgent = false;
        let mut usage = Vec::new();
        for (team, state) in &mut self.states {
            if state.alone.is_some() || (state.admitted == 0 && state.refused == 0) {
                continue;
            }
            let (admitted, refused) =
                (mem::take(&mut state.admitted), mem::take(&mut state.refused));
            usage.push(TeamUsage { team: team.clone(), admitted, refused });
        }
        if !usage.is_empty() {
            self.sent.push_back(SentReport { probe, usage: usage.clone() });
        }
        usage
    }

    /// Returns whether a report should not wait for the interval.
    #[must_use]
    pub const fn wants_report(&self) -> bool {
        self.urgent
    }

    /// Acknowledges all reports up to the one of `probe` and takes the paces that came back.
    pub fn record_confirmation(&mut self, probe: Micros, paces: &[TeamPace], now: Micros) {
        let was_alone = !is_in_touch(self.contact, now);
        self.contact = self.contact.max(probe);
        if was_alone && is_in_touch(self.contact, now) {
            for state in self.states.values_mut() {
                state.settle(now);
            }
        }
        while let Some(report) = self.sent.pop_front_if(|report| report.probe <= probe) {
            for used in report.usage {
                let Some(state) = self.states.get_mut(&used.team) else {
                    continue;
                };
                state.unacknowledged = state.unacknowledged.saturating_sub(used.admitted);
                // What is unacknowledged may be a flood that control has not answered yet, so it is not usual.
                state.usual.record(f64::from(used.admitted), USUAL_MEMORY, now);
            }
        }
        for pace in paces {
            let Some(state) = self.states.get_mut(&pace.team) else {
                continue;
            };
            state.share = pace
                .rate
                .map_or(1.0, |rate| (rate as f64 / FULL_RATE as f64).clamp(0.000_001, 1.0));
            state.paced = now;
        }
    }

    /// Puts unacknowledged reports into the next report again, since the stream that carried them is lost.
    pub fn record_disconnect(&mut self) {
        for report in self.sent.drain(..) {
            for used in report.usage {
                let Some(state) = self.states.get_mut(&used.team) else {
                    continue;
                };
                state.admitted = state.admitted.saturating_add(used.admitted);
                state.refused = state.refused.saturating_add(used.refused);
            }
        }
    }
}

const fn is_in_touch(contact: Micros, now: Micros) -> bool {
    now.since(contact).0 < CONTACT_TIMEOUT.0
}

/// Returns a fraction that differs between teams and, by the time at which they learn of a team, between entries.
fn initial_phase(team: &SharedName, now: Micros) -> f64 {
    let hash = FixedState::default().hash_one((team, now));
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
