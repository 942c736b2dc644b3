//! Memory that callers can claim; one test, since other tests of the process would count as well.

#![allow(clippy::unwrap_used)]

mod support;

use {
    banyansill_testkit::usage::resident_bytes,
    std::time::Duration,
    support::{Bench, RawCaller},
    tokio::io::AsyncWriteExt,
};

/// Growth of the process that a step may cause. Each step would claim several times as much if its limit
/// did not hold; the rest is the allocator's and the test's own.
const GROWTH_LIMIT: u64 = 24 << 20;

// Guards against memory that grows with announced sizes, with input that is not read, and with answers that
// are not read.
#[tokio::test]
async fn callers_claim_bounded_memory() {
    let bench = Bench::open_with(|settings| {
        settings.message_limit = 1 << 20;
        settings.stall_timeout = Duration::from_secs(2);
        settings.startup_timeout = Duration::from_secs(2);
    })
    .await;
    for _ in 0..8 {
        bench.raw().await.query("SELECT 1").await;
    }
    let base = resident_bytes().unwrap();
    let check = |step: &str| {
        let growth = resident_bytes().unwrap().saturating_sub(base);
        assert!(growth < GROWTH_LIMIT, "{step}: the process grew by {growth} bytes");
    };
    // Headers that announce 200 messages just under the limit, 200 MiB together.
    let mut callers = Vec::new();
    for _ in 0..200 {
        let mut caller = bench.raw().await;
        caller.write(b"Q\0\x0f\xff\xf0SELECT").await;
        callers.push(caller);
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    check("announced sizes");
    drop(callers);
    // 64 MiB before authentication, on connections whose start-up packet announces 10,000 bytes at most.
    for _ in 0..64 {
        let mut caller = RawCaller::open(bench.handle.address()).await;
        let _ = caller.socket.write_all(&[0, 0, 0x27, 0x10]).await;
        let flood = vec![1; 1 << 20];
        let write = caller.socket.write_all(&flood);
        let _ = tokio::time::timeout(Duration::from_millis(200), write).await;
    }
    check("input before authentication");
    // 128 MiB of requests whose answers nobody reads.
    let mut caller = bench.raw().await;
    let mut requests = Vec::new();
    while requests.len() < 1 << 20 {
        requests.extend_from_slice(b"S\0\0\0\x04");
    }
    let flood = async {
        for _ in 0..128 {
            if caller.socket.write_all(&requests).await.is_err() {
                return true;
            }
        }
        false
    };
    let ended = tokio::time::timeout(Duration::from_secs(8), flood).await;
    check("answers that are not read");
    assert_ne!(ended, Ok(false), "the server took 128 MiB of requests without a reader");
    bench.router.wait_for(|_| bench.handle.registry().open() == 0).await;
    assert_eq!(bench.raw().await.query("SELECT 1").await.last().unwrap(), "ZI");
}
