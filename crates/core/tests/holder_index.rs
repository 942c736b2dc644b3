//! Compares the index from entry processes to the targets that they hold with a scan of all databases.

#![allow(clippy::unwrap_used)]

use {
    banyansill_core::{
        cluster::{
            BrokerRef, ChangeSet, ChangedItem, ClusterCommand, ClusterReply, ClusterState,
            EntryInfo, TargetInfo,
        },
        names::SharedName,
        state_machine::StateMachine,
    },
    proptest::prelude::*,
    std::collections::{BTreeMap, BTreeSet},
};

type HeldTargets = BTreeMap<BrokerRef, BTreeSet<(SharedName, SharedName)>>;

const HOSTS: u8 = 3;
const INCARNATIONS: u64 = 4;

/// A generated step; `command` fills in its preconditions from the state, so that most take effect.
#[derive(Clone, Debug)]
enum Step {
    Join(u8, u64),
    Expire(u8),
    Record(u8, u8, u64, bool),
    SetLive(u8, u8, bool),
    Assign(u8, u8, Option<u8>),
    StaleAssign(u8, u8, u8),
    Forget(u8, u8),
    Restore,
}

fn step() -> impl Strategy<Value = Step> {
    let host = || 0..HOSTS;
    let incarnation = || 0..INCARNATIONS;
    let database = || 0..3_u8;
    let server = || 0..3_u8;
    prop_oneof![
        3 => (host(), incarnation()).prop_map(|(host, number)| Step::Join(host, number)),
        1 => host().prop_map(Step::Expire),
        3 => (database(), server(), 1..4_u64, any::<bool>())
            .prop_map(|(database, server, number, leaving)| {
                Step::Record(database, server, number, leaving)
            }),
        1 => (database(), server(), any::<bool>())
            .prop_map(|(database, server, live)| Step::SetLive(database, server, live)),
        6 => (database(), server(), prop::option::weighted(0.7, host()))
            .prop_map(|(database, server, host)| Step::Assign(database, server, host)),
        1 => (database(), server(), host())
            .prop_map(|(database, server, host)| Step::StaleAssign(database, server, host)),
        1 => (database(), server())
            .prop_map(|(database, server)| Step::Forget(database, server)),
        1 => Just(Step::Restore),
    ]
}

fn host(number: u8) -> SharedName {
    format!("entry-{number}").into()
}

fn key(database: u8, server: u8) -> (SharedName, SharedName) {
    (format!("db-{database}").into(), format!("server-{server}").into())
}

/// Returns the command of a step, or `None` if the step restores a snapshot.
fn command(state: &ClusterState, step: &Step) -> Option<ClusterCommand> {
    let target = |(database, server): &(SharedName, SharedName)| state.target(database, server);
    let process = |number| {
        let incarnation = state.entries().get(&host(number)).map_or(0, |e| e.info.incarnation);
        BrokerRef { host: host(number), incarnation }
    };
    let command = match *step {
        Step::Join(number, incarnation) => {
            let entry = EntryInfo { host: host(number), incarnation, ..EntryInfo::default() };
            ClusterCommand::JoinEntry { entry }
        }
        Step::Expire(number) => {
            let expected_version = state.entries().get(&host(number)).map_or(0, |e| e.version);
            ClusterCommand::ExpireEntry { host: host(number), expected_version }
        }
        Step::Record(database, server, incarnation, leaving) => {
            let address = format!("127.0.0.1:{}", database * 10 + server).into();
            let info = TargetInfo { address, incarnation, leaving, ..TargetInfo::default() };
            let (database, server) = key(database, server);
            ClusterCommand::RecordTarget { database, server, info }
        }
        Step::SetLive(database, server, live) => {
            let key = key(database, server);
            let expected_version = target(&key).map_or(0, |target| target.version);
            let (database, server) = key;
            ClusterCommand::SetTargetLive { database, server, expected_version, live }
        }
        Step::Assign(database, server, number) => {
            let key = key(database, server);
            let expected_epoch = target(&key).map_or(0, |target| target.epoch);
            let (database, server) = key;
            let broker = number.map(process);
            ClusterCommand::AssignBroker { database, server, expected_epoch, broker }
        }
        Step::StaleAssign(database, server, number) => {
            let key = key(database, server);
            let expected_epoch = target(&key).map_or(1, |target| target.epoch + 1);
            let (database, server) = key;
            let broker = Some(process(number));
            ClusterCommand::AssignBroker { database, server, expected_epoch, broker }
        }
        Step::Forget(database, server) => {
            let key = key(database, server);
            let expected_version = target(&key).map_or(0, |target| target.version);
            let (database, server) = key;
            ClusterCommand::ForgetTarget { database, server, expected_version }
        }
        Step::Restore => return None,
    };
    Some(command)
}

fn scan(state: &ClusterState) -> HeldTargets {
    let mut held = HeldTargets::new();
    for (database, group) in state.databases() {
        for (server, target) in &group.targets {
            for holder in target.broker.iter().chain(target.releasing.iter()) {
                let key = (database.clone(), server.clone());
                held.entry(holder.clone()).or_default().insert(key);
            }
        }
    }
    held
}

