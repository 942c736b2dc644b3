//! Rules of the broker of one target: pool size, lease and term checks, floors, probe verdicts.

use crate::{
    failure::FailureKind,
    position::{LogPosition, LogTerm},
    route::{DatabaseRoute, TargetRole, TermStart},
    time::Micros,
};

/// Connections of a target that are left for probes and cancels.
pub const PROBE_CONNECTIONS: u32 = 2;

/// Interval between probes of a target.
pub const PROBE_INTERVAL: Micros = Micros::from_millis(250);

/// Silence after which a probe is repeated on a fresh connection.
pub const PROBE_SILENCE: Micros = Micros::from_millis(500);

/// Longest wait for a replica to reach a floor.
const FLOOR_WAIT_LIMIT: Micros = Micros::from_millis(100);

/// Wait for a fresh status of a replica whose lag is too long to wait for.
const STATUS_WAIT: Micros = Micros::from_millis(5);

/// Returns how long a read waits for a replica to reach its floor.
#[must_use]
pub fn floor_wait(deadline: Micros) -> Micros {
    Micros(deadline.0 / 5).min(FLOOR_WAIT_LIMIT)
}

/// Size rules of a connection pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolRules {
    /// Greatest number of connections.
    pub limit: u32,
    /// Connections that are kept open beyond those inside transactions.
    pub warm: u32,
    /// Connections that may be set up at a time.
    pub parallel: u32,
}

impl PoolRules {
    /// Returns the rules for a target with the given slots and connection limit.
    #[must_use]
    pub fn new(slots: u32, connections: u32) -> Self {
        let limit = connections.saturating_sub(PROBE_CONNECTIONS).max(1);
        // Three above the slots cover releases that are still on their way.
        let warm = (slots + 3).min(limit);
        // Set-up costs the target about 12 ms of work; more in parallel would delay statements.
        Self { limit, warm, parallel: slots.clamp(1, 4) }
    }

    /// Returns how many connections to start setting up now.
    ///
    /// `kept` counts the connections inside transactions, which serve nobody else.
    #[must_use]
    pub fn to_open(&self, count: PoolCount) -> u32 {
        let total = count.idle + count.running + count.kept + count.opening;
        let useful = count.idle + count.running + count.opening;
        let wanted = self.warm.saturating_sub(useful);
        wanted
            .min(self.limit.saturating_sub(total))
            .min(self.parallel.saturating_sub(count.opening))
    }
}

/// Connections of a pool by what they do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolCount {
    /// Free for anybody.
    pub idle: u32,
    /// Running a statement.
    pub running: u32,
    /// Held by a grant between statements.
    pub kept: u32,
    /// Being set up.
    pub opening: u32,
}

/// What becomes of a connection at the end of a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReuseVerdict {
    /// Free for the next grant.
    Reuse,
    /// Free after `DISCARD ALL`.
    Reset,
    /// To be closed, which rolls back whatever is open.
    Close,
}

/// State of a connection at the end of a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionState {
    /// ReadyForQuery was the last message and reported no transaction.
    pub idle: bool,
    /// Replies are outstanding.
    pub mid_answer: bool,
    /// A cancel was sent that the target has not visibly consumed.
    pub cancel_in_doubt: bool,
    /// The session left state on the connection.
    pub tainted: bool,
}

impl ConnectionState {
    /// Returns what becomes of the connection.
    #[must_use]
    pub const fn verdict(self) -> ReuseVerdict {
        if !self.idle || self.mid_answer || self.cancel_in_doubt {
            ReuseVerdict::Close
        } else if self.tainted {
            ReuseVerdict::Reset
        } else {
            ReuseVerdict::Reuse
        }
    }
}

/// What a target said about itself in `group_status()`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetStatus {
    /// Role by the target's own word.
    pub role: TargetRole,
    /// Term that the target serves or follows.
    pub term: LogTerm,
    /// Commit position of a primary, replayed position of a replica.
    pub position: LogPosition,
    /// Position of the last entry in the target's log, replayed or not; a promotion keeps it.
    pub received: LogPosition,
    /// Age of the replayed state when the probe was sent; zero on a primary.
    pub age: Micros,
    /// When the probe was sent.
    pub asked: Micros,
}

