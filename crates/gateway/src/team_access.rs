//! What sessions may do on behalf of teams: validity of keys and limits, shared with the follower of the directory.

use {
    banyansill_core::{
        event::EventNumber,
        gateway::{KeyLease, RoutingTable},
        names::SharedName,
        team_limit::{PeerVerdict, TeamLimiter, TeamPace, TeamUsage},
        time::Micros,
    },
    cadence::{CountedExt, Gauged, StatsdClient},
    std::sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    tokio::sync::Notify,
};

/// Confirmation of a probe by control.
#[derive(Clone, Debug)]
pub(crate) struct ProbeConfirmation {
    /// Time at which the probe was sent.
    pub(crate) probe: Micros,
    /// Version of the directory that was the newest one after the probe had been received.
    pub(crate) version: u64,
    /// Paces of teams near their limits.
    pub(crate) paces: Vec<TeamPace>,
}

#[derive(Debug)]
struct AccessState {
    lease: KeyLease,
    limiter: TeamLimiter,
    /// Newest version of the directory that sessions see.
    version: u64,
    /// Whether keys were confirmed at the last check; changes are logged.
    confirmed: bool,
    /// When keys were found unconfirmed; `None` before the first confirmation.
    unconfirmed_since: Option<Micros>,
    /// Whether the follower was told that a report should not wait.
    report_requested: bool,
}

#[derive(Debug)]
struct AccessShared {
    state: Mutex<AccessState>,
    /// Whether the directory has teams.
    has_teams: AtomicBool,
    report_request: Notify,
    metrics: StatsdClient,
}

/// Access of teams at this entry; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct TeamAccess {
    shared: Arc<AccessShared>,
    /// Whether keys need a confirmation.
    is_strict: bool,
}

impl TeamAccess {
    /// Creates the access of an entry that has no teams yet; `withdrawal` is the time within which withdrawn keys must
    /// stop being used, if it is strict.
    pub(crate) fn new(withdrawal: Option<Micros>, metrics: StatsdClient) -> Self {
        let state = AccessState {
            lease: KeyLease::new(withdrawal),
            limiter: TeamLimiter::new(),
            version: 0,
            confirmed: false,
            unconfirmed_since: None,
            report_requested: false,
        };
        if withdrawal.is_some() {
            // Metrics are written to the registry in memory, which cannot fail.
            let _ = metrics.gauge("keys.confirmed", 0_u64);
        }
        let shared = AccessShared {
            state: Mutex::new(state),
            has_teams: AtomicBool::new(false),
            report_request: Notify::new(),
            metrics,
        };
        Self { shared: Arc::new(shared), is_strict: withdrawal.is_some() }
    }

    /// Returns whether a table of keys that is read after this call may be relied on.
    pub(crate) fn keys_are_confirmed(&self, now: Micros) -> bool {
        if !self.is_strict {
            return true;
        }
        let mut state = self.lock();
        let confirmed = state.lease.is_valid(now);
        self.log_change(&mut state, confirmed, now);
        confirmed
    }

    /// Returns whether the entry has not had its first confirmation of keys yet.
    pub(crate) fn awaits_first_confirmation(&self) -> bool {
        self.is_strict && self.lock().lease.is_new()
    }

    /// Counts an operation of a team, or returns the time until its next one fits within the limit.
    pub(crate) fn admit(&self, team: &SharedName, now: Micros) -> Result<(), Micros> {
        let mut state = self.lock();
        let admitted = state.limiter.admit(team, now);
        if !state.report_requested && state.limiter.wants_report() {
            state.report_requested = true;
            self.shared.report_request.notify_one();
        }
        admitted
    }

    /// Returns whether control has counted what this entry reported lately.
    pub(crate) fn counts_in_touch(&self, now: Micros) -> bool {
        self.lock().limiter.is_in_touch(now)
    }

    /// Counts an operation for another entry, which is out of touch.
    pub(crate) fn admit_for_peer(&self, team: &SharedName, now: Micros) -> PeerVerdict {
        self.lock().limiter.admit_for_peer(team, now)
    }

    /// Returns whether the directory has teams.
    pub(crate) fn has_teams(&self) -> bool {
        self.shared.has_teams.load(Ordering::Acquire)
    }

    /// Waits until a report of usage should not wait for its interval.
    pub(crate) async fn report_requested(&self) {
        self.shared.report_request.notified().await;
    }

    /// Takes over a table that sessions see already; `teams_changed` tells whether its teams or entries differ from the
    /// ones before.
    pub(crate) fn set_table(&self, table: &RoutingTable, teams_changed: bool, now: Micros) {
        let mut state = self.lock();
        state.version = table.version;
        state.lease.record_version(table.version);
        if teams_changed {
            state.limiter.set_teams(&table.teams, table.entries.len(), now);
            self.shared.has_teams.store(!table.teams.is_empty(), Ordering::Release);
        }
    }

    /// Returns the usage since the last report, to be sent with the probe of this time.
    pub(crate) fn take_report(&self, probe: Micros) -> Vec<TeamUsage> {
        let mut state = self.lock();
        state.report_requested = false;
        state.limiter.take_report(probe)
    }

    /// Takes over a confirmation; the update that came with it must have been applied.
    pub(crate) fn record_confirmation(&self, confirmation: &ProbeConfirmation, now: Micros) {
        let ProbeConfirmation { probe, version, paces } = confirmation;
        let mut state = self.lock();
        // A lease that expired before is noted here if no session asked for it.
        let before = state.lease.is_valid(now);
        self.log_change(&mut state, before, now);
        let table_version = state.version;
        state.lease.record_confirmation(*probe, *version, table_version);
        state.limiter.record_confirmation(*probe, paces, now);
        let confirmed = state.lease.is_valid(now);
        self.log_change(&mut state, confirmed, now);
    }

    /// Takes over the paces of a replica that bounds the teams of its followers without a leader.
    ///
    /// The replica has counted the usage that came with the probe; it proves nothing about keys.
    pub(crate) fn record_bounds(&self, probe: Micros, paces: &[TeamPace], now: Micros) {
        self.lock().limiter.record_confirmation(probe, paces, now);
    }

    /// Records that the stream to control is lost, with the reports and confirmations on it.
    pub(crate) fn record_disconnect(&self) {
        self.lock().limiter.record_disconnect();
    }

    /// Logs and counts a change of the keys' validity.
    fn log_change(&self, state: &mut AccessState, confirmed: bool, now: Micros) {
        if !self.is_strict || state.confirmed == confirmed {
            return;
        }
        state.confirmed = confirmed;
        let metrics = &self.shared.metrics;
        let _ = metrics.gauge("keys.confirmed", u64::from(confirmed));
        if confirmed {
            let after = state.unconfirmed_since.map_or(Micros::ZERO, |since| now.since(since));
            log::info!(
                target: "event",
                event:display = EventNumber::KeysConfirmed,
                after_ms = after.as_millis(),
                directory = state.version;
                ""
            );
        } else {
            state.unconfirmed_since = Some(now);
            let _ = metrics.incr("keys.lapses");
            log::warn!(
                target: "event",
                event:display = EventNumber::KeysUnconfirmed,
                directory = state.version;
                ""
            );
        }
    }

    fn lock(&self) -> MutexGuard<'_, AccessState> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
