//! Limits of teams at the leader, and the requests that carry usage and paces.

use {
    crate::{
        confirm::{ConfirmSource, ConfirmedState},
        node::DirectoryNode,
    },
    banyansill_core::{
        collections::FastSet,
        directory::{DirectoryState, TeamRule},
        event::EventNumber,
        log_rate_limit::LogRateLimiter,
        names::SharedName,
        team_limit::{LimitLedger, TeamPace, TeamUsage},
        time::Micros,
    },
    banyansill_replica::command_log::{CommandLog, LogError},
    banyansill_wire::directory_v1 as v1,
    std::{
        collections::BTreeMap,
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

    fn record(&self, replica: &SharedName, usage: &[TeamUsage], now: Micros) -> Vec<TeamPace> {
        let mut state = self.lock();
        let paces = state.ledger.record(replica, usage, now);
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
        replica: &SharedName,
        usage: &[TeamUsage],
    ) -> Result<ConfirmedState, LogError> {
        self.log.confirm().await?;
        let term = self.log.status().borrow().term;
        let known = self.limits.known_routes(term);
        let inspected = self.log.inspect(move |state| {
            let routes = state.routes();
            let teams = (known != Some(routes.version)).then(|| routes.teams.clone());
            (state.version(), routes.version, teams)
        });
        let (version, routes, teams) = inspected.await?;
        let now = self.clock.now();
        if let Some(teams) = teams {
            self.limits.set_teams(term, routes, &teams, now);
        }
        Ok(ConfirmedState { version, paces: self.limits.record(replica, usage, now) })
    }

    async fn confirm_at_leader(&self, usage: Vec<TeamUsage>) -> Result<ConfirmedState, String> {
        match self.confirm_here(&self.own.host, &usage).await {
            Ok(confirmed) => Ok(confirmed),
            Err(LogError::NotLeader { leader: Some(leader) }) => {
                let mut request = v1::ConfirmRequest {
                    replica: self.own.host.to_string(),
                    ..v1::ConfirmRequest::default()
                };
                for usage in usage {
                    request.usage.push(usage.into());
                }
                let reply = self.leader.confirm(&leader, request).await;
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
    async fn confirm(&self, usage: Vec<TeamUsage>) -> Option<ConfirmedState> {
        match timeout(CONFIRM_TIMEOUT, self.confirm_at_leader(usage)).await {
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
