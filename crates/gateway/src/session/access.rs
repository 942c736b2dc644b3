//! Who a session's caller is and what it may do: its team, the validity of its key and the team's limit.

use {
    super::caller::{CallerSession, TransactionState},
    crate::attempt::StatementFailure,
    banyansill_core::{
        directory::RouteRule, failure::FailureKind, names::SharedName, time::Micros,
    },
    banyansill_target::StatementProtocol,
    bytes::Bytes,
    std::time::Duration,
};

/// Maximum wait of a new session for routes and a confirmation of keys, after its start message. Callers give up after
/// 2 s; one that is refused earlier uses up one of its few attempts, while control needs about a second after a loss of
/// power.
const KEYS_TIMEOUT: Micros = Micros::from_millis(1_700);

/// Interval at which a new session checks whether keys are confirmed.
const KEYS_CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl<P> CallerSession<P>
where
    P: StatementProtocol,
{
    /// Waits for the first confirmation of keys after the process has started, for a limited time after the start of the
    /// session.
    ///
    /// An entry that has lost its confirmation refuses at once: nobody knows when control returns.
    pub(super) async fn wait_for_keys(&self, started_at: Micros) {
        let deadline = started_at + KEYS_TIMEOUT;
        while self.gateway.core.teams.awaits_first_confirmation()
            && self.gateway.pause(KEYS_CHECK_INTERVAL, deadline).await
        {}
    }

    /// Determines the caller's team from its key.
    ///
    /// # Errors
    ///
    /// Returns why the caller may not use the route.
    pub(super) fn identify(&mut self, route: &RouteRule) -> Result<(), FailureKind> {
        let confirmed = self.gateway.core.teams.keys_are_confirmed(self.gateway.now());
        let table = self.gateway.table();
        let team = table.keys.get(&self.key).filter(|_| confirmed);
        match team {
            Some(team) => {
                if self.team != *team {
                    self.team = team.clone();
                }
            }
            None if route.public => self.team = SharedName::default(),
            None if !confirmed => return Err(FailureKind::KeysUnconfirmed),
            None => return Err(FailureKind::BadCredentials),
        }
        Ok(())
    }

    /// Checks whether the caller's next statement may run; counts it if it begins an operation of its team.
    ///
    /// An open transaction whose caller has lost its key or changed its team is rolled back.
    ///
    /// # Errors
    ///
    /// Returns the failure to report; the statement does not run.
    pub(super) async fn authorize(&mut self, route: &RouteRule) -> Result<(), StatementFailure> {
        let before = self.team.clone();
        let mut identified = self.identify(route);
        let continues = matches!(self.transaction, TransactionState::Open(_));
        if identified.is_ok() && continues && before != self.team {
            identified = Err(FailureKind::BadCredentials);
        }
        if let Err(kind) = identified {
            self.abandon_transaction(kind);
            return Err(StatementFailure::new(kind));
        }
        if matches!(self.transaction, TransactionState::None) {
            self.admit().await?;
        }
        Ok(())
    }

    /// Counts an operation of the caller's team.
    ///
    /// # Errors
    ///
    /// Returns the failure to report if the team has used up its limit.
    pub(super) async fn admit(&self) -> Result<(), StatementFailure> {
        if self.team.is_empty() {
            return Ok(());
        }
        self.gateway.admit(&self.team).await.map_err(|retry_after| StatementFailure {
            kind: FailureKind::OverLimit,
            retry_after,
            detail: Bytes::new(),
        })
    }
}
