//! Metrics sent with `cadence` as statsd datagrams.

use {
    cadence::{NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink},
    miette::Diagnostic,
    std::net::{SocketAddr, UdpSocket},
    thiserror::Error,
};

/// Prefix of the name of every metric.
const METRIC_PREFIX: &str = "banyansill";

/// Reason why metrics cannot be sent.
#[derive(Debug, Error, Diagnostic)]
#[diagnostic(code(banyansill::metrics))]
pub enum MetricsError {
    /// No datagram socket could be opened.
    #[error("metrics socket: {0}")]
    Socket(#[from] std::io::Error),
    /// The address of the statsd server was rejected.
    #[error("metrics sink: {0}")]
    Sink(#[from] cadence::MetricError),
}

/// Opens a client that sends to `server` from a background thread, or drops all metrics if `server` is
/// `None`.
///
/// # Errors
///
/// Returns an error if no socket can be opened or the address is rejected.
pub fn open(server: Option<SocketAddr>) -> Result<StatsdClient, MetricsError> {
    let Some(server) = server else {
        return Ok(StatsdClient::from_sink(METRIC_PREFIX, NopMetricSink));
    };
    let socket = UdpSocket::bind("0.0.0.0:0")?;
    socket.set_nonblocking(true)?;
    let sink = QueuingMetricSink::from(UdpMetricSink::from(server, socket)?);
    Ok(StatsdClient::from_sink(METRIC_PREFIX, sink))
}
