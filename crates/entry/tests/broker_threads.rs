//! Grants that run on session threads: sessions and threads that end, and connections that move
//! between threads.

#![allow(clippy::unwrap_used, reason = "helpers outside test functions")]

mod broker_support;

use {
    banyansill_core::{route::DatabaseRoute, sheet::RuleSheet, time::Micros},
    banyansill_entry::{
        broker::BrokerHandle,
        link::{GrantRequest, GrantRouter, LinkInput},
        session::{CallerHandle, CallerServer, CallerSettings},
    },
    broker_support::{
        Outcome, TestHost, fake::FakeTarget, query, query_once, read, run, table, table_with_route,
        target, write,
    },
    std::{sync::Arc, thread, time::Duration},
    tokio::{
        runtime::Builder,
        sync::oneshot,
        task::{JoinSet, spawn_blocking},
        time::{sleep, timeout},
    },
    tokio_postgres::NoTls,
};

async fn primary() -> (TestHost, FakeTarget) {
    let fake = FakeTarget::start("primary").await;
    let host = TestHost::start("a", table(vec![target("p", &fake, "a", "")]));
    host.wait_until_connected("p").await;
    (host, fake)
}

/// Runs a task on a new thread with its own event loop, like a session thread; the thread ends
/// with the task.
async fn on_thread<F>(task: F)
where
    F: Future<Output = ()> + Send + 'static,
{
    let worker = thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(task);
    });
    spawn_blocking(move || worker.join().unwrap()).await.unwrap();
}

/// Starts a statement that runs for 10 s in a grant, and returns once the target executes it.
async fn start_statement(handle: BrokerHandle, fake: FakeTarget, request: GrantRequest) {
    let link = handle.open(request);
    link.input.send(LinkInput::Data(query("SLEEP 10000"))).await.unwrap();
    fake.wait_until(|state| state.running > 0).await;
    // Keeps the channels open, so that the thread ends before the grant sees the session end.
    std::mem::forget(link);
}

// Guards against a grant that ends with its thread: the slot would be free while the target still
// executes the statement, and a planned stop would not wait for it.
#[test]
fn a_grant_outlives_its_thread() {
    run(async {
        let (host, fake) = primary().await;
        on_thread(start_statement(host.handle.clone(), fake.clone(), write("p"))).await;
        // On a busy machine the target may have stopped the statement by now; then the grant has ended too.
        let open = host.handle.open_grants();
        let running = fake.lock().running;
        assert!(open == 1 || running == 0, "{running} statements run without a grant");
        host.wait_for_no_grants().await;
        // The target has received the cancel request and stopped.
        assert_eq!(fake.lock().running, 0);
    });
}

// Guards against a write that counts as open forever once its thread has ended: control would
// never receive the report that the writes of a planned change have finished.
#[test]
fn a_write_of_an_ended_thread_does_not_hold_up_a_planned_change() {
    run(async {
        let (host, fake) = primary().await;
        on_thread(start_statement(host.handle.clone(), fake.clone(), write("p"))).await;
        host.wait_for_no_grants().await;
        let table = table(vec![target("p", &fake, "a", "")]);
        let mut route = DatabaseRoute::clone(&table.databases["db"]);
        route.closed = true;
        route.planned = true;
        host.publish(banyansill_core::route::RouteTable { version: 2, ..table_with_route(route) });
        host.wait_for_report("p", |report| report.fenced_term == 1).await;
    });
}

// Guards against a slot that is reused while the statement of an ended session still runs.
#[test]
fn a_grant_outlives_its_session() {
    run(async {
        let (host, fake) = primary().await;
        fake.lock().ignores_cancel = true;
        let handle = host.handle.clone();
        let target = fake.clone();
        let (ended, end) = oneshot::channel();
        let worker = tokio::spawn(on_thread(async move {
            let mut links = Vec::new();
            for _ in 0..3 {
                let link = handle.open(write("p"));
                link.input.send(LinkInput::Data(query("SLEEP 700"))).await.unwrap();
                links.push(link);
            }
            target.wait_until(|state| state.running == 3).await;
            drop(links);
            let _ = end.await;
        }));
        fake.wait_until(|state| state.max_running == 3).await;
        let late = query_once(&host.handle, write("p"), "INSERT").await;
        assert!(matches!(late, Outcome::Ready { .. }), "{late:?}");
        // All slots were in use until a statement ended.
        assert_eq!(fake.lock().max_running, 3);
        host.wait_for_no_grants().await;
        assert_eq!(fake.lock().running, 0);
        let _ = ended.send(());
        worker.await.unwrap();
    });
}

// Guards against connections that are lost or unresponsive because the event loop that they are
// registered with has ended.
#[test]
fn connections_of_an_ended_thread_are_used_again() {
    run(async {
        let (host, fake) = primary().await;
        let handle = host.handle.clone();
        on_thread(async move {
            let mut grants = JoinSet::new();
            for _ in 0..3 {
                let handle = handle.clone();
                grants.spawn(async move { query_once(&handle, read("p"), "SLEEP 50").await });
            }
            while let Some(outcome) = grants.join_next().await {
                assert!(matches!(outcome.unwrap(), Outcome::Ready { .. }));
            }
            // The releases run on this thread, so it must not end before them.
            while handle.open_grants() > 0 {
                sleep(Duration::from_millis(1)).await;
            }
        })
        .await;
        let started = fake.lock().connections_started;
        for _ in 0..20 {
            let answer = query_once(&host.handle, read("p"), "ROWS 1").await;
            assert!(matches!(answer, Outcome::Ready { .. }), "{answer:?}");
        }
        assert_eq!(fake.lock().connections_started, started);
    });
}

