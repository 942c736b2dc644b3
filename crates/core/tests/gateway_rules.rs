//! Routing decisions of an entry in front of targets that fence themselves.

use {
    banyansill_core::{
        directory::{GroupRule, ProcessHost, ReportOrder, TargetReport, TargetState},
        failure::{FailureKind, OutcomeClass},
        gateway::{
            AdaptiveLimit, AttemptEnd, ConnectionRule, ConnectionShare, Distance, FreshnessLog,
            FreshnessMark, GroupRoute, HealthChange, MarkNeed, MarkRole, MarkSource, NextStep,
            ReadCandidate, RelayHealth, StatementEffect, TargetError, TargetHealth,
            connection_share, detour_entries, mark_need, mark_source, next_step, order_candidates,
        },
        position::LogPosition,
        route::TargetRole,
        time::Micros,
    },
    std::collections::BTreeMap,
};

const fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

const fn rule(connections: u32) -> ConnectionRule {
    ConnectionRule { connections, by_team: false }
}

const fn mark(sent_at: u64, offset: u64) -> FreshnessMark {
    FreshnessMark { sent_at: ms(sent_at), position: LogPosition::new(1, offset) }
}

// Guards against a read that misses a commit older than its staleness limit: the floor must come from a mark that
// was requested no earlier than the limit allows.
#[test]
fn floor_covers_everything_older_than_the_limit() {
    let mut log = FreshnessLog::default();
    for (sent_at, offset) in [(1_000, 10), (1_500, 20), (2_000, 30)] {
        log.record(mark(sent_at, offset));
    }
    assert_eq!(log.floor(ms(2_400), ms(1_000)), Some(LogPosition::new(1, 20)));
    assert_eq!(log.floor(ms(2_400), ms(1_400)), Some(LogPosition::new(1, 10)));
    assert_eq!(log.floor(ms(2_000), ms(0)), Some(LogPosition::new(1, 30)));
    assert_eq!(log.floor(ms(2_400), ms(300)), None, "no mark is recent enough");
}

// Guards against a mark of a replaced primary that another entry, possibly of an earlier version, took for one of the
// present primary: it replaced the higher marks, and reads on the old primary counted as fresh.
#[test]
fn marks_of_a_lower_term_prove_nothing_for_a_while() {
    let mut log = FreshnessLog::default();
    log.record(mark_at(1_000, LogPosition::new(4, 210)));
    log.record(mark_at(1_500, LogPosition::new(3, 205)));
    assert_eq!(log.floor(ms(2_000), ms(1_000)), Some(LogPosition::new(4, 210)));
    assert_eq!(log.floor(ms(2_000), ms(600)), None, "no mark is recent enough");
    // A request that was sent before the promotion may be answered after one that was sent later.
    log.record(mark_at(900, LogPosition::new(3, 204)));
    assert_eq!(log.floor(ms(2_000), ms(1_100)), Some(LogPosition::new(3, 204)));
    // A server that lacks the entries of term 4 may have been promoted since.
    log.record(mark_at(12_000, LogPosition::new(3, 205)));
    assert_eq!(log.floor(ms(12_000), ms(500)), Some(LogPosition::new(3, 205)));
}

// Guards against commits that are passed on although a promotion rolls them back: where commits wait for replicas, those of a
// primary that is being replaced, or was, count for nothing.
#[test]
fn commits_of_a_replaced_primary_are_not_passed_on() {
    let rule = |sync_replicas| GroupRule { group: "g".into(), connections: 71, sync_replicas };
    let group = |sync_replicas, changing| GroupRoute {
        rule: Some(rule(sync_replicas)),
        primary: Some("a".into()),
        changing,
        ..GroupRoute::default()
    };
    let (primary, replaced) = ("a".into(), "b".into());
    assert!(group(1, false).may_acknowledge(&primary));
    assert!(!group(1, false).may_acknowledge(&replaced));
    assert!(!group(1, true).may_acknowledge(&primary), "a replica is being promoted");
    let unknown = GroupRoute { primary: None, ..group(1, false) };
    assert!(!unknown.may_acknowledge(&primary));
    // Such a group may lose commits in any promotion.
    assert!(group(0, true).may_acknowledge(&primary));
    assert!(group(0, false).may_acknowledge(&replaced));
}

