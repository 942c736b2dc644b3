//! Refusal of requests that wait in a queue which starts none.
//!
//! The forecast at admission knows the slots and the work before a request. It does not know that all connections are
//! held by idle transactions, or that a target no longer answers. Without a second look such requests were held until
//! their deadline, when their callers had no time left to try elsewhere.

use {
    super::{QueueRefusal, SlotQueue, SlotTicket},
    crate::time::Micros,
};

/// Time for which no waiting request has started.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct QueueStall {
    since: Option<Micros>,
}

impl QueueStall {
    /// Records whether requests are left waiting after the queue had a chance to start one; `started` is whether it
    /// did.
    pub(super) const fn record(&mut self, started: bool, waiting: bool, now: Micros) {
        self.since = match (self.since, started, waiting) {
            (Some(since), false, _) => Some(since),
            (None, false, true) | (_, true, true) => Some(now),
            (_, true, false) | (None, false, false) => None,
        };
    }

    /// Records that a request would start at once.
    pub(super) const fn clear(&mut self) {
        self.since = None;
    }

    fn duration(self, now: Micros) -> Micros {
        self.since.map_or(Micros::ZERO, |since| now.since(since))
    }
}

impl SlotQueue {
    /// Checks a waiting request again; returns the time of the next check.
    ///
    /// A queue that has started nothing for some time is expected to start nothing for as long again. So a request
    /// waits until about half of its time has passed without a start, and the rest is left for a retry elsewhere.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the request is not expected to end before its deadline; it is removed from the queue.
    pub fn recheck(&mut self, ticket: SlotTicket, now: Micros) -> Result<Micros, QueueRefusal> {
        let Some(entry) = self.waiting.get(&ticket) else { return Ok(Micros(u64::MAX)) };
        let deadline = entry.request.deadline;
        if entry.request.continues_transaction {
            return Ok(deadline);
        }
        // A request with a longer estimate than its deadline was admitted because the target was idle.
        let fitted = entry.arrived + entry.estimate <= deadline;
        let estimate = if fitted { entry.estimate } else { Micros::ZERO };
        let stalled = self.stall.duration(now);
        let expected_end = now + stalled + estimate;
        if expected_end < deadline {
            // The stall grows as fast as the time passes, so both meet halfway.
            return Ok(now + Micros((deadline.since(expected_end).0 / 2).max(1)));
        }
        let priority = entry.request.priority;
        self.take_waiting(ticket);
        if deadline <= now {
            return Err(QueueRefusal::DeadlinePassed);
        }
        let retry_after = self.retry_after(priority, estimate, stalled, now);
        Err(QueueRefusal::WouldMissDeadline { retry_after })
    }

    /// Records how a chance to start requests ended; `fresh` is whether a connection is left for new transactions.
    pub(super) fn record_stall(&mut self, started: bool, fresh: bool, now: Micros) {
        let waiting = !self.waiting.is_empty();
        if fresh && !waiting && self.running.len() < self.settings.slots as usize {
            self.stall.clear();
            return;
        }
        self.stall.record(started, waiting, now);
    }
}
