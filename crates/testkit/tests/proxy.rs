//! The fault-injecting proxy must inject the faults it claims.

#![allow(clippy::unwrap_used)]

use {
    banyansill_testkit::proxy::{FaultProxy, PathFault},
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::timeout,
    },
};

const SHORT: Duration = Duration::from_millis(200);
const LONG: Duration = Duration::from_secs(10);

async fn echo_server() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut reader, mut writer) = stream.split();
                let _ = tokio::io::copy(&mut reader, &mut writer).await;
            });
        }
    });
    address
}

async fn echo(stream: &mut TcpStream, limit: Duration) -> bool {
    stream.write_all(b"x").await.unwrap();
    let mut byte = [0];
    matches!(timeout(limit, stream.read_exact(&mut byte)).await, Ok(Ok(_)))
}

/// Guards against a partition that closes connections or lets bytes through.
#[tokio::test]
async fn partition_is_silent_and_heals() {
    let proxy = FaultProxy::bind(echo_server().await).await.unwrap();
    let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
    assert!(echo(&mut stream, LONG).await);
    proxy.partition();
    assert!(!echo(&mut stream, SHORT).await);
    proxy.heal();
    let mut fresh = TcpStream::connect(proxy.address()).await.unwrap();
    assert!(echo(&mut fresh, LONG).await);
}

/// Guards against a silence that reaches new connections, and a one-way loss that takes both ways.
#[tokio::test]
async fn silence_hits_present_connections_only() {
    let proxy = FaultProxy::bind(echo_server().await).await.unwrap();
    let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
    assert!(echo(&mut stream, LONG).await);
    proxy.silence_present();
    let mut fresh = TcpStream::connect(proxy.address()).await.unwrap();
    assert!(echo(&mut fresh, LONG).await);
    assert!(!echo(&mut stream, SHORT).await);
    proxy.set(PathFault::Pass, PathFault::Discard);
    assert!(!echo(&mut fresh, SHORT).await);
    proxy.cut_present();
    let mut byte = [0];
    let closed = timeout(LONG, fresh.read(&mut byte)).await.unwrap();
    assert!(matches!(closed, Ok(0) | Err(_)));
}
