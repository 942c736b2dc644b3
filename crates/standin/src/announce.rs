//! Announcements to control.

use {
    crate::shared::SharedServer,
    http_body_util::Full,
    hyper::{Request, StatusCode, client::conn::http1, header},
    hyper_util::rt::TokioIo,
    serde::Serialize,
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        time::{interval, timeout},
    },
};

/// Interval between announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Time that one control address has to answer, so that a silent one delays the next only briefly.
const ANSWER_LIMIT: Duration = Duration::from_millis(400);

/// Body of an announcement.
#[derive(Debug, Serialize)]
struct ServerAnnouncement<'a> {
    database: &'a str,
    server: &'a str,
    address: String,
    replication_address: String,
    region: &'a str,
    zone: &'a str,
    role: &'static str,
    term: u64,
    position: String,
    slots: u64,
    connections: u64,
    leaving: bool,
    incarnation: u64,
}

/// Announces the server until it ends.
pub async fn announce(shared: Arc<SharedServer>) {
    if shared.settings.control.is_empty() {
        return;
    }
    let mut ended = shared.ended.subscribe();
    let mut leaving = shared.leaving.subscribe();
    let mut ticks = interval(ANNOUNCE_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    // Starts with the address that answered last.
    let mut first = 0;
    loop {
        tokio::select! {
            _ = ended.wait_for(|ended| *ended) => return,
            _ = ticks.tick() => {}
            // Told at once, so that the time before the end is not cut short.
            Ok(()) = leaving.changed() => {}
        }
        if shared.faults.mute.load(Ordering::Relaxed) {
            continue;
        }
        tokio::select! {
            _ = ended.wait_for(|ended| *ended) => return,
            answered = post_first(&shared, first) => first = answered,
        }
    }
}

async fn post_first(shared: &SharedServer, first: usize) -> usize {
    let control = &shared.settings.control;
    for step in 0..control.len() {
        let index = (first + step) % control.len();
        let result = timeout(ANSWER_LIMIT, post(control[index], body(shared))).await;
        match result {
            Ok(Ok(status)) if status.is_success() => {
                shared.heard.send_replace(true);
                return index;
            }
            Ok(Ok(status)) => log::debug!("{}: {status}", control[index]),
            Ok(Err(error)) => log::debug!("{}: {error}", control[index]),
            Err(_) => log::debug!("{}: no answer", control[index]),
        }
    }
    (first + 1) % control.len()
}

fn body(shared: &SharedServer) -> Vec<u8> {
    let (settings, addresses) = (&shared.settings, &shared.addresses);
    let state = shared.read();
    let announcement = ServerAnnouncement {
        database: &settings.database,
        server: &settings.server,
        address: settings.announce_address.unwrap_or(addresses.callers).to_string(),
        replication_address: settings
            .announce_replication_address
            .unwrap_or(addresses.replication)
            .to_string(),
        region: &settings.region,
        zone: &settings.zone,
        role: state.role.name(),
        term: state.term,
        position: state.received().to_string(),
        slots: settings.slots,
        connections: settings.connections,
        leaving: *shared.leaving.borrow(),
        incarnation: shared.incarnation,
    };
    serde_json::to_vec(&announcement).unwrap_or_default()
}

async fn post(address: SocketAddr, body: Vec<u8>) -> io::Result<StatusCode> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    let request = Request::post("/v1/announce")
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(hyper::body::Bytes::from(body)))
        .map_err(io::Error::other)?;
    let answer = sender.send_request(request);
    let mut connection = std::pin::pin!(connection);
    let mut answer = std::pin::pin!(answer);
    // The connection has to be driven while the answer is awaited.
    tokio::select! {
        answer = &mut answer => Ok(answer.map_err(io::Error::other)?.status()),
        result = &mut connection => {
            result.map_err(io::Error::other)?;
            Ok(answer.await.map_err(io::Error::other)?.status())
        }
    }
}
