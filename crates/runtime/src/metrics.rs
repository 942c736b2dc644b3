//! Metrics by `cadence`, sent as statsd datagrams.

use {
    cadence::{NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink},
    miette::Diagnostic,
    std::net::{SocketAddr, UdpSocket},
    thiserror::Error,
};

/// Prefix of every metric's name.
const METRIC_PREFIX: &str = "banyansill";

/// Metrics that cannot be sent.
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

/// Opens a client that sends to `server` from a background thread, or drops metrics without one.
///
/// # Errors
///
/// Returns an error if no socket can be opened.
pub fn open(server: Option<SocketAddr>) -> Result<StatsdClient, MetricsError> {
    let Some(server) = server else {
        return Ok(StatsdClient::from_sink(METRIC_PREFIX, NopMetricSink));
    };
    let socket = UdpSocket::bind("0.0.0.0:0")?;
    socket.set_nonblocking(true)?;
    let sink = QueuingMetricSink::from(UdpMetricSink::from(server, socket)?);
    Ok(StatsdClient::from_sink(METRIC_PREFIX, sink))
}