// Guards against connections above the target's limit, statements above its slots and answers that
// are lost while connections move between threads.
#[test]
fn connections_move_between_threads_within_the_limits() {
    run(async {
        let (host, fake) = primary().await;
        let mut threads = JoinSet::new();
        for _ in 0..4 {
            let handle = host.handle.clone();
            threads.spawn(on_thread(async move {
                let mut callers = JoinSet::new();
                for number in 0..16 {
                    let handle = handle.clone();
                    callers.spawn(async move {
                        for step in 0..40 {
                            let request = if step % 4 == 0 { write("p") } else { read("p") };
                            let request =
                                GrantRequest { deadline: Micros::from_secs(15), ..request };
                            let sql = if (number + step) % 8 == 0 { "SLEEP 1" } else { "ROWS 3" };
                            let answer = query_once(&handle, request, sql).await;
                            assert!(matches!(answer, Outcome::Ready { .. }), "{answer:?}");
                        }
                    });
                }
                while let Some(joined) = callers.join_next().await {
                    joined.unwrap();
                }
                while handle.open_grants() > 0 {
                    sleep(Duration::from_millis(1)).await;
                }
            }));
        }
        while let Some(joined) = threads.join_next().await {
            joined.unwrap();
        }
        let state = fake.lock();
        let count = |text| state.log.iter().filter(|line| *line == text).count();
        assert_eq!(count("SLEEP 1") + count("ROWS 3"), 4 * 16 * 40);
        assert!(state.max_open_connections <= 12, "{} connections", state.max_open_connections);
        assert!(state.max_running <= 3, "{} statements", state.max_running);
    });
}

// Guards against a grant that is forwarded on a connection whose thread has ended.
#[test]
fn a_forwarded_grant_does_not_depend_on_another_thread() {
    run(async {
        let fake = FakeTarget::start("primary").await;
        let near = TestHost::start("near", table(Vec::new()));
        let far = TestHost::start("far", table(Vec::new()));
        let address = far.listen().await;
        let routes = table(vec![target("p", &fake, "far", &address)]);
        near.publish(routes.clone());
        far.publish(routes);
        far.wait_until_connected("p").await;
        let handle = near.handle.clone();
        on_thread(async move {
            let answer = query_once(&handle, write("p"), "INSERT").await;
            assert!(matches!(answer, Outcome::Ready { .. }), "{answer:?}");
        })
        .await;
        let answer =
            timeout(Duration::from_millis(500), query_once(&near.handle, write("p"), "INSERT"));
        let answer = answer.await.expect("the answer does not depend on the ended thread");
        assert!(matches!(answer, Outcome::Ready { .. }), "{answer:?}");
    });
}

const SHEET: &str = "\
database,application,kind,access,targets,max_age_ms,ack,repeatable,priority,deadline_ms,max_concurrent
*,*,read,read,any,1000,primary,yes,4,30000,
*,*,write,write,primary,,primary,no,4,30000,
";

/// Starts a listener for callers on `ntex` threads that uses the brokers of `host`.
async fn callers(host: &TestHost, fake: &FakeTarget) -> CallerHandle {
    let mut routes = table(vec![target("p", fake, "a", "")]);
    routes.version = 2;
    routes.sheet_number = 1;
    routes.sheet = Some(Arc::new(RuleSheet::parse(SHEET.as_bytes()).unwrap()));
    host.publish(routes);
    let any = "127.0.0.1:0".parse().unwrap();
    let settings =
        CallerSettings { workers: 2, ..CallerSettings::new(any, "r".into(), "z".into()) };
    CallerServer::bind(
        settings,
        host.handle.clone(),
        host.routes.subscribe(),
        host.lease.clone(),
        host.events.clone(),
        banyansill_runtime::metrics::open(None).unwrap(),
    )
    .await
    .unwrap()
}

// Guards against a stop that ends the session threads while their grants still run.
#[test]
fn a_stop_leaves_no_statement_running() {
    run(async {
        let (host, fake) = primary().await;
        let callers = callers(&host, &fake).await;
        let url = format!("postgresql://u@{}/db", callers.address());
        let mut clients = Vec::new();
        for _ in 0..3 {
            let (client, connection) = tokio_postgres::connect(&url, NoTls).await.unwrap();
            tokio::spawn(connection);
            clients.push(tokio::spawn(async move { client.simple_query("SLEEP 10000").await }));
        }
        fake.wait_until(|state| state.running == 3).await;
        assert_eq!(callers.drain_callers(Duration::from_millis(50)).await, 3);
        assert_eq!(host.handle.open_grants(), 3);
        timeout(Duration::from_secs(5), callers.close()).await.unwrap();
        // The grant counts as open until its connection is closed or the target has stopped.
        assert!(host.handle.open_grants() > 0 || fake.lock().running == 0);
        host.wait_for_no_grants().await;
        assert_eq!(fake.lock().running, 0);
        for client in clients {
            assert!(client.await.unwrap().is_err());
        }
    });
}
