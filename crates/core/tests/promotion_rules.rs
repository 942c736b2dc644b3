//! Boundary cases of the rules of failure detection, leases and promotion.

#![allow(clippy::unwrap_used)]

use {
    banyansill_core::{
        cluster::{
            BrokerRef, ClusterCommand, ClusterReply, ClusterState, EntryInfo, EntryRecord,
            TargetInfo,
        },
        detector::{EntryHeartbeat, LivenessTable, RenewalRefusal, TargetAnnouncement},
        position::LogPosition,
        promotion::{
            CandidateChoice, MAX_POSITION_AGE, REBALANCE_LIMIT, decide, preferred_entry,
            required_answers, select_candidate,
        },
        route::TargetRole,
        state_machine::StateMachine,
        time::{Micros, NODE_LEASE, SHEET_GRACE, grantor_expiry},
    },
    std::collections::BTreeMap,
};

const T0: Micros = Micros::from_secs(100);

#[derive(Default)]
struct Fixture {
    state: ClusterState,
    index: u64,
}

impl Fixture {
    fn apply(&mut self, command: &ClusterCommand) -> ClusterReply {
        self.index += 1;
        self.state.apply(self.index, &command.encode())
    }

    fn join(&mut self, host: &str) -> BrokerRef {
        let entry = EntryInfo { host: host.into(), incarnation: 1, ..EntryInfo::default() };
        self.apply(&ClusterCommand::JoinEntry { entry });
        BrokerRef { host: host.into(), incarnation: 1 }
    }

    fn target(&mut self, server: &str, port: u16) {
        let address = format!("127.0.0.1:{port}").into();
        let info = TargetInfo { address, incarnation: 1, ..TargetInfo::default() };
        let (database, server) = ("d".into(), server.into());
        self.apply(&ClusterCommand::RecordTarget { database, server, info });
    }

    fn beat(&self, table: &mut LivenessTable, entry: &BrokerRef, sheet_number: u64, now: Micros) {
        let applied_version = self.state.version();
        let reports = BTreeMap::new();
        let entry = entry.clone();
        table.heartbeat(now, EntryHeartbeat { entry, applied_version, sheet_number, reports });
    }
}

/// Guards against a lease that the leader treats as expired while the holder, on the slowest clock that
/// the margin allows for, still treats it as valid.
#[test]
fn grantor_waits_for_the_slowest_clock() {
    let mut fixture = Fixture::default();
    let entry = fixture.join("e");
    let mut table = LivenessTable::new(T0);
    let received = T0 + Micros::from_secs(10);
    fixture.beat(&mut table, &entry, 0, received);
    table.renew(&fixture.state, &entry, received, received).unwrap();
    let slowest = received + Micros(NODE_LEASE.0 * 105 / 100);
    assert!(!table.lease_expired(&entry, slowest));
    assert!(table.lease_expired(&entry, grantor_expiry(received, NODE_LEASE)));
}

/// Guards against a new leader that takes brokerships away from entries whose leases the old leader
/// renewed.
#[test]
fn new_leader_waits_one_lease() {
    let mut fixture = Fixture::default();
    let entry = fixture.join("e");
    let mut table = LivenessTable::new(T0);
    let expiry = grantor_expiry(T0, NODE_LEASE);
    assert!(!table.lease_expired(&entry, Micros(expiry.0 - 1)));
    assert!(decide(&fixture.state, &mut table, Micros(expiry.0 - 1)).is_empty());
    assert_eq!(decide(&fixture.state, &mut table, expiry).len(), 1);
}

/// Guards against a renewal that overtakes the command that ends the lease.
#[test]
fn expiring_entry_is_not_renewed() {
    let mut fixture = Fixture::default();
    let entry = fixture.join("e");
    let mut table = LivenessTable::new(T0);
    let now = T0 + Micros::from_secs(10);
    assert_eq!(table.begin_expiry(&fixture.state, now).first(), Some(&entry));
    fixture.beat(&mut table, &entry, 0, now);
    let refused = table.renew(&fixture.state, &entry, now, now);
    assert_eq!(refused, Err(RenewalRefusal::Expiring));
    table.finish_expiry(&entry);
    table.renew(&fixture.state, &entry, now, now).unwrap();
}

