//! Answers that come after their deadline, and cancels that race with them.

#![allow(clippy::unwrap_used)]

use {
    banyansill_testkit::{
        cluster::{ClusterPlan, DEFAULT_SHEET, TestCluster, connect},
        history::WriteOutcome,
        proxy::PathFault,
        workload::{TABLE, Workload, stored_tokens},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    tokio::{
        sync::watch,
        task::JoinHandle,
        time::{sleep, timeout},
    },
    tokio_postgres::{Client, NoTls, error::SqlState},
};

/// Deadline of every request in this test's sheet.
const DEADLINE: Duration = Duration::from_millis(500);

/// Longest delay that the proxies add to an answer, beyond the deadline.
const LONGEST_DELAY_MS: u64 = 900;

/// Time for which answers are delayed now and then.
const FAULT_TIME: Duration = Duration::from_secs(8);

/// Time after which a caller that got no answer at all fails the test: the deadline, the entry's slack
/// and much time for a slow machine.
const ANSWER_LIMIT: Duration = Duration::from_secs(30);

/// What a caller of echoes saw.
#[derive(Debug, Default)]
struct EchoResult {
    answers: u64,
    cancelled: u64,
    errors: BTreeMap<String, u64>,
}

/// Reads many rows that all carry the request's own token; half of the callers cancel some reads.
async fn echo(
    entry: SocketAddr,
    number: u64,
    cancels: bool,
    mut stopped: watch::Receiver<bool>,
) -> EchoResult {
    let mut rng = StdRng::seed_from_u64(number);
    let mut result = EchoResult::default();
    let mut token = number * 1_000_000;
    while !*stopped.borrow_and_update() {
        let Ok(client) = connect(entry, "coordinator").await else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        while !*stopped.borrow() && !client.is_closed() {
            token += 1;
            let rows = rng.random_range(1..200_u64);
            let wait = Duration::from_millis(rng.random_range(0..12));
            let cancel = (cancels && rng.random_bool(0.5)).then_some(wait);
            echo_once(&client, (token, rows), cancel, &mut result).await;
            if !cancels {
                assert_eq!(result.cancelled, 0, "another caller's cancel: {:?}", result.errors);
            }
        }
    }
    result
}

async fn echo_once(
    client: &Client,
    (token, rows): (u64, u64),
    cancel: Option<Duration>,
    result: &mut EchoResult,
) {
    let query = format!("SELECT {token}::bigint, n FROM generate_series(1, {rows}) AS s(n)");
    let cancelling = async {
        if let Some(wait) = cancel {
            sleep(wait).await;
            let _ = client.cancel_token().cancel_query(NoTls).await;
        }
    };
    let (answer, ()) = tokio::join!(timeout(ANSWER_LIMIT, client.query(&query, &[])), cancelling);
    match answer.expect("a caller got no answer at all") {
        Ok(received) => {
            result.answers += 1;
            assert_eq!(received.len() as u64, rows, "the answer to {token} is not whole");
            for (row, wanted) in received.iter().zip(1_i64..) {
                let echoed = u64::try_from(row.get::<_, i64>(0)).unwrap();
                assert_eq!(echoed, token, "another request's answer");
                let counted =
                    row.try_get::<_, i64>(1).unwrap_or_else(|_| row.get::<_, i32>(1).into());
                assert_eq!(counted, wanted, "the answer to {token} is not whole");
            }
        }
        Err(error) => {
            let code = error.code().map(SqlState::code);
            result.cancelled += u64::from(code == Some("57014"));
            let text = match error.as_db_error() {
                Some(answer) => format!("{} {}", answer.code().code(), answer.message()),
                None => error.to_string(),
            };
            *result.errors.entry(text).or_default() += 1;
        }
    }
}

/// Counts the requests whose deadline passed while a target ran them.
fn late_answers(errors: &BTreeMap<String, u64>) -> u64 {
    let late = errors.iter().filter(|(text, _)| text.contains("while the request ran"));
    late.map(|(_, number)| number).sum()
}

/// Guards against an answer that reaches the next request after its own was given up, a cancel that
/// hits another caller's request, and an answer that is cut.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_answers_and_racing_cancels_reach_nobody_else() {
    let deadline = DEADLINE.as_millis().to_string();
    let sheet = DEFAULT_SHEET.replace(",10000,\n", &format!(",{deadline},\n"));
    // Statements take long enough that a cancel often meets a running one.
    let plan = ClusterPlan {
        entries: 2,
        lag_ms: 20,
        slots: 4,
        statement_cost_us: 3_000,
        sheet,
        ..ClusterPlan::default()
    };
    let cluster = TestCluster::spawn(plan).await.unwrap();
    let caller = cluster.caller(0, "test").await.unwrap();
    caller.batch_execute(TABLE).await.unwrap();
    let entries: Vec<SocketAddr> = cluster.entries.iter().map(|entry| entry.address).collect();
    let workload = Workload::spawn(&entries, 6, 91);
    let (stop, stopped) = watch::channel(false);
    let mut echoes: Vec<JoinHandle<EchoResult>> = Vec::new();
    for number in 1..=8_u64 {
        let entry = entries[usize::try_from(number % 2).unwrap()];
        echoes.push(tokio::spawn(echo(entry, number, number > 4, stopped.clone())));
    }
    let mut rng = StdRng::seed_from_u64(92);
    let end = tokio::time::Instant::now() + FAULT_TIME;
    while tokio::time::Instant::now() < end {
        let target = &cluster.targets[rng.random_range(0..3)];
        let delay = Duration::from_millis(rng.random_range(100..LONGEST_DELAY_MS));
        // A cancel goes to the target on a connection of its own, so its delay lets it come after the
        // end of the request that it is meant for.
        let short = PathFault::Delay(Duration::from_millis(rng.random_range(1..30)));
        if rng.random_bool(0.5) {
            target.proxy.set(short, PathFault::Pass);
        } else {
            target.proxy.set(PathFault::Pass, PathFault::Delay(delay));
        }
        sleep(Duration::from_millis(rng.random_range(100..400))).await;
        target.proxy.set(PathFault::Pass, PathFault::Pass);
        sleep(Duration::from_millis(rng.random_range(20..200))).await;
    }
    sleep(Duration::from_secs(1)).await;
    stop.send(true).unwrap();
    let mut sums = (0, 0);
    let mut late = 0;
    for echo in echoes {
        let result = echo.await.unwrap();
        println!("{result:?}");
        sums = (sums.0 + result.answers, sums.1 + result.cancelled);
        late += late_answers(&result.errors);
    }
    assert!(sums.0 > 50 && sums.1 > 5, "answers and cancelled {sums:?}");
    let result = workload.finish().await;
    let primary = cluster.primary().await.unwrap();
    let rows = stored_tokens(cluster.targets[primary].address).await.unwrap();
    let faults = result.history.check(&rows);
    assert!(faults.is_empty(), "{faults:?}\nerrors: {:?}", result.errors);
    assert!(result.history.writes(WriteOutcome::Acknowledged) > 10, "{:?}", result.errors);
    println!("errors {:?}", result.errors);
    late += late_answers(&result.errors);
    println!("late answers {late}");
    assert!(late > 0, "no answer was late: {:?}", result.errors);
}
