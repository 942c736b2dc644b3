//! A pooled connection and the session state that it carries.

use {
    crate::relay::{PreparedNames, RelayHandle},
    banyansill_core::{gateway::AttemptEnd, time::Micros},
    banyansill_target::{
        ExchangeError, StatementAccess, StatementProtocol, TargetConnection, TargetRequest,
    },
    bytes::Bytes,
    std::{collections::BTreeMap, time::Duration},
    tokio::time::timeout,
};

/// Time for another entry to take its connection back; regions are 20 ms apart.
const RELEASE_LIMIT: Duration = Duration::from_secs(1);

/// Values that a session has set, by name.
pub(crate) type SessionValues = BTreeMap<Bytes, Bytes>;

/// What a prepared statement runs, whatever its name.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PreparedShape {
    /// Whether it writes.
    pub(crate) access: StatementAccess,
    /// What it runs.
    pub(crate) shape: Bytes,
}

/// Connection that sessions use one after the other.
#[derive(Debug)]
pub(crate) struct PooledConnection<P> {
    pub(crate) connection: TargetConnection<P>,
    /// When the connection was last used.
    pub(crate) used: Micros,
    values: SessionValues,
    /// Names of the statements prepared on this connection; callers' names may collide.
    prepared: PreparedNames,
    /// The target may hold other values or statements than these: a change was not answered.
    uncertain: bool,
    /// Way back if the connection belongs to another entry.
    relay: Option<RelayHandle>,
}

impl<P> PooledConnection<P>
where
    P: StatementProtocol,
{
    pub(crate) fn new(connection: TargetConnection<P>, now: Micros) -> Self {
        Self {
            connection,
            used: now,
            values: SessionValues::new(),
            prepared: PreparedNames::default(),
            uncertain: false,
            relay: None,
        }
    }

    /// Creates a connection that belongs to another entry, with the state that it carries.
    pub(crate) fn relayed(
        connection: TargetConnection<P>,
        now: Micros,
        (values, prepared): (SessionValues, PreparedNames),
        relay: RelayHandle,
    ) -> Self {
        Self { connection, used: now, values, prepared, uncertain: false, relay: Some(relay) }
    }

    /// Returns whether the connection belongs to another entry.
    pub(crate) const fn is_relayed(&self) -> bool {
        self.relay.is_some()
    }

    /// Returns the session state that the connection carries.
    pub(crate) const fn state(&self) -> (&SessionValues, &PreparedNames) {
        (&self.values, &self.prepared)
    }

    /// Takes over the session state that another entry left.
    pub(crate) fn set_state(&mut self, values: SessionValues, prepared: PreparedNames) {
        self.values = values;
        self.prepared = prepared;
    }

    /// Returns whether another session may use the connection.
    pub(crate) fn is_reusable(&self) -> bool {
        !self.uncertain && !self.connection.is_closed() && self.connection.is_clean()
    }

    /// Returns the counter of the reason for which the connection is not used again.
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

    /// Creates what stands for a connection that is gone.
    pub(crate) fn closed(protocol: P) -> Self {
        Self::new(TargetConnection::closed(protocol), Micros::ZERO)
    }

    /// Returns whether the connection has exactly these values.
    pub(crate) fn has_values(&self, values: &SessionValues) -> bool {
        self.values == *values
    }

    /// Gives the connection the values of a session.
    ///
    /// The statement must not be sent before all of them are acknowledged: it would run with the
    /// values of another session.
    ///
    /// # Errors
    ///
    /// Returns how the attempt ended; the session's statement was not sent.
    pub(crate) async fn apply_values(&mut self, values: &SessionValues) -> Result<(), AttemptEnd> {
        if self.has_values(values) {
            return Ok(());
        }
        self.uncertain = true;
        let mut requests = 0;
        if !self.values.is_empty() {
            self.connection.send(TargetRequest::Reset);
            requests += 1;
            self.prepared.clear();
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
        self.uncertain = false;
        self.values.clone_from(values);
        Ok(())
    }

    /// Adds the values of a session that it has set since [`Self::apply_values`].
    ///
    /// # Errors
    ///
    /// Returns an error if the target did not take all of them.
    pub(crate) async fn add_values(&mut self, values: &SessionValues) -> Result<(), AttemptEnd> {
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

    /// Returns the name of a prepared statement on this connection and prepares it if needed.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection broke or the target refused.
    pub(crate) async fn prepare(&mut self, shape: &PreparedShape) -> Result<String, AttemptEnd> {
        if let Some(name) = self.prepared.get(shape) {
            return Ok(name.clone());
        }
        let name = format!("p{}", self.prepared.len());
        let request =
            TargetRequest::Prepare { name: &name, access: shape.access, shape: &shape.shape };
        self.uncertain = true;
        let answer = self.connection.run(request).await.map_err(|_| AttemptEnd::NotSent)?;
        if answer.outcome.is_err() {
            return Err(AttemptEnd::NotSent);
        }
        self.uncertain = false;
        self.prepared.insert(shape.clone(), name.clone());
        Ok(name)
    }

    /// Forgets a prepared statement that the target does not know.
    pub(crate) fn forget_prepared(&mut self, shape: &PreparedShape) {
        self.prepared.remove(shape);
    }

    /// Gives the connection back to the entry that it belongs to, or closes it.
    pub(crate) async fn end(mut self) {
        let Some(relay) = self.relay.take() else {
            return self.connection.end().await;
        };
        if self.uncertain || !self.connection.is_clean() {
            return;
        }
        relay.release(&self.values, &self.prepared).await;
        // The other entry ends the stream once it has the connection back. A stream that is dropped before
        // is reset, and the other entry would close the connection.
        let _ = timeout(RELEASE_LIMIT, self.connection.read_raw()).await;
    }

    /// Makes sure that the connection still carries bytes in both directions.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not.
    pub(crate) async fn verify(&mut self) -> Result<(), ExchangeError> {
        self.uncertain = true;
        let answer = self.connection.run(TargetRequest::Reset).await?;
        self.uncertain = answer.outcome.is_err();
        self.prepared.clear();
        self.values.clear();
        Ok(())
    }
}
