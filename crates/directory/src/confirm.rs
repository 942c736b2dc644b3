//! Confirmation of the directory's version for the probes of followers: one request to the leader for all that wait.

use {
    banyansill_core::{
        directory::TeamRule,
        event::EventNumber,
        names::SharedName,
        team_limit::{StandbyLedger, TeamPace, TeamUsage, UsageCollector, UsageReport},
        time::Micros,
    },
    cadence::{CountedExt, StatsdClient},
    std::{
        collections::{BTreeMap, VecDeque},
        future::Future,
        pin::pin,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
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

/// Time without an answer of the leader from which the replica bounds the teams of its followers by itself. The leader
/// and its majority answer within 100 ms, and an entry is on its own after 800 ms without a message.
const STANDBY_DELAY: Duration = Duration::from_millis(250);

/// Time without a probe after which a replica without followers has got one again.
const PAUSE_MINIMUM: Micros = Micros::from_secs(1);

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

/// Limits of teams and number of entries in the state of a replica.
#[derive(Clone, Debug, Default)]
pub struct KnownLimits {
    /// Version of the routes.
    pub version: u64,
    /// The teams of that version, unless the caller knows them.
    pub teams: Option<BTreeMap<SharedName, TeamRule>>,
    /// Number of entries in the directory.
    pub entries: usize,
}

/// Access of a replica to the leader and to its own state, as rounds need it.
pub trait ConfirmSource: Send + Sync + 'static {
    /// Asks the leader for the newest version, and reports usage to it; `None` if no leader with a majority answers.
    ///
    /// The leader's majority must be asked after this call.
    fn confirm(&self, report: UsageReport) -> impl Future<Output = Option<ConfirmedState>> + Send;

    /// Waits until this replica learns of another leader than the one that it knows at the call, or of none.
    fn leader_change(&self) -> impl Future<Output = ()> + Send;

    /// Returns the limits of the own state, whose version the caller may know; `None` if the replica has stopped.
    fn limits(&self, known: u64) -> impl Future<Output = Option<KnownLimits>> + Send;

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
    standby: StandbyLedger,
    /// Version of the routes whose limits the standby ledger has.
    routes: u64,
    entries: usize,
    /// Paces of the standby ledger since the last answer of the leader.
    paces: Vec<TeamPace>,
    /// Time since which the usage covers all followers: the last answer of the leader, or the first probe after a pause.
    covered_since: Micros,
    /// Time of the last probe.
    probed: Micros,
    /// Time from which the replica has bounded its followers by itself.
    standby_since: Option<Micros>,
}

impl BoardState {
    /// Returns the part of all entries that follow this replica.
    fn part(&self) -> f64 {
        self.usage.followers() as f64 / self.entries.max(1) as f64
    }
}

#[derive(Debug, Default)]
struct BoardShared {
    state: Mutex<BoardState>,
    has_arrived: Notify,
    round: watch::Sender<ConfirmedRound>,
    /// Number of the last probe up to which the replica itself bounds the teams of its followers.
    bounded: watch::Sender<u64>,
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
            state.standby.record(usage);
            if now.since(state.probed) >= PAUSE_MINIMUM {
                state.covered_since = now;
            }
            state.probed = now;
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

    /// Returns a receiver of the numbers of probes up to which the replica itself bounds the teams of its followers.
    #[must_use]
    pub fn bounded(&self) -> watch::Receiver<u64> {
        self.shared.bounded.subscribe()
    }

    /// Asks the leader while probes wait, and bounds the teams of the followers while no leader answers, until the replica
    /// stops.
    ///
    /// `now` returns the time of the process's clock.
    pub async fn run<Source, Now>(self, source: Source, now: Now, metrics: StatsdClient)
    where
        Source: ConfirmSource,
        Now: Fn() -> Micros + Send + Sync,
    {
        let mut last_confirmed = 0;
        let mut standby_at = None;
        loop {
            self.wait_for_probe(last_confirmed).await;
            let begun = Instant::now();
            self.update_limits(&source, now()).await;
            let (last_probe, report) = self.begin_round(now());
            let mut standby = standby_at.unwrap_or(begun + STANDBY_DELAY);
            let leader_change = source.leader_change();
            let mut confirming = pin!(source.confirm(report.clone()));
            let answer = loop {
                tokio::select! {
                    answer = &mut confirming => break answer,
                    () = sleep_until(standby) => {
                        self.bound_alone(now());
                        let _ = metrics.incr("confirms.standby");
                        standby += ROUND_INTERVAL;
                    }
                }
            };
            match answer {
                Some(ConfirmedState { version, paces }) => {
                    standby_at = None;
                    self.record_answer(&paces, now());
                    if !source.reach(version).await {
                        return;
                    }
                    last_confirmed = last_probe;
                    self.shared.round.send_replace(ConfirmedRound { last_probe, version });
                    // Counters are written to memory, which cannot fail.
                    let _ = metrics.incr("confirms");
                }
                None => {
                    standby_at = Some(standby);
                    self.lock().usage.restore(&report.usage);
                    let _ = metrics.incr("confirms.failed");
                    // Callers wait for the first confirmation of a new leader.
                    tokio::select! {
                        () = leader_change => continue,
                        () = sleep_until(begun + ROUND_INTERVAL) => {}
                    }
                }
            }
            sleep_until(begun + ROUND_INTERVAL).await;
        }
    }

    /// Takes the limits of teams from the replica's own state.
    async fn update_limits<Source>(&self, source: &Source, now: Micros)
    where
        Source: ConfirmSource,
    {
        let known = self.lock().routes;
        let Some(limits) = source.limits(known).await else { return };
        let mut state = self.lock();
        state.entries = limits.entries;
        if let Some(teams) = limits.teams {
            state.standby.set_teams(&teams, now);
            state.routes = limits.version;
        }
    }

    /// Takes over the leader's paces.
    fn record_answer(&self, paces: &[TeamPace], now: Micros) {
        let mut state = self.lock();
        state.covered_since = now;
        state.paces.clear();
        let part = state.part();
        state.standby.update(part, now);
        state.standby.align(paces);
        state.usage.set_paces(paces, now);
        let Some(since) = state.standby_since.take() else { return };
        let after = now.since(since);
        log::info!(
            target: "event",
            event:display = EventNumber::StandbyEnded,
            after_ms = after.as_millis();
            ""
        );
    }

    /// Bounds the teams of the followers by their part of the limits, since no leader answers.
    fn bound_alone(&self, now: Micros) {
        let (bounded, begins, part) = {
            let mut state = self.lock();
            let part = state.part();
            let paces = state.standby.update(part, now);
            state.usage.set_paces(&paces, now);
            state.paces = paces;
            let begins = state.standby_since.is_none();
            state.standby_since.get_or_insert(now);
            (state.arrived, begins, part)
        };
        self.shared.bounded.send_replace(bounded);
        if begins {
            log::warn!(target: "event", event:display = EventNumber::StandbyBegan, part; "");
        }
    }

    async fn wait_for_probe(&self, last_confirmed: u64) {
        while self.lock().arrived == last_confirmed {
            self.shared.has_arrived.notified().await;
        }
    }

    /// Returns the number of the last probe and the report of what has arrived up to it.
    fn begin_round(&self, now: Micros) -> (u64, UsageReport) {
        let mut state = self.lock();
        let followers = state.usage.followers();
        let report = UsageReport {
            replica: SharedName::default(),
            usage: state.usage.take(),
            span: Some(now.since(state.covered_since)),
            followers,
            // Without followers its part of each limit is zero, which says nothing about the teams.
            paces: if followers > 0 { state.paces.clone() } else { Vec::new() },
        };
        (state.arrived, report)
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
    /// Number of the last probe whose teams the replica itself was said to bound.
    bounded: AtomicU64,
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

    /// Returns whether any of the probes up to this number has not been returned by [`PendingProbes::take_bounded`].
    #[must_use]
    pub fn includes_bounded(&self, bounded: u64) -> bool {
        let probes = self.lock();
        let told = self.bounded.load(Ordering::Relaxed);
        probes.iter().any(|probe| probe.number <= bounded && probe.number > told)
    }

    /// Returns the time of the last probe up to this number, once; it goes on waiting for a round.
    #[must_use]
    pub fn take_bounded(&self, bounded: u64) -> Option<u64> {
        let probes = self.lock();
        let count = probes.partition_point(|probe| probe.number <= bounded);
        let last = probes.iter().take(count).next_back()?;
        let told = self.bounded.fetch_max(last.number, Ordering::Relaxed);
        (told < last.number).then_some(last.sent_at)
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<PendingProbe>> {
        self.probes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
