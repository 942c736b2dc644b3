//! Execution of statements.

use {
    super::{
        CallerSession, SEND_BYTES, SessionFault, TransactionBlock,
        extended::{CallerPortal, PortalTask},
        messages::{data_row, encode, row_description},
    },
    crate::{
        error::{SqlError, StatementHalt},
        group::GroupRole,
        sql::{
            admin,
            cursor::{QueryCursor, StatementInput},
            evaluate::SessionFacts,
            plan::{AdminCall, QuerySource, StatementPlan},
            write,
        },
        value::{SharedRow, Value},
    },
    pgwire::messages::{
        extendedquery::PortalSuspended,
        response::{CommandComplete, EmptyQueryResponse},
    },
    std::{cell::Cell, collections::VecDeque, sync::Arc, time::Duration},
};

/// How far a portal has run.
#[derive(Debug)]
pub enum PortalProgress {
    /// Not started.
    Ready,
    /// Rows are computed as they are sent.
    Query(Box<QueryCursor>, u64),
    /// Rows are there, with the tag to end with.
    Rows(VecDeque<Vec<Value>>, String),
    /// Every row was sent.
    Done(String),
}

impl CallerSession {
    /// Runs a portal; at most `limit` rows are sent unless it is 0.
    ///
    /// `last` marks the last statement of a simple query, whose own transaction is committed before
    /// the statement is reported as complete.
    pub(super) async fn run_portal(
        &mut self,
        portal: &mut CallerPortal,
        limit: u64,
        last: bool,
    ) -> Result<(), SessionFault> {
        if matches!(portal.progress, PortalProgress::Ready) {
            portal.progress = self.start(portal).await?;
        } else if let PortalTask::Plan(StatementPlan::Query(_)) = &portal.task {
            self.enter().await?;
        }
        if portal.described && !portal.columns.is_empty() {
            encode(&row_description(&portal.columns, &portal.formats), &mut self.output)?;
        }
        let suspended = self.send_rows(portal, limit).await?;
        self.pass = None;
        if suspended {
            encode(&PortalSuspended::new(), &mut self.output)?;
            return Ok(());
        }
        if last && self.block == TransactionBlock::Idle {
            self.commit()?;
        }
        match &portal.progress {
            PortalProgress::Done(tag) if tag.is_empty() => {
                encode(&EmptyQueryResponse::new(), &mut self.output)?;
            }
            PortalProgress::Done(tag) => {
                encode(&CommandComplete::new(tag.clone()), &mut self.output)?;
            }
            _ => {}
        }
        Ok(())
    }

    async fn start(&mut self, portal: &CallerPortal) -> Result<PortalProgress, SessionFault> {
        match &portal.task {
            PortalTask::Empty => Ok(PortalProgress::Done(String::new())),
            PortalTask::Utility(statement) => {
                let statement = statement.clone();
                let (rows, tag) = self.run_utility(&statement)?;
                Ok(PortalProgress::Rows(rows.into(), tag))
            }
            PortalTask::Plan(StatementPlan::Admin(call, _)) => {
                let row = self.run_admin(call, portal)?;
                Ok(PortalProgress::Rows(VecDeque::from([row]), "SELECT 1".to_owned()))
            }
            PortalTask::Plan(plan) => self.start_plan(plan, portal).await,
        }
    }

    async fn start_plan(
        &mut self,
        plan: &StatementPlan,
        portal: &CallerPortal,
    ) -> Result<PortalProgress, SessionFault> {
        let status = matches!(plan, StatementPlan::Query(plan) if matches!(plan.source, QuerySource::Status));
        // The state of the server can be asked for while every slot is taken.
        if !status {
            self.enter().await?;
            self.charge().await?;
        }
        loop {
            self.ensure_transaction();
            self.refresh_snapshot();
            let sleep = Cell::new(0.0);
            let halt = match self.attempt(plan, portal, &sleep) {
                Ok(progress) => {
                    self.sleep_seconds(sleep.get()).await?;
                    return Ok(progress);
                }
                Err(halt) => halt,
            };
            let used = self.transaction.as_ref().is_some_and(|transaction| transaction.used);
            match halt {
                StatementHalt::Failed(error) => return Err(error.into()),
                // Nothing was read before, so the statement can start again on newer data.
                StatementHalt::Stale if !used => {}
                StatementHalt::Stale => return Err(SqlError::conflict().into()),
                StatementHalt::Blocked(holder) => self.wait_for(holder).await?,
            }
        }
    }

