//! Tests of the selection of a target.

use {
    banyansill_core::{
        failure::FailureKind,
        position::LogTerm,
        route::{ChoiceQuery, DatabaseRoute, FailedTry, TargetRole, TargetRoute, choose_target},
        sheet::{RuleSheet, SheetRule},
    },
    proptest::prelude::*,
};

fn rule(access: &str, targets: &str, max_age: &str) -> SheetRule {
    let header = "database,application,kind,access,targets,max_age_ms,ack,repeatable,priority,\
                  deadline_ms,max_concurrent";
    let text = format!("{header}\n*,*,*,{access},{targets},{max_age},primary,yes,1,1000,\n");
    RuleSheet::parse(text.as_bytes()).expect("a valid sheet").rules()[0].clone()
}

fn target(server: &str, role: TargetRole, location: (&str, &str)) -> TargetRoute {
    TargetRoute {
        server: server.into(),
        address: "".into(),
        replication_address: "".into(),
        region: location.0.into(),
        zone: location.1.into(),
        role,
        broker: "host".into(),
        broker_address: "".into(),
        epoch: 3,
        slots: 1,
        connections: 1,
        live: true,
        draining: false,
    }
}

fn group() -> DatabaseRoute {
    DatabaseRoute {
        term: LogTerm(1),
        primary: Some("p".into()),
        targets: vec![
            target("p", TargetRole::Primary, ("east", "e1")),
            target("far", TargetRole::Replica, ("west", "w1")),
            target("region", TargetRole::Replica, ("east", "e2")),
            target("zone-a", TargetRole::Replica, ("east", "e1")),
            target("zone-b", TargetRole::Replica, ("east", "e1")),
        ],
        ..DatabaseRoute::default()
    }
}

const fn query<'a>(rule: &'a SheetRule, tries: &'a [FailedTry], random: u64) -> ChoiceQuery<'a> {
    ChoiceQuery {
        rule,
        write: false,
        floor_known: true,
        region: "east",
        zone: "e1",
        last_replica: None,
        tries,
        random,
    }
}

fn chosen(route: &DatabaseRoute, query: &ChoiceQuery<'_>) -> Result<String, FailureKind> {
    choose_target(route, query).map(|target| target.server.to_string())
}

fn failed(server: &str, epoch: u64, kind: FailureKind) -> FailedTry {
    FailedTry { server: server.into(), epoch, kind }
}

// Guards against reads that cross regions unnecessarily, and against one replica that gets all
// reads.
#[test]
fn nearest_replicas_share_the_reads() {
    let rule = rule("read", "any", "1000");
    let route = group();
    assert_eq!(chosen(&route, &query(&rule, &[], 0)).unwrap(), "zone-a");
    assert_eq!(chosen(&route, &query(&rule, &[], 1)).unwrap(), "zone-b");
    assert_eq!(chosen(&route, &query(&rule, &[], 2)).unwrap(), "zone-a");
}

// Guards against a refusal although an untried target is left, and against trying a target twice.
#[test]
fn failed_tries_lead_to_the_next_target() {
    let rule = rule("read", "any", "1000");
    let route = group();
    let mut tries = Vec::new();
    let mut order = Vec::new();
    for kind in [
        FailureKind::TooStale,
        FailureKind::Unreachable,
        FailureKind::WrongEpoch,
        FailureKind::Leaving,
        FailureKind::TooStale,
    ] {
        let server = chosen(&route, &query(&rule, &tries, 0)).unwrap();
        tries.push(failed(&server, 3, kind));
        order.push(server);
    }
    assert_eq!(order, ["zone-a", "zone-b", "region", "far", "p"]);
    assert_eq!(chosen(&route, &query(&rule, &tries, 0)), Err(FailureKind::TooStale));
}

// Guards against a target that stays excluded after it got a new broker.
#[test]
fn newer_epoch_may_be_tried_again() {
    let rule = rule("write", "primary", "");
    let tries = [failed("p", 3, FailureKind::WrongEpoch)];
    let mut route = group();
    let write = ChoiceQuery { write: true, ..query(&rule, &tries, 0) };
    assert_eq!(chosen(&route, &write), Err(FailureKind::WrongEpoch));
    route.targets[0].epoch = 4;
    assert_eq!(chosen(&route, &write).unwrap(), "p");
}

// Guards against new work for targets that are down, leaving or without a broker.
#[test]
fn unusable_targets_get_nothing() {
    let rule = rule("read", "any", "1000");
    for change in [
        |target: &mut TargetRoute| target.live = false,
        |target: &mut TargetRoute| target.draining = true,
        |target: &mut TargetRoute| target.broker = "".into(),
    ] {
        let mut route = group();
        change(&mut route.targets[3]);
        change(&mut route.targets[4]);
        assert_eq!(chosen(&route, &query(&rule, &[], 0)).unwrap(), "region");
        change(&mut route.targets[0]);
        let write = ChoiceQuery { write: true, ..query(&rule, &[], 0) };
        assert!(chosen(&route, &write).is_err());
    }
}

// Guards against selecting targets that the sheet does not allow.
#[test]
fn sheet_limits_the_targets() {
    let route = group();
    let primary = rule("read", "primary", "");
    assert_eq!(chosen(&route, &query(&primary, &[], 0)).unwrap(), "p");
    let fresh = rule("read", "any", "0");
    assert_eq!(chosen(&route, &query(&fresh, &[], 0)).unwrap(), "p");
    let replica = rule("read", "replica", "1000");
    let mut only = group();
    only.targets.truncate(1);
    assert_eq!(chosen(&only, &query(&replica, &[], 0)), Err(FailureKind::TooStale));
    let any = rule("read", "any", "1000");
    let unknown = ChoiceQuery { floor_known: false, ..query(&any, &[], 0) };
    assert_eq!(chosen(&route, &unknown).unwrap(), "p");
}

// Guards against writes while the term is closed, and against reads that are refused along with
// them.
#[test]
fn closed_term_stops_writes_only() {
    let rule = rule("read", "any", "1000");
    let route = DatabaseRoute { closed: true, ..group() };
    let write = ChoiceQuery { write: true, ..query(&rule, &[], 0) };
    assert_eq!(chosen(&route, &write), Err(FailureKind::NoPrimary));
    assert_eq!(chosen(&route, &query(&rule, &[], 0)).unwrap(), "zone-a");
}

proptest! {
    // Guards against selecting a target that is not live, is draining, was tried already or must
    // not serve the request.
    #[test]
    fn choices_are_allowed(
        states in prop::collection::vec((any::<bool>(), any::<bool>(), any::<bool>()), 5),
        write in any::<bool>(),
        floor_known in any::<bool>(),
        random in any::<u64>(),
    ) {
        let mut route = group();
        let mut tries = Vec::new();
        for (target, (live, draining, tried)) in route.targets.iter_mut().zip(states) {
            target.live = live;
            target.draining = draining;
            if tried {
                tries.push(failed(&target.server, 3, FailureKind::Unreachable));
            }
        }
        let rule = rule("read", "any", "1000");
        let query = ChoiceQuery { write, floor_known, ..query(&rule, &tries, random) };
        if let Ok(target) = choose_target(&route, &query) {
            prop_assert!(target.live && !target.draining);
            prop_assert!(tries.iter().all(|failed| failed.server != target.server));
            let primary = target.server.as_str() == "p";
            prop_assert!(primary || (!write && floor_known));
        }
    }
}
