//! Runs requests on grants: chooses a target, sends the request, streams the response and retries.

use {
    super::{
        caller_stream::SessionEnd,
        held_grant::HeldGrant,
        local::LocalReply,
        prepared::CallerBatch,
        request::{CallerRequest, RequestSummary, may_need_ack},
        response,
        state::{CallerSession, TransactionState},
    },
    crate::link::{
        GrantAccess, GrantRequest, GrantRouter, LinkFailure, LinkInput, TransactionStatus,
    },
    banyansill_core::{
        failure::FailureKind,
        names::SharedName,
        route::{
            ChoiceQuery, FailedTry, RouteTable, choose_target, replica_retry_delay, route_wait,
        },
        sheet::{RuleAck, RuleTargets, SheetRule},
        time::Micros,
    },
    bytes::{Bytes, BytesMut},
    std::{
        sync::atomic::Ordering,
        time::{Duration, Instant},
    },
    tokio::time::timeout,
};

/// Timeout of the request for the primary's high-water mark, after which a read goes to the primary instead.
const HIGH_WATER_MARK_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of tries of one request; a group has a few targets and each is tried once.
const TRY_LIMIT: usize = 8;

/// Interval at which a waiting request checks for a usable target.
const ROUTE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How an exchange on a grant ended.
#[derive(Debug)]
pub(super) enum ExchangeEnd {
    /// The target is ready for the next request.
    Ready,
    /// The exchange failed at the broker or in the session.
    Failed {
        failure: LinkFailure,
        /// Whether it is certain that the request was not run.
        refused: bool,
        /// Whether part of the response has been forwarded to the caller.
        answered: bool,
    },
}

/// Returns a failure without a detail and with the kind's default retry delay.
pub(super) const fn failure_of(kind: FailureKind) -> LinkFailure {
    LinkFailure { kind, retry_after: Micros::ZERO, detail: String::new() }
}