/// Guards against an entry that keeps its lease under an old sheet for longer than the grace period, and
/// against a grace period that restarts with a change of leader.
#[test]
fn lease_ends_behind_a_sheet() {
    let mut fixture = Fixture::default();
    let entry = fixture.join("e");
    let mut table = LivenessTable::new(T0);
    fixture.beat(&mut table, &entry, 0, T0);
    table.renew(&fixture.state, &entry, T0, T0).unwrap();
    fixture.apply(&ClusterCommand::ApplySheet {
        number: 3,
        content: "x".to_owned(),
        operator: String::new(),
        request_id: String::new(),
    });
    let renew = |table: &mut LivenessTable, sheet, now| {
        fixture.beat(table, &entry, sheet, now);
        table.renew(&fixture.state, &entry, now, now)
    };
    assert_eq!(renew(&mut table, 0, T0), Ok(()));
    assert_eq!(renew(&mut table, 0, T0 + SHEET_GRACE), Ok(()));
    let late = T0 + SHEET_GRACE + Micros(1);
    assert!(matches!(renew(&mut table, 0, late), Err(RenewalRefusal::SheetNotApplied { .. })));
    assert_eq!(renew(&mut table, 3, late), Ok(()));
    let mut next = LivenessTable::new(late);
    assert!(matches!(renew(&mut next, 0, late), Err(RenewalRefusal::SheetNotApplied { .. })));
}

/// Guards against a grace period that each further sheet restarts: an entry whose watch hangs would keep
/// its lease, and act under an old sheet, for as long as new sheets arrive.
#[test]
fn later_sheet_does_not_extend_the_grace() {
    let mut fixture = Fixture::default();
    let entry = fixture.join("e");
    let mut table = LivenessTable::new(T0);
    let apply = |fixture: &mut Fixture, number| {
        fixture.apply(&ClusterCommand::ApplySheet {
            number,
            content: format!("content {number}"),
            operator: String::new(),
            request_id: String::new(),
        });
    };
    let renew = |fixture: &Fixture, table: &mut LivenessTable, sheet, now| {
        fixture.beat(table, &entry, sheet, now);
        table.renew(&fixture.state, &entry, now, now)
    };
    renew(&fixture, &mut table, 0, T0).unwrap();
    apply(&mut fixture, 1);
    assert_eq!(renew(&fixture, &mut table, 0, T0), Ok(()));
    let second = T0 + Micros::from_secs(1);
    apply(&mut fixture, 2);
    assert_eq!(renew(&fixture, &mut table, 0, second), Ok(()));
    // Sheet 1 is overdue for an entry without it, and sheet 2 is not yet for one with sheet 1.
    let first_due = T0 + SHEET_GRACE + Micros(1);
    let refused = renew(&fixture, &mut table, 0, first_due);
    assert_eq!(refused, Err(RenewalRefusal::SheetNotApplied { applied: 0, accepted: 1 }));
    assert_eq!(renew(&fixture, &mut table, 1, first_due), Ok(()));
    let second_due = second + SHEET_GRACE + Micros(1);
    let refused = renew(&fixture, &mut table, 1, second_due);
    assert_eq!(refused, Err(RenewalRefusal::SheetNotApplied { applied: 1, accepted: 2 }));
    assert_eq!(renew(&fixture, &mut table, 2, second_due), Ok(()));
}

/// Guards against a candidate that is chosen by positions read before the last acknowledgement.
#[test]
fn positions_from_before_the_fence_do_not_count() {
    let mut fixture = Fixture::default();
    for (server, port) in [("a", 1), ("b", 2), ("c", 3)] {
        fixture.target(server, port);
    }
    let mut table = LivenessTable::new(T0);
    let mut announce = |server: &str, offset, at| {
        let announcement = TargetAnnouncement {
            incarnation: 1,
            role: Some(TargetRole::Replica),
            term: 1,
            position: LogPosition::new(1, offset),
        };
        table.announce(at, ("d".into(), server.into()), announcement);
        table.clone()
    };
    let fenced = T0 + Micros::from_secs(1);
    let since = fenced + MAX_POSITION_AGE;
    announce("b", 5, fenced + Micros::from_millis(100));
    let table = announce("c", 4, fenced + Micros::from_millis(100));
    let select = |table: &LivenessTable, now| {
        let group = &fixture.state.databases()["d"];
        select_candidate(&fixture.state, table, &"d".into(), group, since, now)
    };
    let expected = CandidateChoice::TooFewAnswers { answers: 0, required: 2 };
    assert_eq!(select(&table, since), expected);
    announce("b", 5, since);
    let table = announce("c", 6, since);
    let CandidateChoice::Candidate(candidate) = select(&table, since) else {
        panic!("no candidate")
    };
    assert_eq!((candidate.server.as_str(), candidate.position.offset), ("c", 6));
}

