//! Compares the cluster state with a reference model, and its replicas with each other.

#![allow(clippy::unwrap_used)]

use {
    banyansill_core::{
        cluster::{
            BrokerRef, CHANGES_KEPT, ChangeSet, ChangedItem, ClusterCommand, ClusterRejection,
            ClusterReply, ClusterState, EntryInfo, MAX_STORED_REPLIES, TargetInfo, sheet_digest,
        },
        position::LogPosition,
        state_machine::StateMachine,
    },
    proptest::prelude::*,
    std::collections::HashMap,
};

/// Reference model of sheets and requests: a single copy with an unbounded history.
#[derive(Default)]
struct ReferenceModel {
    accepted: Vec<(u64, String, String, u64)>,
    replies: HashMap<String, ClusterReply>,
}

impl ReferenceModel {
    fn apply(&mut self, index: u64, command: &ClusterCommand) -> ClusterReply {
        let ClusterCommand::ApplySheet { number, content, operator, request_id } = command else {
            panic!("not a sheet")
        };
        if let Some(reply) = self.replies.get(request_id) {
            return reply.clone();
        }
        let highest = self.accepted.iter().max_by_key(|sheet| sheet.0).cloned();
        let same = self.accepted.iter().find(|sheet| sheet.0 == *number).cloned();
        let reply = match (same, highest) {
            (Some((_, text, _, version)), _) if text == *content => {
                ClusterReply::Done { version, changed: false }
            }
            (Some((number, text, operator, _)), _) => conflict(number, &text, operator),
            (None, Some((high, text, winner, _))) if high > *number => {
                conflict(high, &text, winner)
            }
            (None, _) => {
                self.accepted.push((*number, content.clone(), operator.clone(), index));
                ClusterReply::Done { version: index, changed: true }
            }
        };
        if !request_id.is_empty() {
            self.replies.insert(request_id.clone(), reply.clone());
        }
        reply
    }
}

fn conflict(number: u64, content: &str, operator: String) -> ClusterReply {
    let digest = sheet_digest(content.as_bytes());
    ClusterReply::Rejected(ClusterRejection::SheetConflict { number, digest, operator })
}

fn sheet(number: u64, content: u8, operator: u8, id: u8) -> ClusterCommand {
    ClusterCommand::ApplySheet {
        number,
        content: format!("content {content}"),
        operator: format!("operator {operator}"),
        request_id: if id == 0 { String::new() } else { format!("request {id}") },
    }
}

fn restored(state: &ClusterState) -> ClusterState {
    let mut copy = ClusterState::default();
    copy.restore(&state.snapshot()).unwrap();
    copy
}

fn command() -> impl Strategy<Value = ClusterCommand> {
    let host = || (0..3_u8).prop_map(|number| format!("entry-{number}").into());
    let server = || (0..3_u8).prop_map(|number| format!("server-{number}").into());
    let database = || (0..2_u8).prop_map(|number| format!("db-{number}").into());
    let small = || 0..5_u64;
    prop_oneof![
        (host(), small(), any::<bool>()).prop_map(|(host, incarnation, draining)| {
            let entry = EntryInfo { host, incarnation, draining, ..EntryInfo::default() };
            ClusterCommand::JoinEntry { entry }
        }),
        (host(), 0..60_u64).prop_map(|(host, expected_version)| {
            ClusterCommand::ExpireEntry { host, expected_version }
        }),
        (host(), any::<bool>(), 0..4_u8).prop_map(|(host, drain, id)| {
            ClusterCommand::DrainEntry { host, drain, request_id: format!("drain {id}") }
        }),
        (database(), server(), small(), 0..4_u16, any::<bool>()).prop_map(
            |(database, server, incarnation, port, leaving)| {
                let address = format!("127.0.0.1:{port}").into();
                let info = TargetInfo { address, incarnation, leaving, ..TargetInfo::default() };
                ClusterCommand::RecordTarget { database, server, info }
            }
        ),
        (database(), server(), 0..60_u64, any::<bool>()).prop_map(
            |(database, server, expected_version, live)| {
                ClusterCommand::SetTargetLive { database, server, expected_version, live }
            }
        ),
        (database(), server(), 0..60_u64).prop_map(|(database, server, expected_version)| {
            ClusterCommand::ForgetTarget { database, server, expected_version }
        }),
        (database(), server(), small(), prop::option::of((host(), small()))).prop_map(
            |(database, server, expected_epoch, broker)| {
                let broker = broker.map(|(host, incarnation)| BrokerRef { host, incarnation });
                ClusterCommand::AssignBroker { database, server, expected_epoch, broker }
            }
        ),
        (database(), server(), small(), small()).prop_map(
            |(database, server, incarnation, term)| {
                let start = LogPosition::ZERO;
                ClusterCommand::AdoptPrimary { database, server, incarnation, term, start }
            }
        ),
        (database(), small(), any::<bool>()).prop_map(|(database, expected_term, planned)| {
            ClusterCommand::CloseTerm { database, expected_term, planned }
        }),
        (database(), small(), small(), server(), small()).prop_map(
            |(database, expected_term, expected_candidate_term, candidate, incarnation)| {
                ClusterCommand::ChooseCandidate {
                    database,
                    expected_term,
                    expected_candidate_term,
                    candidate,
                    incarnation,
                    position: LogPosition::ZERO,
                }
            }
        ),
        (database(), small(), server(), small()).prop_map(
            |(database, expected_term, candidate, term)| {
                let start = LogPosition::ZERO;
                ClusterCommand::Promote { database, expected_term, candidate, term, start }
            }
        ),
        (small(), 0..3_u8, 0..2_u8, 0..4_u8)
            .prop_map(|(number, content, operator, id)| sheet(number, content, operator, id)),
    ]
}

