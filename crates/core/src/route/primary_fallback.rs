//! Return of a session's reads to the replicas after the primary served them because the replicas
//! were behind the session's floor.

use {
    super::FailedTry,
    crate::{failure::FailureKind, time::Micros},
};

/// Time after which a session first tries to return to the replicas, and minimum back-off.
const MIN_BACKOFF: Micros = Micros::from_millis(250);

/// Maximum delay of a read; it covers the replication lag of 200 ms in the current groups.
const MAX_READ_DELAY: Micros = Micros::from_millis(250);

/// Maximum back-off between attempts to return to the replicas.
const MAX_BACKOFF: Micros = Micros::from_secs(10);

/// Tracks a session whose reads fall back to the primary because the replicas are behind its floor.
///
/// Each read on the primary raises the floor to the primary's position, so a session that reads at
/// intervals shorter than the replication lag would never return to the replicas. One read is
/// therefore delayed until the replicas have probably reached the floor of the read before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrimaryFallback {
    /// Time of the first read on the primary since the last read on a replica.
    since: Option<Micros>,
    /// Time of the latest read on the primary.
    last: Micros,
    /// Interval between the latest attempt to return and the next one.
    backoff: Micros,
    /// Time from which a read may be delayed again.
    next_attempt: Micros,
}

impl PrimaryFallback {
    /// Records a read that the primary served although the sheet allows replicas to serve it.
    pub fn record_primary(&mut self, now: Micros) {
        if self.since.is_none() {
            self.since = Some(now);
            self.next_attempt = now + MIN_BACKOFF;
        }
        self.last = now;
    }

    /// Records a read that a replica served, which ends the fallback.
    pub fn record_replica(&mut self) {
        *self = Self::default();
    }

    /// Returns how long to delay the next read before trying a replica; zero means no delay.
    ///
    /// A read is delayed for at most a quarter of its deadline. Each delay after which no replica
    /// could serve the read doubles the back-off, up to 10 s.
    pub fn next_read_delay(&mut self, now: Micros, deadline: Micros) -> Micros {
        if self.since.is_none() || now < self.next_attempt || deadline.0 / 4 < MAX_READ_DELAY.0 {
            return Micros::ZERO;
        }
        self.backoff = Micros((self.backoff.0 * 2).clamp(MIN_BACKOFF.0, MAX_BACKOFF.0));
        self.next_attempt = now + self.backoff;
        (self.last + MAX_READ_DELAY).since(now)
    }
}

/// Returns how long a read that an overloaded primary has refused waits for the replicas; zero
/// means that it does not wait.
///
/// The floor of a new session is the primary's position. At a peak that opens many connections,
/// their reads therefore go to the primary until it is overloaded, although the replicas reach the
/// same floor as soon as their replication lag has passed.
#[must_use]
pub fn replica_retry_delay(
    kind: FailureKind,
    tries: &[FailedTry],
    elapsed: Micros,
    deadline: Micros,
) -> Micros {
    let overloaded = matches!(kind, FailureKind::Overloaded);
    let replica_was_stale = tries.iter().any(|failed| failed.kind == FailureKind::TooStale);
    let limit = Micros(deadline.0 / 4);
    if !overloaded || !replica_was_stale || limit < MAX_READ_DELAY || elapsed >= limit {
        return Micros::ZERO;
    }
    MAX_READ_DELAY.since(elapsed)
}