/// Compares the index with a scan for every process that can occur, so that stale index entries are
/// found too.
fn check_index(state: &ClusterState) {
    let held = scan(state);
    let targets = state.databases().values().flat_map(|group| group.targets.values());
    let releasing = targets.filter(|target| target.releasing.is_some()).count();
    assert_eq!(state.releasing_count(), releasing);
    for number in 0..HOSTS {
        let mut of_host = BTreeSet::new();
        for incarnation in 0..INCARNATIONS {
            let process = BrokerRef { host: host(number), incarnation };
            let expected = held.get(&process).cloned().unwrap_or_default();
            let found: Vec<_> = state.held_by(&process).cloned().collect();
            assert_eq!(found, expected.iter().cloned().collect::<Vec<_>>(), "{process:?}");
            of_host.extend(expected);
        }
        let found: BTreeSet<_> = state.held_by_host(&host(number)).cloned().collect();
        assert_eq!(found, of_host, "host {number}");
    }
}

/// Returns the databases with a target whose broker, according to a scan, is the process that expires
/// or any process of the host that joins.
fn affected(before: &ClusterState, step: &Step) -> BTreeSet<SharedName> {
    let mut names = BTreeSet::new();
    for (holder, targets) in scan(before) {
        for (database, server) in targets {
            let target = before.target(&database, &server).unwrap();
            let is_affected = target.broker.as_ref() == Some(&holder)
                && match step {
                    Step::Join(number, _) => holder.host == host(*number),
                    Step::Expire(number) => {
                        let record = &before.entries()[&host(*number)];
                        holder.host == host(*number)
                            && record.info.incarnation == holder.incarnation
                    }
                    _ => false,
                };
            if is_affected {
                names.insert(database);
            }
        }
    }
    names
}

/// Returns whether a step expires a process, or joins an entry that is new, was not live or has changed
/// properties.
///
/// Only then must the databases of `affected` be listed as changed.
fn replaces_process(before: &ClusterState, after: &ClusterState, step: &Step) -> bool {
    match step {
        Step::Expire(_) => true,
        Step::Join(number, _) => {
            let Some(old) = before.entries().get(&host(*number)) else { return true };
            !old.live || old.info != after.entries()[&host(*number)].info
        }
        _ => false,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against an index that misses a broker assignment, which would then outlive its entry, or
    /// that retains a revoked one, also on a replica that was restored from a snapshot.
    #[test]
    fn index_equals_a_scan(steps in prop::collection::vec(step(), 1..120)) {
        let mut state = ClusterState::default();
        let mut restored = ClusterState::default();
        for (index, step) in (1_u64..).zip(&steps) {
            let Some(command) = command(&state, step) else {
                let snapshot = restored.snapshot();
                restored = ClusterState::default();
                restored.restore(&snapshot).unwrap();
                check_index(&restored);
                continue;
            };
            let before = state.clone();
            let reply = state.apply(index, &command.encode());
            prop_assert_eq!(&reply, &restored.apply(index, &command.encode()));
            check_index(&state);
            check_index(&restored);
            let changed = matches!(reply, ClusterReply::Done { changed: true, .. });
            if changed && replaces_process(&before, &state, step) {
                let listed = state.changes_since(before.version());
                let expected = affected(&before, step);
                if let ChangeSet::Items(items) = listed {
                    let mut found = BTreeSet::new();
                    for item in items {
                        if let ChangedItem::Database(name) = item {
                            found.insert(name);
                        }
                    }
                    prop_assert_eq!(found, expected);
                }
            }
            if let Step::Expire(number) = step
                && changed
            {
                let incarnation = state.entries()[&host(*number)].info.incarnation;
                let expired = BrokerRef { host: host(*number), incarnation };
                for (database, server) in state.held_by(&expired) {
                    let target = state.target(database, server).unwrap();
                    prop_assert!(target.broker.as_ref() != Some(&expired));
                }
            }
        }
        prop_assert_eq!(state.snapshot(), restored.snapshot());
    }
}

/// Guards against a broker assignment that remains in the index when a snapshot from before the
/// assignment is restored over a newer state.
#[test]
fn restore_replaces_the_index() {
    let mut state = ClusterState::default();
    let entry = EntryInfo { host: host(0), incarnation: 1, ..EntryInfo::default() };
    state.apply(1, &ClusterCommand::JoinEntry { entry }.encode());
    let (database, server) = key(0, 0);
    let info = TargetInfo { address: "127.0.0.1:1".into(), ..TargetInfo::default() };
    let record = ClusterCommand::RecordTarget { database, server, info };
    state.apply(2, &record.encode());
    let early = state.snapshot();
    let (database, server) = key(0, 0);
    let holder = BrokerRef { host: host(0), incarnation: 1 };
    let broker = Some(holder.clone());
    let assign = ClusterCommand::AssignBroker { database, server, expected_epoch: 0, broker };
    state.apply(3, &assign.encode());
    assert_eq!(state.held_by(&holder).count(), 1);
    state.restore(&early).unwrap();
    assert_eq!(state.held_by(&holder).count(), 0);
    check_index(&state);
}
