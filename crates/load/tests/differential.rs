//! The same requests through the proxy and through the naive proxy, with real processes.

#![allow(clippy::unwrap_used)]

use {
    banyansill_load::naive::NaiveProxy,
    banyansill_testkit::{
        cluster::{ClusterPlan, TestCluster, connect},
        process::free_address,
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    tokio_postgres::{Client, SimpleQueryMessage, error::SqlState},
};

const CALLERS: usize = 4;

/// Requests per seed.
const REQUESTS: usize = 200;

/// Answer of a request in a form that both sides share.
#[derive(Debug, PartialEq, Eq)]
enum ComparedAnswer {
    Rows(Vec<Vec<Option<String>>>),
    Error(SqlState),
}

/// Returns the next request of a caller.
///
/// Each caller has rows of its own, so that the order between callers has no influence.
fn next_request(caller: usize, random: &mut StdRng) -> String {
    let key = i64::try_from(caller).unwrap() * 1_000 + random.random_range(0..20);
    let amount = random.random_range(1..100);
    match random.random_range(0..9) {
        0 | 1 => format!("INSERT INTO stock (item, quantity) VALUES ({key}, {amount})"),
        2 => format!("UPDATE stock SET quantity = quantity + {amount} WHERE item = {key}"),
        3 => format!("DELETE FROM stock WHERE item = {key}"),
        4 => format!(
            "BEGIN; UPDATE stock SET quantity = {amount} WHERE item = {key}; \
             SELECT quantity FROM stock WHERE item = {key}; COMMIT"
        ),
        5 => format!(
            "BEGIN; DELETE FROM stock WHERE item = {key}; SELECT count(*) FROM stock \
             WHERE item = {key}; ROLLBACK"
        ),
        6 => format!(
            "SELECT count(*) FROM stock WHERE item >= {} AND item < {}",
            caller * 1_000,
            caller * 1_000 + 1_000
        ),
        _ => format!("SELECT item, quantity FROM stock WHERE item = {key}"),
    }
}

async fn answer(client: &Client, request: &str) -> ComparedAnswer {
    match client.simple_query(request).await {
        Ok(messages) => {
            let mut rows = Vec::new();
            for message in messages {
                match message {
                    SimpleQueryMessage::Row(row) => {
                        let mut fields = Vec::new();
                        for index in 0..row.len() {
                            fields.push(row.get(index).map(str::to_owned));
                        }
                        rows.push(fields);
                    }
                    SimpleQueryMessage::CommandComplete(count) => {
                        rows.push(vec![Some(format!("complete {count}"))]);
                    }
                    _ => {}
                }
            }
            ComparedAnswer::Rows(rows)
        }
        Err(error) => {
            ComparedAnswer::Error(error.code().cloned().unwrap_or_else(|| panic!("{error:?}")))
        }
    }
}

/// Runs each caller's requests one after the other, the callers at the same time.
async fn run(clients: Vec<Client>, seed: u64) -> Vec<Vec<(String, ComparedAnswer)>> {
    let mut tasks = Vec::new();
    for (caller, client) in clients.into_iter().enumerate() {
        tasks.push(tokio::spawn(async move {
            let mut random = StdRng::seed_from_u64(seed * 100 + caller as u64);
            let mut answers = Vec::new();
            for _ in 0..REQUESTS / CALLERS {
                let request = next_request(caller, &mut random);
                let answer = answer(&client, &request).await;
                answers.push((request, answer));
            }
            answers
        }));
    }
    let mut all = Vec::new();
    for task in tasks {
        all.push(task.await.unwrap());
    }
    all
}

// Guards against answers that differ from those of a single server: stale reads, lost or repeated
// writes, answers of another caller and changed errors.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_proxy_answers_as_the_naive_proxy_does() {
    let plan = ClusterPlan { lag_ms: 100, ..ClusterPlan::default() };
    let cluster = TestCluster::spawn(plan).await.unwrap();
    let primary = cluster.targets[cluster.primary().await.unwrap()].address;
    let naive = NaiveProxy::bind(free_address().unwrap(), primary).await.unwrap();
    // Through the proxy: its brokers know only the commits that pass through them.
    let setup = cluster.caller(0, "setup").await.unwrap();
    let create = "CREATE TABLE stock (item bigint PRIMARY KEY, quantity bigint)";
    setup.batch_execute(create).await.unwrap();
    for seed in 1..4 {
        setup.batch_execute("DELETE FROM stock").await.unwrap();
        let mut clients = Vec::new();
        for caller in 0..CALLERS {
            clients.push(cluster.caller(caller % 2, "test").await.unwrap());
        }
        let ours = run(clients, seed).await;
        setup.batch_execute("DELETE FROM stock").await.unwrap();
        let mut clients = Vec::new();
        for _ in 0..CALLERS {
            clients.push(connect(naive.address(), "test").await.unwrap());
        }
        let theirs = run(clients, seed).await;
        for (caller, (ours, theirs)) in ours.iter().zip(&theirs).enumerate() {
            for (number, (left, right)) in ours.iter().zip(theirs).enumerate() {
                assert_eq!(left, right, "seed {seed}, caller {caller}, request {number}");
            }
        }
    }
}
