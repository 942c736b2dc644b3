//! Decisions of an entry before targets that fence themselves.

use {
    banyansill_core::{
        directory::{ProcessHost, ReportOrder, TargetReport, TargetState},
        failure::{FailureKind, OutcomeClass},
        gateway::{
            AdaptiveLimit, AttemptEnd, ConnectionShare, Distance, FreshnessLog, FreshnessMark,
            HealthChange, MarkSource, NextStep, ReadCandidate, RelayHealth, StatementEffect,
            TargetError, TargetHealth, connection_share, detour_entries, mark_is_due, mark_source,
            next_step, order_candidates,
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

const fn mark(asked: u64, offset: u64) -> FreshnessMark {
    FreshnessMark { asked: ms(asked), position: LogPosition::new(1, offset) }
}

// Guards against a read that lacks a commit older than its limit: the floor has to come from a mark that
// was asked for no earlier than the limit allows.
#[test]
fn floor_covers_everything_older_than_the_limit() {
    let mut log = FreshnessLog::default();
    for (asked, offset) in [(1_000, 10), (1_500, 20), (2_000, 30)] {
        log.record(mark(asked, offset));
    }
    assert_eq!(log.floor(ms(2_400), ms(1_000)), Some(LogPosition::new(1, 20)));
    assert_eq!(log.floor(ms(2_400), ms(1_400)), Some(LogPosition::new(1, 10)));
    assert_eq!(log.floor(ms(2_000), ms(0)), Some(LogPosition::new(1, 30)));
    assert_eq!(log.floor(ms(2_400), ms(300)), None, "no mark is young enough");
}

// Guards against a mark of another entry that looks young because this entry's clock started after it: reads of an
// entry that had just restarted were served without commits of the last ten seconds.
#[test]
fn marks_from_before_the_clock_started_are_no_floor() {
    let position = LogPosition::new(1, 199);
    assert_eq!(FreshnessMark::reported(ms(1_000), ms(9_000), position), None);
    let told =
        FreshnessMark::reported(ms(9_500), ms(9_000), position).expect("a time that can be told");
    assert_eq!(told, mark_at(500, position));
    let mut log = FreshnessLog::default();
    log.record(told);
    assert_eq!(log.floor(ms(9_500), ms(2_400)), None);
}

const fn mark_at(asked: u64, position: LogPosition) -> FreshnessMark {
    FreshnessMark { asked: ms(asked), position }
}

// Guards against a late answer that lowers the floor, and against marks that are kept for nothing.
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
    assert!(floor.offset <= 9_200, "{floor}: far younger than needed");
}

const fn candidate(index: usize, distance: Distance, latency: u64) -> ReadCandidate {
    ReadCandidate {
        index,
        distance,
        primary: false,
        latency: ms(latency),
        in_flight: 0,
        capacity: 2,
        errors: 0,
        reachable: true,
        position: None,
    }
}

fn first(mut candidates: Vec<ReadCandidate>, floor: Option<LogPosition>) -> usize {
    order_candidates(&mut candidates, floor);
    candidates[0].index
}

// Guards against reads that pay for bytes between regions while the target next door is well, and against
// reads that stay with it when it is slow, full, failing, behind or gone.
#[test]
fn reads_stay_near_until_the_near_target_is_worse() {
    let near = candidate(0, Distance::Zone, 20);
    let far = candidate(1, Distance::Remote, 60);
    assert_eq!(first(vec![far, near], None), 0);
    assert_eq!(first(vec![far, ReadCandidate { latency: ms(250), ..near }], None), 1);
    assert_eq!(first(vec![far, ReadCandidate { in_flight: 20, ..near }], None), 1);
    assert_eq!(first(vec![far, ReadCandidate { errors: 500, ..near }], None), 1);
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

// Guards against more connections than a target accepts, at the sizes of 15 and of 127 entries, and
// against entries that find no holder.
#[test]
fn shares_fit_the_connections_of_a_target() {
    for (count, connections) in [(15, 71), (18, 86), (127, 84), (108, 280), (1, 71), (2_700, 84)] {
        let entries = hosts(count);
        for leads in [false, true] {
            let mut shares = BTreeMap::new();
            for own in &entries {
                let share = connection_share(own, &report("z1"), leads, connections, &entries);
                shares.insert(own.host.clone(), share);
            }
            let mut sum = 0;
            for share in shares.values() {
                match share {
                    ConnectionShare::Direct(each) => sum += each,
                    ConnectionShare::Relayed(holders) => {
                        assert!(!holders.is_empty(), "{count} entries: no holder");
                        for holder in holders {
                            assert!(matches!(shares[&holder.host], ConnectionShare::Direct(_)));
                        }
                    }
                }
            }
            assert!(sum <= connections, "{count} entries open {sum} of {connections}");
            assert!(sum > 0, "{count} entries: nobody connects");
        }
    }
    let entries = hosts(15);
    let share = connection_share(&entries[0], &report("z1"), true, 71, &entries);
    assert_eq!(share, ConnectionShare::Direct(4));
}

// Guards against a detour through the entry itself or through a far zone first.
#[test]
fn detours_begin_in_the_zone_of_the_target() {
    let entries = hosts(12);
    let order = detour_entries(&entries[3], &"z1".into(), &entries);
    assert_eq!(order.len(), 11);
    assert!(order[..2].iter().all(|entry| &*entry.zone == "z1"));
    assert!(order.iter().all(|entry| entry.host != entries[3].host));
}

// Guards against a write that runs twice and against a caller who is told "not run" of what may have run.
#[test]
fn only_what_certainly_did_not_run_is_run_again() {
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
            assert!(!ran || step != NextStep::Retry, "{error:?} of a write is run again");
            if let NextStep::GiveUp(kind) = step {
                let class = kind.answer().class;
                assert!(!ran || class != OutcomeClass::NotRun, "{error:?} is called not run");
            }
        }
    }
    let lost = next_step(StatementEffect::Write, AttemptEnd::Lost, true);
    assert_eq!(lost, NextStep::GiveUp(FailureKind::ConnectionLost));
    assert_eq!(next_step(StatementEffect::Read, AttemptEnd::Lost, true), NextStep::Retry);
    assert_ne!(next_step(StatementEffect::Read, AttemptEnd::Lost, false), NextStep::Retry);
    assert_eq!(next_step(StatementEffect::Write, AttemptEnd::NotSent, false), NextStep::Retry);
}

// Guards against entries that fill the queue of a slow target: 18 entries on 3 slots that got five times
// slower must not keep more statements there than end within the timeout of one second.
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
    assert_eq!(limit.value(), 4, "the limit comes back when the target is well");
}

