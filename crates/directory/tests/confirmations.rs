//! Confirmations of three real replicas to a follower that the test plays.

use {
    banyansill_core::{
        directory::{KeyDigest, RouteDraft, TeamLimit, TeamRule},
        names::SharedName,
    },
    banyansill_directory::{
        DirectoryHandle, DirectorySettings, PromotionOrder, PromotionPort, PromotionReply,
        RoutesOutcome, spawn,
    },
    banyansill_target::{
        CallerMessage, CallerReply, FramingError, ProbeRow, StatementProtocol, TargetReply,
        TargetRequest,
    },
    banyansill_wire::directory_v1::{self as v1, directory_client::DirectoryClient},
    bytes::BytesMut,
    std::{
        net::{Ipv4Addr, SocketAddr, TcpListener},
        path::PathBuf,
        time::Duration,
    },
    tokio::{
        sync::mpsc,
        time::{Instant, sleep, timeout},
    },
    tokio_stream::wrappers::ReceiverStream,
    tonic::Streaming,
};

/// Time after which something that must happen counts as missing; elections of a busy machine take seconds.
const PATIENCE: Duration = Duration::from_secs(30);

/// Time for which a replica without a majority is watched: far more than one round.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Interval of the test's probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// Limit of the only team: 10 operations a second.
const TEAM_LIMIT: TeamLimit = TeamLimit { rate: 10_000, burst: 10 };

/// Protocol of targets, of which there are none here.
#[derive(Clone)]
struct NoProtocol;

impl StatementProtocol for NoProtocol {
    fn decode_message(&self, _: &[u8]) -> Result<Option<(CallerMessage, usize)>, FramingError> {
        Err(FramingError::Malformed)
    }

