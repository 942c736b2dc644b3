//! Idle connections of a pool: which one a request takes, and when they are closed.

use {
    super::{
        connection::{ConnectionCheck, PooledConnection},
        target::{ConnectionUser, LeaseOptions, TargetPool, VERIFY_TIMEOUT, close_all},
    },
    banyansill_core::{gateway::ConnectionShare, queue::SlotTicket, time::Micros},
    banyansill_target::StatementProtocol,
    tokio::time::timeout,
};

/// Idle time after which a connection is checked for a close by the target before it is used.
const IDLE_CHECK_AFTER: Micros = Micros::from_millis(20);

/// Idle time after which the last idle connection is closed; targets close idle connections after a minute.
const LAST_IDLE_TIMEOUT: Micros = Micros::from_secs(40);

/// Idle time after which any other idle connection is closed. A target counts the connections of a lost host
/// for 3 s, and the connections of all entries together must leave room for the same entries to reconnect.
const SPARE_IDLE_TIMEOUT: Micros = Micros::from_millis(1_500);

/// Idle time after which a connection of a team is closed. Each serves only its team, and the entry's share of the
/// connections bounds their number.
const TEAM_IDLE_TIMEOUT: Micros = Micros::from_secs(10);

impl<P> TargetPool<P>
where
    P: StatementProtocol,
{
    /// Closes connections that have been idle for too long.
    pub(crate) fn close_unused(&self) {
        let now = self.now();
        let mut dropped = Vec::new();
        let mut state = self.state.borrow_mut();
        let mut idle = std::mem::take(&mut state.idle);
        let spare_timeout =
            if state.team_relays.is_empty() { SPARE_IDLE_TIMEOUT } else { TEAM_IDLE_TIMEOUT };
        // The most recently used connection is at the end.
        let last = idle.pop();
        for pooled in idle {
            if now.since(pooled.last_used) < spare_timeout {
                state.idle.push(pooled);
            } else {
                dropped.push(pooled);
            }
        }
        if let Some(last) = last {
            if now.since(last.last_used) < LAST_IDLE_TIMEOUT {
                state.idle.push(last);
            } else {
                dropped.push(last);
            }
        }
        state.record_closed(dropped.len());
        drop(state);
        for _ in &dropped {
            self.core.count("connections.ended.unused");
        }
        close_all(dropped);
    }

    /// Takes an idle connection that serves the request, preferably one with its session values.
    pub(super) fn take_idle(
        &self,
        ticket: SlotTicket,
        options: &LeaseOptions<'_>,
    ) -> Option<PooledConnection<P>> {
        let mut broken = Vec::new();
        let mut state = self.state.borrow_mut();
        let now = self.now();
        let team = options.slot.team;
        let serves = |pooled: &PooledConnection<P>| {
            options.user == ConnectionUser::Entry || pooled.team == *team
        };
        if options.user == ConnectionUser::Session
            && !self.usual_relays(&mut state, team).is_empty()
        {
            return None;
        }
        let found = loop {
            let matching = state
                .idle
                .iter()
                .rposition(|pooled| serves(pooled) && pooled.has_values(options.values));
            let index = matching.or_else(|| state.idle.iter().rposition(serves));
            let Some(index) = index else { break None };
            let pooled = state.idle.remove(index);
            if now.since(pooled.last_used) < IDLE_CHECK_AFTER || pooled.connection.is_usable() {
                break Some(pooled);
            }
            broken.push(pooled);
        };
        state.record_closed(broken.len());
        if found.is_some() {
            state.reservations.remove(&ticket);
        }
        found
    }

    /// Returns whether an idle connection still works and carries no session state.
    pub(super) async fn is_alive(
        &self,
        pooled: &mut PooledConnection<P>,
        options: &LeaseOptions<'_>,
    ) -> bool {
        let left = options.slot.deadline.since(self.now()).min(VERIFY_TIMEOUT);
        let verified = timeout(left.as_duration(), pooled.verify()).await;
        matches!(verified, Ok(Ok(ConnectionCheck::Reset)))
    }

    /// Returns a leased connection to the pool, or closes it if it cannot be reused.
    pub(super) fn put_back(&self, pooled: PooledConnection<P>) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let kept = !state.is_closing(now) && matches!(state.share, ConnectionShare::Direct(_));
        let mut dropped = Vec::new();
        if kept && !pooled.is_relayed() && pooled.is_reusable() {
            state.idle.push(pooled);
        } else {
            if pooled.is_relayed() {
                state.record_returned();
            } else {
                state.record_closed(1);
            }
            if kept {
                self.core.count(pooled.end_metric());
            }
            dropped.push(pooled);
        }
        drop(state);
        close_all(dropped);
        self.returned.notify_one();
        self.grant_slots();
    }
}
