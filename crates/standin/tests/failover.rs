//! Repeated changes of primary.

mod support;

use {
    banyansill_standin::{ServerHandle, settings::StartRole, spawn},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::time::Duration,
    support::{connect, eventually, rows, run, settings},
};

const ALL: &str = "SELECT id FROM t ORDER BY id";

async fn group(log_entries: u64) -> Vec<ServerHandle> {
    let mut options = settings(StartRole::Primary);
    options.log_entries = log_entries;
    let mut servers = vec![spawn(options.clone()).await.expect("the primary starts")];
    options.role = StartRole::Replica(Some(servers[0].replication_address()));
    for _ in 0..2 {
        servers.push(spawn(options.clone()).await.expect("a replica starts"));
    }
    servers
}

/// Runs `rounds` promotions with writes on both sides of a cut and returns nothing if every write
/// that the promoted server had seen survives on all servers.
async fn change_primaries(seed: u64, log_entries: u64, rounds: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let servers = group(log_entries).await;
    let mut primary = 0;
    let mut next_id = 1;
    run(&connect(&servers[0]).await, "CREATE TABLE t (id int PRIMARY KEY)").await;
    for term in 2..2 + rounds {
        let writer = connect(&servers[primary]).await;
        let mut written = Vec::new();
        for _ in 0..random.random_range(1..6) {
            run(&writer, &format!("INSERT INTO t VALUES ({next_id})")).await;
            written.push((servers[primary].position(), next_id));
            next_id += 1;
        }
        if random.random_bool(0.5) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        for server in &servers {
            server.set_lag(Duration::from_millis(random.random_range(0..30)));
        }
        // Cuts the primary off and lets it write on alone.
        servers[primary].set_isolated(true);
        for _ in 0..random.random_range(0..6) {
            run(&writer, &format!("INSERT INTO t VALUES ({next_id})")).await;
            written.push((servers[primary].position(), next_id));
            next_id += 1;
        }
        let before = rows(&writer, ALL).await;
        let (mut candidate, mut seen) = (primary, None);
        for (index, server) in servers.iter().enumerate() {
            if index != primary && Some(server.position()) > seen {
                (candidate, seen) = (index, Some(server.position()));
            }
        }
        let promoted = connect(&servers[candidate]).await;
        run(&promoted, &format!("SELECT group_promote({term})")).await;
        servers[primary].set_isolated(false);
        let address = servers[candidate].replication_address();
        for (index, server) in servers.iter().enumerate() {
            if index != candidate {
                let text = format!("SELECT group_follow({term}, '{address}')");
                run(&connect(server).await, &text).await;
            }
        }
        run(&promoted, &format!("INSERT INTO t VALUES ({next_id})")).await;
        next_id += 1;
        let expected = rows(&promoted, ALL).await;
        for (position, id) in written {
            let kept = expected.contains(&id.to_string());
            assert!(kept || Some(position) > seen, "{id} at {position} is lost, seed {seed}");
        }
        for id in &expected[..expected.len() - 1] {
            assert!(before.contains(id), "{id} came from nowhere, seed {seed}");
        }
        for server in &servers {
            let what = format!("seed {seed}, term {term}");
            let end = servers[candidate].position();
            eventually(&what, || async { server.position() == end }).await;
            assert_eq!(rows(&connect(server).await, ALL).await, expected, "{what}");
        }
        primary = candidate;
    }
    for server in servers {
        server.kill().await;
    }
}

/// Guards against replicas that keep or lose the wrong entries over several changes of primary.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn servers_agree_after_every_change_of_primary() {
    for seed in 0..4 {
        let log_entries = if seed % 2 == 0 { 10_000 } else { 4 };
        change_primaries(seed, log_entries, 6).await;
    }
}
