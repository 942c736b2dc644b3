//! Simulates, in virtual time with the rules of the core, which servers answer the reads of sessions while replicas
//! lag.

#![allow(clippy::unwrap_used)]

use {
    banyansill_core::{
        broker::{BrokerView, PROBE_INTERVAL, TargetStatus},
        failure::FailureKind,
        floor::SessionFloor,
        position::{LogPosition, LogTerm},
        route::{
            ChoiceQuery, DatabaseRoute, FailedTry, PrimaryFallback, TargetRole, TargetRoute,
            TermStart, choose_target, replica_retry_delay,
        },
        sheet::{RuleSheet, SheetRule},
        time::Micros,
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::sync::Arc,
};

/// Time that a broker waits for one new status of a replica whose lag is longer than that.
const STATUS_WAIT: Micros = Micros::from_millis(5);

const LAG: Micros = Micros::from_millis(200);

fn rule() -> SheetRule {
    let text = "database,application,kind,access,targets,max_age_ms,ack,repeatable,priority,\
                deadline_ms,max_concurrent\n*,*,*,read,any,5000,primary,yes,1,1000,\n";
    RuleSheet::parse(text.as_bytes()).expect("a valid sheet").rules()[0].clone()
}

fn route() -> DatabaseRoute {
    let target = |server: &str, role| TargetRoute {
        server: server.into(),
        address: "".into(),
        replication_address: "".into(),
        region: "r".into(),
        zone: "z".into(),
        role,
        broker: "host".into(),
        broker_address: "".into(),
        epoch: 1,
        slots: 5,
        connections: 70,
        live: true,
        draining: false,
    };
    DatabaseRoute {
        term: LogTerm(1),
        primary: Some("a".into()),
        history: vec![TermStart { term: LogTerm(1), start: LogPosition::ZERO }],
        targets: vec![
            target("a", TargetRole::Primary),
            target("b", TargetRole::Replica),
            target("c", TargetRole::Replica),
        ],
        ..DatabaseRoute::default()
    }
}

/// Parts of the read policy, each of which the model can switch off to measure its effect.
#[derive(Clone, Copy)]
struct ReadPolicy {
    raise_by_answers: bool,
    prefer_last: bool,
    return_from_primary: bool,
}

const ALL: ReadPolicy =
    ReadPolicy { raise_by_answers: true, prefer_last: true, return_from_primary: true };

const NONE: ReadPolicy =
    ReadPolicy { raise_by_answers: false, prefer_last: false, return_from_primary: false };

#[derive(Default)]
struct ModelSession {
    floor: SessionFloor,
    last: Option<&'static str>,
    stay: PrimaryFallback,
    /// Time of the session's next step, in microseconds.
    next: u64,
    /// Start of the read in progress.
    start: Option<Micros>,
    tries: Vec<FailedTry>,
    /// Replica for whose status the session waits.
    waiting: Option<&'static str>,
}

struct ReadModel {
    rule: Arc<SheetRule>,
    route: DatabaseRoute,
    commits: Vec<u64>,
    /// Latest status of `b` and `c`.
    statuses: [TargetStatus; 2],
    policy: ReadPolicy,
}

#[derive(Debug, Default)]
struct ReadCounts {
    reads: u64,
    replica: u64,
    refusals: u64,
    held: u64,
}

impl ReadModel {
    fn position(&self, server: &str, at: Micros) -> LogPosition {
        // The lags of the two replicas differ by the few milliseconds that replication itself takes.
        let lag = match server {
            "a" => 0,
            "b" => LAG.0,
            _ => LAG.0 + 3_000,
        };
        let seen = at.0.saturating_sub(lag);
        let offset = self.commits.partition_point(|commit| *commit <= seen);
        LogPosition::new(1, offset as u64 + 1)
    }

    fn probed(&self, server: &str, at: Micros) -> TargetStatus {
        let position = self.position(server, at);
        let role = TargetRole::Replica;
        TargetStatus { role, term: LogTerm(1), position, received: position, age: LAG, sent_at: at }
    }

    fn probe(&mut self, now: Micros) {
        for (index, server) in ["b", "c"].into_iter().enumerate() {
            if now.since(self.statuses[index].sent_at) >= PROBE_INTERVAL {
                self.statuses[index] = self.probed(server, now);
            }
        }
    }

    /// Advances a session's read by one step; returns the latency of the read once it is answered.
    fn step(
        &mut self,
        session: &mut ModelSession,
        random: &mut StdRng,
        counts: &mut ReadCounts,
    ) -> Option<Micros> {
        let rule = Arc::clone(&self.rule);
        let now = Micros(session.next);
        if session.start.is_none() {
            session.start = Some(now);
            counts.reads += 1;
            if self.policy.return_from_primary {
                let hold = session.stay.next_read_delay(now, rule.deadline);
                if hold > Micros::ZERO {
                    counts.held += 1;
                    session.next += hold.0;
                    return None;
                }
            }
        }
        if !session.floor.is_known() {
            session.floor.initialize(self.position("a", now));
        }
        self.probe(now);
        let waited = session.waiting.take();
        let server = match waited {
            Some(server) => server,
            None => self.choose(session, &rule, random),
        };
        let floor = session.floor.require(&self.route).unwrap();
        if server == "a" {
            let position = self.position("a", now);
            assert!(Some(position) >= floor);
            session.floor.initialize(position);
            session.last = None;
            session.stay.record_primary(now);
            return session.finish(now, random);
        }
        let index = usize::from(server == "c");
        if waited.is_some() {
            self.statuses[index] = self.probed(server, now);
        }
        let status = Some(self.statuses[index]);
        let view = BrokerView { route: &self.route, server, leased: true, status, now };
        if let Err(kind) = view.check_read(floor, rule.max_age) {
            assert_eq!(kind, FailureKind::TooStale);
            if waited.is_some() {
                counts.refusals += 1;
                session.tries.push(FailedTry { server: server.into(), epoch: 1, kind });
            } else {
                session.waiting = Some(server);
                session.next += STATUS_WAIT.0;
            }
            return None;
        }
        let position = self.position(server, now);
        assert!(Some(position) >= floor, "an answer below the session's floor");
        if self.policy.raise_by_answers
            && let Some(raised) = self.statuses[index].advanced_to(position)
        {
            self.statuses[index] = raised;
        }
        session.floor.raise(position);
        session.last = Some(server);
        session.stay.record_replica();
        counts.replica += 1;
        session.finish(now, random)
    }

    fn choose(
        &self,
        session: &ModelSession,
        rule: &SheetRule,
        random: &mut StdRng,
    ) -> &'static str {
        let query = ChoiceQuery {
            rule,
            write: false,
            floor_known: true,
            region: "r",
            zone: "z",
            last_replica: if self.policy.prefer_last { session.last } else { None },
            tries: &session.tries,
            random: random.random(),
        };
        match choose_target(&self.route, &query).unwrap().server.as_str() {
            "a" => "a",
            "b" => "b",
            _ => "c",
        }
    }
}

