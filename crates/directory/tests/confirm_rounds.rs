//! Rounds of confirmations against a leader that answers when the test says so.

use {
    banyansill_core::{names::SharedName, team_limit::TeamUsage, time::Micros},
    banyansill_directory::{
        ConfirmSource, ConfirmedRound, ConfirmedState, PendingProbes, ProbeBoard, ROUND_INTERVAL,
    },
    cadence::{NopMetricSink, StatsdClient},
    std::time::{Duration, Instant},
    tokio::{
        sync::{mpsc, oneshot, watch},
        task::JoinHandle,
        time::{sleep, timeout},
    },
};

/// Time after which something that must happen counts as missing.
const PATIENCE: Duration = Duration::from_secs(10);

/// Time for which something that must not happen is watched: several rounds.
const SILENCE: Duration = Duration::from_millis(350);

/// Request of the board to the leader; the test sends the answer.
type AskedLeader = oneshot::Sender<Option<ConfirmedState>>;

/// Leader and own state of a replica, both in the hands of the test.
struct FakeSource {
    asked: mpsc::UnboundedSender<AskedLeader>,
    own_version: watch::Receiver<u64>,
}

impl ConfirmSource for FakeSource {
    async fn confirm(&self, _usage: Vec<TeamUsage>) -> Option<ConfirmedState> {
        let (answer, answered) = oneshot::channel();
        let _ = self.asked.send(answer);
        answered.await.ok().flatten()
    }

    async fn reach(&self, version: u64) -> bool {
        let mut own_version = self.own_version.clone();
        own_version.wait_for(|own| *own >= version).await.is_ok()
    }
}

struct BoardFixture {
    board: ProbeBoard,
    rounds: watch::Receiver<ConfirmedRound>,
    asked: mpsc::UnboundedReceiver<AskedLeader>,
    own_version: watch::Sender<u64>,
    task: JoinHandle<()>,
}

impl BoardFixture {
    fn new() -> Self {
        let (asked, requests) = mpsc::unbounded_channel();
        let (own_version, versions) = watch::channel(0);
        let board = ProbeBoard::default();
        let source = FakeSource { asked, own_version: versions };
        let metrics = StatsdClient::from_sink("test", NopMetricSink);
        let task = tokio::spawn(board.clone().run(source, || Micros::ZERO, metrics));
        Self { rounds: board.rounds(), board, asked: requests, own_version, task }
    }

    fn probe(&self) -> u64 {
        self.board.record(&SharedName::from("entry-1"), &[], Micros::ZERO)
    }

    async fn next_request(&mut self) -> AskedLeader {
        timeout(PATIENCE, self.asked.recv()).await.expect("a request").expect("a running board")
    }

    async fn next_round(&mut self) -> ConfirmedRound {
        timeout(PATIENCE, self.rounds.changed()).await.expect("a round").expect("a running board");
        *self.rounds.borrow_and_update()
    }

    async fn expect_silence(&mut self) {
        tokio::select! {
            _ = self.asked.recv() => panic!("the leader was asked"),
            _ = self.rounds.changed() => panic!("a round was published"),
            () = sleep(SILENCE) => {}
        }
    }
}

impl Drop for BoardFixture {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn answer(request: AskedLeader, version: u64) {
    let paces = Vec::new();
    request.send(Some(ConfirmedState { version, paces })).expect("the board waits");
}

/// Guards against confirmations of probes that arrived after the leader was asked: the answer of a leader, or a
/// replica that was suspended before it read the answer, proves nothing for them.
#[tokio::test]
async fn a_probe_during_a_round_waits_for_the_next_one() {
    let mut fixture = BoardFixture::new();
    fixture.own_version.send_replace(9);
    let first = fixture.probe();
    let request = fixture.next_request().await;
    let second = fixture.probe();
    answer(request, 5);
    let round = fixture.next_round().await;
    assert_eq!(round, ConfirmedRound { last_probe: first, version: 5 });

    let pending = PendingProbes::default();
    pending.add(first, 1_000);
    pending.add(second, 2_000);
    assert!(pending.includes_any(round));
    assert_eq!(pending.take(round), Some(1_000));
    assert!(!pending.includes_any(round));
    assert_eq!(pending.take(round), None);

    let request = fixture.next_request().await;
    answer(request, 6);
    let round = fixture.next_round().await;
    assert_eq!(round, ConfirmedRound { last_probe: second, version: 6 });
    assert_eq!(pending.take(round), Some(2_000));
}

/// Guards against one request for each probe, and against requests without probes.
#[tokio::test]
async fn one_request_serves_all_probes_that_wait() {
    let mut fixture = BoardFixture::new();
    fixture.own_version.send_replace(9);
    fixture.expect_silence().await;
    fixture.probe();
    let request = fixture.next_request().await;
    let begun = Instant::now();
    for _ in 0..100 {
        fixture.probe();
    }
    answer(request, 5);
    assert_eq!(fixture.next_round().await.last_probe, 1);
    let request = fixture.next_request().await;
    // The request was read a little after the first round had begun.
    assert!(begun.elapsed() > ROUND_INTERVAL / 2, "asked again after {:?}", begun.elapsed());
    answer(request, 5);
    assert_eq!(fixture.next_round().await.last_probe, 101);
    fixture.expect_silence().await;
}

/// Guards against a confirmation without a leader or a majority, and against a board that gives up.
#[tokio::test]
async fn a_round_without_a_leader_confirms_nothing_and_is_repeated() {
    let mut fixture = BoardFixture::new();
    fixture.own_version.send_replace(9);
    let probe = fixture.probe();
    for _ in 0..3 {
        let request = fixture.next_request().await;
        request.send(None).expect("the board waits");
    }
    let request = fixture.next_request().await;
    assert_eq!(*fixture.rounds.borrow(), ConfirmedRound::default());
    answer(request, 5);
    assert_eq!(fixture.next_round().await, ConfirmedRound { last_probe: probe, version: 5 });
}

/// Guards against a replica that is behind and confirms a version whose changes it has not sent to its followers.
#[tokio::test]
async fn a_round_waits_for_the_own_state() {
    let mut fixture = BoardFixture::new();
    fixture.own_version.send_replace(4);
    let probe = fixture.probe();
    let request = fixture.next_request().await;
    answer(request, 5);
    fixture.expect_silence().await;
    fixture.own_version.send_replace(5);
    assert_eq!(fixture.next_round().await, ConfirmedRound { last_probe: probe, version: 5 });
}

/// Guards against probes without bound in memory while no leader answers.
#[test]
fn the_newest_of_many_pending_probes_are_kept() {
    let pending = PendingProbes::default();
    for number in 1..=10_000 {
        pending.add(number, number * 10);
    }
    let round = |last_probe| ConfirmedRound { last_probe, version: 1 };
    assert!(!pending.includes_any(round(9_000)));
    assert_eq!(pending.take(round(9_999)), Some(99_990));
    assert_eq!(pending.take(round(10_000)), Some(100_000));
}
