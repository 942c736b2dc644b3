//! Assignment changes, closing and status reports of one target's broker.

use {
    super::target::{TargetGate, TargetShared},
    banyansill_core::{
        event::EventNumber,
        failure::FailureKind,
        route::{DatabaseRoute, TargetRole},
        time::Micros,
    },
    banyansill_wire::v1,
    std::sync::{Arc, PoisonError, atomic::Ordering},
};

impl TargetShared {
    /// Returns the epoch of the assignment.
    pub(super) const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns whether the assignment has ended for good.
    pub(super) fn retired(&self) -> bool {
        self.retired.load(Ordering::Acquire)
    }

    /// Applies a new snapshot of the assignment; returns whether anything changed.
    pub(super) fn update(&self, next: TargetGate) -> bool {
        let term = self.gate.borrow().route.term;
        let changed = self.gate.send_if_modified(|gate| {
            let same = Arc::ptr_eq(&gate.route, &next.route)
                || (gate.route == next.route && gate.draining == next.draining);
            if same && gate.open == next.open && !gate.closing {
                return false;
            }
            *gate = TargetGate {
                reachable: gate.reachable,
                suspect_before: gate.suspect_before,
                ..next
            };
            true
        });
        if changed && self.gate.borrow().route.term != term {
            self.reset_first_write();
        }
        changed
    }

    /// Refuses new work and closes each connection once its running work has finished.
    pub(super) fn begin_closing(&self, route: Arc<DatabaseRoute>, draining: bool) {
        self.gate.send_modify(|gate| {
            gate.closing = true;
            gate.draining = draining;
            gate.route = route;
        });
        self.refuse_waiting(FailureKind::WrongEpoch, "the broker was released");
        self.close_idle();
    }

    /// Closes every connection at once.
    pub(super) fn close(&self, kind: FailureKind) {
        self.gate.send_modify(|gate| gate.open = false);
        self.refuse_waiting(kind, "the broker closed");
        self.close_idle();
        self.clear_mark();
    }

    /// Ends the assignment.
    pub(super) fn retire(&self) {
        self.retired.store(true, Ordering::Release);
        self.close(FailureKind::WrongEpoch);
    }

    /// Closes every connection of a target that cannot be reached.
    pub(super) fn unreachable(&self) {
        self.gate.send_modify(|gate| gate.reachable = false);
        self.refuse_waiting(FailureKind::Unreachable, "the target cannot be reached");
        self.close_idle();
    }

    pub(super) fn record_missed(&self, sent: Micros) {
        self.probes.lock().unwrap_or_else(PoisonError::into_inner).record_missed(sent);
    }

    pub(super) fn record_answered(&self) -> bool {
        self.probes.lock().unwrap_or_else(PoisonError::into_inner).record_answered()
    }

    pub(super) fn record_failed(&self, sent: Micros) -> bool {
        self.probes.lock().unwrap_or_else(PoisonError::into_inner).record_fresh_failure(sent)
    }

    fn record_fence(&self, term: u64) {
        if self.fence_recorded.fetch_max(term, Ordering::SeqCst) >= term {
            return;
        }
        let fields = [
            ("database", self.database.to_string()),
            ("server", self.server.to_string()),
            ("term", term.to_string()),
        ];
        self.events.record(EventNumber::TermFenced, &fields);
    }

    /// Returns the broker's report on its target, for the heartbeat.
    pub(super) fn report(&self) -> v1::TargetReport {
        let gate = self.gate.borrow();
        let probes = *self.probes.lock().unwrap_or_else(PoisonError::into_inner);
        let status = *self.status.borrow();
        let silent = probes.unreachable_for(self.clock.now()).as_millis();
        let role = match status.map(|status| status.role) {
            Some(TargetRole::Primary) => v1::Role::Primary,
            Some(TargetRole::Replica) => v1::Role::Replica,
            None => v1::Role::Unspecified,
        };
        // Grants check the gate before they forward a response, so no write is acknowledged under a
        // closed term. After a planned close, running writes are allowed to finish first.
        let term = gate.route.term.0;
        let finished = !gate.route.planned || self.writers.load(Ordering::SeqCst) == 0;
        let fenced_term = if gate.route.closed && finished { term } else { term.saturating_sub(1) };
        if fenced_term == term && gate.route.primary.as_ref() == Some(&self.server) {
            self.record_fence(term);
        }
        let term_start = *self.term_start.lock().unwrap_or_else(PoisonError::into_inner);
        let term_start = term_start.filter(|(term, _)| {
            status.is_some_and(|status| status.role == TargetRole::Primary && status.term == *term)
        });
        v1::TargetReport {
            database: self.database.to_string(),
            server: self.server.to_string(),
            epoch: gate.epoch,
            reachable: probes.reachable(),
            unreachable_ms: u32::try_from(silent).unwrap_or(u32::MAX),
            role: role.into(),
            position: status.map(|status| status.received.into()),
            fenced_term,
            open_connections: self.pooled.open() + self.probing.open(),
            term: status.map_or(0, |status| status.term.0),
            term_start: term_start.map(|(_, start)| start.into()),
            announced_incarnation: 0,
            announcement: None,
        }
    }
}
