//! Announcements to control, or to the broker that control names.

use {
    crate::shared::SharedServer,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{Request, StatusCode, body::Bytes, client::conn::http1, header},
    hyper_util::rt::TokioIo,
    serde::{Deserialize, Serialize},
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        task::JoinHandle,
        time::{interval, timeout},
    },
};

/// Interval between announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Time that one control address has to answer, so that a silent one delays the next only briefly.
const ANSWER_LIMIT: Duration = Duration::from_millis(400);

/// Largest reply, in bytes.
const REPLY_LIMIT: usize = 8 * 1024;

/// The part of a reply that the server acts on; its broker gives it all other orders.
#[derive(Debug, Default, Deserialize)]
struct AnnounceReply {
    #[serde(default)]
    announce_to: String,
}

/// Open connection to the broker that takes the announcements.
struct BrokerConnection {
    address: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for BrokerConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

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
    let mut broker = None;
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
            answered = announce_once(&shared, first, &mut broker) => first = answered,
        }
    }
}

/// Announces the server to its broker, or to control if it has none or the broker does not take it;
/// returns which control address to begin with next time.
async fn announce_once(
    shared: &SharedServer,
    first: usize,
    broker: &mut Option<BrokerConnection>,
) -> usize {
    if let Some(mut connection) = broker.take() {
        let result = timeout(ANSWER_LIMIT, connection.post(body(shared))).await;
        match result {
            Ok(Ok((status, reply))) if status.is_success() => {
                if reply.announce_to == connection.address.to_string() {
                    *broker = Some(connection);
                } else {
                    *broker = open(shared, &reply).await;
                }
                return first;
            }
            Ok(Ok((status, _))) => log::debug!("broker {}: {status}", connection.address),
            Ok(Err(error)) => log::debug!("broker {}: {error}", connection.address),
            Err(_) => log::debug!("broker {}: no answer", connection.address),
        }
    }
    let (first, reply) = post_first(shared, first).await;
    if let Some(reply) = reply {
        *broker = open(shared, &reply).await;
    }
    first
}

/// Connects to the broker that a reply names; a broker that does not accept is left out until the next
/// reply of control.
async fn open(shared: &SharedServer, reply: &AnnounceReply) -> Option<BrokerConnection> {
    if !shared.settings.broker_announcements || reply.announce_to.is_empty() {
        return None;
    }
    let address = reply.announce_to.parse().ok()?;
    match timeout(ANSWER_LIMIT, BrokerConnection::open(address)).await {
        Ok(Ok(connection)) => Some(connection),
        Ok(Err(error)) => {
            log::debug!("broker {address}: {error}");
            None
        }
        Err(_) => None,
    }
}

impl BrokerConnection {
    async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("broker {address}: {error}");
            }
        });
        Ok(Self { address, sender, driver })
    }

    async fn post(&mut self, body: Vec<u8>) -> io::Result<(StatusCode, AnnounceReply)> {
        send(&mut self.sender, self.address, body).await
    }
}

async fn post_first(shared: &SharedServer, first: usize) -> (usize, Option<AnnounceReply>) {
    let control = &shared.settings.control;
    for step in 0..control.len() {
        let index = (first + step) % control.len();
        let result = timeout(ANSWER_LIMIT, post(control[index], body(shared))).await;
        match result {
            Ok(Ok((status, reply))) if status.is_success() => {
                shared.heard.send_replace(true);
                return (index, Some(reply));
            }
            Ok(Ok((status, _))) => log::debug!("{}: {status}", control[index]),
            Ok(Err(error)) => log::debug!("{}: {error}", control[index]),
            Err(_) => log::debug!("{}: no answer", control[index]),
        }
    }
    ((first + 1) % control.len(), None)
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

async fn post(address: SocketAddr, body: Vec<u8>) -> io::Result<(StatusCode, AnnounceReply)> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    let answer = send(&mut sender, address, body);
    let mut connection = std::pin::pin!(connection);
    let mut answer = std::pin::pin!(answer);
    // The connection has to be driven while the answer is awaited.
    tokio::select! {
        answer = &mut answer => answer,
        result = &mut connection => {
            result.map_err(io::Error::other)?;
            answer.await
        }
    }
}

async fn send(
    sender: &mut http1::SendRequest<Full<Bytes>>,
    address: SocketAddr,
    body: Vec<u8>,
) -> io::Result<(StatusCode, AnnounceReply)> {
    let request = Request::post("/v1/announce")
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(io::Error::other)?;
    let answer = sender.send_request(request).await.map_err(io::Error::other)?;
    let status = answer.status();
    let body = Limited::new(answer.into_body(), REPLY_LIMIT).collect().await;
    let body = body.map_err(io::Error::other)?.to_bytes();
    // Refusals have other bodies, and an old control names no broker.
    Ok((status, serde_json::from_slice(&body).unwrap_or_default()))
}