    fn encode_reply(&self, _: CallerReply<'_>, _: &mut BytesMut) {}

    fn encode_request(&self, _: TargetRequest<'_>, _: &mut BytesMut) {}

    fn decode_reply(&self, _: &[u8]) -> Result<Option<(TargetReply, usize)>, FramingError> {
        Err(FramingError::Malformed)
    }

    fn decode_probe(&self, _: &[u8]) -> Option<ProbeRow> {
        None
    }
}

#[derive(Clone)]
struct NoPort;

impl PromotionPort for NoPort {
    async fn promote(&self, _: &PromotionOrder) -> PromotionReply {
        PromotionReply::Refused
    }
}

/// Starts three replicas at loopback addresses `127.0.NETWORK.1` to `.3` with the same port.
async fn start(network: u8, name: &str) -> Vec<(SocketAddr, DirectoryHandle)> {
    let host = |number: u8| Ipv4Addr::new(127, 0, network, number);
    let free = TcpListener::bind((host(1), 0)).expect("a free port");
    let port = free.local_addr().expect("an address").port();
    drop(free);
    let seeds: Vec<SocketAddr> =
        (1..=3).map(|number| SocketAddr::new(host(number).into(), port)).collect();
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    let mut replicas = Vec::new();
    for (number, listen) in seeds.iter().enumerate() {
        let settings = DirectorySettings {
            host: format!("control-{number}").into(),
            zone: format!("zone-{number}").into(),
            listen: *listen,
            seeds: seeds.clone(),
            found: true,
            tolerated_losses: 1,
            data: folder.join(number.to_string()),
            metrics: None,
            log_levels: "warn".to_owned(),
        };
        std::fs::create_dir_all(&settings.data).expect("a folder");
        replicas.push((*listen, spawn(settings, NoProtocol, NoPort).await.expect("a replica")));
    }
    replicas
}

/// Follower that checks that no confirmation precedes the update to its version.
struct TestFollower {
    requests: mpsc::Sender<v1::FollowRequest>,
    replies: Streaming<v1::FollowReply>,
    version: u64,
    last_probe: u64,
    /// Paces of the last confirmation.
    paces: Vec<v1::TeamPace>,
}

impl TestFollower {
    async fn open(address: SocketAddr) -> Self {
        let deadline = Instant::now() + PATIENCE;
        loop {
            if let Some(follower) = Self::try_open(address).await {
                return follower;
            }
            assert!(Instant::now() < deadline, "the replica accepts no follower");
            sleep(PROBE_INTERVAL).await;
        }
    }

    async fn try_open(address: SocketAddr) -> Option<Self> {
        let mut client = DirectoryClient::connect(format!("http://{address}")).await.ok()?;
        let (requests, receiver) = mpsc::channel(1_024);
        let entry = v1::Process {
            host: "entry-1".to_owned(),
            address: "127.0.0.1:1".to_owned(),
            zone: "zone-1".to_owned(),
        };
        let first = v1::FollowRequest { entry: Some(entry), ..v1::FollowRequest::default() };
        requests.send(first).await.ok()?;
        let replies = client.follow(ReceiverStream::new(receiver)).await.ok()?.into_inner();
        Some(Self { requests, replies, version: 0, last_probe: 0, paces: Vec::new() })
    }

    async fn probe(&mut self) -> u64 {
        self.report(Vec::new()).await
    }

    /// Sends a probe with usage.
    async fn report(&mut self, usage: Vec<v1::TeamUsage>) -> u64 {
        self.last_probe += 1;
        let probe =
            v1::FollowRequest { probe: self.last_probe, usage, ..v1::FollowRequest::default() };
        self.requests.send(probe).await.expect("an open stream");
        self.last_probe
    }

    /// Returns the next confirmation, or `None` if none comes in time or the stream ends.
    async fn next_confirmation(&mut self, wait: Duration) -> Option<(u64, u64)> {
        let received = async {
            while let Ok(Some(reply)) = self.replies.message().await {
                self.version = self.version.max(reply.version);
                if reply.confirmed_probe == 0 {
                    continue;
                }
                let (probe, version) = (reply.confirmed_probe, reply.confirmed_version);
                assert!(probe <= self.last_probe, "confirms a probe that was not sent");
                assert!(version <= self.version, "confirms version {version} before its update");
                self.paces = reply.paces;
                return Some((probe, version));
            }
            None
        };
        timeout(wait, received).await.ok().flatten()
    }

    /// Sends probes until the first of them is confirmed; returns the version.
    async fn confirmed_version(&mut self) -> u64 {
        let first = self.probe().await;
        let deadline = Instant::now() + PATIENCE;
        while Instant::now() < deadline {
            match self.next_confirmation(PROBE_INTERVAL).await {
                Some((probe, version)) if probe >= first => return version,
                Some(_) => {}
                None => {
                    self.probe().await;
                }
            }
        }
        panic!("no confirmation");
    }
}

fn draft(version: u64, keys: u64) -> RouteDraft {
    let mut rule =
        TeamRule { team: SharedName::from("team-1"), keys: Vec::new(), limit: Some(TEAM_LIMIT) };
    for key in 0..keys {
        rule.keys.push(KeyDigest::of(&key.to_be_bytes()));
    }
    RouteDraft { version, teams: vec![rule], ..RouteDraft::default() }
}

/// Applies routes and returns the directory's version that the replica holds then.
async fn apply(replica: &DirectoryHandle, version: u64, keys: u64) {
    let deadline = Instant::now() + PATIENCE;
    loop {
        let outcome = replica.node().apply_routes(draft(version, keys), version.to_string()).await;
        if let Ok(outcome) = outcome {
            assert_eq!(outcome, RoutesOutcome::Accepted);
            return;
        }
        assert!(Instant::now() < deadline, "the routes are not accepted: {outcome:?}");
        sleep(PROBE_INTERVAL).await;
    }
}

/// Returns the index of the leader, the only replica that confirms by itself.
async fn leader_index(replicas: &[(SocketAddr, DirectoryHandle)]) -> usize {
    let deadline = Instant::now() + PATIENCE;
    while Instant::now() < deadline {
        for (index, (address, _)) in replicas.iter().enumerate() {
            let connected = DirectoryClient::connect(format!("http://{address}")).await;
            let Ok(mut client) = connected else { continue };
            if client.confirm(v1::ConfirmRequest::default()).await.is_ok() {
                return index;
            }
        }
        sleep(PROBE_INTERVAL).await;
    }
    panic!("no leader");
}

async fn stop_all(replicas: Vec<(SocketAddr, DirectoryHandle)>) {
    for (_, replica) in replicas {
        replica.stop().await;
    }
}

/// Guards against a confirmation, at any replica, that lacks a change which was acknowledged before the probe was sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn confirmations_include_all_acknowledged_changes() {
    let replicas = start(81, "confirm-changes").await;
    let mut followers = Vec::new();
    for (address, _) in &replicas {
        followers.push(TestFollower::open(*address).await);
    }
    for round in 1..=10 {
        let changed_at = &replicas[usize::try_from(round % 3).unwrap_or(0)].1;
        apply(changed_at, round, 20 - round).await;
        for follower in &mut followers {
            let before = follower.version;
            let version = follower.confirmed_version().await;
            assert!(version <= follower.version);
            // Every round of the loop changes the directory at least once.
            assert!(version > before || round == 1, "round {round}: {before} {version}");
        }
    }
    stop_all(replicas).await;
}

/// Guards against a replica that confirms from its own knowledge once it has lost its majority.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_a_majority_nothing_is_confirmed() {
    let mut replicas = start(82, "confirm-majority").await;
    apply(&replicas[0].1, 1, 3).await;
    let mut follower = TestFollower::open(replicas[0].0).await;
    follower.confirmed_version().await;
    for (_, replica) in replicas.drain(1..) {
        replica.stop().await;
    }
    let first = follower.probe().await;
    let end = Instant::now() + SILENCE;
    while Instant::now() < end {
        if let Some((probe, _)) = follower.next_confirmation(PROBE_INTERVAL).await {
            assert!(probe < first, "confirmed without a majority");
        }
        follower.probe().await;
    }
    stop_all(replicas).await;
}