// Guards against a limit that is cut by the same congestion many times.
#[test]
fn limits_are_cut_once_for_one_congestion() {
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

// Guards against a target that is asked again and again while it is gone, and against one that is not
// used when it is back.
#[test]
fn tries_at_a_lost_target_get_rarer_and_end_with_its_return() {
    let mut health = TargetHealth::default();
    assert!(health.may_try(ms(0)));
    assert_eq!(health.failed(ms(900), ms(1_000)), HealthChange::Lost);
    assert_eq!(health.failed(ms(1_100), ms(1_200)), HealthChange::None);
    assert!(!health.may_try(ms(1_300)));
    assert!(health.may_try(ms(1_400)));
    assert_eq!(health.failing_for(ms(2_000)), ms(1_100));
    for step in 0..20 {
        health.failed(ms(2_000), ms(2_000 + step));
    }
    assert!(health.may_try(ms(3_019 + 1)), "at most a second between two tries");
    assert_eq!(health.reached(), HealthChange::Regained);
    assert!(health.may_try(ms(2_021)));
}

/// Slots of one target in virtual time.
struct PlayedTarget(Vec<u64>);

impl PlayedTarget {
    /// Runs a statement that arrives at `at` and returns when it ends.
    fn run(&mut self, at: u64, work: u64) -> u64 {
        let slot = self.0.iter_mut().min().expect("a slot");
        *slot = (*slot).max(at) + work;
        *slot
    }
}

/// What callers of a played group wait for, in milliseconds.
struct PlayedWaits {
    /// Mean time that a write queues at the primary.
    write_queue: u64,
    /// Mean time of a read, with its way.
    read: u64,
}

/// Plays a group of the large deployment at its peak: its primary has 6 slots, writes and transactions alone need
/// 4.6 of them, and the reads of the primary's own region need 2.3 more while far replicas are idle.
fn play_busy_primary<Choice>(reads_at_primary: Choice) -> PlayedWaits
where
    Choice: Fn(ReadCandidate, ReadCandidate) -> bool,
{
    const ROUND_TRIP: u64 = 40;
    let mut primary = PlayedTarget(vec![0; 6]);
    let mut replica = PlayedTarget(vec![0; 6]);
    let (mut near, mut far) = (30_000, 70_000);
    let mut random = 11_u64;
    let (mut queued, mut writes, mut read_times, mut reads) = (0, 0, 0, 0);
    for step in 0..100_000_u64 {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let work = 4 + (random >> 40) % 49;
        match (random >> 33) % 1_000 {
            0..164 => {
                let took = primary.run(step, work) - step;
                near = near - near / 8 + took * 1_000 / 8;
                queued += took - work;
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
                let took = if reads_at_primary(own, other) {
                    let took = primary.run(step, work) - step;
                    near = near - near / 8 + took * 1_000 / 8;
                    took
                } else {
                    let took = replica.run(step + ROUND_TRIP / 2, work) + ROUND_TRIP / 2 - step;
                    far = far - far / 8 + took * 1_000 / 8;
                    took
                };
                read_times += took;
                reads += 1;
            }
            _ => {}
        }
    }
    PlayedWaits { write_queue: queued / writes, read: read_times / reads }
}

// Guards against reads that queue at a near primary, whose slots are the only ones for writes.
#[test]
fn reads_leave_their_writes_the_primary() {
    let played = play_busy_primary(|own, other| {
        let mut order = [own, other];
        order_candidates(&mut order, None);
        order[0].primary
    });
    // The naive choice: the same charge for another region, but a primary weighs as much as a replica.
    let remote_charge = Micros::from_millis(100);
    let naive = play_busy_primary(|own, other| own.latency < other.latency + remote_charge);
    let (queue, naive_queue) = (played.write_queue, naive.write_queue);
    assert!(queue * 3 < naive_queue, "writes queue {queue} ms, naive {naive_queue} ms");
    // A read goes to the far region at most, which costs one round trip of 40 ms.
    let (read, naive_read) = (played.read, naive.read);
    assert!(read <= naive_read + 40, "reads take {read} ms, naive {naive_read} ms");
}

/// One lender of three connections; each is in use until a time.
#[derive(Clone, Default)]
struct Lender([u64; 3]);

impl Lender {
    /// Returns when a connection was lent, if that is within the wait.
    fn lend(&mut self, now: u64, wait: u64, hold: u64) -> Option<u64> {
        let place = self.0.iter_mut().min_by_key(|until| **until)?;
        let at = now.max(*place);
        if at > now + wait {
            return None;
        }
        *place = at + hold;
        Some(at)
    }
}

// Guards against transactions that wait for the connections of one entry while others have some to lend. Load: the
// large deployment at its peak, 26 transactions a second of a second each before 19 entries with three connections.
#[test]
fn transactions_do_not_wait_at_one_lender() {
    const ROUND_TRIP: u64 = 41;
    let hosts: Vec<ProcessHost> = (0..19).map(|number| host(&format!("l{number}"), "a")).collect();
    let book = RelayHealth::default();
    let mut late = [0, 0];
    for (place, spread) in [(0, true), (1, false)] {
        let mut lenders = vec![Lender::default(); hosts.len()];
        let mut random = 7_u64;
        for turn in 0..2_000_u64 {
            let begun = turn * 38;
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let first = usize::try_from(random >> 40).expect("small") % hosts.len();
            let hold = 300 + (random >> 33) % 1_400;
            let mut order = hosts.clone();
            order.rotate_left(first);
            let mut now = begun;
            let lent = if spread {
                let mut round = book.round(&order, false, ms(now));
                loop {
                    let Some(asked) = round.next_attempt(ms(1_000)) else { break None };
                    let number: usize = asked.entry.host[1..].parse().expect("a number");
                    let wait = asked.wait.as_millis();
                    if let Some(at) = lenders[number].lend(now, wait, hold) {
                        break Some(at);
                    }
                    round.refused();
                    now += ROUND_TRIP;
                }
            } else {
                lenders[first].lend(now, 900, hold)
            };
            if lent.is_none_or(|at| at - begun > 150) {
                late[place] += 1;
            }
        }
    }
    assert!(late[0] * 4 < late[1], "late: {} with several lenders, {} with one", late[0], late[1]);
}

// Guards against requests that all wait for entries that have lost power.
#[test]
fn silent_lenders_are_asked_last() {
    let hosts: Vec<ProcessHost> = (0..4).map(|number| host(&format!("l{number}"), "a")).collect();
    let mut book = RelayHealth::default();
    book.failed(&hosts[0].host, ms(0));
    book.failed(&hosts[1].host, ms(0));
    let mut round = book.round(&hosts, false, ms(100));
    let first = round.next_attempt(ms(1_000)).expect("a lender");
    assert_eq!(first.entry.host, hosts[2].host);
    assert!(first.wait + first.response_timeout <= ms(300), "a silent entry is given up soon");
    book.answered(&hosts[0].host);
    let first = book.round(&hosts, false, ms(100)).next_attempt(ms(1_000)).expect("a lender");
    assert_eq!(first.entry.host, hosts[0].host);
    let mut round = book.round(&hosts, false, ms(1_500));
    for _ in 0..4 {
        let turn = round.next_attempt(ms(1_000)).expect("a lender");
        assert!(turn.wait <= ms(900));
        round.record_unresponsive();
    }
    assert_eq!(round.next_attempt(ms(1_000)), None);
}

// Guards against entries that all ask each primary for its position. Load: 127 entries in 6 zones before 8 primaries
// that lend their connections.
#[test]
fn positions_are_asked_for_once_a_zone() {
    let entries = hosts(127);
    let mut asked = BTreeMap::new();
    for group in 0..8 {
        let zone = format!("z{}", group % 6);
        for own in &entries {
            let share = connection_share(own, &report(&zone), true, 84, &entries);
            let source = mark_source(own, &share, &entries, |_| false);
            match source {
                MarkSource::Primary => {
                    assert!(matches!(share, ConnectionShare::Direct(_)));
                }
                MarkSource::Entry(entry) => {
                    let far = entry.zone != own.zone;
                    assert!(!far || entry.zone.as_ref() == zone, "the lender is near the primary");
                    *asked.entry((group, far)).or_insert(0) += 1;
                }
            }
        }
        assert_eq!(asked[&(group, true)], 5, "one entry of each other zone asks far away");
    }
    // A gatherer that gives no answer is replaced by another one.
    let own = &entries[0];
    let share = connection_share(own, &report("z1"), true, 84, &entries);
    let MarkSource::Entry(first) = mark_source(own, &share, &entries, |_| false) else {
        panic!("no connections of its own")
    };
    let second = mark_source(own, &share, &entries, |entry| entry.host == first.host);
    assert_ne!(second, MarkSource::Entry(first));
    // Marks of an entry that others ask stay younger.
    assert!(mark_is_due(Some(ms(300)), true) && !mark_is_due(Some(ms(300)), false));
    assert!(mark_is_due(None, false) && mark_is_due(Some(ms(600)), false));
}