// Guards against a mark of another entry that appears recent because it predates the start of this entry's clock:
// reads of an entry that had just restarted missed the commits of the last ten seconds.
#[test]
fn marks_older_than_the_clock_are_rejected() {
    let position = LogPosition::new(1, 199);
    assert_eq!(FreshnessMark::reported(ms(1_000), ms(9_000), position), None);
    let converted = FreshnessMark::reported(ms(9_500), ms(9_000), position)
        .expect("a time within the range of the clock");
    assert_eq!(converted, mark_at(500, position));
    let mut log = FreshnessLog::default();
    log.record(converted);
    assert_eq!(log.floor(ms(9_500), ms(2_400)), None);
}

const fn mark_at(sent_at: u64, position: LogPosition) -> FreshnessMark {
    FreshnessMark { sent_at: ms(sent_at), position }
}

// Guards against a late response that lowers the floor, and against keeping marks that are no longer needed.
#[test]
fn late_marks_never_lower_a_floor() {
    let mut log = FreshnessLog::default();
    log.record(mark(2_000, 30));
    log.record(mark(1_000, 50));
    assert_eq!(log.floor(ms(2_000), ms(1_500)), Some(LogPosition::new(1, 30)));
    log.record(mark(3_000, 30));
    assert_eq!(log.floor(ms(3_000), ms(1_500)), Some(LogPosition::new(1, 30)));
    for step in 0..10_000 {
        log.record(mark(3_000 + step, 100 + step));
    }
    let floor = log.floor(ms(13_000), ms(1_000)).expect("marks of the last second");
    assert!(floor.offset >= 9_100, "{floor}: older than the limit");
    assert!(floor.offset <= 9_200, "{floor}: far more recent than needed");
}

const fn candidate(index: usize, distance: Distance, latency: u64) -> ReadCandidate {
    ReadCandidate {
        index,
        distance,
        primary: false,
        latency: ms(latency),
        in_flight: 0,
        capacity: 2,
        error_rate: 0,
        reachable: true,
        position: None,
    }
}

fn first(mut candidates: Vec<ReadCandidate>, floor: Option<LogPosition>) -> usize {
    order_candidates(&mut candidates, floor);
    candidates[0].index
}

// Guards against reads that cause billed traffic between regions while the near target is healthy, and against
// reads that stay with the near target when it is slow, full, failing, behind or unreachable.
#[test]
fn reads_prefer_the_near_target_until_it_is_worse() {
    let near = candidate(0, Distance::Zone, 20);
    let far = candidate(1, Distance::Remote, 60);
    assert_eq!(first(vec![far, near], None), 0);
    assert_eq!(first(vec![far, ReadCandidate { latency: ms(250), ..near }], None), 1);
    assert_eq!(first(vec![far, ReadCandidate { in_flight: 20, ..near }], None), 1);
    assert_eq!(first(vec![far, ReadCandidate { error_rate: 500, ..near }], None), 1);
    assert_eq!(first(vec![far, ReadCandidate { reachable: false, ..near }], None), 1);
    let behind = ReadCandidate { position: Some(LogPosition::new(1, 5)), ..near };
    assert_eq!(first(vec![far, behind], Some(LogPosition::new(1, 6))), 1);
    assert_eq!(first(vec![far, behind], Some(LogPosition::new(1, 5))), 0);
    let primary = ReadCandidate { primary: true, ..near };
    assert_eq!(first(vec![primary, ReadCandidate { index: 2, ..near }], None), 2);
}

fn host(name: &str, zone: &str) -> ProcessHost {
    ProcessHost { host: name.into(), address: format!("{name}:1").into(), zone: zone.into() }
}

fn report(zone: &str) -> TargetReport {
    TargetReport {
        target: "t".into(),
        group: "g".into(),
        address: "127.0.0.1:1".into(),
        zone: zone.into(),
        slots: 5,
        state: TargetState::Ready,
        role: TargetRole::Replica,
        order: ReportOrder::default(),
    }
}

fn hosts(count: usize) -> Vec<ProcessHost> {
    let mut hosts = Vec::new();
    for number in 0..count {
        hosts.push(host(&format!("e{number}"), &format!("z{}", number % 6)));
    }
    hosts
}