impl TargetStatus {
    /// Returns an upper bound of the age of an answer given now.
    #[must_use]
    pub fn age_at(&self, now: Micros) -> Micros {
        self.age + now.since(self.asked)
    }

    /// Returns the status as an answer of a replica at `position` shows it, if that is further on.
    ///
    /// Positions of different terms are left to the probe, which also learns the role.
    #[must_use]
    pub fn raised_by_answer(&self, position: LogPosition) -> Option<Self> {
        let known = self.position;
        if self.role != TargetRole::Replica
            || position.term != known.term
            || position.offset <= known.offset
        {
            return None;
        }
        Some(Self { position, received: self.received.max(position), ..*self })
    }
}

/// Whether a position contains a floor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FloorVerdict {
    /// The position is at or above the floor.
    Covered,
    /// The position may reach the floor later.
    Behind,
    /// The floor lies beyond the history that survived a promotion.
    Lost,
}

/// Returns whether a position is part of the surviving history.
#[must_use]
pub fn survives(history: &[TermStart], position: LogPosition) -> bool {
    for start in history {
        if start.term > position.term && start.start.offset < position.offset {
            return false;
        }
    }
    true
}

/// Compares a target's position with a floor through the term history.
#[must_use]
pub fn compare_floor(
    history: &[TermStart],
    position: LogPosition,
    floor: LogPosition,
) -> FloorVerdict {
    if !survives(history, floor) {
        return FloorVerdict::Lost;
    }
    // A server on an abandoned branch serves nothing until it follows the new primary.
    if position.term >= floor.term && position.offset >= floor.offset && survives(history, position)
    {
        FloorVerdict::Covered
    } else {
        FloorVerdict::Behind
    }
}

/// What a broker knows when it decides about a request.
#[derive(Clone, Copy, Debug)]
pub struct BrokerView<'a> {
    /// The target's database group in the route table.
    pub route: &'a DatabaseRoute,
    /// Server name of the target.
    pub server: &'a str,
    /// Whether the node lease is valid now.
    pub leased: bool,
    /// Latest status of the target.
    pub status: Option<TargetStatus>,
    /// Current time.
    pub now: Micros,
}

