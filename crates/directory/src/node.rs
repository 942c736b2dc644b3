//! What a replica of the directory does for operators, targets and other processes.

use {
    crate::leader::LeaderLink,
    banyansill_core::{
        directory::{
            DirectoryCommand, DirectoryRejection, DirectoryReply, DirectoryState, ProcessHost,
            RouteDraft, RouteFault, TargetReport,
        },
        event::EventNumber,
        log_rate_limit::LogRateLimiter,
        names::SharedName,
    },
    banyansill_replica::command_log::{CommandLog, LogError},
    banyansill_runtime::clock::MonotonicClock,
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    thiserror::Error,
    tokio::time::timeout,
};

/// Time for one request; callers turn to another replica after a second.
const REQUEST_LIMIT: Duration = Duration::from_millis(850);

/// Why a request was not served.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DirectoryError {
    /// The replicated log did not answer; a change may still come into force.
    #[error("{0}")]
    Unavailable(String),
    /// The directory rejects the command.
    #[error(transparent)]
    Rejected(#[from] DirectoryRejection),
}

impl From<LogError> for DirectoryError {
    fn from(error: LogError) -> Self {
        Self::Unavailable(error.to_string())
    }
}

/// What became of a set of routes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoutesOutcome {
    /// It is in force, or one with the same or a higher version was before.
    Accepted,
    /// It is invalid.
    Invalid(Vec<RouteFault>),
}

/// One replica of the directory; clones share it.
#[derive(Clone, Debug)]
pub struct DirectoryNode<L> {
    pub(crate) log: L,
    pub(crate) own: ProcessHost,
    pub(crate) clock: MonotonicClock,
    pub(crate) leader: LeaderLink,
    /// An outage would log a line for every report of every target.
    lines: Arc<Mutex<LogRateLimiter>>,
}