/// Guards against usage that does not reach the leader through another replica, and paces that do not reach the followers
/// of all replicas.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn usage_at_one_replica_paces_the_followers_of_all() {
    let replicas = start(84, "confirm-usage").await;
    apply(&replicas[0].1, 1, 3).await;
    let mut followers = Vec::new();
    for (address, _) in &replicas {
        let mut follower = TestFollower::open(*address).await;
        follower.confirmed_version().await;
        assert!(follower.paces.is_empty(), "paced without usage: {:?}", follower.paces);
        followers.push(follower);
    }
    let deadline = Instant::now() + PATIENCE;
    // Many more operations than the limit and its tolerance, all at one replica.
    let team = "team-1".to_owned();
    let usage = v1::TeamUsage { team: team.clone(), admitted: 500, refused: 0 };
    followers[1].report(vec![usage]).await;
    for follower in &mut followers {
        while !follower.paces.iter().any(|pace| pace.team == team && !pace.lifted) {
            assert!(Instant::now() < deadline, "not paced: {:?}", follower.paces);
            follower.confirmed_version().await;
        }
    }
    stop_all(replicas).await;
}

/// Guards against a new leader that confirms before it has the acknowledged changes of its predecessor, and against
/// followers that get no confirmation from it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn confirmations_go_on_under_a_new_leader() {
    let mut replicas = start(83, "confirm-leader").await;
    apply(&replicas[0].1, 1, 3).await;
    let (_, leader) = replicas.remove(leader_index(&replicas).await);
    let mut follower = TestFollower::open(replicas[0].0).await;
    let before = follower.confirmed_version().await;
    apply(&leader, 2, 2).await;
    leader.stop().await;
    let version = follower.confirmed_version().await;
    assert!(version > before, "{before} {version}");
    stop_all(replicas).await;
}
