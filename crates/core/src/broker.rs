//! Rules of the broker of one target: pool size, lease and term checks, floors, probe results.

use crate::{
    failure::FailureKind,
    position::{LogPosition, LogTerm},
    route::{DatabaseRoute, TargetRole, TermStart},
    time::Micros,
};

/// Number of a target's connections that are reserved for probes and cancel requests.
pub const RESERVED_CONNECTIONS: u32 = 2;

/// Interval between probes of a target.
pub const PROBE_INTERVAL: Micros = Micros::from_millis(250);

/// Time without a reply after which a probe is repeated on a fresh connection.
pub const PROBE_TIMEOUT: Micros = Micros::from_millis(500);

/// Maximum wait for a replica to reach a floor.
const MAX_FLOOR_WAIT: Micros = Micros::from_millis(100);

/// Maximum wait for a fresh status of a replica that lags too far for a wait on its position.
const MAX_STATUS_WAIT: Micros = Micros::from_millis(5);

/// Returns how long a read with the given time to its deadline waits for a replica to reach its floor.
#[must_use]
pub fn floor_wait(deadline: Micros) -> Micros {
    Micros(deadline.0 / 5).min(MAX_FLOOR_WAIT)
}

/// Size limits of a target's connection pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolRules {
    /// Maximum number of connections.
    pub limit: u32,
    /// Number of connections to keep open in addition to those inside transactions.
    pub warm: u32,
    /// Maximum number of connections that are set up concurrently.
    pub parallel: u32,
}

impl PoolRules {
    /// Returns the rules for a target with the given slots and connection limit.
    #[must_use]
    pub fn new(slots: u32, connections: u32) -> Self {
        let limit = connections.saturating_sub(RESERVED_CONNECTIONS).max(1);
        // Three connections above the slots cover releases that have not arrived yet.
        let warm = (slots + 3).min(limit);
        // A set-up costs the target about 12 ms of work; more in parallel would delay statements.
        Self { limit, warm, parallel: slots.clamp(1, 4) }
    }

    /// Returns how many connections to start setting up now.
    ///
    /// Connections inside transactions count towards the limit but not towards the warm connections,
    /// since they serve no other caller.
    #[must_use]
    pub fn to_open(&self, count: PoolCount) -> u32 {
        let total = count.idle + count.running + count.pinned + count.opening;
        let useful = count.idle + count.running + count.opening;
        let wanted = self.warm.saturating_sub(useful);
        wanted
            .min(self.limit.saturating_sub(total))
            .min(self.parallel.saturating_sub(count.opening))
    }
}

/// Numbers of connections of a pool by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolCount {
    /// Available to the next grant.
    pub idle: u32,
    /// Running a statement.
    pub running: u32,
    /// Held by a grant between the statements of a transaction.
    pub pinned: u32,
    /// Being set up.
    pub opening: u32,
}

/// What to do with a connection at the end of a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseAction {
    /// Return the connection to the pool as it is.
    Reuse,
    /// Return the connection to the pool after `DISCARD ALL`.
    Reset,
    /// Close the connection, which rolls back any open transaction.
    Close,
}

/// State of a connection at the end of a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionState {
    /// Whether ReadyForQuery was the last message and reported no transaction.
    pub idle: bool,
    /// Whether replies are outstanding.
    pub reply_pending: bool,
    /// Whether a cancel request was sent that may still take effect, since no reply shows that the
    /// target has processed it.
    pub cancel_pending: bool,
    /// Whether the session left state on the connection.
    pub tainted: bool,
}

impl ConnectionState {
    /// Returns what to do with the connection.
    #[must_use]
    pub const fn release_action(self) -> ReleaseAction {
        if !self.idle || self.reply_pending || self.cancel_pending {
            ReleaseAction::Close
        } else if self.tainted {
            ReleaseAction::Reset
        } else {
            ReleaseAction::Reuse
        }
    }
}

/// Status that a target reported in `group_status()`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetStatus {
    /// Role that the target claims.
    pub role: TargetRole,
    /// Term that the target serves or follows.
    pub term: LogTerm,
    /// Commit position of a primary, replayed position of a replica.
    pub position: LogPosition,
    /// Position of the last entry in the target's log, replayed or not. A promotion keeps all entries up
    /// to it.
    pub received: LogPosition,
    /// Age of the replayed state when the probe was sent; zero on a primary.
    pub age: Micros,
    /// When the probe was sent.
    pub sent_at: Micros,
}

impl TargetStatus {
    /// Returns an upper bound of the age of the data in an answer given at `now`.
    #[must_use]
    pub fn age_at(&self, now: Micros) -> Micros {
        self.age + now.since(self.sent_at)
    }