    /// Runs the part of a statement that needs the store.
    fn attempt(
        &mut self,
        plan: &StatementPlan,
        portal: &CallerPortal,
        sleep: &Cell<f64>,
    ) -> Result<PortalProgress, StatementHalt> {
        let shared = self.shared.clone();
        let Some(transaction) = &mut self.transaction else {
            return Err(SqlError::new("XX000", "no transaction").into());
        };
        if let StatementPlan::Query(query) = plan
            && !query.lock
        {
            let status = match query.source {
                QuerySource::Status => shared.status(),
                _ => SharedRow::from([]),
            };
            let state = shared.read();
            state.check_snapshot(transaction)?;
            let recovery = state.role != GroupRole::Primary;
            let input = statement_input(&shared.database, self.pid, recovery, portal);
            let cursor = QueryCursor::open(query.clone(), input, status, &state.data, transaction)?;
            transaction.used = true;
            return Ok(PortalProgress::Query(Box::new(cursor), 0));
        }
        let mut state = shared.write();
        state.check_snapshot(transaction)?;
        if let Some(command) = plan.write_command()
            && (transaction.read_only || state.role != GroupRole::Primary)
        {
            return Err(SqlError::read_only(command).into());
        }
        let input = statement_input(&shared.database, self.pid, false, portal);
        let data = &mut state.data;
        let progress = match plan {
            StatementPlan::Query(query) => {
                let rows = write::select_locked(query, input, data, transaction, sleep)?;
                let tag = format!("SELECT {}", rows.len());
                PortalProgress::Rows(rows.into(), tag)
            }
            StatementPlan::Insert(insert) => {
                let (rows, count) = write::insert(insert, &input, data, transaction, sleep)?;
                PortalProgress::Rows(rows.into(), format!("INSERT 0 {count}"))
            }
            StatementPlan::Change(change) => {
                let (rows, count) = write::change(change, &input, data, transaction, sleep)?;
                let verb = if change.assignments.is_some() { "UPDATE" } else { "DELETE" };
                PortalProgress::Rows(rows.into(), format!("{verb} {count}"))
            }
            StatementPlan::Create(schema, if_not_exists) => {
                data.create_table(transaction, schema.clone(), *if_not_exists)?;
                PortalProgress::Done("CREATE TABLE".to_owned())
            }
            StatementPlan::Drop(names, if_exists) => {
                for name in names {
                    data.drop_table(transaction, name, *if_exists)?;
                }
                PortalProgress::Done("DROP TABLE".to_owned())
            }
            StatementPlan::Admin(..) => {
                return Err(SqlError::new("XX000", "not a statement on data").into());
            }
        };
        transaction.used = true;
        Ok(progress)
    }

    async fn send_rows(
        &mut self,
        portal: &mut CallerPortal,
        limit: u64,
    ) -> Result<bool, SessionFault> {
        let mut sent = 0;
        loop {
            let row = match &mut portal.progress {
                PortalProgress::Ready | PortalProgress::Done(_) => return Ok(false),
                PortalProgress::Rows(rows, tag) => match rows.pop_front() {
                    Some(row) => row,
                    None => {
                        portal.progress = PortalProgress::Done(std::mem::take(tag));
                        return Ok(false);
                    }
                },
                PortalProgress::Query(cursor, count) => match cursor.take() {
                    Some(row) => {
                        *count += 1;
                        row
                    }
                    None if cursor.is_done() => {
                        portal.progress = PortalProgress::Done(format!("SELECT {count}"));
                        return Ok(false);
                    }
                    None => {
                        self.step(cursor).await?;
                        continue;
                    }
                },
            };
            if portal.columns.is_empty() && !matches!(portal.progress, PortalProgress::Query(..)) {
                continue;
            }
            encode(&data_row(&portal.columns, &portal.formats, &row), &mut self.output)?;
            if self.output.len() > SEND_BYTES {
                self.send_cancellable().await?;
            }
            sent += 1;
            if sent == limit && !is_exhausted(&portal.progress) {
                return Ok(true);
            }
        }
    }

