//! Confirmation of the directory's version for the probes of followers: one request to the leader for all that wait.

use {
    banyansill_core::{
        names::SharedName,
        team_limit::{TeamPace, TeamUsage, UsageCollector},
        time::Micros,
    },
    cadence::{CountedExt, StatsdClient},
    std::{
        collections::VecDeque,
        future::Future,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::{Notify, watch},
        time::{Instant, sleep_until},
    },
};

/// Minimum time between the beginnings of two rounds. Followers send a probe every 200 ms, so that each round serves
/// most of them with one request. Each round makes the leader ask a majority, also in other regions.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(150);

/// Maximum number of probes of one follower that wait; the oldest prove the least and are dropped.
const MAX_PENDING_PROBES: usize = 64;

/// Answer of the leader to one round.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfirmedState {
    /// Newest version of the directory, confirmed by a majority after the request was sent.
    pub version: u64,
    /// Paces of teams for all followers of this replica.
    pub paces: Vec<TeamPace>,
}

/// Access of a replica to the leader and to its own state, as rounds need it.
pub trait ConfirmSource: Send + Sync + 'static {
    /// Asks the leader for the newest version, and reports usage to it; `None` if no leader with a majority answers.
    ///
    /// The leader's majority must be asked after this call.
    fn confirm(&self, usage: Vec<TeamUsage>)
    -> impl Future<Output = Option<ConfirmedState>> + Send;

    /// Waits until the own state has reached a version; returns false if the replica has stopped.
    fn reach(&self, version: u64) -> impl Future<Output = bool> + Send;
}

/// Result of the last round that succeeded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfirmedRound {
    /// Last probe that had arrived when the round began.
    pub last_probe: u64,
    /// Version that was confirmed; the own state has reached it.
    pub version: u64,
}

#[derive(Debug, Default)]
struct BoardState {
    /// Number of probes that have arrived.
    arrived: u64,
    usage: UsageCollector,
}

#[derive(Debug, Default)]
struct BoardShared {
    state: Mutex<BoardState>,
    has_arrived: Notify,
    round: watch::Sender<ConfirmedRound>,
}

/// Probes and usage of all followers of a replica; clones share them.
///
/// Probes are numbered in the order of their arrival, and a round confirms those with numbers up to the last one at its
/// beginning. A probe that arrives while the leader is asked waits for the next round.
#[derive(Clone, Debug, Default)]
pub struct ProbeBoard {
    shared: Arc<BoardShared>,
}

impl ProbeBoard {
    /// Records a probe of an entry and the usage that came with it; returns the number of the probe.
    #[must_use]
    pub fn record(&self, entry: &SharedName, usage: &[TeamUsage], now: Micros) -> u64 {
        let number = {
            let mut state = self.lock();
            // The confirmation of the probe acknowledges its usage, so both become visible to a round at once.
            state.usage.record(entry, usage, now);
            state.arrived += 1;
            state.arrived
        };
        self.shared.has_arrived.notify_one();
        number
    }

    /// Forgets the demand of an entry whose stream has ended.
    pub fn remove(&self, entry: &SharedName) {
        self.lock().usage.remove(entry);
    }

    /// Returns an entry's part of the paces.
    #[must_use]
    pub fn paces_for(&self, entry: &SharedName, now: Micros) -> Vec<TeamPace> {
        self.lock().usage.paces_for(entry, now)
    }

    /// Returns a receiver of the rounds that succeed.
    #[must_use]
    pub fn rounds(&self) -> watch::Receiver<ConfirmedRound> {
        self.shared.round.subscribe()
    }

    /// Asks the leader while probes wait, until the replica stops.
    ///
    /// `now` returns the time of the process's clock.
    pub async fn run<Source, Now>(self, source: Source, now: Now, metrics: StatsdClient)
    where
        Source: ConfirmSource,
        Now: Fn() -> Micros + Send + Sync,
    {
        let mut last_confirmed = 0;
        loop {
            self.wait_for_probe(last_confirmed).await;
            let begun = Instant::now();
            let (last_probe, usage) = self.begin_round();
            match source.confirm(usage.clone()).await {
                Some(ConfirmedState { version, paces }) => {
                    self.lock().usage.set_paces(&paces, now());
                    if !source.reach(version).await {
                        return;
                    }
                    last_confirmed = last_probe;
                    self.shared.round.send_replace(ConfirmedRound { last_probe, version });
                    // Counters are written to memory, which cannot fail.
                    let _ = metrics.incr("confirms");
                }
                None => {
                    self.lock().usage.restore(&usage);
                    let _ = metrics.incr("confirms.failed");
                }
            }
            sleep_until(begun + ROUND_INTERVAL).await;
        }
    }

    async fn wait_for_probe(&self, last_confirmed: u64) {
        while self.lock().arrived == last_confirmed {
            self.shared.has_arrived.notified().await;
        }
    }

    /// Returns the number of the last probe and the usage that has arrived up to it.
    fn begin_round(&self) -> (u64, Vec<TeamUsage>) {
        let mut state = self.lock();
        (state.arrived, state.usage.take())
    }

    fn lock(&self) -> MutexGuard<'_, BoardState> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Probe of one follower that waits for a round.
#[derive(Clone, Copy, Debug)]
struct PendingProbe {
    number: u64,
    /// Time on the entry's clock.
    sent_at: u64,
}

/// Probes of one follower that wait for a round, in the order of their numbers.
#[derive(Debug, Default)]
pub struct PendingProbes {
    probes: Mutex<VecDeque<PendingProbe>>,
}

impl PendingProbes {
    /// Adds a probe with its number on the board and its time on the entry's clock.
    pub fn add(&self, number: u64, sent_at: u64) {
        let mut probes = self.lock();
        if probes.len() == MAX_PENDING_PROBES {
            probes.pop_front();
        }
        probes.push_back(PendingProbe { number, sent_at });
    }

    /// Returns whether a round confirms a probe.
    #[must_use]
    pub fn includes_any(&self, round: ConfirmedRound) -> bool {
        self.lock().front().is_some_and(|probe| probe.number <= round.last_probe)
    }

    /// Removes the probes that a round confirms, and returns the time of the last one.
    #[must_use]
    pub fn take(&self, round: ConfirmedRound) -> Option<u64> {
        let mut probes = self.lock();
        let count = probes.partition_point(|probe| probe.number <= round.last_probe);
        probes.drain(..count).next_back().map(|probe| probe.sent_at)
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<PendingProbe>> {
        self.probes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