    /// Returns the status updated by a replica's answer at `position`, or `None` if the position is not
    /// higher.
    ///
    /// A position of another term is ignored: the next probe reports it together with the role.
    #[must_use]
    pub fn advanced_to(&self, position: LogPosition) -> Option<Self> {
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

/// Result of the comparison of a position with a floor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FloorCoverage {
    /// The position is at or above the floor.
    Covered,
    /// The position may reach the floor later.
    Behind,
    /// The floor is not part of the history that survived a promotion.
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
) -> FloorCoverage {
    if !survives(history, floor) {
        return FloorCoverage::Lost;
    }
    // A server on an abandoned branch of the log serves nothing until it follows the new primary.
    if position.term >= floor.term && position.offset >= floor.offset && survives(history, position)
    {
        FloorCoverage::Covered
    } else {
        FloorCoverage::Behind
    }
}

/// Input of a broker's decision about a request.
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
    /// Returns the failure to report for a request that was not sent: `NoLease`, `WrongEpoch` if the
    /// route is in another term, or `NoPrimary`.
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
    /// A replica whose lag is longer than the wait would not reach the floor in time. The read then only
    /// waits for one fresh status, since the known one may be as old as a probe interval.
    #[must_use]
    pub fn admission_wait(&self, deadline: Micros) -> Micros {
        let wait = floor_wait(deadline);
        match self.status {
            Some(status) if status.role == TargetRole::Replica && status.age >= wait => {
                wait.min(MAX_STATUS_WAIT)
            }
            _ => wait,
        }
    }

    /// Checks whether a read may be served now.
    ///
    /// # Errors
    ///
    /// Returns `TooStale` if waiting may help, and another failure otherwise.
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
        // A former primary that does not follow the new one yet reports no age and may lack commits.
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
            FloorCoverage::Covered => Ok(()),
            FloorCoverage::Behind => Err(FailureKind::TooStale),
            FloorCoverage::Lost => Err(FailureKind::HistoryLost),
        }
    }

    fn check_primary_read(&self, floor: Option<LogPosition>) -> Result<(), FailureKind> {
        // The primary of a closed term may lack commits of its successor.
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

    /// Returns the command that brings the target into the role which control has assigned to it.
    #[must_use]
    pub fn next_command(&self) -> TargetCommand {
        let Some(status) = self.status else { return TargetCommand::None };
        if !self.leased {
            return TargetCommand::None;
        }
        // A repeated attempt at a promotion has a higher term than the one that failed.
        let next = self.route.candidate_term.max(LogTerm(self.route.term.0 + 1));
        if self.route.candidate.as_deref() == Some(self.server) {
            if status.role == TargetRole::Primary && status.term >= next {
                return TargetCommand::None;
            }
            return TargetCommand::Promote(next);
        }
        if self.route.closed || self.route.candidate.is_some() || status.term >= self.route.term {
            return TargetCommand::None;
        }
        match &self.route.primary {
            Some(primary) if primary.as_str() != self.server => {
                TargetCommand::Follow(self.route.term)
            }
            _ => TargetCommand::None,
        }
    }
}

/// Command of a broker to its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetCommand {
    /// No command is needed.
    None,
    /// Become the primary of this term.
    Promote(LogTerm),
    /// Follow the primary of this term.
    Follow(LogTerm),
}

/// Reachability of a target as its probes show it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProbeRecord {
    missed_since: Option<Micros>,
    unreachable: bool,
}

impl ProbeRecord {
    /// Records a successful probe; returns whether the target was unreachable before.
    pub const fn record_answered(&mut self) -> bool {
        let before = self.unreachable;
        *self = Self { missed_since: None, unreachable: false };
        before
    }

    /// Records a probe on the established connection that was sent at `sent` and got no answer.
    ///
    /// The target counts as unreachable only when a fresh connection fails too.
    pub const fn record_missed(&mut self, sent: Micros) {
        if self.missed_since.is_none() {
            self.missed_since = Some(sent);
        }
    }

    /// Records a failed probe on a fresh connection; returns whether the target was reachable before.
    pub const fn record_fresh_failure(&mut self, sent: Micros) -> bool {
        self.record_missed(sent);
        let before = self.unreachable;
        self.unreachable = true;
        !before
    }

    /// Returns whether the target is reachable; true until a probe on a fresh connection fails.
    #[must_use]
    pub const fn reachable(&self) -> bool {
        !self.unreachable
    }

    /// Returns how long the target has been unreachable, counted from the first missed probe.
    #[must_use]
    pub const fn unreachable_for(&self, now: Micros) -> Micros {
        match self.missed_since {
            Some(since) if self.unreachable => now.since(since),
            _ => Micros::ZERO,
        }
    }
}
