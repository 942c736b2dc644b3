//! Operations that a directory replica offers to operators, targets and other processes.

use {
    crate::{confirm_batch::ConfirmBatch, leader::LeaderClient, limits::LeaderLimits},
    banyansill_core::{
        directory::{
            DirectoryCommand, DirectoryRejection, DirectoryReply, DirectoryState, ProcessHost,
            ReportFault, RouteDraft, RouteFault, TargetReport,
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

/// Time for one operation; clients switch to another replica after 1 s.
const OPERATION_TIMEOUT: Duration = Duration::from_millis(850);

/// Reason why an operation failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DirectoryError {
    /// The replicated log or its leader did not respond, for the given reason; a change may still be applied.
    #[error("{0}")]
    Unavailable(String),
    /// The directory rejects the command.
    #[error(transparent)]
    Rejected(#[from] DirectoryRejection),
    /// The report of a target is not one that a target sends.
    #[error(transparent)]
    InvalidReport(#[from] ReportFault),
}

impl From<LogError> for DirectoryError {
    fn from(error: LogError) -> Self {
        Self::Unavailable(error.to_string())
    }
}

/// Outcome of a request to activate routes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoutesOutcome {
    /// The routes are active, or the active routes already had the same or a higher version.
    Accepted,
    /// The routes are invalid and change nothing; lists every fault.
    Invalid(Vec<RouteFault>),
}

/// One replica of the directory; clones share it.
#[derive(Clone, Debug)]
pub struct DirectoryNode<L> {
    pub(crate) log: L,
    pub(crate) own: ProcessHost,
    pub(crate) clock: MonotonicClock,
    pub(crate) leader: LeaderClient,
    pub(crate) limits: LeaderLimits,
    pub(crate) confirms: ConfirmBatch,
    /// Limits the log lines about failures; an outage would log one for every report of every target.
    log_limit: Arc<Mutex<LogRateLimiter>>,
}

impl<L> DirectoryNode<L>
where
    L: CommandLog<Machine = DirectoryState>,
{
    /// Creates the node of the replica with the given log; `own` describes its process.
    #[must_use]
    pub fn new(log: L, own: ProcessHost, clock: MonotonicClock) -> Self {
        Self {
            log,
            own,
            clock,
            leader: LeaderClient::default(),
            limits: LeaderLimits::default(),
            confirms: ConfirmBatch::default(),
            log_limit: Arc::default(),
        }
    }

    /// Validates routes and activates them.
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
        let command = DirectoryCommand::ApplyRoutes { draft, document: document.into() };
        let changed = self.change(&command, "routes").await?;
        let event = if changed { EventNumber::RoutesAccepted } else { EventNumber::RoutesOutdated };
        log::info!(target: "event", event:display = event, version; "");
        Ok(RoutesOutcome::Accepted)
    }

    /// Returns version and text of the active routes, confirmed by a majority; the text is empty if there are none.
    ///
    /// # Errors
    ///
    /// Returns an error if no majority confirms the active routes in time.
    pub async fn read_routes(&self) -> Result<(u64, String), DirectoryError> {
        let read = async {
            match self.read_here().await {
                Err(LogError::NotLeader { leader: Some(leader) }) => {
                    self.leader.read(&leader).await
                }
                result => result.map_err(DirectoryError::from),
            }
        };
        self.with_timeout("read of the routes", read).await
    }

    /// Returns version and text of the active routes if this replica is the leader.
    ///
    /// # Errors
    ///
    /// Returns an error if this replica is not the leader or no majority confirms its leadership.
    pub(crate) async fn read_here(&self) -> Result<(u64, String), LogError> {
        self.log.confirm().await?;
        self.log
            .inspect(|state| (state.routes().version, state.routes().document.reveal().clone()))
            .await
    }

    /// Records the report of a target about itself.
    ///
    /// # Errors
    ///
    /// Returns an error if the report is invalid, or if it changes the directory and it is not certain that it was
    /// recorded.
    pub async fn record_target(&self, report: TargetReport) -> Result<(), DirectoryError> {
        let admitted = self.log.inspect(move |state| state.admit(report)).await??;
        let Some(report) = admitted else { return Ok(()) };
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
        if self.change(&command, "removal of a target").await? {
            log::info!(
            target: "event",
            event:display = EventNumber::TargetRemoved,
            server:display = target;
            ""
            );
        }
        Ok(())
    }

    /// Submits a command at this replica or at the leader, and returns whether it changed the directory.
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

    /// Submits a command at this replica or at the leader, and returns its log index and whether it changed the
    /// directory. `what` names the command in log lines.
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
        self.with_timeout(what, submitted).await
    }

    /// Submits a command at this replica if it is the leader.
    ///
    /// # Errors
    ///
    /// Returns an error if this replica is not the leader or no majority is reached.
    pub(crate) async fn propose_here(&self, command: Vec<u8>) -> Result<DirectoryReply, LogError> {
        self.log.propose(command).await.map(|(_, reply)| reply)
    }

    /// Runs an operation with a time limit and logs its failure; `what` names it in the log line.
    async fn with_timeout<T, F>(&self, what: &'static str, request: F) -> Result<T, DirectoryError>
    where
        F: Future<Output = Result<T, DirectoryError>>,
    {
        let result = timeout(OPERATION_TIMEOUT, request).await.unwrap_or_else(|_| {
            Err(DirectoryError::Unavailable("no response from a majority in time".to_owned()))
        });
        if let Err(DirectoryError::Unavailable(reason)) = &result {
            let left_out = {
                let mut log_limit = self.log_limit.lock().unwrap_or_else(PoisonError::into_inner);
                log_limit.admit(what, self.clock.now())
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