// Guards against more connections than a target accepts, in deployments from 1 to 2,700 entries, among them those of
// 15 and of 127, and against entries without a relay.
#[test]
fn shares_fit_the_connections_of_a_target() {
    for (count, connections) in [(15, 71), (18, 86), (127, 84), (108, 280), (1, 71), (2_700, 84)] {
        let entries = hosts(count);
        for leads in [false, true] {
            let mut shares = BTreeMap::new();
            for own in &entries {
                let share =
                    connection_share(own, &report("z1"), leads, rule(connections), &entries);
                shares.insert(own.host.clone(), share);
            }
            let mut sum = 0;
            for share in shares.values() {
                match share {
                    ConnectionShare::Direct(each) => sum += each,
                    ConnectionShare::Relayed(relays) => {
                        assert!(!relays.is_empty(), "{count} entries: no relay");
                        for relay in relays {
                            assert!(matches!(shares[&relay.host], ConnectionShare::Direct(_)));
                        }
                    }
                }
            }
            assert!(sum <= connections, "{count} entries open {sum} of {connections}");
            assert!(sum > 0, "{count} entries: none connects directly");
        }
    }
    let entries = hosts(15);
    let share = connection_share(&entries[0], &report("z1"), true, rule(71), &entries);
    assert_eq!(share, ConnectionShare::Direct(4));
}

// Guards against a detour through the entry itself, or first through another zone than the target's.
#[test]
fn detours_start_in_the_zone_of_the_target() {
    let entries = hosts(12);
    let order = detour_entries(&entries[3], &"z1".into(), &entries);
    assert_eq!(order.len(), 11);
    assert!(order[..2].iter().all(|entry| &*entry.zone == "z1"));
    assert!(order.iter().all(|entry| entry.host != entries[3].host));
}

// Guards against a write that runs twice, and against reporting "not run" to a caller whose statement may have run.
#[test]
fn writes_are_retried_only_if_they_did_not_run() {
    let errors = [
        TargetError::Busy,
        TargetError::UnknownStatement,
        TargetError::Lagging,
        TargetError::ReadOnly,
        TargetError::Misrouted,
        TargetError::TooManyConnections,
        TargetError::Aborted,
        TargetError::Failed,
        TargetError::TimedOut,
        TargetError::InDoubt,
        TargetError::Malformed,
    ];
    for error in errors {
        let ran =
            matches!(error, TargetError::Failed | TargetError::TimedOut | TargetError::InDoubt);
        for budget in [false, true] {
            let step = next_step(StatementEffect::Write, AttemptEnd::Reported(error), budget);
            assert!(!ran || step != NextStep::Retry, "a write is retried after {error:?}");
            if let NextStep::GiveUp(kind) = step {
                let class = kind.answer().class;
                assert!(!ran || class != OutcomeClass::NotRun, "{error:?} is reported as not run");
            }
        }
    }
    let lost = next_step(StatementEffect::Write, AttemptEnd::Lost, true);
    assert_eq!(lost, NextStep::GiveUp(FailureKind::ConnectionLost));
    assert_eq!(next_step(StatementEffect::Read, AttemptEnd::Lost, true), NextStep::Retry);
    let unanswered = NextStep::GiveUp(FailureKind::RunTimeout);
    assert_eq!(next_step(StatementEffect::Read, AttemptEnd::Lost, false), unanswered);
    let in_doubt = AttemptEnd::Reported(TargetError::InDoubt);
    assert_eq!(next_step(StatementEffect::Read, in_doubt, false), unanswered);
    for kind in FailureKind::ALL {
        let read = StatementEffect::Read.failure(kind);
        assert_ne!(read, FailureKind::ConnectionLost, "a read has no outcome to be in doubt of");
        assert!(read == kind || kind == FailureKind::ConnectionLost);
        assert_eq!(StatementEffect::Write.failure(kind), kind);
    }
    assert_eq!(next_step(StatementEffect::Write, AttemptEnd::NotSent, false), NextStep::Retry);
}

