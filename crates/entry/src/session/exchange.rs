//! One request on a grant: choice of the target, sending, streaming of the answer, retries.

use {
    super::{
        caller_stream::SessionEnd,
        held_grant::HeldGrant,
        local::LocalReply,
        prepared::CallerBatch,
        request::{CallerRequest, RequestSummary, strictest_ack},
        response,
        state::{CallerSession, TransactionState},
    },
    crate::link::{
        GrantAccess, GrantRequest, GrantRouter, LinkFailure, LinkInput, TransactionStatus,
    },
    banyansill_core::{
        failure::FailureKind,
        names::SharedName,
        route::{ChoiceQuery, FailedTry, RouteTable, choose_target, replica_retry_delay},
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

/// Longest wait for the primary's position before a read goes to the primary instead.
const MARK_TIMEOUT: Duration = Duration::from_secs(1);

/// Tries of one request; a group has a few targets and each is tried once.
const TRY_LIMIT: usize = 8;

/// Longest wait for routes to settle before a request that was not run is refused.
///
/// A planned move of a broker takes up to two heartbeats; callers need not notice it.
const HANDOVER_WAIT: Duration = Duration::from_secs(1);

/// Interval at which a waiting request looks for a usable target.
const HANDOVER_POLL: Duration = Duration::from_millis(20);

/// How an exchange on a grant ended.
#[derive(Debug)]
pub(super) enum ExchangeEnd {
    /// The target is ready for the next request.
    Ready,
    /// The broker or the session gave up.
    Failed {
        failure: LinkFailure,
        /// The request was certainly not run.
        refused: bool,
        /// Something of the answer has come.
        answered: bool,
    },
}

pub(super) const fn plain(kind: FailureKind) -> LinkFailure {
    LinkFailure { kind, retry_after: Micros::ZERO, detail: String::new() }
}

impl<R> CallerSession<R>
where
    R: GrantRouter,
{
    /// Runs a request and tells the caller of its failure, if any.
    pub(super) async fn request(&mut self, request: CallerRequest) -> Result<(), SessionEnd> {
        let complete = request.complete;
        self.sync_seen = complete;
        if let TransactionState::Broken { untold } = self.state {
            let closes = request.summary.closes;
            self.state = if closes {
                TransactionState::Idle
            } else {
                TransactionState::Broken { untold: false }
            };
            if untold {
                return self.refuse(&plain(FailureKind::TransactionLost), complete).await;
            }
            let mut buffer = BytesMut::new();
            let reply = LocalReply::Aborted;
            self.write_local(&mut buffer, &reply);
            return self.end_refusal(buffer, complete).await;
        }
        let result = if self.grant.is_some() {
            self.continue_grant(&request).await?
        } else {
            self.open_grant(&request).await?
        };
        match result {
            Ok(()) => {
                if let Some((name, text)) = request.setting
                    && !self.target_error
                {
                    self.identity.settings.remember(name, text);
                }
                Ok(())
            }
            Err(failure) => self.refuse(&failure, self.sync_seen).await,
        }
    }

    /// Tells the caller of a failure; the transaction it was in is lost.
    async fn refuse(&mut self, failure: &LinkFailure, synced: bool) -> Result<(), SessionEnd> {
        self.shared.counters.failures.fetch_add(1, Ordering::Relaxed);
        let mut buffer = BytesMut::new();
        let severity = response::ErrorSeverity::Error;
        let LinkFailure { kind, retry_after, detail } = failure;
        response::failure(&mut buffer, severity, *kind, detail, *retry_after);
        self.end_refusal(buffer, synced).await
    }

    async fn end_refusal(&mut self, mut buffer: BytesMut, synced: bool) -> Result<(), SessionEnd> {
        self.store.drop_in_flight();
        self.store.clear_portals();
        self.batch = CallerBatch::default();
        self.break_transaction();
        if synced {
            response::ready_for_query(&mut buffer, self.status());
        } else {
            self.skipping = true;
        }
        self.reply(&buffer).await
    }

    /// Runs a request on the grant that the session holds.
    async fn continue_grant(
        &mut self,
        request: &CallerRequest,
    ) -> Result<Result<(), LinkFailure>, SessionEnd> {
        let Some(mut grant) = self.grant.take() else {
            return Ok(Err(plain(FailureKind::TransactionLost)));
        };
        if let Err(kind) = self.check_grant(&mut grant, &request.summary) {
            // A transaction is rolled back by dropping its grant; a pinned session keeps it.
            if self.state == TransactionState::Idle {
                self.grant = Some(grant);
            }
            return Ok(Err(plain(kind)));
        }
        let in_transaction = self.state == TransactionState::Open;
        let pinned = grant.pinned;
        let end = self.exchange(&mut grant, request, false).await?;
        match end {
            ExchangeEnd::Ready => {
                self.keep_grant(grant);
                Ok(Ok(()))
            }
            ExchangeEnd::Failed { failure, refused, .. } => {
                let summary = &request.summary;
                // A rollback whose answer is lost has rolled back all the same.
                let uncommitted = in_transaction && (!summary.ends || summary.rollback);
                let lost = uncommitted && !refused;
                let kind = if lost { FailureKind::TransactionLost } else { failure.kind };
                if pinned {
                    log::debug!("a pinned session lost its grant: {}", failure.detail);
                    let detail = "the connection that held the session's state is gone";
                    return Err(SessionEnd::Failure(kind, detail));
                }
                if summary.closes {
                    self.state = TransactionState::Idle;
                }
                Ok(Err(LinkFailure { kind, ..failure }))
            }
        }
    }

    /// Checks a request against the lease, the sheet and the grant that it is to run on.
    ///
    /// The grant takes over the deadline of the request.
    pub(super) fn check_grant(
        &self,
        grant: &mut HeldGrant,
        summary: &RequestSummary,
    ) -> Result<(), FailureKind> {
        if summary.rollback {
            return Ok(());
        }
        if !self.shared.lease.is_valid() {
            return Err(FailureKind::NoLease);
        }
        if summary.control {
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

    /// Runs a request on a new grant and tries other targets as far as that is safe.
    async fn open_grant(
        &mut self,
        request: &CallerRequest,
    ) -> Result<Result<(), LinkFailure>, SessionEnd> {
        let started = Instant::now();
        let counters = self.shared.counters.clone();
        counters.requests.fetch_add(1, Ordering::Relaxed);
        self.worker.earn_retry();
        let summary = &request.summary;
        let (begin, write) = match &self.state {
            TransactionState::Held { begin, read_only } => {
                (Some(begin.clone()), !(*read_only && summary.read) || summary.pins)
            }
            _ => (None, !summary.read || summary.pins),
        };
        let mut tries: Vec<FailedTry> = Vec::new();
        let mut waited = false;
        if !write && begin.is_none() {
            self.hold_for_replicas(summary).await;
        }
        loop {
            let opened = self.choose(summary, write, begin.is_some(), &tries, started).await;
            let mut grant = match opened {
                Ok(grant) => grant,
                Err(kind) if self.await_handover(kind, started).await => {
                    tries.clear();
                    continue;
                }
                Err(kind) => return Ok(Err(plain(kind))),
            };
            let begun;
            let end = match self.prepare(&mut grant, begin.as_ref(), summary).await? {
                Ok(()) => {
                    begun = begin.is_some();
                    self.exchange(&mut grant, request, false).await?
                }
                // Nothing of the request was sent.
                Err(failure) => {
                    begun = false;
                    ExchangeEnd::Failed { failure, refused: true, answered: false }
                }
            };
            let (failure, refused, answered) = match end {
                ExchangeEnd::Ready => {
                    self.count_read(&grant, summary);
                    self.note_server(&grant, summary);
                    self.keep_grant(grant);
                    return Ok(Ok(()));
                }
                ExchangeEnd::Failed { failure, refused, answered } => (failure, refused, answered),
            };
            if begun {
                let lost = !refused && !summary.ends;
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

    /// Holds a read whose session has been on the primary for longer than replicas usually lag.
    async fn hold_for_replicas(&mut self, summary: &RequestSummary) {
        let table = self.shared.routes.borrow().clone();
        let Ok((_, rule)) = self.rule(&table, summary) else { return };
        if rule.targets == RuleTargets::Primary || rule.max_age == Some(Micros::ZERO) {
            return;
        }
        let hold = self.primary_fallback.next_read_delay(elapsed(self.opened), rule.deadline);
        if hold > Micros::ZERO {
            tokio::time::sleep(hold.as_duration()).await;
        }
    }

    /// Remembers which server answered, for the choice at the next read.
    fn note_server(&mut self, grant: &HeldGrant, summary: &RequestSummary) {
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
                self.primary_fallback.record_primary(elapsed(self.opened));
            }
        }
    }

    /// Waits for a change of routes after a failure that a handover explains.
    ///
    /// Returns false if the request has to be refused.
    async fn await_handover(&self, kind: FailureKind, started: Instant) -> bool {
        let passing = matches!(
            kind,
            FailureKind::NoPrimary
                | FailureKind::Unreachable
                | FailureKind::Leaving
                | FailureKind::WrongEpoch
        );
        if !passing || started.elapsed() >= HANDOVER_WAIT || !self.shared.lease.is_valid() {
            return false;
        }
        let mut routes = self.shared.routes.clone();
        routes.mark_unchanged();
        let _ = timeout(HANDOVER_POLL, routes.changed()).await;
        true
    }

    /// Sends what comes before a request on a new grant: remembered settings and the held-back BEGIN.
    async fn prepare(
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
                // The target was lost before anything of the request was sent to it.
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

    /// Returns whether another target may be tried after a failure.
    ///
    /// A target that says it cannot serve the request costs no work, so moving on is free. Retries
    /// after real failures draw on the budget.
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
            | FailureKind::Draining => self.worker.take_retry(),
            _ => false,
        }
    }

    /// Chooses a target and opens a grant on it.
    async fn choose(
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
            // The rest of the deadline is for the read, on the primary if need be.
            let patience = MARK_TIMEOUT.min(rule.deadline.as_duration() / 2);
            if let Ok(Ok(mark)) = timeout(patience, mark).await {
                self.floor.initialize(mark);
            }
            // The lease and the routes may have changed during the wait.
            if !self.shared.lease.is_valid() {
                return Err(FailureKind::NoLease);
            }
            table = self.shared.routes.borrow().clone();
        }
        let route = table.databases.get(&database).ok_or(FailureKind::UnknownDatabase)?;
        let floor = self.floor.require(route)?;
        let left = rule.deadline.since(elapsed(started));
        if left == Micros::ZERO {
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
        // The broker checks the term of writes only. A session with an unknown floor depends on
        // reading from the primary in force.
        let unknown_floor = on_primary && !self.floor.is_known();
        let access = if write || unknown_floor { GrantAccess::Write } else { GrantAccess::Read };
        let replica_ack = if transaction || summary.pins || summary.ends {
            table
                .sheet
                .as_ref()
                .is_some_and(|sheet| strictest_ack(sheet, &database, &self.identity.application))
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
            deadline: left,
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

    /// Keeps the grant for the transaction or the session, or releases it.
    fn keep_grant(&mut self, grant: HeldGrant) {
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

/// Returns the time since `started`.
fn elapsed(started: Instant) -> Micros {
    Micros(u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX))
}
