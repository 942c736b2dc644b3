//! Three control replicas on the replicated log.

#![allow(clippy::unwrap_used)]

mod common;

use {
    banyansill_control::{
        ControlHandle, handle,
        service::LEADER_KEY,
        settings::{ControlSettings, PeerSettings},
    },
    banyansill_testkit::process::free_address,
    banyansill_wire::v1::{self, control_client::ControlClient},
    common::{FakeEntry, SHEET, announcement, entry, eventually, settings},
    std::net::{SocketAddr, TcpListener},
    tempfile::TempDir,
    tonic::{Status, transport::Channel},
};

struct Replicas {
    folder: TempDir,
    peers: Vec<PeerSettings>,
    running: Vec<Option<ControlHandle>>,
}

impl Replicas {
    async fn start() -> Self {
        let held: Vec<TcpListener> =
            (0..3).map(|_| TcpListener::bind(free_address().unwrap()).unwrap()).collect();
        let mut peers = Vec::new();
        for (number, listener) in held.iter().enumerate() {
            let host = format!("control-{number}").into();
            peers.push(PeerSettings { host, address: listener.local_addr().unwrap() });
        }
        let folder = TempDir::new().unwrap();
        let mut replicas = Self { folder, peers, running: Vec::new() };
        for (number, listener) in held.into_iter().enumerate() {
            listener.set_nonblocking(true).unwrap();
            let listener = tokio::net::TcpListener::from_std(listener).unwrap();
            let handle = handle::spawn_on(replicas.settings(number), listener).await.unwrap();
            replicas.running.push(Some(handle));
        }
        replicas
    }

    fn settings(&self, number: usize) -> ControlSettings {
        ControlSettings {
            host: self.peers[number].host.clone(),
            listen: self.peers[number].address,
            data: Some(self.folder.path().join(number.to_string())),
            replicas: self.peers.clone(),
            ..settings()
        }
    }

    async fn client(&self, number: usize) -> ControlClient<Channel> {
        ControlClient::connect(format!("http://{}", self.peers[number].address)).await.unwrap()
    }

    /// Returns the number of a replica that confirms its leadership.
    async fn leader(&self) -> usize {
        eventually("election", async || {
            for number in 0..3 {
                if self.running[number].is_none() {
                    continue;
                }
                let request = v1::StatusRequest { confirmed: true, ..Default::default() };
                if self.client(number).await.status(request).await.is_ok() {
                    return Some(number);
                }
            }
            None
        })
        .await
    }

    async fn stop(&mut self, number: usize) {
        self.running[number].take().unwrap().stop().await;
    }
}

fn apply(number: u64, id: &str) -> v1::ApplySheetRequest {
    v1::ApplySheetRequest {
        number,
        content: SHEET.into(),
        request_id: id.to_owned(),
        operator: "ada".to_owned(),
    }
}

fn leader_hint(status: &Status) -> Option<SocketAddr> {
    status.metadata().get(LEADER_KEY)?.to_str().ok()?.parse().ok()
}

/// Guards against a sheet or a request's first answer that is lost with the leader, and against
/// followers that accept what only the leader may, or do not say who leads.
#[tokio::test(flavor = "multi_thread")]
async fn answers_outlive_the_leader() {
    let mut replicas = Replicas::start().await;
    let leader = replicas.leader().await;
    let first = replicas.client(leader).await.apply_sheet(apply(3, "r-1")).await.unwrap();
    let first = first.into_inner();
    assert!(first.accepted);
    let follower = (leader + 1) % 3;
    let mut client = replicas.client(follower).await;
    let refused = client.apply_sheet(apply(4, "r-2")).await.unwrap_err();
    assert_eq!(leader_hint(&refused), Some(replicas.peers[leader].address));
    // A follower serves watches from what it has applied.
    let request = v1::WatchRequest { since_version: 0, host: "e".to_owned() };
    let mut stream = client.watch(request).await.unwrap().into_inner();
    loop {
        let reply = stream.message().await.unwrap().unwrap();
        if reply.sheet.is_some_and(|sheet| sheet.number == 3) {
            break;
        }
    }
    replicas.stop(leader).await;
    let next = replicas.leader().await;
    let mut client = replicas.client(next).await;
    let again = client.apply_sheet(apply(3, "r-1")).await.unwrap().into_inner();
    assert_eq!(again, first);
    let lower = client.apply_sheet(apply(2, "r-3")).await.unwrap().into_inner();
    assert!(!lower.accepted && !lower.conflict.is_empty());
    // The stopped replica returns with its folder and learns what it missed.
    let settings = replicas.settings(leader);
    replicas.running[leader] = Some(banyansill_control::spawn(settings).await.unwrap());
    eventually("the returned replica's sheet", async || {
        let mut client = replicas.client(leader).await;
        let status = client.status(v1::StatusRequest::default()).await.ok()?.into_inner();
        status.sheet.filter(|sheet| sheet.number == 3)
    })
    .await;
    for number in 0..3 {
        replicas.stop(number).await;
    }
}

/// Guards against announcements that are lost at followers, leases that a follower renews, and a lease
/// that a minority renews.
#[tokio::test(flavor = "multi_thread")]
async fn followers_forward_announcements_and_renew_nothing() {
    let mut replicas = Replicas::start().await;
    let leader = replicas.leader().await;
    let follower = (leader + 1) % 3;
    let mut client = replicas.client(follower).await;
    eventually("a forwarded announcement", async || {
        let announcement = Some(announcement("a", 7300, v1::Role::Primary));
        let request = v1::AnnounceRequest { announcement, ..Default::default() };
        client.announce(request).await.ok()?;
        let status = replicas.client(leader).await.status(v1::StatusRequest::default()).await;
        (!status.unwrap().into_inner().databases.is_empty()).then_some(())
    })
    .await;
    let mut fake = FakeEntry::new(entry("entry-1", 1));
    let reply = fake.beat(&mut client).await;
    assert!(!reply.renewed, "{reply:?}");
    assert_eq!(reply.leader, replicas.peers[leader].address.to_string());
    let mut at_leader = replicas.client(leader).await;
    eventually("a renewal", async || fake.beat(&mut at_leader).await.renewed.then_some(())).await;
    replicas.stop(follower).await;
    replicas.stop((leader + 2) % 3).await;
    let reply = fake.beat(&mut at_leader).await;
    assert!(!reply.renewed, "{reply:?}");
    replicas.stop(leader).await;
}