impl<R> CallerSession<R>
where
    R: GrantRouter,
{
    /// Runs a request and reports its failure, if any, to the caller.
    pub(super) async fn request(&mut self, request: CallerRequest) -> Result<(), SessionEnd> {
        let complete = request.complete;
        self.sync_received = complete;
        if let TransactionState::Lost { unreported } = self.state {
            let ends_transaction = request.summary.is_commit_or_rollback;
            self.state = if ends_transaction {
                TransactionState::Idle
            } else {
                TransactionState::Lost { unreported: false }
            };
            if unreported {
                return self.send_error(&failure_of(FailureKind::TransactionLost), complete).await;
            }
            let mut buffer = BytesMut::new();
            let reply = LocalReply::Aborted;
            self.write_local(&mut buffer, &reply);
            return self.end_failure(buffer, complete).await;
        }
        let result = if self.grant.is_some() {
            self.run_on_held_grant(&request).await?
        } else {
            self.run_on_new_grant(&request).await?
        };
        match result {
            Ok(()) => {
                if let Some((name, text)) = request.setting
                    && !self.target_error
                {
                    self.identity.settings.insert(name, text);
                }
                Ok(())
            }
            Err(failure) => self.send_error(&failure, self.sync_received).await,
        }
    }

    /// Sends an error response to the caller and marks an open transaction as lost.
    async fn send_error(&mut self, failure: &LinkFailure, synced: bool) -> Result<(), SessionEnd> {
        self.shared.counters.failures.fetch_add(1, Ordering::Relaxed);
        let mut buffer = BytesMut::new();
        let severity = response::ErrorSeverity::Error;
        let LinkFailure { kind, retry_after, detail } = failure;
        response::failure(&mut buffer, severity, *kind, detail, *retry_after);
        self.end_failure(buffer, synced).await
    }

    async fn end_failure(&mut self, mut buffer: BytesMut, synced: bool) -> Result<(), SessionEnd> {
        self.store.clear_in_flight();
        self.store.clear_portals();
        self.batch = CallerBatch::default();
        self.mark_transaction_lost();
        if synced {
            response::ready_for_query(&mut buffer, self.status());
        } else {
            self.skip_to_sync = true;
        }
        self.reply(&buffer).await
    }

    /// Runs a request on the grant that the session already holds.
    async fn run_on_held_grant(
        &mut self,
        request: &CallerRequest,
    ) -> Result<Result<(), LinkFailure>, SessionEnd> {
        let Some(mut grant) = self.grant.take() else {
            return Ok(Err(failure_of(FailureKind::TransactionLost)));
        };
        if let Err(kind) = self.check_grant(&mut grant, &request.summary) {
            // Dropping the grant rolls back its transaction; outside a transaction a pinned session keeps it.
            if self.state == TransactionState::Idle {
                self.grant = Some(grant);
            }
            return Ok(Err(failure_of(kind)));
        }
        let in_transaction = self.state == TransactionState::Open;
        let pinned = grant.pinned;
        let end = self.exchange(&mut grant, request, false).await?;
        match end {
            ExchangeEnd::Ready => {
                self.keep_or_release_grant(grant);
                Ok(Ok(()))
            }
            ExchangeEnd::Failed { failure, refused, .. } => {
                let summary = &request.summary;
                // If the response to a rollback is lost, the transaction has been rolled back anyway.
                let uncommitted =
                    in_transaction && (!summary.may_end_transaction || summary.is_rollback);
                let lost = uncommitted && !refused;
                let kind = if lost { FailureKind::TransactionLost } else { failure.kind };
                if pinned {
                    log::debug!("a pinned session lost its grant: {}", failure.detail);
                    let detail = "the connection that held the session's state is gone";
                    return Err(SessionEnd::Failure(kind, detail));
                }
                if summary.is_commit_or_rollback {
                    self.state = TransactionState::Idle;
                }
                Ok(Err(LinkFailure { kind, ..failure }))
            }
        }
    }

    /// Checks whether the lease, the sheet and the grant allow a request, and sets the grant's deadline to
    /// that of the request.
    pub(super) fn check_grant(
        &self,
        grant: &mut HeldGrant,
        summary: &RequestSummary,
    ) -> Result<(), FailureKind> {
        if summary.is_rollback {
            return Ok(());
        }
        if !self.shared.lease.is_valid() {
            return Err(FailureKind::NoLease);
        }
        if summary.is_transaction_control {
            return Ok(());
        }
        let table = self.shared.routes.borrow().clone();
        let (_, rule) = self.rule(&table, summary)?;
        if grant.access == GrantAccess::Read && !summary.read {
            return Err(FailureKind::NotAllowed);
        }
        grant.deadline = rule.deadline.as_duration();
        Ok(())
    }

    fn rule(
        &self,
        table: &RouteTable,
        summary: &RequestSummary,
    ) -> Result<(SharedName, SheetRule), FailureKind> {
        let sheet = table.sheet.as_ref().ok_or(FailureKind::NoSheet)?;
        let identity = &self.identity;
        summary.find_rule(sheet, &identity.database, &identity.application, identity.kind.as_ref())
    }

    /// Runs a request on a new grant and retries on other targets where that is safe.
    async fn run_on_new_grant(
        &mut self,
        request: &CallerRequest,
    ) -> Result<Result<(), LinkFailure>, SessionEnd> {
        let started = Instant::now();
        let counters = self.shared.counters.clone();
        counters.requests.fetch_add(1, Ordering::Relaxed);
        self.worker.record_attempt();
        let summary = &request.summary;
        let (begin, write) = match &self.state {
            TransactionState::Deferred { begin, read_only } => {
                (Some(begin.clone()), !(*read_only && summary.read) || summary.pins)
            }
            _ => (None, !summary.read || summary.pins),
        };
        let mut tries: Vec<FailedTry> = Vec::new();
        let mut waited = false;
        if !write && begin.is_none() {
            self.delay_for_replicas(summary).await;
        }
        loop {
            let opened = self.acquire_grant(summary, write, begin.is_some(), &tries, started).await;
            let mut grant = match opened {
                Ok(grant) => grant,
                Err(kind) if self.wait_for_route_change(kind, summary, started).await => {
                    tries.clear();
                    continue;
                }
                Err(kind) => return Ok(Err(failure_of(kind))),
            };
            let transaction_begun;
            let end = match self.prepare_grant(&mut grant, begin.as_ref(), summary).await? {
                Ok(()) => {
                    transaction_begun = begin.is_some();
                    self.exchange(&mut grant, request, false).await?
                }
                // No part of the request was sent.
                Err(failure) => {
                    transaction_begun = false;
                    ExchangeEnd::Failed { failure, refused: true, answered: false }
                }
            };
            let (failure, refused, answered) = match end {
                ExchangeEnd::Ready => {
                    self.count_read(&grant, summary);
                    self.record_server(&grant, summary);
                    self.keep_or_release_grant(grant);
                    return Ok(Ok(()));
                }
                ExchangeEnd::Failed { failure, refused, answered } => (failure, refused, answered),
            };
            if transaction_begun {
                let lost = !refused && !summary.may_end_transaction;
                let kind = if lost { FailureKind::TransactionLost } else { failure.kind };
                return Ok(Err(LinkFailure { kind, ..failure }));
            }
            let table = self.shared.routes.borrow().clone();
            let rule = self.rule(&table, summary);
            let repeatable = summary.read && rule.is_ok_and(|(_, rule)| rule.repeatable);
            let safe = refused || repeatable;
            if refused && !waited && !write && request.complete {
                let rule = self.rule(&self.shared.routes.borrow().clone(), summary);
                let deadline = rule.map_or(Micros::ZERO, |(_, rule)| rule.deadline);
                let wait = replica_retry_delay(failure.kind, &tries, elapsed(started), deadline);
                if wait > Micros::ZERO {
                    tokio::time::sleep(wait.as_duration()).await;
                    counters.retries.fetch_add(1, Ordering::Relaxed);
                    tries.clear();
                    waited = true;
                    continue;
                }
            }
            if answered || !safe || !request.complete || !self.may_retry(failure.kind, tries.len())
            {
                return Ok(Err(failure));
            }
            counters.retries.fetch_add(1, Ordering::Relaxed);
            tries.push(FailedTry { server: grant.server, epoch: grant.epoch, kind: failure.kind });
        }
    }

    /// Delays a read so that replicas can catch up, if the session's reads have gone to the primary for longer
    /// than replicas usually lag.
    async fn delay_for_replicas(&mut self, summary: &RequestSummary) {
        let table = self.shared.routes.borrow().clone();
        let Ok((_, rule)) = self.rule(&table, summary) else { return };
        if rule.targets == RuleTargets::Primary || rule.max_age == Some(Micros::ZERO) {
            return;
        }
        let delay = self.primary_fallback.next_read_delay(elapsed(self.opened_at), rule.deadline);
        if delay > Micros::ZERO {
            tokio::time::sleep(delay.as_duration()).await;
        }
    }

    /// Records which server ran the request, for the choice of a target for the next read.
    fn record_server(&mut self, grant: &HeldGrant, summary: &RequestSummary) {
        if !grant.on_primary {
            self.last_replica = Some(grant.server.clone());
            self.primary_fallback.record_replica();
            return;
        }
        self.last_replica = None;
        if summary.read && grant.access == GrantAccess::Read {
            let table = self.shared.routes.borrow().clone();
            let may_use_replicas = self.rule(&table, summary).is_ok_and(|(_, rule)| {
                rule.targets != RuleTargets::Primary && rule.max_age != Some(Micros::ZERO)
            });
            if may_use_replicas {
                self.primary_fallback.record_primary(elapsed(self.opened_at));
            }
        }
    }

    /// Waits for a change of routes after a failure that a planned move or a failover may cause.
    ///
    /// Returns false if the failure must be reported to the caller.
    async fn wait_for_route_change(
        &self,
        kind: FailureKind,
        summary: &RequestSummary,
        started: Instant,
    ) -> bool {
        let is_transient = matches!(
            kind,
            FailureKind::NoPrimary
                | FailureKind::Unreachable
                | FailureKind::Leaving
                | FailureKind::WrongEpoch
        );
        if !is_transient || !self.shared.lease.is_valid() {
            return false;
        }
        let deadline = self
            .rule(&self.shared.routes.borrow().clone(), summary)
            .map_or(Micros::ZERO, |(_, rule)| rule.deadline);
        if elapsed(started) >= route_wait(deadline) {
            return false;
        }
        let mut routes = self.shared.routes.clone();
        routes.mark_unchanged();
        let _ = timeout(ROUTE_POLL_INTERVAL, routes.changed()).await;
        true
    }

    /// Sends the session's settings and the deferred BEGIN on a new grant, before the request.
    async fn prepare_grant(
        &mut self,
        grant: &mut HeldGrant,
        begin: Option<&Bytes>,
        summary: &RequestSummary,
    ) -> Result<Result<(), LinkFailure>, SessionEnd> {
        let settings = self.identity.settings.query();
        let steps = [
            (settings.as_ref(), TransactionStatus::Idle, FailureKind::Unsupported),
            (begin, TransactionStatus::InTransaction, FailureKind::TransactionLost),
        ];
        for (data, status, kind) in steps {
            let Some(data) = data else { continue };
            let taints = summary.taints || status == TransactionStatus::Idle;
            let request = CallerRequest {
                data: data.clone(),
                summary: RequestSummary { pins: false, taints, ..summary.clone() },
                complete: true,
                setting: None,
            };
            match self.exchange(grant, &request, true).await? {
                ExchangeEnd::Ready if grant.status == status && !self.target_error => {}
                ExchangeEnd::Ready => {
                    let detail = "the target refused a setting or BEGIN".to_owned();
                    return Ok(Err(LinkFailure { kind, retry_after: Micros::ZERO, detail }));
                }
                ExchangeEnd::Failed { failure, refused: true, .. } => return Ok(Err(failure)),
                // The target was lost before any part of the request was sent to it.
                ExchangeEnd::Failed { failure, .. } => {
                    let kind = FailureKind::Unreachable;
                    return Ok(Err(LinkFailure { kind, ..failure }));
                }
            }
        }
        if begin.is_some() {
            self.state = TransactionState::Open;
        }
        Ok(Ok(()))
    }

    /// Returns whether the request may be retried on another target after a failure.
    ///
    /// A retry after a target rejected the request causes no additional load and is always allowed. Retries
    /// after other failures count against the retry budget.
    fn may_retry(&self, kind: FailureKind, tries: usize) -> bool {
        if tries + 1 >= TRY_LIMIT {
            return false;
        }
        match kind {
            FailureKind::TooStale | FailureKind::Leaving | FailureKind::WrongEpoch => true,
            FailureKind::Unreachable
            | FailureKind::Overloaded
            | FailureKind::TargetRefused
            | FailureKind::ConnectionLost
            | FailureKind::PrimaryReplaced
            | FailureKind::LeaseLost
            | FailureKind::NoLease
            | FailureKind::Draining => self.worker.try_retry(),
            _ => false,
        }
    }

    /// Chooses a target and opens a grant on it.
    async fn acquire_grant(
        &mut self,
        summary: &RequestSummary,
        write: bool,
        transaction: bool,
        tries: &[FailedTry],
        started: Instant,
    ) -> Result<HeldGrant, FailureKind> {
        if !self.shared.lease.is_valid() {
            return Err(FailureKind::NoLease);
        }
        let mut table = self.shared.routes.borrow().clone();
        let database = self.identity.database.clone();
        let (kind, rule) = self.rule(&table, summary)?;
        if !write && rule.targets != RuleTargets::Primary && !self.floor.is_known() {
            let mark = self.shared.router.high_water_mark(&database);
            // The rest of the time to the deadline is left for the read, on the primary if necessary.
            let mark_timeout = HIGH_WATER_MARK_TIMEOUT.min(rule.deadline.as_duration() / 2);
            if let Ok(Ok(mark)) = timeout(mark_timeout, mark).await {
                self.floor.initialize(mark);
            }
            // The lease and the routes may have changed in the meantime.
            if !self.shared.lease.is_valid() {
                return Err(FailureKind::NoLease);
            }
            table = self.shared.routes.borrow().clone();
        }
        let route = table.databases.get(&database).ok_or(FailureKind::UnknownDatabase)?;
        let floor = self.floor.require(route)?;
        let remaining = rule.deadline.since(elapsed(started));
        if remaining == Micros::ZERO {
            return Err(tries.last().map_or(FailureKind::QueueTimeout, |failed| failed.kind));
        }
        let settings = &self.shared.settings;
        let query = ChoiceQuery {
            rule: &rule,
            write,
            floor_known: self.floor.is_known(),
            region: &settings.region,
            zone: &settings.zone,
            last_replica: self.last_replica.as_deref(),
            tries,
            random: rand::random(),
        };
        let target = choose_target(route, &query)?;
        let on_primary = route.primary.as_ref() == Some(&target.server);
        // The broker checks the term only for writes. A session with an unknown floor must read from the
        // current primary, so its read is opened with write access.
        let unknown_floor = on_primary && !self.floor.is_known();
        let access = if write || unknown_floor { GrantAccess::Write } else { GrantAccess::Read };
        let replica_ack = if transaction || summary.pins || summary.may_end_transaction {
            table
                .sheet
                .as_ref()
                .is_some_and(|sheet| may_need_ack(sheet, &database, &self.identity.application))
        } else {
            rule.ack == RuleAck::Replica
        };
        let request = GrantRequest {
            database,
            server: target.server.clone(),
            epoch: target.epoch,
            term: route.term.0,
            kind,
            application: self.identity.application.clone(),
            floor,
            max_age: rule.max_age,
            access,
            deadline: remaining,
            estimate: None,
            replica_ack: write && replica_ack,
            priority: rule.priority,
            fingerprint: summary.fingerprint,
        };
        Ok(HeldGrant {
            server: target.server.clone(),
            epoch: target.epoch,
            access: if write { GrantAccess::Write } else { GrantAccess::Read },
            on_primary,
            link: self.shared.router.open(request),
            status: TransactionStatus::Idle,
            pinned: false,
            tainted: false,
            deadline: rule.deadline.as_duration(),
        })
    }

    /// Keeps the grant for an open transaction or a pinned session, otherwise releases it.
    fn keep_or_release_grant(&mut self, grant: HeldGrant) {
        self.state = match grant.status {
            TransactionStatus::Idle => TransactionState::Idle,
            TransactionStatus::InTransaction | TransactionStatus::Failed => TransactionState::Open,
        };
        if self.state == TransactionState::Idle {
            self.store.clear_portals();
        }
        if grant.pinned || self.state == TransactionState::Open {
            self.grant = Some(grant);
        } else {
            let _ = grant.link.input.try_send(LinkInput::Release);
        }
    }

    fn count_read(&self, grant: &HeldGrant, summary: &RequestSummary) {
        if !summary.read {
            return;
        }
        let counters = &self.shared.counters;
        let counter =
            if grant.on_primary { &counters.primary_reads } else { &counters.replica_reads };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// Returns the time since `started`, in microseconds.
fn elapsed(started: Instant) -> Micros {
    Micros(u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX))
}