// Guards against entries that fill the queue of a slow target: 18 entries in front of 3 slots that became five times
// slower must not keep more statements in flight than can end within the timeout of one second.
#[test]
fn limits_of_many_entries_keep_a_slow_target_within_its_timeout() {
    const ENTRIES: u64 = 18;
    const SLOTS: u64 = 3;
    const WORK_MS: u64 = 100;
    let mut limit = AdaptiveLimit::new(4);
    let mut latency = ms(20);
    let mut now = 0;
    for _ in 0..200 {
        let in_flight = u64::from(limit.value()) * ENTRIES;
        let wait = (in_flight * WORK_MS).div_ceil(SLOTS).max(WORK_MS);
        now += wait;
        latency = ms((latency.as_millis() * 7 + wait) / 8);
        limit.record(latency, false, ms(now));
    }
    let wait = u64::from(limit.value()) * ENTRIES * WORK_MS / SLOTS;
    assert!(wait <= 1_000, "a statement waits {wait} ms");
    for step in 0..100 {
        limit.record(ms(20), false, ms(now + step * 20));
    }
    assert_eq!(limit.value(), 4, "the limit recovers with the target");
}

// Guards against a limit that decreases many times for the same congestion.
#[test]
fn a_limit_decreases_once_per_congestion() {
    let mut limit = AdaptiveLimit::new(8);
    for step in 0..100 {
        limit.record(ms(20), false, ms(step));
    }
    assert_eq!(limit.value(), 8);
    for step in 0..50 {
        limit.record(ms(20), true, ms(1_000 + step));
    }
    assert_eq!(limit.value(), 5);
}

// Guards against attempts without back-off while a target is unreachable, and against a target that is not used
// after it recovers.
#[test]
fn attempts_on_an_unreachable_target_back_off_until_it_recovers() {
    let mut health = TargetHealth::default();
    assert!(health.can_attempt(ms(0)));
    assert_eq!(health.record_failure(ms(900), ms(1_000)), HealthChange::Lost);
    assert_eq!(health.record_failure(ms(1_100), ms(1_200)), HealthChange::None);
    assert!(!health.can_attempt(ms(1_300)));
    assert!(health.can_attempt(ms(1_400)));
    assert_eq!(health.failing_for(ms(2_000)), ms(1_100));
    for step in 0..20 {
        health.record_failure(ms(2_000), ms(2_000 + step));
    }
    assert!(health.can_attempt(ms(3_019 + 1)), "at most a second between two attempts");
    assert_eq!(health.record_contact(), HealthChange::Regained);
    assert!(health.can_attempt(ms(2_021)));
}

/// Simulated target: the virtual time at which each slot becomes free.
struct SimulatedTarget(Vec<u64>);

impl SimulatedTarget {
    /// Runs a statement that arrives at `at` and returns when it ends.
    fn run(&mut self, at: u64, work: u64) -> u64 {
        let slot = self.0.iter_mut().min().expect("a slot");
        *slot = (*slot).max(at) + work;
        *slot
    }
}

/// Mean waits of the callers of a simulated group, in milliseconds.
struct SimulatedWaits {
    /// Time that a write waits in the primary's queue.
    write_queue: u64,
    /// Latency of a read, including the network.
    read: u64,
}

/// Simulates a group of the large deployment at peak load: its primary has 6 slots, writes and transactions alone
/// need 4.6 of them, and the reads of the primary's own region need 2.3 more while remote replicas are idle.
fn simulate_busy_primary<Choice>(reads_at_primary: Choice) -> SimulatedWaits
where
    Choice: Fn(ReadCandidate, ReadCandidate) -> bool,
{
    const ROUND_TRIP: u64 = 40;
    let mut primary = SimulatedTarget(vec![0; 6]);
    let mut replica = SimulatedTarget(vec![0; 6]);
    let (mut near, mut far) = (30_000, 70_000);
    let mut random = 11_u64;
    let (mut queued, mut writes, mut read_times, mut reads) = (0, 0, 0, 0);
    for step in 0..100_000_u64 {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let work = 4 + (random >> 40) % 49;
        match (random >> 33) % 1_000 {
            0..164 => {
                let elapsed = primary.run(step, work) - step;
                near = near - near / 8 + elapsed * 1_000 / 8;
                queued += elapsed - work;
                writes += 1;
            }
            164..246 => {
                let own = ReadCandidate {
                    primary: true,
                    latency: Micros(near),
                    ..candidate(0, Distance::Zone, 0)
                };
                let other =
                    ReadCandidate { latency: Micros(far), ..candidate(1, Distance::Remote, 0) };
                let elapsed = if reads_at_primary(own, other) {
                    let elapsed = primary.run(step, work) - step;
                    near = near - near / 8 + elapsed * 1_000 / 8;
                    elapsed
                } else {
                    let elapsed = replica.run(step + ROUND_TRIP / 2, work) + ROUND_TRIP / 2 - step;
                    far = far - far / 8 + elapsed * 1_000 / 8;
                    elapsed
                };
                read_times += elapsed;
                reads += 1;
            }
            _ => {}
        }
    }
    SimulatedWaits { write_queue: queued / writes, read: read_times / reads }
}

