//! Compares latency and throughput of direct connections with local and remote brokers, on loopback.
//!
//! `cargo run --release -p banyansill-entry --example broker_latency`

#[path = "../tests/broker_support/mod.rs"]
mod broker_support;

use {
    banyansill_entry::{
        broker::BrokerHandle,
        link::{GrantRouter, LinkInput, LinkOutput},
    },
    broker_support::{TestHost, fake::FakeTarget, query, read, table, target},
    bytes::Bytes,
    std::time::{Duration, Instant},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

const STATEMENTS: u32 = 20_000;
const CALLERS: u32 = 64;

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    runtime.expect("a runtime").block_on(measure());
}

async fn measure() {
    let fake = FakeTarget::start("primary").await;
    let mut route = target("p", &fake, "a", "");
    (route.slots, route.connections) = (CALLERS, 2 * CALLERS);
    let local = TestHost::start("a", table(vec![route.clone()]));
    local.wait_until_connected("p").await;
    route.broker_address = local.listen().await.as_str().into();
    let remote = TestHost::start("b", table(vec![route]));
    // Waits for the pool, which opens only four connections at a time.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let sql = query("ROWS 1");
    print_latencies("direct", direct_latencies(&fake.address, &sql, STATEMENTS).await);
    print_latencies("local broker", grant_latencies(&local.handle, &sql, STATEMENTS).await);
    print_latencies("remote broker", grant_latencies(&remote.handle, &sql, STATEMENTS).await);
    for (name, host) in [("direct", None), ("local", Some(&local)), ("remote", Some(&remote))] {
        let started = Instant::now();
        let mut tasks = Vec::new();
        for _ in 0..CALLERS {
            let (sql, address) = (sql.clone(), fake.address.clone());
            let handle = host.map(|host| host.handle.clone());
            tasks.push(tokio::spawn(async move {
                match handle {
                    Some(handle) => grant_latencies(&handle, &sql, 2_000).await.len(),
                    None => direct_latencies(&address, &sql, 2_000).await.len(),
                }
            }));
        }
        let mut count = 0;
        for task in tasks {
            count += task.await.expect("a caller");
        }
        let rate = count as f64 / started.elapsed().as_secs_f64();
        println!("{name:<14} {CALLERS} callers: {rate:>9.0} statements/s");
    }
}

async fn direct_latencies(address: &str, sql: &Bytes, count: u32) -> Vec<Duration> {
    let mut stream = TcpStream::connect(address).await.expect("the target");
    let _ = stream.set_nodelay(true);
    let mut request = bytes::BytesMut::new();
    postgres_protocol::message::frontend::startup_message([("user", "app")], &mut request)
        .expect("start-up");
    stream.write_all(&request).await.expect("start-up");
    let mut buffer = vec![0; 4_096];
    let mut length = 0;
    while length < 6 || buffer[length - 6] != b'Z' {
        length += stream.read(&mut buffer[length..]).await.expect("start-up");
    }
    let mut latencies = Vec::new();
    for _ in 0..count {
        let started = Instant::now();
        stream.write_all(sql).await.expect("a query");
        length = 0;
        while length < 6 || buffer[length - 6] != b'Z' {
            length += stream.read(&mut buffer[length..]).await.expect("an answer");
        }
        latencies.push(started.elapsed());
    }
    latencies
}

async fn grant_latencies(handle: &BrokerHandle, sql: &Bytes, count: u32) -> Vec<Duration> {
    let mut latencies = Vec::new();
    for _ in 0..count {
        let started = Instant::now();
        let mut link = handle.open(read("p"));
        let _ = link.input.send(LinkInput::Data(sql.clone())).await;
        loop {
            match link.output.recv().await {
                Some(LinkOutput::Ready { .. }) => break,
                Some(LinkOutput::Granted { .. } | LinkOutput::Data(_)) => {}
                other => panic!("{other:?}"),
            }
        }
        latencies.push(started.elapsed());
        let _ = link.input.send(LinkInput::Release).await;
    }
    latencies
}

fn print_latencies(name: &str, mut latencies: Vec<Duration>) {
    latencies.sort_unstable();
    let at = |part: f64| latencies[((latencies.len() - 1) as f64 * part) as usize].as_micros();
    println!("{name:<14} p50 {:>5} us  p99 {:>5} us", at(0.5), at(0.99));
}
