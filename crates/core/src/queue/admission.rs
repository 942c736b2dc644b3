//! Expected waits, and refusal of requests that would miss their deadline.

use {
    super::{QueueOrder, QueueRefusal, SlotQueue, SlotRequest, WorkClass},
    crate::time::Micros,
};

/// Running work as far as it delays short requests.
#[derive(Clone, Copy, Debug)]
struct ShortWorkForecast {
    /// Slots not occupied by long work, at least one.
    available_slots: u64,
    /// Expected remaining work of the running short requests, in microseconds.
    remaining: u64,
    /// Expected time until long work frees a slot, in microseconds; zero unless it occupies all of
    /// them.
    blocked_time: u64,
}

impl SlotQueue {
    /// Returns the expected wait of a request with the given priority and execution time estimate.
    #[must_use]
    pub fn expected_wait(&self, priority: u32, estimate: Micros, now: Micros) -> Micros {
        let class = self.work_class(estimate);
        if self.running.len() < self.settings.slots as usize
            && self.order.is_empty()
            && (class == WorkClass::Short
                || self.long_running(now) < self.slots_for_long(now) as usize)
        {
            return Micros::ZERO;
        }
        match (self.settings.order, class) {
            (QueueOrder::Arrival, _) => {
                let short_work = self.short_work_forecast(now);
                Micros((short_work.remaining + self.order.total()) / short_work.available_slots)
            }
            (QueueOrder::ShortFirst, WorkClass::Short) => {
                let short_work = self.short_work_forecast(now);
                let work = short_work.remaining + self.order.short_up_to(priority);
                Micros(short_work.blocked_time + work / short_work.available_slots)
            }
            (QueueOrder::ShortFirst, WorkClass::Long) => {
                let available_slots = u64::from(self.slots_for_long(now)).max(1);
                let ahead = self.order.short_up_to(priority) + self.order.long_up_to(priority);
                Micros((self.remaining_work(now) + ahead) / available_slots)
            }
        }
    }

    fn remaining_work(&self, now: Micros) -> u64 {
        self.running.values().map(|entry| entry.expected_remaining(now).0).sum()
    }

    // Slots occupied by long work do not become free within the deadline of a short request.
    fn short_work_forecast(&self, now: Micros) -> ShortWorkForecast {
        let mut available_slots = u64::from(self.settings.slots.max(1));
        let mut remaining = 0;
        let mut soonest = u64::MAX;
        for entry in self.running.values() {
            let expected_remaining = entry.expected_remaining(now).0;
            if self.counts_as_long(entry, now) {
                available_slots = available_slots.saturating_sub(1);
                soonest = soonest.min(expected_remaining);
            } else {
                remaining += expected_remaining;
            }
        }
        let blocked_time = if available_slots == 0 { soonest } else { 0 };
        ShortWorkForecast { available_slots: available_slots.max(1), remaining, blocked_time }
    }

    pub(super) fn check_admission(
        &mut self,
        request: &SlotRequest,
        estimate: Micros,
        class: WorkClass,
        now: Micros,
    ) -> Result<(), QueueRefusal> {
        let mut wait = self.expected_wait(request.priority, estimate, now);
        if wait == Micros::ZERO {
            // An idle target admits every request. Otherwise one slow run could raise an estimate
            // above the deadline, and no further run would ever lower it.
            return Ok(());
        }
        if class == WorkClass::Short && self.settings.order == QueueOrder::ShortFirst {
            wait = wait.min(self.fair_wait(request, now));
        }
        // For long work whose estimate alone exceeds the limit, only the wait is checked.
        let span = Micros(request.deadline.since(now).0 * self.settings.admit_percent / 100);
        let needed = match class {
            WorkClass::Long if estimate > span => wait,
            _ => wait + estimate,
        };
        if needed <= span {
            return Ok(());
        }
        let retry_after = self.retry_after(request.priority, estimate, needed, now);
        Err(QueueRefusal::WouldMissDeadline { retry_after })
    }

    /// Returns the expected wait of a short request, based on its application's share of the slots.
    ///
    /// Applications of equal priority are served in turn, so the backlog of one does not delay
    /// another that stays within its share. With a wait computed from the whole backlog, only 38%
    /// of the requests of such an application were served while another flooded the queue
    /// (`tests/peak_load.rs`).
    fn fair_wait(&self, request: &SlotRequest, now: Micros) -> Micros {
        let urgent = match request.priority.checked_sub(1) {
            Some(priority) => self.order.short_up_to(priority),
            None => 0,
        };
        let mut own = 0;
        let mut active: u64 = 1;
        for (name, share) in &self.shares {
            if *name == request.application {
                own = share.work;
            } else {
                active += u64::from(share.waiting > 0);
            }
        }
        let short_work = self.short_work_forecast(now);
        let work = short_work.remaining + urgent + own.saturating_mul(active);
        Micros(short_work.blocked_time + work / short_work.available_slots)
    }
}
