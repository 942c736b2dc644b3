//! How long a session's reads stay on the primary after its floor has passed the replicas.

use {
    super::FailedTry,
    crate::{failure::FailureKind, time::Micros},
};

/// Time on the primary after which a session tries to return to the replicas.
const STAY_LIMIT: Micros = Micros::from_millis(250);

/// Longest hold of a read; it covers the 200 ms that replicas of the current groups lag.
const HOLD_LIMIT: Micros = Micros::from_millis(250);

/// Longest pause between attempts to return.
const PAUSE_LIMIT: Micros = Micros::from_secs(10);

/// Record of a session's reads that replicas could not serve because of its floor.
///
/// Each read on the primary raises the floor to the primary's position, so a session that reads more
/// often than the replicas lag would never return to them. One read is therefore held until the
/// replicas have probably reached the floor of the read before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrimaryStay {
    since: Option<Micros>,
    last: Micros,
    /// Pause after a hold that did not lead back to a replica.
    pause: Micros,
    next: Micros,
}

impl PrimaryStay {
    /// Records a read that the primary served although the sheet allows replicas.
    pub fn record_primary(&mut self, now: Micros) {
        if self.since.is_none() {
            self.since = Some(now);
            self.next = now + STAY_LIMIT;
        }
        self.last = now;
    }

    /// Records a read that a replica served.
    pub fn record_replica(&mut self) {
        *self = Self::default();
    }

    /// Returns how long the next read is held before a replica is tried; zero is not at all.
    ///
    /// A read is held for at most a quarter of its deadline, and each hold that was in vain doubles
    /// the pause to the next.
    pub fn take_hold(&mut self, now: Micros, deadline: Micros) -> Micros {
        if self.since.is_none() || now < self.next || deadline.0 / 4 < HOLD_LIMIT.0 {
            return Micros::ZERO;
        }
        self.pause = Micros((self.pause.0 * 2).clamp(STAY_LIMIT.0, PAUSE_LIMIT.0));
        self.next = now + self.pause;
        (self.last + HOLD_LIMIT).since(now)
    }
}

/// Returns how long a read waits for the replicas after an overloaded primary has refused it; zero is
/// not at all.
///
/// The floor of a new session is the primary's position, so at a peak that opens many connections
/// their reads go to the primary until it is overloaded, while the replicas need only their lag to
/// reach the same floor.
#[must_use]
pub fn replica_wait(
    kind: FailureKind,
    tries: &[FailedTry],
    elapsed: Micros,
    deadline: Micros,
) -> Micros {
    let overloaded = matches!(kind, FailureKind::Overloaded);
    let behind = tries.iter().any(|failed| failed.kind == FailureKind::TooStale);
    let limit = Micros(deadline.0 / 4);
    if !overloaded || !behind || limit < HOLD_LIMIT || elapsed >= limit {
        return Micros::ZERO;
    }
    HOLD_LIMIT.since(elapsed)
}
