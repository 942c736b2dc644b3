//! A pooled connection and the session state that it carries.

use {
    crate::relay::{PreparedNames, RelayHandle},
    banyansill_core::{
        gateway::AttemptEnd, names::SharedName, position::LogPosition, time::Micros,
    },
    banyansill_target::{
        ExchangeError, StatementAccess, StatementProtocol, TargetConnection, TargetRequest,
    },
    bytes::Bytes,
    std::{collections::BTreeMap, time::Duration},
    tokio::time::timeout,
};

/// Maximum wait for another entry to confirm that it has its connection back; regions are 20 ms apart.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// Answer of a target to the check of an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub(crate) enum ConnectionCheck {
    /// The session state is empty.
    Reset,
    /// The target can be reached, but the session state is unknown.
    Refused,
}

/// Size of the statements prepared on a connection above which it is reset before its next use, in bytes; a gateway may have
/// dozens of connections to each target.
const MAX_PREPARED_BYTES: usize = 128 * 1_024;

/// Number of statements prepared on a connection above which it is reset before its next use.
const MAX_PREPARED_STATEMENTS: usize = 256;

/// Session variables set by a caller, by name.
pub(crate) type SessionValues = BTreeMap<Bytes, Bytes>;

/// Content of a prepared statement; two names may stand for the same content.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PreparedShape {
    /// Whether the statement writes.
    pub(crate) access: StatementAccess,
    /// Statement to prepare, without arguments.
    pub(crate) shape: Bytes,
}

/// Returns the size of prepared statements, in bytes.
fn size_of_shapes(prepared: &PreparedNames) -> usize {
    prepared.keys().map(|shape| shape.shape.len()).sum()
}

/// Connection to a target that is shared by sessions, one at a time.
#[derive(Debug)]
pub(crate) struct PooledConnection<P> {
    pub(crate) connection: TargetConnection<P>,
    /// Team that the target was told; empty if it was told a host.
    pub(crate) team: SharedName,
    /// Time of the last answered request, or of the opening.
    pub(crate) last_used: Micros,
    values: SessionValues,
    /// Statements prepared on this connection, with the names that the pool gave them: names chosen by
    /// different callers may collide.
    prepared: PreparedNames,
    /// Size of the statements in `prepared`, in bytes.
    prepared_bytes: usize,
    /// Whether the target's session state may differ from `values` and `prepared`, because a change of it
    /// was not acknowledged.
    uncertain: bool,
    /// Handle that returns the connection to the entry that owns it; `None` for an own connection.
    relay: Option<RelayHandle>,
    /// Time of the request on which the entry that owns the connection began a transaction.
    begun_at: Option<Micros>,
}