// Guards against reads that queue at a near primary although its slots are the only ones for writes.
#[test]
fn reads_do_not_delay_writes_at_a_busy_primary() {
    let simulated = simulate_busy_primary(|own, other| {
        let mut order = [own, other];
        order_candidates(&mut order, None);
        order[0].primary
    });
    // The naive choice: the same penalty for another region, but a primary costs as much as a replica.
    let remote_charge = Micros::from_millis(100);
    let naive = simulate_busy_primary(|own, other| own.latency < other.latency + remote_charge);
    let (queue, naive_queue) = (simulated.write_queue, naive.write_queue);
    assert!(queue * 3 < naive_queue, "writes queue {queue} ms, naive {naive_queue} ms");
    // A read goes to the far region at most, which costs one selection trip of 40 ms.
    let (read, naive_read) = (simulated.read, naive.read);
    assert!(read <= naive_read + 40, "reads take {read} ms, naive {naive_read} ms");
}

/// Pool of an entry that relays over three connections: the time until which each of them is in use.
#[derive(Clone, Default)]
struct RelayPool([u64; 3]);

impl RelayPool {
    /// Leases a connection for `hold`; returns when it was granted, or `None` if that would exceed `wait`.
    fn lease(&mut self, now: u64, wait: u64, hold: u64) -> Option<u64> {
        let busy_until = self.0.iter_mut().min_by_key(|until| **until)?;
        let at = now.max(*busy_until);
        if at > now + wait {
            return None;
        }
        *busy_until = at + hold;
        Some(at)
    }
}

// Guards against transactions that wait for the connections of one entry while other entries have free ones. Load:
// the large deployment at its peak, 26 transactions a second of a second each over 19 entries with three connections.
#[test]
fn transactions_do_not_wait_at_one_relay() {
    const ROUND_TRIP: u64 = 41;
    let hosts: Vec<ProcessHost> = (0..19).map(|number| host(&format!("l{number}"), "a")).collect();
    let health_records = RelayHealth::default();
    let mut late = [0, 0];
    for (variant, spread) in [(0, true), (1, false)] {
        let mut relays = vec![RelayPool::default(); hosts.len()];
        let mut random = 7_u64;
        for turn in 0..2_000_u64 {
            let started_at = turn * 38;
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let first = usize::try_from(random >> 40).expect("small") % hosts.len();
            let hold = 300 + (random >> 33) % 1_400;
            let mut order = hosts.clone();
            order.rotate_left(first);
            let mut now = started_at;
            let granted = if spread {
                let mut selection = health_records.select(&order, false, ms(now));
                loop {
                    let Some(attempt) = selection.next_attempt(ms(1_000)) else { break None };
                    let number: usize = attempt.entry.host[1..].parse().expect("a number");
                    let wait = attempt.wait.as_millis();
                    if let Some(at) = relays[number].lease(now, wait, hold) {
                        break Some(at);
                    }
                    selection.record_refusal();
                    now += ROUND_TRIP;
                }
            } else {
                relays[first].lease(now, 900, hold)
            };
            if granted.is_none_or(|at| at - started_at > 150) {
                late[variant] += 1;
            }
        }
    }
    assert!(late[0] * 4 < late[1], "late: {} with several relays, {} with one", late[0], late[1]);
}

