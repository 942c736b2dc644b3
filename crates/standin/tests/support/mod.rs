//! Servers and connections for the tests.
// Each test file uses a part, and the helpers run in tests only.
#![allow(dead_code, clippy::unwrap_used)]

pub mod raw;

use {
    banyansill_core::position::LogPosition,
    banyansill_standin::{
        ServerHandle,
        settings::{StandinSettings, StartRole},
    },
    std::{
        future::Future,
        time::{Duration, Instant},
    },
    tokio_postgres::{Client, Error, NoTls, SimpleQueryMessage},
};

pub fn settings(role: StartRole) -> StandinSettings {
    let mut settings = StandinSettings::loopback("hamper", "hamper-1", role);
    settings.connection_cost_ms = 0;
    settings
}

pub async fn primary() -> ServerHandle {
    banyansill_standin::spawn(settings(StartRole::Primary)).await.unwrap()
}

pub async fn replica_of(primary: &ServerHandle) -> ServerHandle {
    let role = StartRole::Replica(Some(primary.replication_address()));
    banyansill_standin::spawn(settings(role)).await.unwrap()
}

pub async fn try_connect(server: &ServerHandle) -> Result<Client, Error> {
    let address = server.address();
    let text = format!("host={} port={} user=caller dbname=hamper", address.ip(), address.port());
    let (client, connection) = tokio_postgres::connect(&text, NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

pub async fn connect(server: &ServerHandle) -> Client {
    try_connect(server).await.unwrap()
}

/// Returns the SQLSTATE of an error.
pub fn code(error: &Error) -> &str {
    error.code().map_or("none", |code| code.code())
}

/// Runs a query in the simple protocol and returns the rows as text, null as `-`.
pub async fn rows(client: &Client, text: &str) -> Vec<String> {
    let mut rows = Vec::new();
    let answer = client.simple_query(text).await;
    for message in answer.unwrap_or_else(|error| panic!("{text}: {error:?}")) {
        let SimpleQueryMessage::Row(row) = message else { continue };
        let mut fields = Vec::new();
        for index in 0..row.len() {
            fields.push(row.get(index).unwrap_or("-").to_owned());
        }
        rows.push(fields.join("|"));
    }
    rows
}

/// Runs statements without looking at their rows.
pub async fn run(client: &Client, text: &str) {
    rows(client, text).await;
}

/// Runs a query that fails and returns the SQLSTATE.
pub async fn failure(client: &Client, text: &str) -> String {
    match client.simple_query(text).await {
        Ok(_) => format!("no error from {text}"),
        Err(error) => code(&error).to_owned(),
    }
}

pub async fn status(client: &Client) -> (String, i64, LogPosition) {
    let row = client.query_one("SELECT * FROM group_status()", &[]).await.unwrap();
    let position: String = row.get("position");
    (row.get("role"), row.get("term"), position.parse().unwrap())
}

/// Waits until a condition holds and fails the test after five seconds.
pub async fn eventually<F, T>(what: &str, mut condition: F)
where
    F: FnMut() -> T,
    T: Future<Output = bool>,
{
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < Duration::from_secs(5), "not within five seconds: {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Returns the memory that the process uses.
pub fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages: u64 = text.split_whitespace().nth(1).unwrap().parse().unwrap();
    pages * 4096
}
