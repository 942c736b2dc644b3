//! Opening a connection to a target, directly or through another entry.

use {
    super::{connection::PooledConnection, target::LeaseFailure},
    crate::gateway::GatewayCore,
    banyansill_core::{
        gateway::{ConnectionShare, TargetError},
        names::SharedName,
    },
    banyansill_target::{
        ConnectError, ConnectionOptions, StartRequest, StatementProtocol, TargetConnection,
    },
    std::{rc::Rc, time::Duration},
};

/// Time for the TCP connection; regions are 20 ms apart, and a lost opening packet is repeated only
/// after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for the answer to the introduction, which takes a slot of the target for about 12 ms and may
/// wait for one.
const START_TIMEOUT: Duration = Duration::from_secs(2);

/// Connection that was not opened.
#[derive(Debug)]
pub(crate) enum OpenFailure {
    /// The target does not answer.
    Unreachable(String),
    /// The target refused.
    Refused(TargetError),
    /// The other entry has no connection.
    Relay(LeaseFailure),
}

/// What another entry needs to know to queue the request for a connection.
#[derive(Clone, Debug)]
pub(crate) struct OpenPlan {
    /// Database of the session.
    pub(crate) database: SharedName,
    /// Priority of its route.
    pub(crate) priority: u32,
    /// Whether the connection is for a transaction.
    pub(crate) transaction: bool,
}

/// Opens a connection to the target `name`.
pub(super) async fn open<P>(
    core: &Rc<GatewayCore<P>>,
    name: (&SharedName, &SharedName),
    address: &SharedName,
    share: &ConnectionShare,
    plan: &OpenPlan,
) -> Result<PooledConnection<P>, OpenFailure>
where
    P: StatementProtocol,
{
    match share {
        ConnectionShare::Direct(_) => open_direct(core, name, address).await,
        ConnectionShare::Relayed(entries) => {
            let opened = core.relay.open(core, entries, name, plan, false).await;
            opened.map_err(OpenFailure::Relay)
        }
    }
}

async fn open_direct<P>(
    core: &Rc<GatewayCore<P>>,
    (group, target): (&SharedName, &SharedName),
    address: &SharedName,
) -> Result<PooledConnection<P>, OpenFailure>
where
    P: StatementProtocol,
{
    let Ok(address) = address.parse() else {
        return Err(OpenFailure::Unreachable(format!("no IP address and port: {address:?}")));
    };
    let start =
        StartRequest { group: group.clone(), user: core.own.host.clone(), target: target.clone() };
    let options =
        ConnectionOptions { connect_timeout: CONNECT_TIMEOUT, start_timeout: START_TIMEOUT };
    core.count("connections.opened");
    match TargetConnection::open(address, &start, core.protocol.clone(), options).await {
        Ok(connection) => Ok(PooledConnection::new(connection, core.clock.now())),
        Err(error @ ConnectError::Unreachable { .. }) => {
            Err(OpenFailure::Unreachable(error.to_string()))
        }
        Err(ConnectError::Refused(error)) => Err(OpenFailure::Refused(error)),
    }
}