impl ModelSession {
    fn finish(&mut self, now: Micros, random: &mut StdRng) -> Option<Micros> {
        let start = self.start.take().unwrap();
        self.tries.clear();
        self.next = now.0 + 1 + random.random_range(0..28_000);
        Some(now.since(start))
    }
}

/// Simulates sessions that read every 14 ms on average during 100 commits per second, like 850 stock checks/s on
/// 12 sessions; returns the counts after the first second and all latencies in microseconds.
fn run(policy: ReadPolicy, seed: u64) -> (ReadCounts, Vec<u64>) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut commits = Vec::new();
    let mut at = 0;
    while at < 12_000_000 {
        at += random.random_range(1..20_000);
        commits.push(at);
    }
    let empty = TargetStatus {
        role: TargetRole::Replica,
        term: LogTerm(1),
        position: LogPosition::ZERO,
        received: LogPosition::ZERO,
        age: LAG,
        sent_at: Micros::ZERO,
    };
    let mut model =
        ReadModel { rule: Arc::new(rule()), route: route(), commits, statuses: [empty; 2], policy };
    let mut sessions: Vec<ModelSession> = Vec::new();
    for _ in 0..12 {
        let next = 1_000_000 + random.random_range(0..28_000);
        sessions.push(ModelSession { next, ..ModelSession::default() });
    }
    let (mut warmup, mut counts) = (ReadCounts::default(), ReadCounts::default());
    let mut latencies = Vec::new();
    while let Some(session) = sessions.iter_mut().min_by_key(|session| session.next) {
        if session.next >= 11_000_000 {
            break;
        }
        let counted = if session.next < 2_000_000 { &mut warmup } else { &mut counts };
        if let Some(latency) = model.step(session, &mut random, counted) {
            latencies.push(latency.0);
        }
    }
    latencies.sort_unstable();
    (counts, latencies)
}