impl<L> DirectoryNode<L>
where
    L: CommandLog<Machine = DirectoryState>,
{
    /// Creates the node of a replicated log.
    #[must_use]
    pub fn new(log: L, own: ProcessHost, clock: MonotonicClock) -> Self {
        Self { log, own, clock, leader: LeaderLink::default(), lines: Arc::default() }
    }

    /// Puts routes in force.
    ///
    /// # Errors
    ///
    /// Returns an error if the outcome is not certain; the same routes can be sent again.
    pub async fn apply_routes(
        &self,
        draft: RouteDraft,
        document: String,
    ) -> Result<RoutesOutcome, DirectoryError> {
        let version = draft.version;
        if let Err(faults) = draft.check() {
            let text: Vec<String> = faults.iter().map(ToString::to_string).collect();
            log::warn!(
                target: "event",
                event:display = EventNumber::RoutesInvalid,
                version,
                faults = text.join("; ").as_str();
                ""
            );
            return Ok(RoutesOutcome::Invalid(faults));
        }
        let command = DirectoryCommand::ApplyRoutes { draft, document };
        let changed = self.change(&command, "routes").await?;
        let event = if changed { EventNumber::RoutesAccepted } else { EventNumber::RoutesOutdated };
        log::info!(target: "event", event:display = event, version; "");
        Ok(RoutesOutcome::Accepted)
    }

    /// Returns version and text of the routes in force, confirmed by a majority; an empty text stands
    /// for none.
    ///
    /// # Errors
    ///
    /// Returns an error if no majority confirms what is in force.
    pub async fn read_routes(&self) -> Result<(u64, String), DirectoryError> {
        let read = async {
            match self.read_here().await {
                Err(LogError::NotLeader { leader: Some(leader) }) => {
                    self.leader.read(&leader).await
                }
                result => result.map_err(DirectoryError::from),
            }
        };
        self.within("read of the routes", read).await
    }

    /// Reads at this replica if it leads.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not lead or no majority confirms it.
    pub(crate) async fn read_here(&self) -> Result<(u64, String), LogError> {
        self.log.confirm().await?;
        self.log.inspect(|state| (state.routes().version, state.routes().document.clone())).await
    }

    /// Records what a target says of itself.
    ///
    /// # Errors
    ///
    /// Returns an error if the report tells something new and its record is not certain.
    pub async fn record_target(&self, report: TargetReport) -> Result<(), DirectoryError> {
        let candidate = report.clone();
        let news = self.log.inspect(move |state| state.would_change(&candidate)).await?;
        if !news {
            return Ok(());
        }
        let command = DirectoryCommand::RecordTarget { report: report.clone() };
        if self.change(&command, "target report").await? {
            log::info!(
                target: "event",
                event:display = EventNumber::TargetRecorded,
                group:display = report.group,
                server:display = report.target,
                address:display = report.address,
                state:debug = report.state,
                role:debug = report.role,
                incarnation = report.order.incarnation,
                sequence = report.order.sequence;
                ""
            );
        }
        Ok(())
    }

    /// Removes a target that has left.
    ///
    /// # Errors
    ///
    /// Returns an error if the removal is not certain.
    pub async fn remove_target(&self, target: SharedName) -> Result<(), DirectoryError> {
        let command = DirectoryCommand::RemoveTarget { target: target.clone() };
        if self.change(&command, "departure of a target").await? {
            log::info!(
                target: "event",
                event:display = EventNumber::TargetRemoved,
                server:display = target;
                ""
            );
        }
        Ok(())
    }

    /// Carries out a command here or at the leader and returns whether it changed the directory.
    ///
    /// # Errors
    ///
    /// Returns an error if the outcome is not certain or the directory rejects the command.
    pub(crate) async fn change(
        &self,
        command: &DirectoryCommand,
        what: &'static str,
    ) -> Result<bool, DirectoryError> {
        self.submit(command, what).await.map(|(_, changed)| changed)
    }

    /// Carries out a command here or at the leader and returns its index and whether it changed the
    /// directory.
    ///
    /// # Errors
    ///
    /// Returns an error if the outcome is not certain or the directory rejects the command.
    pub(crate) async fn submit(
        &self,
        command: &DirectoryCommand,
        what: &'static str,
    ) -> Result<(u64, bool), DirectoryError> {
        let encoded = command.encode();
        let submitted = async {
            let reply = match self.propose_here(encoded.clone()).await {
                Err(LogError::NotLeader { leader: Some(leader) }) => {
                    self.leader.submit(&leader, encoded).await?
                }
                result => result?,
            };
            match reply {
                DirectoryReply::Done { index, changed } => Ok((index, changed)),
                DirectoryReply::Rejected(rejection) => Err(DirectoryError::Rejected(rejection)),
            }
        };
        self.within(what, submitted).await
    }

    /// Carries out a command at this replica if it leads.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not lead or no majority is reached.
    pub(crate) async fn propose_here(&self, command: Vec<u8>) -> Result<DirectoryReply, LogError> {
        self.log.propose(command).await.map(|(_, reply)| reply)
    }

    async fn within<T, F>(&self, what: &'static str, request: F) -> Result<T, DirectoryError>
    where
        F: Future<Output = Result<T, DirectoryError>>,
    {
        let result = timeout(REQUEST_LIMIT, request).await.unwrap_or_else(|_| {
            Err(DirectoryError::Unavailable("no answer of a majority in time".to_owned()))
        });
        if let Err(DirectoryError::Unavailable(reason)) = &result {
            let left_out = {
                let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
                lines.admit(what, self.clock.now())
            };
            if let Some(left_out) = left_out {
                let status = self.log.status().borrow().clone();
                log::warn!(
                    target: "event",
                    event:display = EventNumber::DirectoryUnavailable,
                    what,
                    reason = reason.as_str(),
                    term = status.term,
                    leader = status.leader.as_deref().unwrap_or("-"),
                    left_out;
                    ""
                );
            }
        }
        result
    }
}
