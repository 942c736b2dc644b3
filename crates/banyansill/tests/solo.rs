//! The whole system in one process, as a newcomer starts it.

#![allow(clippy::unwrap_used)]

use {
    banyansill_testkit::process::{TestProcess, free_address},
    std::{
        fs,
        path::Path,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
    tokio_postgres::{Client, NoTls, SimpleQueryMessage, error::SqlState},
};

const READY_LIMIT: Duration = Duration::from_secs(60);

/// Starts `banyansill-solo` and returns it with the connection string that it prints.
async fn spawn(folder: &Path, name: &str) -> (TestProcess, String) {
    let listen = free_address().unwrap().to_string();
    let data = folder.join("data");
    let arguments = ["--listen", &listen, "--data-dir", data.to_str().unwrap()];
    let process = TestProcess::spawn("banyansill-solo", name, folder, &arguments).unwrap();
    let end = Instant::now() + READY_LIMIT;
    loop {
        let output = fs::read_to_string(process.log()).unwrap();
        if let Some(line) = output.lines().find(|line| line.starts_with("ready: ")) {
            return (process, line["ready: ".len()..].to_owned());
        }
        assert!(Instant::now() < end, "not ready: {output}");
        sleep(Duration::from_millis(50)).await;
    }
}

async fn connect(url: &str) -> Client {
    let (client, connection) = tokio_postgres::connect(url, NoTls).await.unwrap();
    tokio::spawn(connection);
    client
}

/// Guards against a start that prints no usable connection string, a protocol feature that ordinary
/// clients use and that does not work through the entry, and a stop that fails.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_client_writes_and_reads_and_the_process_stops() {
    let folder = tempfile::tempdir().unwrap();
    let (mut process, url) = spawn(folder.path(), "first").await;
    let client = connect(&url).await;
    let setup = "CREATE TABLE orders (id bigint PRIMARY KEY, item text);
        INSERT INTO orders VALUES (1, 'goldeye');
        SELECT item FROM orders";
    let messages = client.simple_query(setup).await.unwrap();
    let row = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0),
        _ => None,
    });
    assert_eq!(row, Some("goldeye"));
    transactions(&client, &url).await;
    errors(&client).await;
    large_answer(&client).await;
    cancel(&client).await;
    drop(client);
    process.terminate().unwrap();
    assert!(process.wait(Duration::from_secs(20)).await.unwrap().success());
    // The control state was kept, so a second start has a sheet already.
    let (mut process, url) = spawn(folder.path(), "second").await;
    let row = connect(&url).await.query_one("SELECT 1", &[]).await.unwrap();
    assert_eq!(row.get::<_, i32>(0), 1);
    process.terminate().unwrap();
    assert!(process.wait(Duration::from_secs(20)).await.unwrap().success());
}

async fn transactions(client: &Client, url: &str) {
    let insert = client.prepare("INSERT INTO orders VALUES ($1, $2) RETURNING id").await.unwrap();
    let count = client.prepare("SELECT count(*) FROM orders").await.unwrap();
    let other = connect(url).await;
    client.batch_execute("BEGIN").await.unwrap();
    let row = client.query_one(&insert, &[&2_i64, &"pickerel"]).await.unwrap();
    assert_eq!(row.get::<_, i64>(0), 2);
    assert_eq!(client.query_one(&count, &[]).await.unwrap().get::<_, i64>(0), 2);
    let seen = other.query_one("SELECT count(*) FROM orders", &[]).await.unwrap();
    assert_eq!(seen.get::<_, i64>(0), 1, "an open transaction shows to another caller");
    client.batch_execute("ROLLBACK").await.unwrap();
    assert_eq!(client.query_one(&count, &[]).await.unwrap().get::<_, i64>(0), 1);
}

async fn errors(client: &Client) {
    let duplicate = "INSERT INTO orders VALUES (1, 'whitefish')";
    let error = client.batch_execute(duplicate).await.unwrap_err();
    assert_eq!(error.code(), Some(&SqlState::UNIQUE_VIOLATION), "{error:?}");
    let error = client.batch_execute("SELECT * FROM nowhere").await.unwrap_err();
    assert_eq!(error.code(), Some(&SqlState::UNDEFINED_TABLE), "{error:?}");
    // What the stand-in cannot run is refused with a class of its own, never answered by a guess.
    let error = client.batch_execute("VACUUM FULL orders").await.unwrap_err();
    let code = error.code().expect("an error with a code").code().to_owned();
    assert!(code == "0A000" || code == "42601", "{error:?}");
    client.query_one("SELECT 1", &[]).await.expect("the session goes on after an error");
}

async fn large_answer(client: &Client) {
    client.batch_execute("CREATE TABLE notes (id bigint PRIMARY KEY, body text)").await.unwrap();
    let body = "x".repeat(1_000);
    for first in (0..5_000).step_by(100) {
        let mut values = Vec::new();
        for id in first..first + 100 {
            values.push(format!("({id}, '{body}')"));
        }
        let insert = format!("INSERT INTO notes VALUES {}", values.join(","));
        client.batch_execute(&insert).await.unwrap();
    }
    let rows = client.query("SELECT id, body FROM notes ORDER BY id", &[]).await.unwrap();
    assert_eq!(rows.len(), 5_000);
    for (id, row) in rows.iter().enumerate() {
        assert_eq!(row.get::<_, i64>(0), i64::try_from(id).unwrap());
        assert_eq!(row.get::<_, &str>(1).len(), 1_000);
    }
}

async fn cancel(client: &Client) {
    let token = client.cancel_token();
    let start = Instant::now();
    let sleeper = client.batch_execute("SELECT pg_sleep(20)");
    let canceller = async {
        sleep(Duration::from_millis(500)).await;
        token.cancel_query(NoTls).await.unwrap();
    };
    let (result, ()) = tokio::join!(sleeper, canceller);
    assert_eq!(result.unwrap_err().code(), Some(&SqlState::QUERY_CANCELED));
    assert!(start.elapsed() < Duration::from_secs(10));
    client.query_one("SELECT 1", &[]).await.expect("the cancel ends its own statement only");
}