// Guards against a request that is sent to another entry so late that its refusal cannot arrive before the deadline: its
// caller was told that the outcome is unknown, although no target had received it.
#[test]
fn relays_are_not_asked_too_late() {
    let hosts: Vec<ProcessHost> = (0..3).map(|number| host(&format!("l{number}"), "a")).collect();
    let mut selection = RelayHealth::default().select(&hosts, false, ms(0));
    assert!(selection.next_attempt(ms(100)).is_some(), "time for a round trip between regions");
    selection.record_refusal();
    assert!(selection.next_attempt(ms(40)).is_none(), "a round trip takes 40 ms");
}

// Guards against requests that each wait for entries that have lost power.
#[test]
fn unresponsive_relays_are_tried_last() {
    let hosts: Vec<ProcessHost> = (0..4).map(|number| host(&format!("l{number}"), "a")).collect();
    let mut health_records = RelayHealth::default();
    health_records.record_failure(&hosts[0].host, ms(0));
    health_records.record_failure(&hosts[1].host, ms(0));
    let mut selection = health_records.select(&hosts, false, ms(100));
    let first = selection.next_attempt(ms(1_000)).expect("a relay");
    assert_eq!(first.entry.host, hosts[2].host);
    assert!(
        first.wait + first.response_timeout <= ms(300),
        "an unresponsive entry is abandoned soon"
    );
    health_records.record_response(&hosts[0].host);
    let first =
        health_records.select(&hosts, false, ms(100)).next_attempt(ms(1_000)).expect("a relay");
    assert_eq!(first.entry.host, hosts[0].host);
    let mut selection = health_records.select(&hosts, false, ms(1_500));
    for _ in 0..4 {
        let attempt = selection.next_attempt(ms(1_000)).expect("a relay");
        assert!(attempt.wait <= ms(900));
        selection.record_unresponsive();
    }
    assert_eq!(selection.next_attempt(ms(1_000)), None);
}

// Guards against every entry polling each primary for its position. Load: 127 entries in 6 zones in front of 8
// primaries that they reach over relayed connections.
#[test]
fn marks_are_requested_once_per_zone() {
    let entries = hosts(127);
    let mut requests = BTreeMap::new();
    for group in 0..8 {
        let zone = format!("z{}", group % 6);
        for own in &entries {
            let share = connection_share(own, &report(&zone), true, rule(84), &entries);
            let source = mark_source(own, &share, &entries, |_| false);
            match source {
                MarkSource::Primary => {
                    assert!(matches!(share, ConnectionShare::Direct(_)));
                }
                MarkSource::Entry(entry) => {
                    let far = entry.zone != own.zone;
                    assert!(!far || entry.zone.as_ref() == zone, "the relay is near the primary");
                    *requests.entry((group, far)).or_insert(0) += 1;
                }
            }
        }
        assert_eq!(
            requests[&(group, true)],
            5,
            "one entry of each other zone polls outside its zone"
        );
    }
    // A collector that does not respond is replaced by another entry.
    let own = &entries[0];
    let share = connection_share(own, &report("z1"), true, rule(84), &entries);
    let MarkSource::Entry(first) = mark_source(own, &share, &entries, |_| false) else {
        panic!("the entry has no direct connections")
    };
    let second = mark_source(own, &share, &entries, |entry| entry.host == first.host);
    assert_ne!(second, MarkSource::Entry(first));
    // Entries that supply marks to others refresh them earlier.
    let need = |age, role| mark_need(age, ms(1_500), role);
    assert_eq!(need(Some(ms(300)), MarkRole::Primary), MarkNeed::Due);
    assert_ne!(need(Some(ms(300)), MarkRole::Collector), MarkNeed::Due);
    assert_eq!(need(Some(ms(600)), MarkRole::Collector), MarkNeed::Due);
    assert_ne!(need(Some(ms(600)), MarkRole::Reader), MarkNeed::Due);
    assert_eq!(need(Some(ms(1_050)), MarkRole::Reader), MarkNeed::Due);
    assert_eq!(need(None, MarkRole::Reader), MarkNeed::Due);
}

/// Marks of eight groups at one entry, which asks its source when one of them is due.
struct MarkHolder {
    role: MarkRole,
    /// Time of a request to the source and its answer.
    round_trip: Micros,
    marked_at: [Micros; 8],
    requests: u32,
}

impl MarkHolder {
    const fn new(role: MarkRole, round_trip: u64, marked_at: Micros) -> Self {
        Self { role, round_trip: ms(round_trip), marked_at: [marked_at; 8], requests: 0 }
    }

