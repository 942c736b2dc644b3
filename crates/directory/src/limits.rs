//! Limits of teams at the leader, and the requests that carry usage and paces.

use {
    crate::{
        confirm::{ConfirmSource, ConfirmedState, KnownLimits},
        node::DirectoryNode,
    },
    banyansill_core::{
        collections::FastSet,
        directory::{DirectoryState, TeamRule},
        event::EventNumber,
        log_rate_limit::LogRateLimiter,
        names::SharedName,
        team_limit::{ControlMembers, LimitLedger, TeamPace, UsageReport},
        time::Micros,
    },
    banyansill_replica::command_log::{CommandLog, LogError},
    std::{
        collections::BTreeMap,
        future,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time::timeout,
};

/// Time for one confirmation at this replica or at the leader; the client of the leader gives up earlier.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Debug, Default)]
struct LimitState {
    ledger: LimitLedger,
    /// Term in which the ledger is valid, and version of the routes that it knows.
    known: Option<(u64, u64)>,
    /// Teams that are near their limits.
    paced: FastSet<SharedName>,
    log_limit: LogRateLimiter,
}

/// Limits of teams while this replica leads; clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaderLimits {
    state: Arc<Mutex<LimitState>>,
}

impl LeaderLimits {
    /// Returns the number of teams that are near their limits.
    pub(crate) fn paced_teams(&self) -> usize {
        self.lock().paced.len()
    }

    /// Forgets all usage, since this replica does not lead.
    pub(crate) fn clear(&self) {
        self.lock().clear();
    }

    /// Returns the version of the routes whose teams are known, if they were recorded in this term.
    fn known_routes(&self, term: u64) -> Option<u64> {
        self.lock().known.filter(|(known, _)| *known == term).map(|(_, routes)| routes)
    }

    /// Takes the teams of a version of the routes, in a term in which this replica leads.
    ///
    /// Another term than before means that another replica may have led in between.
    fn set_teams(
        &self,
        term: u64,
        routes: u64,
        teams: &BTreeMap<SharedName, TeamRule>,
        now: Micros,
    ) {
        let mut state = self.lock();
        if state.known.is_some_and(|known| known >= (term, routes)) {
            return;
        }
        if state.known.is_some_and(|(known, _)| known != term) {
            state.clear();
        }
        state.known = Some((term, routes));
        state.ledger.set_teams(teams, now);
        state.paced.retain(|team| teams.get(team).is_some_and(|rule| rule.limit.is_some()));
    }

    fn record(&self, report: &UsageReport, members: ControlMembers, now: Micros) -> Vec<TeamPace> {
        let mut state = self.lock();
        state.ledger.set_members(members);
        let paces = state.ledger.record(report, now);
        for pace in &paces {
            state.log_change(pace, now);
        }
        paces
    }

    fn lock(&self) -> MutexGuard<'_, LimitState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LimitState {
    fn clear(&mut self) {
        self.ledger.clear();
        self.known = None;
        self.paced.clear();
    }

    /// Logs a team that comes near its limit or is no longer near it, at most one of each kind a second.
    fn log_change(&mut self, pace: &TeamPace, now: Micros) {
        let (changed, kind, event) = match pace.rate {
            Some(_) if self.paced.contains(&pace.team) => return,
            Some(_) => (self.paced.insert(pace.team.clone()), "paced", EventNumber::TeamPaced),
            None => (self.paced.remove(&pace.team), "unpaced", EventNumber::TeamUnpaced),
        };
        if !changed {
            return;
        }
        let Some(left_out) = self.log_limit.admit(kind, now) else { return };
        log::info!(
            target: "event",
            event:display = event,
            team:display = pace.team,
            left_out;
            ""
        );
    }
}

impl<L> DirectoryNode<L>
where
    L: CommandLog<Machine = DirectoryState>,
{
    /// Returns the newest version of the directory if this replica is the leader, confirmed by a majority, and the
    /// paces for a replica that reports usage.
    ///
    /// # Errors
    ///
    /// Returns an error if this replica is not the leader or no majority confirms its leadership; the usage is then
    /// not recorded.
    pub(crate) async fn confirm_here(
        &self,
        report: &UsageReport,
    ) -> Result<ConfirmedState, LogError> {
        self.confirms.run(|| async { self.log.confirm().await.map(drop) }).await?;
        let term = self.log.status().borrow().term;
        let known = self.limits.known_routes(term);
        let inspected = self.log.inspect(move |state| {
            let routes = state.routes();
            let teams = (known != Some(routes.version)).then(|| routes.teams.clone());
            let members =
                ControlMembers { entries: state.entries().len(), replicas: state.controls().len() };
            (state.version(), routes.version, teams, members)
        });
        let (version, routes, teams, members) = inspected.await?;
        let now = self.clock.now();
        if let Some(teams) = teams {
            self.limits.set_teams(term, routes, &teams, now);
        }
        Ok(ConfirmedState { version, paces: self.limits.record(report, members, now) })
    }

    async fn confirm_at_leader(&self, report: UsageReport) -> Result<ConfirmedState, String> {
        match self.confirm_here(&report).await {
            Ok(confirmed) => Ok(confirmed),
            Err(LogError::NotLeader { leader: Some(leader) }) => {
                let reply = self.leader.confirm(&leader, report.into()).await;
                let reply = reply.map_err(|error| error.to_string())?;
                let mut paces = Vec::new();
                for pace in reply.paces {
                    paces.push(pace.into());
                }
                Ok(ConfirmedState { version: reply.version, paces })
            }
            Err(error) => Err(error.to_string()),
        }
    }
}

impl<L> ConfirmSource for DirectoryNode<L>
where
    L: CommandLog<Machine = DirectoryState>,
{
    async fn confirm(&self, mut report: UsageReport) -> Option<ConfirmedState> {
        report.replica = self.own.host.clone();
        match timeout(CONFIRM_TIMEOUT, self.confirm_at_leader(report)).await {
            Ok(Ok(confirmed)) => Some(confirmed),
            Ok(Err(reason)) => {
                log::debug!("version not confirmed: {reason}");
                None
            }
            Err(_) => {
                log::debug!("version not confirmed in time");
                None
            }
        }
    }

    fn leader_change(&self) -> impl Future<Output = ()> + Send {
        let mut status = self.log.status();
        let known = status.borrow_and_update().leader.clone();
        async move {
            // A replica that has stopped learns of no leader.
            if status.wait_for(|status| status.leader != known).await.is_err() {
                future::pending().await
            }
        }
    }

    async fn limits(&self, known: u64) -> Option<KnownLimits> {
        let inspected = self.log.inspect(move |state| {
            let routes = state.routes();
            let teams = (routes.version != known).then(|| routes.teams.clone());
            KnownLimits { version: routes.version, teams, entries: state.entries().len() }
        });
        inspected.await.ok()
    }

    async fn reach(&self, version: u64) -> bool {
        let mut status = self.log.status();
        loop {
            status.borrow_and_update();
            match self.log.inspect(DirectoryState::version).await {
                Ok(reached) if reached >= version => return true,
                Ok(_) => {}
                Err(_) => return false,
            }
            if status.changed().await.is_err() {
                return false;
            }
        }
    }
}
