//! Malformed bytes at every stage of a connection.

mod support;

use {
    banyansill_entry::session::{
        frame::{FrameCodec, FrameError},
        parse_startup,
    },
    ntex::{codec::Decoder, util::BytesMut as Buffer},
    proptest::prelude::*,
    std::time::Duration,
    support::{Bench, RawCaller},
};

proptest! {
    // Guards against a panic on any start-up packet.
    #[test]
    fn any_startup_packet_is_parsed(body in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = parse_startup(&body);
        let mut packet = vec![0, 3, 0, 0];
        packet.extend_from_slice(&body);
        let _ = parse_startup(&packet);
    }

    // Guards against frame boundaries that depend on how the bytes are split into reads, and against a
    // panic or an unbounded buffer on arbitrary bytes.
    #[test]
    fn framing_does_not_depend_on_chunk_size(
        bytes in prop::collection::vec(any::<u8>(), 0..400),
        chunk_size in 1_usize..50,
        startup in any::<bool>(),
    ) {
        let decode = |chunk_size: usize| {
            let codec = FrameCodec::new(200);
            if !startup {
                codec.finish_startup();
            }
            let mut buffer = Buffer::new();
            let mut frames = Vec::new();
            for part in bytes.chunks(chunk_size) {
                buffer.extend_from_slice(part);
                loop {
                    match codec.decode(&mut buffer) {
                        Ok(Some(frame)) => frames.push(frame),
                        Ok(None) => break,
                        Err(error) => return (frames, Some(error)),
                    }
                }
                assert!(buffer.len() <= 200 + chunk_size);
            }
            (frames, None)
        };
        prop_assert_eq!(decode(chunk_size), decode(400));
    }
}

// Guards against allocating memory for the length that a header declares before the body arrives.
#[test]
fn headers_over_the_limit_are_rejected_immediately() {
    let codec = FrameCodec::new(1_000);
    codec.finish_startup();
    let mut buffer = Buffer::new();
    buffer.extend_from_slice(b"Q\x7f\xff\xff\xff");
    assert_eq!(codec.decode(&mut buffer), Err(FrameError::Long(0x8000_0000, 1_000)));
    buffer.clear();
    buffer.extend_from_slice(b"Q\xff\xff\xff\xff");
    assert_eq!(codec.decode(&mut buffer), Err(FrameError::Short(-1)));
}

// Guards against a server that exits, hangs or leaks sessions on malformed bytes.
#[tokio::test]
async fn malformed_input_ends_only_its_connection() {
    let bench = Bench::open_with(|settings| {
        settings.stall_timeout = Duration::from_millis(100);
        settings.startup_timeout = Duration::from_millis(200);
    })
    .await;
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    let strategy = (
        any::<bool>(),
        prop::sample::select(b"QPBDECSHFXdcfpz\0".to_vec()),
        -8_i32..40,
        prop::collection::vec(any::<u8>(), 0..60),
    );
    let mut callers = Vec::new();
    for _ in 0..200 {
        let tree = strategy.new_tree(&mut runner).expect("a value");
        let (started, tag, length, bytes) = proptest::strategy::ValueTree::current(&tree);
        let mut caller = RawCaller::open(bench.handle.address()).await;
        if started {
            caller.start().await;
            caller.write(&[tag]).await;
        }
        caller.write(&length.to_be_bytes()).await;
        caller.write(&bytes).await;
        callers.push(caller);
    }
    let mut healthy = bench.raw().await;
    assert_eq!(healthy.query("SELECT 1").await.last().unwrap(), "ZI");
    drop(callers);
    bench.router.wait_for(|_| bench.handle.registry().open() == 1).await;
    assert_eq!(healthy.query("SELECT 1").await.last().unwrap(), "ZI");
}

// Guards against a panic on any message body, and against a session that continues after a body that cannot
// be parsed.
#[tokio::test]
async fn malformed_bodies_never_panic() {
    let bench = Bench::open().await;
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    let strategy = prop::collection::vec(
        (
            prop::sample::select(b"QPBDECSH".to_vec()),
            prop::collection::vec(prop::sample::select(b"\0\0SPx1".to_vec()), 0..12),
        ),
        1..8,
    );
    for _ in 0..300 {
        let messages = strategy.new_tree(&mut runner).expect("a value");
        let messages = proptest::strategy::ValueTree::current(&messages);
        let mut caller = bench.raw().await;
        // One write: the server may close the connection at any of the messages.
        let mut bytes = Vec::new();
        for (tag, body) in messages {
            let length = i32::try_from(body.len() + 4).unwrap();
            bytes.push(tag);
            bytes.extend_from_slice(&length.to_be_bytes());
            bytes.extend_from_slice(&body);
        }
        caller.write(&bytes).await;
    }
    let mut healthy = bench.raw().await;
    assert_eq!(healthy.query("SELECT 1").await.last().unwrap(), "ZI");
    bench.router.wait_for(|_| bench.handle.registry().open() == 1).await;
}
