//! Teams: validation of their keys, look-up in an entry's routing table and the holders of their connections.

use {
    banyansill_core::{
        directory::{
            DirectoryCommand, DirectoryState, DirectoryUpdate, KeyDigest, ProcessHost, ReportOrder,
            RouteDraft, RouteFault, TargetReport, TargetState, TeamLimit, TeamRule,
        },
        gateway::{
            ConnectionRule, ConnectionShare, DirectEntries, RoutingTable, connection_share,
            direct_entries, team_holders,
        },
        names::SharedName,
        route::TargetRole,
        state_machine::StateMachine,
    },
    std::collections::BTreeMap,
};

fn team(name: &str, keys: &[&str]) -> TeamRule {
    let keys = keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect();
    TeamRule { team: name.into(), keys, limit: Some(TeamLimit { rate: 5_000, burst: 5 }) }
}

fn draft(version: u64, teams: Vec<TeamRule>) -> RouteDraft {
    RouteDraft { version, teams, ..RouteDraft::default() }
}

fn apply(state: &mut DirectoryState, index: u64, draft: RouteDraft) {
    let document = "".into();
    let command = DirectoryCommand::ApplyRoutes { draft, document };
    let _ = state.apply(index, &command.encode());
}

fn owner(table: &RoutingTable, key: &str) -> Option<SharedName> {
    table.keys.get(&KeyDigest::of(key.as_bytes())).cloned()
}

// Guards against a key that identifies two teams: its caller could be served as either.
#[test]
fn a_key_belongs_to_one_team() {
    let shared = draft(1, vec![team("a", &["k1", "k2"]), team("b", &["k3", "k2"])]);
    let fault = RouteFault::SharedKey { first: "a".into(), second: "b".into() };
    assert_eq!(shared.check(), Err(vec![fault]));
    let twice = draft(1, vec![team("a", &["k1"]), team("a", &["k2"])]);
    assert_eq!(twice.check(), Err(vec![RouteFault::DuplicateTeam { team: "a".into() }]));
    assert_eq!(draft(1, vec![team("a", &["k1", "k1"]), team("b", &["k2"])]).check(), Ok(()));
}

// Guards against a digest that shows in logs, and against a stored one that no longer matches its key.
#[test]
fn digests_are_hidden_and_survive_storage() {
    let digest = KeyDigest::of(b"secret");
    assert_eq!(format!("{digest:?}"), "KeyDigest(..)");
    let stored = serde_json::to_string(&digest).expect("a string");
    assert_eq!(serde_json::from_str::<KeyDigest>(&stored).expect("a digest"), digest);
    assert_eq!(KeyDigest::from_bytes(digest.as_bytes()), Some(digest));
    assert_eq!(KeyDigest::from_bytes(&[0; 4]), None);
}

// Guards against a withdrawn key that stays in an entry's table, also if it moves to another team in the same update
// or the entry gets the whole directory instead of the difference.
#[test]
fn tables_follow_added_moved_and_withdrawn_keys() {
    let mut state = DirectoryState::default();
    apply(&mut state, 1, draft(1, vec![team("a", &["k1", "k2"]), team("b", &["k3"])]));
    let first = state.update_since(0).expect("an update");
    let table = RoutingTable::default().updated(first).expect("a newer table");
    assert_eq!(owner(&table, "k2"), Some("a".into()));

    apply(&mut state, 2, draft(2, vec![team("a", &["k3"]), team("b", &["k2"])]));
    let moved = state.update_since(1).expect("an update");
    for update in orders(moved) {
        let table = table.updated(update).expect("a newer table");
        assert_eq!(owner(&table, "k1"), None, "withdrawn");
        assert_eq!(owner(&table, "k2"), Some("b".into()), "moved");
        assert_eq!(owner(&table, "k3"), Some("a".into()), "moved");
    }
    apply(&mut state, 3, draft(3, vec![team("b", &["k2"])]));
    let table = table.updated(state.update_since(1).expect("an update")).expect("a newer table");
    assert_eq!(owner(&table, "k3"), None, "its team was removed");
    assert_eq!(table.teams.len(), 1);

    let mut restored = DirectoryState::default();
    restored.restore(&state.snapshot()).expect("a snapshot");
    let whole = restored.update_since(0).expect("an update");
    let table = RoutingTable::default().updated(whole).expect("a newer table");
    assert_eq!(table.keys.len(), 1);
    assert_eq!(owner(&table, "k2"), Some("b".into()));
}

/// Returns the update with its teams in both orders.
fn orders(update: DirectoryUpdate) -> Vec<DirectoryUpdate> {
    let mut reversed = update.clone();
    reversed.teams.reverse();
    vec![update, reversed]
}

fn hosts(count: usize, zones: usize) -> Vec<ProcessHost> {
    let mut hosts = Vec::new();
    for number in 0..count {
        let host = SharedName::from(format!("e{number}"));
        let zone = SharedName::from(format!("z{}", number % zones));
        hosts.push(ProcessHost { address: host.clone(), host, zone });
    }
    hosts
}

fn report(target: &str, zone: &str) -> TargetReport {
    TargetReport {
        target: target.into(),
        group: "g".into(),
        address: "10.0.0.1:1".into(),
        zone: zone.into(),
        slots: 4,
        state: TargetState::Ready,
        role: TargetRole::Replica,
        order: ReportOrder::default(),
    }
}

// Guards against entries that disagree on who holds a team's connections, which would open one for each entry, against
// holders outside the target's zone, and against shares that together exceed the target's limit.
#[test]
fn few_entries_hold_a_teams_connections() {
    for (entries, connections) in [(15, 71), (139, 112), (2_700, 112)] {
        let entries = hosts(entries, 6);
        let rule = ConnectionRule { connections, by_team: true };
        let report = report("i-1", "z2");
        let DirectEntries::Relays(relays) = direct_entries(&report, true, rule, &entries) else {
            panic!("connections of teams are never spread over all entries");
        };
        let relays: Vec<ProcessHost> = relays.into_iter().cloned().collect();
        assert!(relays.iter().all(|relay| &*relay.zone == "z2"));
        let mut open = 0;
        for entry in &entries {
            if let ConnectionShare::Direct(own) =
                connection_share(entry, &report, true, rule, &entries)
            {
                assert!(relays.contains(entry));
                open += own;
            }
        }
        assert!(open <= connections, "{open} connections of {connections}");

        let mut teams_by_host: BTreeMap<SharedName, usize> = BTreeMap::new();
        for number in 0..86 {
            let holders = team_holders(&format!("t{number}"), &relays);
            assert_eq!(holders.len(), relays.len(), "each entry may take over");
            *teams_by_host.entry(holders[0].host.clone()).or_default() += 1;
            let without_first: Vec<ProcessHost> =
                relays.iter().filter(|relay| **relay != holders[0]).cloned().collect();
            let successors = team_holders(&format!("t{number}"), &without_first);
            assert_eq!(successors[..], holders[1..], "only the lost holder's teams move");
        }
        let most = teams_by_host.values().max().copied().unwrap_or_default();
        let mean = 86 / relays.len().max(1);
        assert!(most <= 3 * mean + 6, "{most} teams at one holder, {mean} on average");
    }
}
