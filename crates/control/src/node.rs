//! Operations of a control replica for entries, targets and operators, independent of the protocol.

use {
    crate::{
        command_log::{CommandLog, LogError},
        members::MemberControl,
        status, view,
    },
    banyansill_core::{
        cluster::{
            BrokerRef, ClusterCommand, ClusterRejection, ClusterReply, ClusterState, EntryInfo,
            OperatorScope, RowDifference,
        },
        detector::LivenessTable,
        event::EventNumber,
        names::SharedName,
        sheet::{RuleSheet, SheetFault},
        time::Micros,
    },
    banyansill_runtime::{clock::MonotonicClock, events::EventSink},
    banyansill_wire::v1,
    std::sync::{Arc, Mutex, MutexGuard, PoisonError},
    thiserror::Error,
    tokio::sync::Notify,
};

/// Longest request identifier or operator name.
const MAX_LABEL_BYTES: usize = 128;

/// Longest name or address of a host, database or server.
const MAX_NAME_BYTES: usize = 256;

/// Reason for which a request is not served.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NodeError {
    /// The replicated log did not process the request.
    #[error(transparent)]
    Log(#[from] LogError),
    /// The request is not valid.
    #[error("{0}")]
    Invalid(String),
    /// The request cannot be served yet, for example since an earlier change is not finished; the same
    /// request can be repeated later.
    #[error("{0}")]
    Busy(String),
    /// The cluster state rejects the request.
    #[error(transparent)]
    Rejected(ClusterRejection),
}

/// Outcome of a request to accept a sheet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SheetOutcome {
    /// Accepted at this version.
    Accepted(u64),
    /// The cluster state rejected the sheet, for example since another one was accepted first.
    Conflict(String),
    /// The content is not valid.
    Faults(Vec<SheetFault>),
    /// Rows out of the operator's scope differ from the last accepted sheet.
    OutOfScope {
        /// The rows, at most `MAX_REPORTED_FAULTS` of them.
        rows: Vec<RowDifference>,
        /// Description for the operator.
        detail: String,
    },
}

/// The leader's observations, valid for one consensus term.
#[derive(Debug)]
pub(crate) struct LeaderTable {
    /// Consensus term of the leadership.
    pub(crate) term: u64,
    /// Observations since the leadership began.
    pub(crate) table: LivenessTable,
}

/// Control replica; clones share its state.
#[derive(Clone, Debug)]
pub struct ControlNode<L, M> {
    pub(crate) log: L,
    pub(crate) members: M,
    pub(crate) clock: MonotonicClock,
    pub(crate) events: EventSink,
    pub(crate) leader: Arc<Mutex<Option<LeaderTable>>>,
    /// Wakes the leader's task before its next tick.
    pub(crate) wake: Arc<Notify>,
}