    /// Checks the marks at `now`; `source` has the marks of its source, or none if that is the primary.
    fn check(&mut self, now: Micros, staleness: Micros, source: Option<[Micros; 8]>) {
        let needs = self.marked_at.map(|at| mark_need(Some(now.since(at)), staleness, self.role));
        if !needs.contains(&MarkNeed::Due) {
            return;
        }
        self.requests += 1;
        for (index, need) in needs.into_iter().enumerate() {
            // A primary is asked for each group alone, an entry for all that are due or soon due.
            match source {
                Some(source) if need >= MarkNeed::Soon => {
                    self.marked_at[index] = source[index].since(self.round_trip);
                }
                None if need == MarkNeed::Due => self.marked_at[index] = now,
                _ => {}
            }
        }
    }
}

/// Guards against marks that arrive too old to be used and are asked for again at once, and against reads without a
/// mark. Load: reads of eight groups all the time, no commits, marks from the primary's zone over the collector of the
/// own zone, in another region; every entry checks its marks every 100 ms.
#[test]
fn marks_are_renewed_in_time_by_few_requests() {
    for staleness in [800, 1_500, 5_000].map(ms) {
        let start = ms(100_000);
        let mut primary = MarkHolder::new(MarkRole::Primary, 0, start);
        let mut collector = MarkHolder::new(MarkRole::Collector, 40, start);
        let mut reader = MarkHolder::new(MarkRole::Reader, 2, start);
        let mut oldest = Micros::ZERO;
        for step in 0..6_000 {
            let now = start + ms(step * 10);
            let mut age = Micros::ZERO;
            for at in reader.marked_at {
                age = age.max(now.since(at));
            }
            oldest = oldest.max(age);
            match step % 10 {
                0 => primary.check(now, staleness, None),
                3 => collector.check(now, staleness, Some(primary.marked_at)),
                7 => reader.check(now, staleness, Some(collector.marked_at)),
                _ => {}
            }
        }
        println!(
            "staleness {staleness:?}: requests in a minute {} by the collector, {} by a reader, oldest mark {oldest:?}",
            collector.requests, reader.requests
        );
        // A read needs a mark that is 100 ms younger than its limit.
        assert!(oldest <= staleness.since(ms(100)), "{oldest:?} of {staleness:?}");
        let most = u32::try_from(60_000_000 / (staleness.0 / 5)).expect("a small number");
        assert!(collector.requests <= most && reader.requests <= most, "{staleness:?}: {most}");
    }
}

/// Guards against a request for each group: an entry that checks eight groups every 100 ms would ask their source six
/// times a second, and hundreds of entries would exchange as many requests as their callers.
#[test]
fn groups_of_a_source_share_its_requests() {
    // Ages at which the marks of the groups arrive, as their source has them.
    let ages = [0, 40, 90, 120, 170, 200, 240, 290].map(ms);
    let play = |joined: MarkNeed| {
        let mut marked_at = ages.map(|age| ms(1_000).since(age));
        let (mut requests, mut oldest) = (0, Micros::ZERO);
        for now in (1_000..61_000).step_by(100).map(ms) {
            let needs =
                marked_at.map(|at| mark_need(Some(now.since(at)), ms(860), MarkRole::Reader));
            oldest = marked_at.iter().fold(oldest, |oldest, at| oldest.max(now.since(*at)));
            if !needs.contains(&MarkNeed::Due) {
                continue;
            }
            requests += 1;
            for ((at, age), need) in marked_at.iter_mut().zip(ages).zip(needs) {
                if need >= joined {
                    *at = now.since(age);
                }
            }
        }
        (requests, oldest)
    };
    let (alone, alone_oldest) = play(MarkNeed::Due);
    let (shared, shared_oldest) = play(MarkNeed::Soon);
    println!("requests in a minute: {alone} for each group, {shared} shared");
    // The oldest mark of the source is due 310 ms after it arrives, which the check at 400 ms notices.
    assert!(shared <= 60_000 / 400 && shared < alone, "{shared} of {alone}");
    assert!(shared_oldest <= alone_oldest && shared_oldest < ms(700), "{shared_oldest:?}");
}