// Guards against reads that are refused by a replica a few milliseconds behind the one that served
// the session before, and against sessions that never return from the primary because each read there
// raises the floor beyond the replicas again.
#[test]
fn sessions_that_read_often_are_served_by_replicas() {
    for seed in 1..4 {
        let (before, slow) = run(NONE, seed);
        let (after, fast) = run(ALL, seed);
        let share = |counts: &ReadCounts| counts.replica as f64 / counts.reads as f64;
        let refusals = |counts: &ReadCounts| counts.refusals as f64 / counts.reads as f64;
        let p99 = |values: &[u64]| values[values.len() * 99 / 100] / 1_000;
        let mean =
            |values: &[u64]| values.iter().sum::<u64>() as f64 / values.len() as f64 / 1_000.0;
        println!(
            "seed {seed}: without the rules {:.1}% from replicas, {:.2} refusals per read, mean \
             wait {:.2} ms; with them {:.1}%, {:.3}, {:.2} ms",
            share(&before) * 100.0,
            refusals(&before),
            mean(&slow),
            share(&after) * 100.0,
            refusals(&after),
            mean(&fast),
        );
        for (name, policy) in [
            ("answers do not raise", ReadPolicy { raise_by_answers: false, ..ALL }),
            ("no preference", ReadPolicy { prefer_last: false, ..ALL }),
            ("no return", ReadPolicy { return_from_primary: false, ..ALL }),
        ] {
            let (part, all) = run(policy, seed);
            println!(
                "seed {seed}, {name}: {:.1}% from replicas, {:.2} refusals per read, mean wait {:.2} ms",
                share(&part) * 100.0,
                refusals(&part),
                mean(&all),
            );
        }
        assert!(share(&before) < 0.9, "seed {seed}: the workload does not show the fault");
        assert!(share(&after) >= 0.99, "seed {seed}: {after:?}");
        assert!(refusals(&after) <= 0.01, "seed {seed}: {after:?}");
        assert!(p99(&fast) <= 10, "seed {seed}: {} ms", p99(&fast));
    }
}

// Guards against holding every read of a session whose replicas are far behind.
#[test]
fn repeated_holds_without_effect_become_rare() {
    let deadline = Micros::from_secs(1);
    let mut stay = PrimaryFallback::default();
    let mut held = 0;
    let mut now = Micros::ZERO;
    for _ in 0..2_000 {
        let hold = stay.next_read_delay(now, deadline);
        assert!(hold <= Micros(deadline.0 / 4), "{hold:?}");
        held += u64::from(hold > Micros::ZERO);
        now += hold;
        stay.record_primary(now);
        now += Micros::from_millis(10);
    }
    assert!((1..=8).contains(&held), "{held} holds within 20 s");
    // A read served by a replica resets the record.
    stay.record_replica();
    assert_eq!(stay.next_read_delay(now, deadline), Micros::ZERO);
    // Reads with a short deadline are not held.
    let mut urgent = PrimaryFallback::default();
    urgent.record_primary(Micros::ZERO);
    assert_eq!(
        urgent.next_read_delay(Micros::from_secs(5), Micros::from_millis(500)),
        Micros::ZERO
    );
}

// Guards against reads that fail at an overloaded primary although the replicas reach the session's floor
// well before the deadline, and against waits that have no effect.
#[test]
fn reads_refused_by_an_overloaded_primary_wait_for_the_replicas() {
    let failed = |server: &str, kind| FailedTry { server: server.into(), epoch: 1, kind };
    let behind = [failed("b", FailureKind::TooStale), failed("c", FailureKind::TooStale)];
    let busy = [failed("b", FailureKind::Overloaded), failed("c", FailureKind::Overloaded)];
    let (elapsed, deadline) = (Micros::from_millis(10), Micros::from_secs(1));
    let wait = replica_retry_delay(FailureKind::Overloaded, &behind, elapsed, deadline);
    assert!(wait >= LAG && elapsed + wait <= Micros(deadline.0 / 4), "{wait:?}");
    for (kind, tries, elapsed, deadline) in [
        // The replicas are overloaded as well, not behind the floor.
        (FailureKind::Overloaded, &busy, elapsed, deadline),
        (FailureKind::Unreachable, &behind, elapsed, deadline),
        (FailureKind::Overloaded, &behind, Micros::from_millis(300), deadline),
        (FailureKind::Overloaded, &behind, elapsed, Micros::from_millis(500)),
    ] {
        assert_eq!(replica_retry_delay(kind, tries, elapsed, deadline), Micros::ZERO, "{kind:?}");
    }
}