/// Checks the values that must never decrease: broker epochs and incarnations by target, incarnations
/// by entry, terms by group, the sheet number.
fn check_monotonic(before: &ClusterState, after: &ClusterState) {
    let number = |state: &ClusterState| state.sheet().map_or(0, |record| record.number);
    assert!(number(before) <= number(after), "the sheet number decreased");
    for (name, group) in before.databases() {
        let now = &after.databases()[name];
        assert!(group.term <= now.term && group.candidate_term <= now.candidate_term);
        assert!(now.history.windows(2).all(|pair| pair[0].term < pair[1].term));
        for (server, target) in &group.targets {
            // A target that was removed may return; its values start over.
            let Some(now) = now.targets.get(server) else { continue };
            assert!(target.epoch <= now.epoch, "the epoch of {server} decreased");
            assert!(target.broker == now.broker || target.epoch < now.epoch);
            assert!(target.info.incarnation <= now.info.incarnation);
        }
    }
    for (host, entry) in before.entries() {
        assert!(entry.info.incarnation <= after.entries()[host].info.incarnation);
    }
}

/// Checks that a watcher that applies the listed changes to an old copy arrives at the current state.
fn check_changes(old: &ClusterState, new: &ClusterState) {
    let ChangeSet::Items(items) = new.changes_since(old.version()) else {
        let set = new.changes_since(old.version());
        assert!(set == ChangeSet::Reset || old.version() == new.version());
        return;
    };
    for (name, group) in new.databases() {
        let listed = items.contains(&ChangedItem::Database(name.clone()));
        assert!(listed || old.databases().get(name) == Some(group), "{name} is not listed");
    }
    for (host, entry) in new.entries() {
        let listed = items.contains(&ChangedItem::Entry(host.clone()));
        assert!(listed || old.entries().get(host) == Some(entry), "{host} is not listed");
    }
    assert!(items.contains(&ChangedItem::Sheet) || old.sheet() == new.sheet());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against two operators whose sheets with the same number are both accepted, and against
    /// retries that get a different reply after a snapshot or from a replica that becomes leader.
    #[test]
    fn sheets_and_retries_match_the_reference_model(
        steps in prop::collection::vec((1..6_u64, 0..3_u8, 0..3_u8, 0..6_u8, any::<bool>()), 1..60),
    ) {
        let mut model = ReferenceModel::default();
        let mut state = ClusterState::default();
        for (index, (number, content, operator, id, snapshot)) in (1_u64..).zip(steps) {
            let command = sheet(number, content, operator, id);
            prop_assert_eq!(state.apply(index, &command.encode()), model.apply(index, &command));
            if snapshot {
                state = restored(&state);
            }
            let newest = model.accepted.iter().max_by_key(|sheet| sheet.0).unwrap();
            prop_assert_eq!(state.sheet().unwrap().number, newest.0);
            prop_assert_eq!(state.sheet_content(), &newest.1);
        }
    }

    /// Guards against replicas that diverge after a snapshot, values that decrease, and changes that a
    /// watcher is not notified of.
    #[test]
    fn replicas_stay_equal_and_values_never_decrease(
        commands in prop::collection::vec((command(), any::<bool>()), 1..60),
        watched in 0..60_usize,
    ) {
        let mut state = ClusterState::default();
        let mut other = ClusterState::default();
        let mut watcher = ClusterState::default();
        for (position, (command, snapshot)) in commands.iter().enumerate() {
            let index = u64::try_from(position).unwrap() + 1;
            let before = state.clone();
            let reply = state.apply(index, &command.encode());
            prop_assert_eq!(&reply, &other.apply(index, &command.encode()));
            check_monotonic(&before, &state);
            let changed = before.snapshot() != state.snapshot();
            if let ClusterReply::Rejected(_) = reply {
                prop_assert_eq!(before.version(), state.version());
            } else {
                prop_assert!(changed || before.version() == state.version());
            }
            if *snapshot {
                other = restored(&other);
            }
            if position == watched {
                watcher = state.clone();
            }
            check_changes(&watcher, &state);
        }
        prop_assert_eq!(state.snapshot(), other.snapshot());
    }

    /// Guards against a command that takes effect twice when it is proposed again.
    #[test]
    fn repeated_commands_change_nothing(commands in prop::collection::vec(command(), 1..60)) {
        let mut state = ClusterState::default();
        for (index, command) in (1_u64..).zip(commands) {
            state.apply(index * 2, &command.encode());
            let version = state.version();
            let reply = state.apply(index * 2 + 1, &command.encode());
            prop_assert_eq!(state.version(), version, "{:?} gave {:?}", command, reply);
        }
    }
}