    async fn step(&mut self, cursor: &mut QueryCursor) -> Result<(), SessionFault> {
        let sleep = Cell::new(0.0);
        {
            let state = self.shared.read();
            if let Some(transaction) = &self.transaction {
                state.check_snapshot(transaction)?;
            }
            cursor.step(&state.data, &sleep)?;
        }
        self.sleep_seconds(sleep.get()).await?;
        if self.cancel.has_changed().unwrap_or(false) {
            return Err(SqlError::cancelled().into());
        }
        tokio::task::yield_now().await;
        Ok(())
    }

    async fn send_cancellable(&mut self) -> Result<(), SessionFault> {
        // A message cut in the middle would break the protocol, so the cancel waits for the write.
        self.send().await?;
        if self.cancel.has_changed().unwrap_or(false) {
            return Err(SqlError::cancelled().into());
        }
        Ok(())
    }

    /// Waits for a slot.
    async fn enter(&mut self) -> Result<(), SqlError> {
        if self.pass.is_some() {
            return Ok(());
        }
        let shared = self.shared.clone();
        tokio::select! {
            pass = shared.gate.enter() => self.pass = pass,
            _ = self.cancel.changed() => return Err(SqlError::cancelled()),
        }
        Ok(())
    }

    /// Waits for the end of another transaction, without a slot so that it can go on.
    async fn wait_for(&mut self, holder: u64) -> Result<(), SqlError> {
        self.pass = None;
        let end = self.shared.write().data.locks.end_of(holder);
        if let Some(mut end) = end {
            tokio::select! {
                _ = end.changed() => {}
                _ = self.cancel.changed() => return Err(SqlError::cancelled()),
            }
        }
        self.enter().await
    }

    async fn sleep_seconds(&mut self, seconds: f64) -> Result<(), SqlError> {
        if seconds <= 0.0 {
            return Ok(());
        }
        let span = Duration::try_from_secs_f64(seconds)
            .map_err(|_| SqlError::new("22008", "sleep is too long"))?;
        self.sleep(span).await
    }

    fn run_admin(
        &mut self,
        call: &AdminCall,
        portal: &CallerPortal,
    ) -> Result<Vec<Value>, SqlError> {
        if self.block != TransactionBlock::Idle {
            let message = "functions of the group cannot run inside a transaction block";
            return Err(SqlError::new("25001", message));
        }
        self.roll_back();
        let sleep = Cell::new(0.0);
        let input = statement_input(&self.shared.database, self.pid, false, portal);
        let action = admin::action(call, &input.context(&sleep))?;
        self.position = self.shared.administer(action)?;
        Ok(vec![Value::text(&self.position.to_string())])
    }
}

fn statement_input(
    database: &Arc<str>,
    pid: i32,
    recovery: bool,
    portal: &CallerPortal,
) -> StatementInput {
    StatementInput {
        parameters: portal.parameters.clone(),
        facts: SessionFacts { recovery, pid, database: database.clone() },
    }
}

fn is_exhausted(progress: &PortalProgress) -> bool {
    match progress {
        PortalProgress::Rows(rows, _) => rows.is_empty(),
        PortalProgress::Query(cursor, _) => cursor.is_done(),
        PortalProgress::Ready | PortalProgress::Done(_) => true,
    }
}