impl<P> PooledConnection<P>
where
    P: StatementProtocol,
{
    pub(crate) fn new(connection: TargetConnection<P>, team: SharedName, now: Micros) -> Self {
        Self {
            connection,
            team,
            last_used: now,
            values: SessionValues::new(),
            prepared: PreparedNames::default(),
            prepared_bytes: 0,
            uncertain: false,
            relay: None,
            begun_at: None,
        }
    }

    /// Wraps a connection that is relayed by another entry, with its current session state.
    pub(crate) fn relayed(
        connection: TargetConnection<P>,
        now: Micros,
        (values, prepared): (SessionValues, PreparedNames),
        relay: RelayHandle,
    ) -> Self {
        Self {
            connection,
            // The other entry returns it to its own pool.
            team: SharedName::default(),
            last_used: now,
            values,
            prepared_bytes: size_of_shapes(&prepared),
            prepared,
            uncertain: false,
            relay: Some(relay),
            begun_at: None,
        }
    }

    /// Continues the transaction that the entry that owns the connection began after a request sent at `sent_at`.
    pub(crate) const fn resume_transaction(
        &mut self,
        sent_at: Micros,
        position: Option<LogPosition>,
    ) {
        self.connection.resume_transaction(position);
        self.begun_at = Some(sent_at);
    }

    /// Returns the time of the request on which the entry that owns the connection began a transaction.
    pub(crate) const fn begun_at(&self) -> Option<Micros> {
        self.begun_at
    }

    /// Returns whether the connection is relayed by another entry.
    pub(crate) const fn is_relayed(&self) -> bool {
        self.relay.is_some()
    }

    /// Returns the session state that the connection carries.
    pub(crate) const fn state(&self) -> (&SessionValues, &PreparedNames) {
        (&self.values, &self.prepared)
    }

    /// Replaces the recorded session state after another entry used the connection.
    pub(crate) fn set_state(&mut self, values: SessionValues, prepared: PreparedNames) {
        self.values = values;
        self.prepared_bytes = size_of_shapes(&prepared);
        self.prepared = prepared;
    }

    /// Returns whether so many statements are prepared on the connection that it is to be reset before its next use.
    pub(crate) fn is_full(&self) -> bool {
        self.prepared_bytes > MAX_PREPARED_BYTES || self.prepared.len() > MAX_PREPARED_STATEMENTS
    }

    fn clear_prepared(&mut self) {
        self.prepared.clear();
        self.prepared_bytes = 0;
    }

    /// Returns whether another session may use the connection.
    pub(crate) fn is_reusable(&self) -> bool {
        !self.uncertain && !self.connection.is_closed() && self.connection.is_clean()
    }

    /// Returns the name of the counter for the reason why the connection is not reused.
    pub(crate) const fn end_metric(&self) -> &'static str {
        if self.is_relayed() {
            "connections.ended.returned"
        } else if self.connection.is_closed() {
            "connections.ended.broken"
        } else if self.uncertain {
            "connections.ended.uncertain"
        } else {
            "connections.ended.unfinished"
        }
    }

    /// Creates a placeholder for a connection that is closed.
    pub(crate) fn closed(protocol: P) -> Self {
        Self::new(TargetConnection::closed(protocol), SharedName::default(), Micros::ZERO)
    }

    /// Returns whether exactly these session values are set on the connection.
    pub(crate) fn has_values(&self, values: &SessionValues) -> bool {
        self.values == *values
    }

    /// Sets the values of a session on the connection, after a reset if others are set.
    ///
    /// The statement must not be sent before all of them are acknowledged: it could run with the values of
    /// another session.
    ///
    /// # Errors
    ///
    /// Returns how the attempt ended; the session's statement was not sent.
    pub(crate) async fn apply_values(&mut self, values: &SessionValues) -> Result<(), AttemptEnd> {
        self.check_certain()?;
        if self.has_values(values) {
            return Ok(());
        }
        self.uncertain = true;
        let mut requests = 0;
        let needs_reset = !self.values.is_empty();
        if needs_reset {
            self.connection.send(TargetRequest::Reset);
            requests += 1;
        }
        for (name, value) in values {
            self.connection.send(TargetRequest::Set { name, value });
            requests += 1;
        }
        let mut refused = false;
        for _ in 0..requests {
            let answer = self.connection.answer().await.map_err(|_| AttemptEnd::NotSent)?;
            refused |= answer.outcome.is_err();
        }
        if refused {
            return Err(AttemptEnd::NotSent);
        }
        if needs_reset {
            self.clear_prepared();
        }
        self.values.clone_from(values);
        self.uncertain = false;
        Ok(())
    }

    /// Checks that the record of the session state is right.
    ///
    /// # Errors
    ///
    /// Returns an error if a change of it was not acknowledged.
    const fn check_certain(&self) -> Result<(), AttemptEnd> {
        if self.uncertain { Err(AttemptEnd::NotSent) } else { Ok(()) }
    }

    /// Sets the values that changed since [`Self::apply_values`], without a reset.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection broke or the target refused a value.
    pub(crate) async fn add_values(&mut self, values: &SessionValues) -> Result<(), AttemptEnd> {
        self.check_certain()?;
        for (name, value) in values {
            if self.values.get(name) == Some(value) {
                continue;
            }
            let request = TargetRequest::Set { name, value };
            self.uncertain = true;
            let answer = self.connection.run(request).await.map_err(|_| AttemptEnd::NotSent)?;
            if answer.outcome.is_err() {
                return Err(AttemptEnd::NotSent);
            }
            self.uncertain = false;
            self.values.insert(name.clone(), value.clone());
        }
        Ok(())
    }

    /// Returns the name of a prepared statement on this connection, and prepares the statement if needed.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection broke or the target refused.
    pub(crate) async fn prepare(&mut self, shape: &PreparedShape) -> Result<String, AttemptEnd> {
        self.check_certain()?;
        if let Some(name) = self.prepared.get(shape) {
            return Ok(name.clone());
        }
        // A name that is still in use must not be given to a second statement after a removal.
        let mut number = self.prepared.len();
        while self.prepared.values().any(|name| *name == format!("p{number}")) {
            number += 1;
        }
        let name = format!("p{number}");
        let request =
            TargetRequest::Prepare { name: &name, access: shape.access, shape: &shape.shape };
        self.uncertain = true;
        let answer = self.connection.run(request).await.map_err(|_| AttemptEnd::NotSent)?;
        if answer.outcome.is_err() {
            return Err(AttemptEnd::NotSent);
        }
        self.uncertain = false;
        self.prepared.insert(shape.clone(), name.clone());
        self.prepared_bytes += shape.shape.len();
        Ok(name)
    }

    /// Removes the record of a prepared statement that the target reported as unknown; the rest of the record may be as wrong.
    pub(crate) fn remove_prepared(&mut self, shape: &PreparedShape) {
        if self.prepared.remove(shape).is_some() {
            self.prepared_bytes -= shape.shape.len();
        }
        self.uncertain = true;
    }

    /// Closes the connection, or returns it to the entry that relays it if its state is known and clean.
    pub(crate) async fn end(mut self) {
        let Some(relay) = self.relay.take() else {
            return self.connection.end().await;
        };
        if self.uncertain || !self.connection.is_clean() {
            return;
        }
        relay.release(&self.values, &self.prepared).await;
        // The other entry ends the stream once it has the connection back. Dropping the stream earlier resets
        // it, and the other entry would close the connection.
        let _ = timeout(RELEASE_TIMEOUT, self.connection.read_raw()).await;
    }

    /// Checks with a reset request that the connection still works in both directions.
    ///
    /// A refused reset leaves the session state unknown, so that the connection is not reusable.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete answer arrives.
    pub(crate) async fn verify(&mut self) -> Result<ConnectionCheck, ExchangeError> {
        self.uncertain = true;
        let answer = self.connection.run(TargetRequest::Reset).await?;
        if answer.outcome.is_err() {
            return Ok(ConnectionCheck::Refused);
        }
        self.clear_prepared();
        self.values.clear();
        self.uncertain = false;
        Ok(ConnectionCheck::Reset)
    }
}