/// Guards against a late announcement by the previous owner of an address that replaces the new
/// owner.
#[test]
fn reused_address_stays_with_the_newer_target() {
    let mut state = ClusterState::default();
    let mut index = 0;
    let mut record = |server: &str, incarnation| {
        index += 1;
        let info =
            TargetInfo { address: "127.0.0.1:1".into(), incarnation, ..TargetInfo::default() };
        let (database, server) = ("db".into(), server.into());
        let reply =
            state.apply(index, &ClusterCommand::RecordTarget { database, server, info }.encode());
        (reply, state.clone())
    };
    record("old", 1);
    let (reply, state) = record("new", 2);
    assert!(matches!(reply, ClusterReply::Done { changed: true, .. }));
    assert!(!state.target("db", "old").unwrap().live);
    let (reply, after) = record("old", 1);
    assert!(matches!(reply, ClusterReply::Rejected(ClusterRejection::AddressTaken { .. })));
    assert_eq!(after.snapshot(), state.snapshot());
    let (reply, _) = record("new", 1);
    assert!(matches!(
        reply,
        ClusterReply::Rejected(ClusterRejection::OldIncarnation { recorded: 2 })
    ));
}

/// Guards against a request table that grows without bound, or that evicts recent replies.
#[test]
fn request_table_is_bounded() {
    let mut state = ClusterState::default();
    let entry = EntryInfo { host: "e".into(), ..EntryInfo::default() };
    state.apply(1, &ClusterCommand::JoinEntry { entry }.encode());
    let drain = |number: usize| {
        let (host, drain) = ("e".into(), number.is_multiple_of(2));
        ClusterCommand::DrainEntry { host, drain, request_id: format!("r{number}") }.encode()
    };
    let count = MAX_STORED_REPLIES + 10;
    for number in 0..count {
        state.apply(u64::try_from(number).unwrap() + 2, &drain(number));
    }
    let version = state.version();
    let mut copy = restored(&state);
    for number in count - MAX_STORED_REPLIES..count {
        copy.apply(1_000_000, &drain(number));
    }
    assert_eq!(copy.version(), version);
    copy.apply(1_000_000, &drain(0));
    assert_eq!(copy.version(), 1_000_000);
}

/// Guards against a watcher that is far behind and gets only a part of the changes that it missed, and
/// against a lagging replica that sets a watcher back to an older version.
#[test]
fn old_and_future_versions_are_distinguished() {
    let mut state = ClusterState::default();
    let join = |incarnation| {
        let entry = EntryInfo { host: "e".into(), incarnation, ..EntryInfo::default() };
        ClusterCommand::JoinEntry { entry }.encode()
    };
    let last = u64::try_from(CHANGES_KEPT).unwrap() + 2;
    for index in 1..=last {
        state.apply(index, &join(index));
    }
    assert_eq!(state.changes_since(1), ChangeSet::Reset);
    assert!(matches!(state.changes_since(2), ChangeSet::Items(_)));
    assert_eq!(state.changes_since(last), ChangeSet::Unchanged);
    assert_eq!(state.changes_since(last + 1), ChangeSet::Ahead);
    assert_eq!(restored(&state).changes_since(last - 1), ChangeSet::Reset);
}

/// Guards against a corrupt snapshot that is restored in part.
#[test]
fn corrupt_snapshot_is_refused() {
    let mut state = ClusterState::default();
    state.apply(1, &sheet(1, 1, 1, 1).encode());
    let before = state.snapshot();
    assert!(state.restore(&before[..before.len() / 2]).is_err());
    assert_eq!(state.snapshot(), before);
    assert!(matches!(
        state.apply(2, b"no command"),
        ClusterReply::Rejected(ClusterRejection::Malformed { .. })
    ));
}