/// Guards against a set of answers that contains neither of the two copies of an acknowledged write.
#[test]
fn answers_always_include_a_copy() {
    for servers in 1..9 {
        let required = required_answers(servers);
        assert!(required * 2 > servers && required <= servers);
        assert!(servers < 2 || required + 2 > servers);
    }
}

/// Guards against a placement that ignores the zone, or moves more targets than a lost entry held.
#[test]
fn rendezvous_prefers_the_zone_and_moves_little() {
    let entry = |number: usize, region: &str, zone: &str| EntryRecord {
        info: EntryInfo {
            host: format!("e{number}").into(),
            region: region.into(),
            zone: zone.into(),
            ..EntryInfo::default()
        },
        live: true,
        drained: false,
        joined_version: 0,
        version: 0,
    };
    let mut entries = Vec::new();
    for number in 0..12 {
        let zones = [("r1", "z1"), ("r1", "z2"), ("r2", "z3")];
        let (region, zone) = zones[number % 3];
        entries.push(entry(number, region, zone));
    }
    let info = TargetInfo { region: "r1".into(), zone: "z2".into(), ..TargetInfo::default() };
    let place = |entries: &[EntryRecord]| -> Vec<EntryRecord> {
        let pick = |number: usize| {
            let server = format!("s{number}").into();
            preferred_entry(entries.iter(), &"d".into(), &server, &info).unwrap().clone()
        };
        (0..200).map(pick).collect()
    };
    let before = place(&entries);
    assert!(before.iter().all(|entry| entry.info.zone.as_str() == "z2"));
    let lost = entries.remove(1).info.host;
    let after = place(&entries);
    for (old, new) in before.iter().zip(&after) {
        assert!(old.info.host == lost || old == new);
    }
    entries.retain(|entry| entry.info.zone.as_str() != "z2");
    assert!(place(&entries).iter().all(|entry| entry.info.region.as_str() == "r1"));
}

/// Guards against targets that stay with the entry that started first: a target that belongs to another
/// entry must move, with a release in between, once the set of entries has been stable.
#[test]
fn later_entries_get_their_share() {
    let mut fixture = Fixture::default();
    let mut table = LivenessTable::new(T0);
    let mut entries = vec![fixture.join("first")];
    for port in 0..12 {
        fixture.target(&format!("s{port}"), port);
    }
    let mut now = T0;
    let mut releasing = 0;
    for step in 0..600 {
        now += Micros::from_millis(100);
        if step == 40 {
            entries.extend([fixture.join("second"), fixture.join("third")]);
        }
        for entry in &entries {
            fixture.beat(&mut table, entry, 0, now);
            table.renew(&fixture.state, entry, now, now).unwrap();
        }
        for port in 0..12 {
            let announcement = TargetAnnouncement {
                incarnation: 1,
                role: Some(TargetRole::Replica),
                term: 1,
                position: LogPosition::ZERO,
            };
            table.announce(now, ("d".into(), format!("s{port}").into()), announcement);
        }
        for command in decide(&fixture.state, &mut table, now) {
            fixture.apply(&command);
        }
        let targets = fixture.state.databases()["d"].targets.values();
        releasing = releasing.max(targets.filter(|target| target.releasing.is_some()).count());
    }
    let mut held: BTreeMap<String, usize> = BTreeMap::new();
    for (server, target) in &fixture.state.databases()["d"].targets {
        let holder = target.broker.clone().unwrap().host;
        let records = fixture.state.entries().values();
        let best = preferred_entry(records, &"d".into(), server, &target.info).unwrap();
        assert_eq!(holder, best.info.host);
        *held.entry(holder.to_string()).or_default() += 1;
    }
    assert_eq!(held.len(), 3, "{held:?}");
    assert!((1..=REBALANCE_LIMIT).contains(&releasing), "{releasing} handovers at a time");
}
