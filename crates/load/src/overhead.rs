//! Overhead of the proxy: short statements through an entry against the server reached directly.

use {
    hdrhistogram::Histogram,
    std::time::{Duration, Instant},
    tokio::task::JoinSet,
    tokio_postgres::{Client, Config, Error, NoTls},
};

/// Figures of one run.
#[derive(Clone, Debug)]
pub struct OverheadRun {
    /// Callers in a closed loop.
    pub callers: usize,
    /// Answers per second.
    pub throughput: f64,
    /// Latencies in microseconds.
    pub latency: Histogram<u64>,
}

/// Connects a caller of an application; `url` may have either form of a connection string.
///
/// # Errors
///
/// Returns an error if the connection is refused.
pub async fn connect(url: &str, application: &str) -> Result<Client, Error> {
    let mut config: Config = url.parse()?;
    config.application_name(application);
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            eprintln!("connection: {error}");
        }
    });
    Ok(client)
}

/// Runs a prepared `SELECT` in a closed loop.
///
/// # Errors
///
/// Returns the first error of a caller.
pub async fn run(url: &str, callers: usize, span: Duration) -> Result<OverheadRun, Error> {
    let mut tasks = JoinSet::new();
    let mut clients = Vec::new();
    for _ in 0..callers {
        clients.push(connect(url, "overhead").await?);
    }
    let start = Instant::now();
    for client in clients {
        tasks.spawn(caller(client, span));
    }
    let mut latency = new_histogram();
    while let Some(joined) = tasks.join_next().await {
        let Ok(part) = joined else { continue };
        let _ = latency.add(part?);
    }
    let seconds = start.elapsed().as_secs_f64();
    #[allow(clippy::cast_precision_loss)]
    let throughput = latency.len() as f64 / seconds;
    Ok(OverheadRun { callers, throughput, latency })
}

async fn caller(client: Client, span: Duration) -> Result<Histogram<u64>, Error> {
    let statement = client.prepare("SELECT 1").await?;
    let mut latency = new_histogram();
    let start = Instant::now();
    while start.elapsed() < span {
        let sent = Instant::now();
        client.query(&statement, &[]).await?;
        latency.saturating_record(micros(sent.elapsed()));
    }
    Ok(latency)
}

/// Returns an empty histogram from 1 µs to 10 minutes with three significant digits.
#[must_use]
pub fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("bounds are valid")
}

/// Returns whole microseconds.
#[must_use]
pub fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
