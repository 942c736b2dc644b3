//! Time for which an entry may rely on its table of keys without a newer confirmation.

use {crate::time::Micros, std::collections::VecDeque};

/// Tenths of the withdrawal time for which a confirmation holds. The rest covers the difference between the clocks of
/// the operator, who counts from the acknowledgement, and of the entry.
const LEASE_TENTHS: u64 = 8;

/// Number of confirmations that may wait for their versions. A replica confirms a version after it has sent it, so more
/// than one waits only while several replicas are followed in quick succession.
const MAX_WAITING: usize = 8;

/// Confirmation of a version that the table has not reached.
#[derive(Clone, Copy, Debug)]
struct WaitingConfirmation {
    probe: Micros,
    version: u64,
}

/// Lease on the table of keys, on a clock that counts the time for which the host is suspended.
///
/// It is extended only to the time at which a confirmed probe was sent plus a part of the withdrawal time. So a message
/// that is late, repeated or read after a suspension never extends it beyond what it proves.
#[derive(Clone, Debug)]
pub struct KeyLease {
    /// Time for which a confirmation holds; `None` if keys are valid without one.
    duration: Option<Micros>,
    /// Time of the newest probe that was confirmed with a version that the table has reached.
    confirmed: Option<Micros>,
    waiting: VecDeque<WaitingConfirmation>,
}

impl KeyLease {
    /// Returns a lease that has expired; without a withdrawal time, one that never expires.
    #[must_use]
    pub fn new(withdrawal: Option<Micros>) -> Self {
        let duration = withdrawal.map(|Micros(time)| Micros(time / 10 * LEASE_TENTHS));
        Self { duration, confirmed: None, waiting: VecDeque::new() }
    }

    /// Records that control confirmed `version` as the newest one after it had received the probe sent at `probe`.
    ///
    /// Until the table has reached the version, the confirmation waits: the version may withdraw a key.
    pub fn record_confirmation(&mut self, probe: Micros, version: u64, table_version: u64) {
        if self.duration.is_none() {
            return;
        }
        if version <= table_version {
            self.confirm(probe);
            return;
        }
        if self.waiting.len() == MAX_WAITING {
            self.waiting.pop_front();
        }
        self.waiting.push_back(WaitingConfirmation { probe, version });
    }

    /// Records the version that the table has reached; the table must already be in use.
    pub fn record_version(&mut self, table_version: u64) {
        let mut newest = None;
        self.waiting.retain(|waiting| {
            let reached = waiting.version <= table_version;
            if reached {
                newest = newest.max(Some(waiting.probe));
            }
            !reached
        });
        if let Some(probe) = newest {
            self.confirm(probe);
        }
    }

    /// Returns whether keys may be looked up at `now` in a table that is read after this call.
    #[must_use]
    pub fn is_valid(&self, now: Micros) -> bool {
        let Some(duration) = self.duration else { return true };
        self.confirmed.is_some_and(|probe| now < probe + duration)
    }

    /// Returns whether the first confirmation is still awaited.
    #[must_use]
    pub const fn is_new(&self) -> bool {
        self.duration.is_some() && self.confirmed.is_none()
    }

    fn confirm(&mut self, probe: Micros) {
        self.confirmed = self.confirmed.max(Some(probe));
    }
}