impl BrokerView<'_> {
    /// Checks whether a write may be sent, or its answer passed on, under `term`.
    ///
    /// # Errors
    ///
    /// Returns the failure for a request that was not sent.
    pub fn check_write(&self, term: LogTerm) -> Result<(), FailureKind> {
        if !self.leased {
            return Err(FailureKind::NoLease);
        }
        if self.route.term != term {
            return Err(FailureKind::WrongEpoch);
        }
        if self.route.closed || self.route.primary.as_deref() != Some(self.server) {
            return Err(FailureKind::NoPrimary);
        }
        Ok(())
    }

    /// Returns whether the target has confirmed that it is the primary of the current term.
    #[must_use]
    pub fn confirmed_primary(&self) -> bool {
        let Some(status) = self.status else { return false };
        status.role == TargetRole::Primary && status.term == self.route.term
    }

    /// Returns how long a request waits for the target to become able to serve it.
    ///
    /// A replica that usually lags longer than the wait would not make it in time. The read then only
    /// waits for one fresh status, since the known one may be a probe interval old.
    #[must_use]
    pub fn admission_wait(&self, deadline: Micros) -> Micros {
        let wait = floor_wait(deadline);
        match self.status {
            Some(status) if status.role == TargetRole::Replica && status.age >= wait => {
                wait.min(STATUS_WAIT)
            }
            _ => wait,
        }
    }

    /// Checks whether a read may be served now.
    ///
    /// # Errors
    ///
    /// Returns `TooStale` if waiting may help and another failure if it does not.
    pub fn check_read(
        &self,
        floor: Option<LogPosition>,
        max_age: Option<Micros>,
    ) -> Result<(), FailureKind> {
        if !self.leased {
            return Err(FailureKind::NoLease);
        }
        if let Some(floor) = floor
            && !survives(&self.route.history, floor)
        {
            return Err(FailureKind::HistoryLost);
        }
        let Some(status) = self.status else { return Err(FailureKind::TooStale) };
        if self.route.primary.as_deref() == Some(self.server) {
            return self.check_primary_read(floor);
        }
        // An old primary that does not follow yet has no replayed age and may lack commits.
        if status.role == TargetRole::Primary {
            return Err(FailureKind::TooStale);
        }
        if let Some(max_age) = max_age
            && status.age_at(self.now) > max_age
        {
            return Err(FailureKind::TooStale);
        }
        let floor = floor.unwrap_or(LogPosition::ZERO);
        match compare_floor(&self.route.history, status.position, floor) {
            FloorVerdict::Covered => Ok(()),
            FloorVerdict::Behind => Err(FailureKind::TooStale),
            FloorVerdict::Lost => Err(FailureKind::HistoryLost),
        }
    }

    fn check_primary_read(&self, floor: Option<LogPosition>) -> Result<(), FailureKind> {
        // The replaced primary of a closed term may lack commits of its successor.
        if self.route.closed {
            return Err(FailureKind::NoPrimary);
        }
        if !self.confirmed_primary() {
            return Err(FailureKind::TooStale);
        }
        match floor {
            Some(floor) if floor.term > self.route.term => Err(FailureKind::WrongEpoch),
            _ => Ok(()),
        }
    }

    /// Returns what the broker has to order from its target so that it takes its part.
    #[must_use]
    pub fn order(&self) -> TargetOrder {
        let Some(status) = self.status else { return TargetOrder::None };
        if !self.leased {
            return TargetOrder::None;
        }
        // A repeated attempt has a higher term than the one that failed.
        let next = self.route.candidate_term.max(LogTerm(self.route.term.0 + 1));
        if self.route.candidate.as_deref() == Some(self.server) {
            if status.role == TargetRole::Primary && status.term >= next {
                return TargetOrder::None;
            }
            return TargetOrder::Promote(next);
        }
        if self.route.closed || self.route.candidate.is_some() || status.term >= self.route.term {
            return TargetOrder::None;
        }
        match &self.route.primary {
            Some(primary) if primary.as_str() != self.server => {
                TargetOrder::Follow(self.route.term)
            }
            _ => TargetOrder::None,
        }
    }
}

/// Order of a broker to its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetOrder {
    /// Nothing to do.
    None,
    /// Become primary of the term.
    Promote(LogTerm),
    /// Follow the primary in force under the term.
    Follow(LogTerm),
}

/// Reachability of a target by its probes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProbeRecord {
    missed_since: Option<Micros>,
    unreachable: bool,
}

impl ProbeRecord {
    /// Records an answered probe; returns whether the target was unreachable before.
    pub const fn answered(&mut self) -> bool {
        let before = self.unreachable;
        *self = Self { missed_since: None, unreachable: false };
        before
    }

    /// Records a probe without an answer on the kept connection, sent at `sent`.
    ///
    /// The target counts as unreachable only when a fresh connection fails too.
    pub const fn missed(&mut self, sent: Micros) {
        if self.missed_since.is_none() {
            self.missed_since = Some(sent);
        }
    }

    /// Records a failed probe on a fresh connection; returns whether the target was reachable
    /// before.
    pub const fn failed_fresh(&mut self, sent: Micros) -> bool {
        self.missed(sent);
        let before = self.unreachable;
        self.unreachable = true;
        !before
    }

    /// Returns whether the target is reachable.
    #[must_use]
    pub const fn reachable(&self) -> bool {
        !self.unreachable
    }

    /// Returns how long the target has been unreachable, counted from the first miss.
    #[must_use]
    pub const fn unreachable_for(&self, now: Micros) -> Micros {
        match self.missed_since {
            Some(since) if self.unreachable => now.since(since),
            _ => Micros::ZERO,
        }
    }
}