impl<L, M> ControlNode<L, M>
where
    L: CommandLog<Machine = ClusterState>,
    M: MemberControl,
{
    /// Creates a node on a replicated log.
    #[must_use]
    pub fn new(log: L, members: M, events: EventSink) -> Self {
        Self {
            log,
            members,
            clock: MonotonicClock::start(),
            events,
            leader: Arc::new(Mutex::new(None)),
            wake: Arc::new(Notify::new()),
        }
    }

    /// Processes a heartbeat and returns the reply.
    ///
    /// The lease is renewed only after a round that began after the reception has confirmed the
    /// leadership.
    pub async fn heartbeat(&self, request: v1::HeartbeatRequest) -> v1::HeartbeatReply {
        let received = self.clock.now();
        let sequence = request.sequence;
        view::observe_stamp(&self.events, request.stamp.as_ref());
        let mut reply = v1::HeartbeatReply { sequence, ..v1::HeartbeatReply::default() };
        if let Err(error) = self.renew_lease(received, &request, &mut reply).await {
            reply.renewed = false;
            reply.reason = error.to_string();
            if let NodeError::Log(LogError::NotLeader { leader }) = error {
                reply.leader = leader.unwrap_or_default();
            }
        }
        reply.stamp = Some(view::current_stamp(&self.events));
        reply
    }

    async fn renew_lease(
        &self,
        received: Micros,
        request: &v1::HeartbeatRequest,
        reply: &mut v1::HeartbeatReply,
    ) -> Result<(), NodeError> {
        self.check_leading()?;
        let Some(entry) = &request.entry else {
            return Err(NodeError::Invalid("the heartbeat contains no entry".to_owned()));
        };
        check_names(&[&entry.host, &entry.address, &entry.caller_address, &entry.zone])?;
        let info = view::entry_info(entry);
        let holder = BrokerRef { host: info.host.clone(), incarnation: info.incarnation };
        let heartbeat = view::heartbeat(request, &info);
        let urgent = self.with_table(|table| table.heartbeat(received, heartbeat))?;
        if !self.is_entry_recorded(info.clone()).await? {
            self.propose(ClusterCommand::JoinEntry { entry: info }).await?;
        }
        self.accept_reported(&holder, &request.reports).await?;
        if urgent {
            self.wake.notify_one();
        }
        self.log.confirm().await?;
        let leader = Arc::clone(&self.leader);
        let clock = self.clock;
        let (version, sheet, result) = self
            .log
            .inspect(move |state| {
                let mut leader = lock(&leader);
                let result = leader
                    .as_mut()
                    .map(|leader| leader.table.renew(state, &holder, received, clock.now()));
                (state.version(), state.sheet().map_or(0, |record| record.number), result)
            })
            .await?;
        reply.version = version;
        reply.sheet_number = sheet;
        match result {
            Some(Ok(())) => reply.renewed = true,
            Some(Err(refusal)) => reply.reason = refusal.to_string(),
            None => reply.reason = "this replica does not lead any more".to_owned(),
        }
        Ok(())
    }

    async fn is_entry_recorded(&self, info: EntryInfo) -> Result<bool, NodeError> {
        let recorded = self
            .log
            .inspect(move |state| {
                let record = state.entries().get(&info.host);
                record.is_some_and(|record| record.live && record.info == info)
            })
            .await?;
        Ok(recorded)
    }

    /// Checks a sheet and proposes its acceptance.
    ///
    /// # Errors
    ///
    /// Returns an error if the request is malformed or the log does not process it. After
    /// `LogError::OutcomeUnknown` the outcome is found by sending the request again with the same
    /// identifier.
    pub async fn apply_sheet(
        &self,
        request: v1::ApplySheetRequest,
        scope: &OperatorScope,
    ) -> Result<SheetOutcome, NodeError> {
        check_label("request_id", &request.request_id)?;
        check_label("operator", &request.operator)?;
        if request.number == 0 {
            return Err(NodeError::Invalid("a sheet's number is at least 1".to_owned()));
        }
        if let Err(faults) = RuleSheet::parse(&request.content) {
            return Ok(SheetOutcome::Faults(faults));
        }
        let content = String::from_utf8(request.content.to_vec())
            .map_err(|_| NodeError::Invalid("the sheet is not UTF-8".to_owned()))?;
        let (number, operator) = (request.number, request.operator.clone());
        let command = ClusterCommand::ApplySheet {
            number,
            content,
            operator: request.operator,
            request_id: request.request_id,
        };
        match self.propose_scoped(scope, command).await {
            Ok((version, _)) => {
                self.wake.notify_one();
                Ok(SheetOutcome::Accepted(version))
            }
            Err(NodeError::Rejected(rejection)) => {
                let detail = rejection.to_string();
                match rejection {
                    ClusterRejection::OutOfScope { rows, total } => {
                        let fields = [
                            ("number", number.to_string()),
                            ("operator", operator),
                            ("rows", total.to_string()),
                        ];
                        self.events.record(EventNumber::SheetOutOfScope, &fields);
                        Ok(SheetOutcome::OutOfScope { rows, detail })
                    }
                    _ => Ok(SheetOutcome::Conflict(detail)),
                }
            }
            Err(error) => Err(error),
        }
    }

    /// Sets or clears an operator's drain mark and returns whether it changed.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry or target is unknown or not in the operator's scope, or the log
    /// does not process the request.
    pub async fn drain(
        &self,
        request: v1::DrainRequest,
        scope: &OperatorScope,
    ) -> Result<bool, NodeError> {
        check_label("request_id", &request.request_id)?;
        check_names(&[&request.name])?;
        let (drain, request_id) = (request.drain, request.request_id);
        let command = match request.scope.as_str() {
            "entry" => ClusterCommand::DrainEntry { host: request.name.into(), drain, request_id },
            "target" => ClusterCommand::DrainTarget {
                database: request.database.into(),
                server: request.name.into(),
                drain,
                request_id,
            },
            other => {
                let message = format!("scope {other:?} is not one of entry, target");
                return Err(NodeError::Invalid(message));
            }
        };
        let (_, changed) = self.propose_scoped(scope, command).await?;
        self.wake.notify_one();
        Ok(changed)
    }

    /// Adds or removes a control replica and returns a description of the result for the operator.
    ///
    /// # Errors
    ///
    /// Returns an error if the operator is scoped or the change is refused.
    pub async fn change_member(
        &self,
        host: SharedName,
        address: String,
        add: bool,
        scope: &OperatorScope,
    ) -> Result<String, NodeError> {
        if !scope.is_unlimited() {
            let detail = "only an operator with all rights changes control replicas".to_owned();
            return Err(NodeError::Rejected(ClusterRejection::Forbidden { detail }));
        }
        self.members.change_member(host, address, add).await
    }

    /// Returns the state as this replica has applied it.
    ///
    /// The leadership is confirmed first if the request demands it or contains an outlook.
    ///
    /// # Errors
    ///
    /// Returns an error if the replica has stopped, cannot confirm its leadership, or the database of
    /// the outlook is not in the operator's scope.
    pub async fn status(
        &self,
        request: v1::StatusRequest,
        scope: &OperatorScope,
    ) -> Result<v1::StatusReply, NodeError> {
        if !request.outlook_of.is_empty() && !scope.covers_database(&request.outlook_of) {
            let detail =
                format!("database {:?} is not in the operator's scope", request.outlook_of);
            return Err(NodeError::Rejected(ClusterRejection::Forbidden { detail }));
        }
        if request.confirmed || !request.outlook_of.is_empty() {
            self.log.confirm().await?;
        }
        let role = self.log.status().borrow().clone();
        let leader = Arc::clone(&self.leader);
        let now = self.clock.now();
        let reply = self
            .log
            .inspect(move |state| {
                let leader = lock(&leader);
                let table = leader.as_ref().map(|leader| &leader.table);
                status::reply(state, table, &request.outlook_of, now)
            })
            .await?;
        let mut reply = reply?;
        reply.leader = role.leader.unwrap_or_default();
        reply.consensus_term = role.term;
        reply.replicas = self.members.replicas().await;
        status::restrict(&mut reply, scope);
        Ok(reply)
    }

    /// Confirms the leadership and returns the records of the accepted sheets.
    ///
    /// # Errors
    ///
    /// Returns an error if this replica does not lead or no majority answers.
    pub async fn sheet_history(&self) -> Result<Vec<v1::SheetRecord>, NodeError> {
        self.log.confirm().await?;
        let records = self.log.inspect(ClusterState::sheet_history).await?;
        Ok(records.into_iter().map(view::sheet_record).collect())
    }

    /// Proposes an operator's command, which the state machine checks against the operator's scope.
    async fn propose_scoped(
        &self,
        scope: &OperatorScope,
        command: ClusterCommand,
    ) -> Result<(u64, bool), NodeError> {
        if scope.is_unlimited() {
            return self.propose(command).await;
        }
        let command = Box::new(command);
        self.propose(ClusterCommand::Scoped { scope: scope.clone(), command }).await
    }

    /// Proposes a command and returns its version and whether it changed the state.
    pub(crate) async fn propose(&self, command: ClusterCommand) -> Result<(u64, bool), NodeError> {
        let (_, reply) = self.log.propose(command.encode()).await?;
        match reply {
            ClusterReply::Done { version, changed } => {
                if changed {
                    crate::record_event(&self.events, &command, version);
                }
                Ok((version, changed))
            }
            ClusterReply::Rejected(rejection) => Err(NodeError::Rejected(rejection)),
        }
    }

    /// Returns an error with the leader's address if this replica does not lead.
    ///
    /// # Errors
    ///
    /// Returns `LogError::NotLeader`.
    pub fn check_leading(&self) -> Result<(), NodeError> {
        let status = self.log.status();
        let status = status.borrow();
        if status.leading {
            return Ok(());
        }
        Err(NodeError::Log(LogError::NotLeader { leader: status.leader.clone() }))
    }

    /// Runs a function on the observations of the current leadership.
    pub(crate) fn with_table<T, F>(&self, function: F) -> Result<T, NodeError>
    where
        F: FnOnce(&mut LivenessTable) -> T,
    {
        let term = self.log.status().borrow().term;
        let mut leader = lock(&self.leader);
        match leader.as_mut() {
            Some(leader) if leader.term == term => Ok(function(&mut leader.table)),
            _ => Err(NodeError::Log(LogError::NotLeader { leader: None })),
        }
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub(crate) fn check_names(names: &[&String]) -> Result<(), NodeError> {
    for name in names {
        if name.len() > MAX_NAME_BYTES || name.chars().any(char::is_control) {
            let message = format!("names are at most {MAX_NAME_BYTES} bytes of printable text");
            return Err(NodeError::Invalid(message));
        }
    }
    Ok(())
}

fn check_label(field: &str, label: &str) -> Result<(), NodeError> {
    if label.len() > MAX_LABEL_BYTES || label.chars().any(char::is_control) {
        let message = format!("{field} is at most {MAX_LABEL_BYTES} bytes of printable text");
        return Err(NodeError::Invalid(message));
    }
    Ok(())
}
