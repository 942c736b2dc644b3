//! The replicated directory, the failure detection of primaries and the repair of the set of control replicas.

use banyansill_core::{
    compression::{MAX_COMMAND_BYTES, compress, decompress},
    consensus::{
        MemberContact, MemberRecord, RepairReason, RepairStep, ReplicaIdentity, WaitingReplica,
        next_repair,
    },
    directory::{
        CandidateAnswer, DirectoryCommand, DirectoryReply, DirectoryState, EarlierOrder, FinalLog,
        GroupRule, MAX_REPORT_NAME_BYTES, MAX_TARGET_SLOTS, PrimaryEvidence, PrimaryVerdict,
        ProcessHost, ProcessKind, PromotionRecord, ReadRule, ReportFault, ReportOrder, RouteDraft,
        RouteFault, RouteRule, ServerLog, TargetReport, TargetState, choose_candidate,
        choose_successor, keep_ordered,
    },
    gateway::RoutingTable,
    log_rate_limit::LogRateLimiter,
    names::SharedName,
    position::{LogPosition, LogTerm},
    route::TargetRole,
    state_machine::StateMachine,
    time::Micros,
};

const fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

fn route(database: &str, group: &str) -> RouteRule {
    RouteRule {
        database: database.into(),
        path: "/".into(),
        group: group.into(),
        reads: ReadRule::Latest,
        statement_timeout: ms(1_000),
        latency_goal: ms(500),
        priority: 1,
        public: true,
    }
}

fn draft(version: u64, databases: &[&str]) -> RouteDraft {
    let mut routes = Vec::new();
    for database in databases {
        routes.push(route(database, "g"));
    }
    let groups = vec![GroupRule { group: "g".into(), connections: 71, sync_replicas: 0 }];
    RouteDraft { version, routes, groups, ..RouteDraft::default() }
}

fn report(target: &str, sequence: u64) -> TargetReport {
    TargetReport {
        target: target.into(),
        group: "g".into(),
        address: format!("10.0.0.1:{}", target.len()).into(),
        zone: "z".into(),
        slots: 5,
        state: TargetState::Ready,
        role: TargetRole::Replica,
        order: ReportOrder { incarnation: 7, sequence },
    }
}

struct Directory {
    state: DirectoryState,
    index: u64,
}

impl Directory {
    fn new() -> Self {
        Self { state: DirectoryState::default(), index: 0 }
    }

    fn apply(&mut self, command: &DirectoryCommand) -> DirectoryReply {
        self.index += 1;
        self.state.apply(self.index, &command.encode())
    }

    fn changes(&mut self, command: &DirectoryCommand) -> bool {
        matches!(self.apply(command), DirectoryReply::Done { changed: true, .. })
    }

    fn routes(&mut self, draft: RouteDraft, document: &str) -> bool {
        let document = document.into();
        self.changes(&DirectoryCommand::ApplyRoutes { draft, document })
    }

    fn record(&mut self, report: TargetReport) -> bool {
        self.changes(&DirectoryCommand::RecordTarget { report })
    }
}

// Guards against routes that are replaced by an older or an equal version.
#[test]
fn only_a_higher_version_changes_the_routes() {
    let mut directory = Directory::new();
    assert!(directory.routes(draft(5, &["a"]), "five"));
    assert!(!directory.routes(draft(5, &["b"]), "other five"));
    assert!(!directory.routes(draft(4, &["c"]), "four"));
    assert_eq!(directory.state.routes().document.reveal(), "five");
    assert!(directory.routes(draft(9, &["b"]), "nine"));
    assert!(directory.state.routes().routes.contains_key("b"));
    assert!(!directory.state.routes().routes.contains_key("a"));
}

// Guards against the activation of invalid routes.
#[test]
fn invalid_drafts_name_every_fault() {
    let mut draft = draft(1, &["a", "a"]);
    draft.routes.push(RouteRule { statement_timeout: Micros::ZERO, ..route("b", "missing") });
    let faults = draft.check().expect_err("three faults");
    assert_eq!(faults.len(), 3, "{faults:?}");
    assert!(
        faults.contains(&RouteFault::DuplicateRoute { database: "a".into(), path: "/".into() })
    );
    let mut other_path = self::draft(1, &["a"]);
    other_path.routes.push(RouteRule { path: "/x".into(), ..route("a", "g") });
    assert_eq!(other_path.check(), Ok(()));
}

// Guards against a delayed report that sets a leaving target back to ready, or adds a removed target again.
#[test]
fn late_reports_are_ignored() {
    let mut directory = Directory::new();
    assert!(directory.record(report("a", 1)));
    assert!(!directory.record(report("a", 2)), "nothing new");
    assert!(directory.record(TargetReport { state: TargetState::Draining, ..report("a", 9) }));
    assert!(!directory.record(report("a", 5)), "older than the report that it is draining");
    assert_eq!(directory.state.targets()["a"].state, TargetState::Draining);
    assert!(directory.changes(&DirectoryCommand::RemoveTarget { target: "a".into() }));
    assert!(!directory.record(report("a", 10)), "the target was removed");
    let order = ReportOrder { incarnation: 8, sequence: 1 };
    assert!(directory.record(TargetReport { order, ..report("a", 0) }), "a new incarnation");
}

// Guards against a target that left, is leaving, or was replaced at its address and is in use again after control was
// restored from a snapshot: the late reports that it rejected before must stay rejected.
#[test]
fn targets_that_left_stay_away_after_a_restart() {
    let mut directory = Directory::new();
    assert!(directory.record(report("gone", 1)));
    assert!(directory.changes(&DirectoryCommand::RemoveTarget { target: "gone".into() }));
    assert!(directory.record(report("leaving", 1)));
    let draining = TargetReport { state: TargetState::Draining, ..report("leaving", 9) };
    assert!(directory.record(draining));
    assert!(directory.record(report("old", 1)));
    let order = ReportOrder { incarnation: 8, sequence: 1 };
    assert!(directory.record(TargetReport { order, ..report("new", 1) }), "at the same address");
    let mut restored = DirectoryState::default();
    restored.restore(&directory.state.snapshot()).expect("a snapshot");
    directory.state = restored;
    for late in [report("gone", 5), report("leaving", 5), report("old", 5)] {
        assert!(!directory.record(late.clone()), "{late:?}");
    }
    assert_eq!(directory.state.targets()["leaving"].state, TargetState::Draining);
    assert!(!directory.state.targets().contains_key("gone"));
    assert!(!directory.state.targets().contains_key("old"));
}

// Guards against two targets at one address after the first one crashed.
#[test]
fn a_newer_target_replaces_the_one_at_its_address() {
    let mut directory = Directory::new();
    let old = report("a", 40);
    let order = ReportOrder { incarnation: 9, sequence: 1 };
    let new = TargetReport { target: "b".into(), order, ..old.clone() };
    assert!(directory.record(old.clone()));
    assert!(directory.record(new));
    assert!(!directory.state.targets().contains_key("a"));
    let late = TargetReport { order: ReportOrder { incarnation: 7, sequence: 41 }, ..old };
    assert!(!directory.record(late));
    assert_eq!(directory.state.targets().len(), 1);
}

// Guards against two concurrent promotions of one group, and against commands with the fencing number of a replaced
// promotion.
#[test]
fn each_promotion_has_its_own_fence() {
    let mut directory = Directory::new();
    let begin = |replaces| DirectoryCommand::BeginPromotion {
        group: "g".into(),
        holder: "c1".into(),
        replaces,
    };
    let DirectoryReply::Done { index: first, .. } = directory.apply(&begin(0)) else {
        panic!("begun");
    };
    assert!(matches!(directory.apply(&begin(0)), DirectoryReply::Rejected(_)));
    let DirectoryReply::Done { index: second, .. } = directory.apply(&begin(first)) else {
        panic!("replaced");
    };
    assert!(second > first);
    let choose = |fence| DirectoryCommand::ChooseCandidate {
        group: "g".into(),
        fence,
        candidate: "b".into(),
    };
    assert!(matches!(directory.apply(&choose(first)), DirectoryReply::Rejected(_)));
    assert!(directory.changes(&choose(second)));
    let end = DirectoryCommand::EndPromotion {
        group: "g".into(),
        fence: second,
        primary: Some("b".into()),
    };
    assert!(directory.changes(&end));
    assert_eq!(directory.state.groups()["g"].primary.as_deref(), Some("b"));
    assert!(matches!(directory.apply(&end), DirectoryReply::Rejected(_)));
}

// Guards against an order that is forgotten, or made up, when unfinished promotions change hands several times.
#[test]
fn orders_are_known_through_a_chain_of_promotions() {
    let mut directory = Directory::new();
    let group: SharedName = "g".into();
    let begin = |directory: &mut Directory, holder: &str, replaces| {
        let holder = holder.into();
        let command = DirectoryCommand::BeginPromotion { group: group.clone(), holder, replaces };
        assert!(directory.changes(&command));
        directory.index
    };
    let last_order = |directory: &Directory| {
        let promotion = directory.state.groups()["g"].promotion.clone().expect("a promotion");
        promotion.last_order()
    };
    let first = begin(&mut directory, "c1", 0);
    let second = begin(&mut directory, "c2", first);
    assert_eq!(last_order(&directory), EarlierOrder::Nothing);
    let (group, candidate) = ("g".into(), "b".into());
    let choose = DirectoryCommand::ChooseCandidate { group, fence: second, candidate };
    assert!(directory.changes(&choose));
    let third = begin(&mut directory, "c3", second);
    let fourth = begin(&mut directory, "c4", third);
    assert_eq!(last_order(&directory), EarlierOrder::Target("b".into()));
    let mut restored = DirectoryState::default();
    restored.restore(&directory.state.snapshot()).expect("a snapshot");
    directory.state = restored;
    assert_eq!(last_order(&directory), EarlierOrder::Target("b".into()), "after a restart");
    let end = DirectoryCommand::EndPromotion {
        group: "g".into(),
        fence: fourth,
        primary: Some("b".into()),
    };
    assert!(directory.changes(&end));
    begin(&mut directory, "c1", 0);
    assert_eq!(last_order(&directory), EarlierOrder::Nothing);
}

// Guards against the record of an earlier version, which does not say what was ordered, being taken for one without an order.
#[test]
fn a_record_of_an_earlier_version_may_be_ordered() {
    let record = r#"{"fence": 7, "holder": "c1", "candidate": null}"#;
    let record: PromotionRecord = serde_json::from_str(record).expect("a record");
    assert_eq!(record.last_order(), EarlierOrder::Unknown);
}

// Guards against a snapshot that loses data, and against a follower that reverts to an older version or misses a
// removal.
#[test]
fn incremental_and_full_updates_give_the_same_table() {
    let mut directory = Directory::new();
    let mut table = RoutingTable::default();
    let kind = ProcessKind::Entry;
    let process = ProcessHost { host: "e".into(), address: "1".into(), zone: "z".into() };
    let steps = [
        DirectoryCommand::ApplyRoutes { draft: draft(1, &["a", "b"]), document: "1".into() },
        DirectoryCommand::RecordTarget { report: report("a", 1) },
        DirectoryCommand::RecordProcess { kind, process: process.clone() },
        DirectoryCommand::ApplyRoutes { draft: draft(2, &["b", "c"]), document: "2".into() },
        DirectoryCommand::RemoveTarget { target: "a".into() },
        DirectoryCommand::RemoveProcess { kind, host: process.host, address: process.address },
    ];
    for command in steps {
        assert!(directory.changes(&command));
        let update = directory.state.update_since(table.version).expect("an update");
        table = table.updated(update).expect("newer");
    }
    let whole = directory.state.update_since(0).expect("everything");
    assert!(whole.reset);
    assert!(table.updated(whole.clone()).is_none(), "not newer");
    let fresh = RoutingTable::default().updated(whole).expect("newer");
    for known in [&table, &fresh] {
        assert_eq!(known.book_version, 2);
        assert!(known.routes.contains_key("b") && known.routes.contains_key("c"));
        assert_eq!(known.routes.len(), 2);
        assert!(known.entries.is_empty());
        assert!(known.groups["g"].targets.is_empty());
    }
    let mut restored = DirectoryState::default();
    restored.restore(&directory.state.snapshot()).expect("a snapshot");
    assert_eq!(restored.routes(), directory.state.routes());
    assert_eq!(restored.version(), directory.state.version());
}

// Guards against packed bytes that a replica cannot unpack.
#[test]
fn packing_round_trips() {
    for size in [0, 1, 511, 512, 513, 100_000] {
        let bytes: Vec<u8> = (0..size).map(|index| (index % 7) as u8).collect();
        assert_eq!(decompress(&compress(&bytes), MAX_COMMAND_BYTES), Some(bytes));
    }
    assert!(compress(&vec![b'a'; 100_000]).len() < 1_000);
    assert_eq!(decompress(&[], MAX_COMMAND_BYTES), None);
    assert_eq!(decompress(&[9, 1, 2], MAX_COMMAND_BYTES), None);
    assert_eq!(decompress(&[1, 255, 255, 255], MAX_COMMAND_BYTES), None);
}

// Guards against a promotion when only control is cut off from the primary, and against a missing promotion when some
// entries have not detected the failure yet.
#[test]
fn a_primary_is_lost_only_if_entries_confirm_it() {
    let silent = PrimaryEvidence { silent_for: ms(700), entries: 15, ..Default::default() };
    assert_eq!(silent.verdict(), PrimaryVerdict::Doubtful);
    let confirmed = PrimaryEvidence { entries_failing: 6, ..silent };
    assert_eq!(confirmed.verdict(), PrimaryVerdict::Lost);
    let brief = PrimaryEvidence { silent_for: ms(400), ..confirmed };
    assert_eq!(brief.verdict(), PrimaryVerdict::Doubtful);
    let refusing = PrimaryEvidence { refusing: true, ..brief };
    assert_eq!(refusing.verdict(), PrimaryVerdict::Lost);
    let cut = PrimaryEvidence { entries: 15, entries_failing: 9, ..Default::default() };
    assert_eq!(cut.verdict(), PrimaryVerdict::Doubtful);
    let all = PrimaryEvidence { entries_failing: 13, entries_failing_for: ms(1_600), ..cut };
    assert_eq!(all.verdict(), PrimaryVerdict::Lost);
    let alone = PrimaryEvidence { silent_for: ms(700), ..Default::default() };
    assert_eq!(alone.verdict(), PrimaryVerdict::Lost, "no entry can confirm or deny it");
    let leaving = PrimaryEvidence { leaving: true, ..Default::default() };
    assert_eq!(leaving.verdict(), PrimaryVerdict::Leaving);
    assert_eq!(PrimaryEvidence::default().verdict(), PrimaryVerdict::Serving);
}

// Guards against a promotion on the smaller side of a partition, which demotes a primary that most entries still
// reach, and against a promotion that never happens although the primary has failed.
#[test]
fn a_primary_that_most_entries_reached_is_kept_for_a_while() {
    let split = PrimaryEvidence {
        silent_for: ms(3_500),
        entries: 6,
        entries_failing: 3,
        entries_failing_for: ms(3_100),
        entries_vanished: 12,
        ..Default::default()
    };
    assert_eq!(split.verdict(), PrimaryVerdict::Doubtful);
    let few = PrimaryEvidence { entries: 3, entries_vanished: 15, ..split };
    assert_eq!(few.verdict(), PrimaryVerdict::Doubtful, "all remaining entries fail");
    let refusing = PrimaryEvidence { refusing: true, ..split };
    assert_eq!(refusing.verdict(), PrimaryVerdict::Lost, "its process has ended for every entry");
    let forgotten = PrimaryEvidence { entries_vanished: 0, ..split };
    assert_eq!(forgotten.verdict(), PrimaryVerdict::Lost);
    // Entries of a failed zone do not delay the promotion of a replica for a primary that failed with the zone.
    let zone = PrimaryEvidence { entries: 12, entries_failing: 11, entries_vanished: 6, ..split };
    assert_eq!(zone.verdict(), PrimaryVerdict::Lost);
}

// Guards against a new leader that has heard of no entry yet and takes that for a confirmation of its own failed probes.
#[test]
fn a_new_leader_waits_for_the_reports_of_entries() {
    let early = PrimaryEvidence { silent_for: ms(700), entries_awaited: 15, ..Default::default() };
    assert_eq!(early.verdict(), PrimaryVerdict::Doubtful);
    let partly = PrimaryEvidence { entries: 6, entries_failing: 2, entries_awaited: 9, ..early };
    assert_eq!(partly.verdict(), PrimaryVerdict::Doubtful);
    let confirmed = PrimaryEvidence { entries_failing: 6, ..partly };
    assert_eq!(confirmed.verdict(), PrimaryVerdict::Lost);
    let refusing = PrimaryEvidence { refusing: true, ..early };
    assert_eq!(refusing.verdict(), PrimaryVerdict::Lost);
}

fn answer(target: &str, offset: u64, eligible: bool) -> CandidateAnswer {
    CandidateAnswer { target: target.into(), log: log(1, offset), eligible }
}

const fn log(term: u64, offset: u64) -> ServerLog {
    ServerLog { term: LogTerm(term), received: LogPosition::new(term, offset) }
}

// Guards against the choice of a replica that loses acknowledged commits.
#[test]
fn the_replica_that_received_most_is_chosen() {
    let answers = [answer("a", 5, true), answer("b", 9, true), answer("c", 7, true)];
    assert_eq!(choose_candidate(&answers, 3, 0).as_deref(), Some("b"));
    assert_eq!(choose_candidate(&answers[..1], 3, 0).as_deref(), Some("a"));
    assert_eq!(choose_candidate(&[], 3, 0), None);
    let leaving = [answer("a", 5, true), answer("b", 9, false)];
    assert_eq!(choose_candidate(&leaving, 2, 0).as_deref(), Some("a"));
    // The replica that does not respond may be the only one with an acknowledged commit.
    assert_eq!(choose_candidate(&answers[..2], 3, 1), None);
    assert_eq!(choose_candidate(&answers, 3, 1).as_deref(), Some("b"));
    assert_eq!(choose_candidate(&leaving, 2, 1), None, "only the leaving one has it");
    assert_eq!(choose_candidate(&answers[..2], 3, 2).as_deref(), Some("b"));
}

// Guards against a promotion that waits for missing replicas although the primary has stepped down, and against one that loses
// what it had acknowledged.
#[test]
fn a_replica_that_covers_the_final_log_is_chosen() {
    let answers = [answer("a", 5, true), answer("b", 9, true), answer("c", 9, false)];
    let chosen = |answers: &[CandidateAnswer], last, earlier: &EarlierOrder| {
        choose_successor(answers, last, earlier).map(|target| target.to_string())
    };
    let nothing = EarlierOrder::Nothing;
    let last = FinalLog::of_primary(log(1, 9), log(1, 9)).expect("a final log");
    assert_eq!(chosen(&answers, last, &nothing).as_deref(), Some("b"));
    assert_eq!(chosen(&answers[..1], last, &nothing), None, "it lacks commits");
    assert_eq!(chosen(&answers[2..], last, &nothing), None, "it is leaving");
    let longer = FinalLog::of_primary(log(1, 9), log(1, 10)).expect("a final log");
    assert_eq!(chosen(&answers, longer, &nothing), None, "committed before the step down");
    let shorter = FinalLog::of_replica(log(1, 5)).expect("a final log");
    assert_eq!(chosen(&answers, shorter, &nothing), None, "not the log of their primary");
}

// Guards against a promotion beside an order that may still take effect: its target may acknowledge commits in between.
#[test]
fn only_the_target_of_an_earlier_order_covers_the_final_log() {
    let answers = [answer("a", 9, true), answer("b", 9, true)];
    let last = FinalLog::of_primary(log(1, 9), log(1, 9)).expect("a final log");
    let chosen = |earlier| choose_successor(&answers, last, &earlier);
    assert_eq!(chosen(EarlierOrder::Target("b".into())), Some("b".into()));
    assert_eq!(chosen(EarlierOrder::Target("gone".into())), None);
    assert_eq!(chosen(EarlierOrder::Unknown), None);
}

// Guards against a primary that has started again without its log and is taken for one that has stepped down.
#[test]
fn a_log_that_became_shorter_is_not_final() {
    assert_eq!(FinalLog::of_primary(log(1, 9), log(1, 8)), None);
    assert_eq!(FinalLog::of_primary(log(1, 9), log(0, 0)), None);
    assert_eq!(FinalLog::of_replica(log(0, 0)), None);
    // It has led the term without a commit, and reports the last entry of the term before once it has stepped down.
    let stepped_down = ServerLog { term: LogTerm(3), received: LogPosition::new(1, 9) };
    let last = FinalLog::of_primary(log(2, 9), stepped_down).expect("a final log");
    let replica = ServerLog { term: LogTerm(2), received: LogPosition::new(1, 9) };
    let answers = [CandidateAnswer { target: "a".into(), log: replica, eligible: true }];
    assert_eq!(choose_successor(&answers, last, &EarlierOrder::Nothing), Some("a".into()));
}

// Guards against a second change of primary because the leader that ordered the first one is lost, and against keeping an
// order that loses commits which a replica confirmed.
#[test]
fn the_order_of_a_lost_leader_is_kept() {
    let answers =
        [answer("a", 5, true), answer("b", 9, true), answer("c", 9, true), answer("d", 9, false)];
    let kept = |ordered: &str, sync_replicas| {
        keep_ordered("b".into(), Some(&ordered.into()), &answers, sync_replicas).to_string()
    };
    assert_eq!(kept("a", 0), "a");
    assert_eq!(kept("a", 1), "b", "it lacks commits that the group must not lose");
    assert_eq!(kept("c", 1), "c");
    assert_eq!(kept("d", 0), "b", "it is leaving");
    assert_eq!(kept("gone", 0), "b", "it does not respond");
    assert_eq!(&*keep_ordered("b".into(), None, &answers, 0), "b");
}

/// Records a report without a check, as earlier versions did.
fn record(state: &mut DirectoryState, index: u64, report: TargetReport) -> DirectoryReply {
    state.apply(index, &DirectoryCommand::RecordTarget { report }.encode())
}

// Guards against reports of other writers that take too much room, cannot be used, or hide what a target reports later.
#[test]
fn reports_that_no_target_sends_are_refused() {
    let state = DirectoryState::default();
    let long = SharedName::from("z".repeat(MAX_REPORT_NAME_BYTES + 1));
    let order = |incarnation, sequence| ReportOrder { incarnation, sequence };
    let good = || report("a", 1);
    let cases = [
        (TargetReport { target: long.clone(), ..good() }, ReportFault::NameLength),
        (TargetReport { group: "".into(), ..good() }, ReportFault::NameLength),
        (TargetReport { zone: long, ..good() }, ReportFault::NameLength),
        (TargetReport { address: "10.0.0.1:0".into(), ..good() }, ReportFault::Address),
        (TargetReport { address: "10.0.0.1:70000".into(), ..good() }, ReportFault::Address),
        (TargetReport { slots: 0, ..good() }, ReportFault::Slots),
        (TargetReport { slots: MAX_TARGET_SLOTS + 1, ..good() }, ReportFault::Slots),
        (TargetReport { order: order(u64::MAX, 1), ..good() }, ReportFault::Order),
        (TargetReport { order: order(7, u64::MAX), ..good() }, ReportFault::Order),
    ];
    for (odd, fault) in cases {
        assert_eq!(state.admit(odd.clone()), Err(fault), "{odd:?}");
    }
    assert_eq!(state.admit(good()), Ok(Some(good())));
}

// Guards against an entry of another writer, with a group that is not served, that hides a target of one that is.
#[test]
fn entries_of_unknown_groups_hide_no_target() {
    let mut state = DirectoryState::default();
    let command =
        DirectoryCommand::ApplyRoutes { draft: draft(1, &["d"]), document: "{}".to_owned().into() };
    state.apply(1, &command.encode());
    let order = ReportOrder { incarnation: 9, sequence: 1 };
    let odd = |target: &str| TargetReport { group: "elsewhere".into(), order, ..report(target, 1) };
    record(&mut state, 2, report("a", 1));
    assert_eq!(state.admit(odd("a")), Err(ReportFault::UnknownGroup));
    let at_address = TargetReport { address: report("a", 1).address, ..odd("other") };
    assert_eq!(state.admit(at_address), Err(ReportFault::UnknownGroup));
    // The entry came first.
    record(&mut state, 3, odd("bb"));
    for (index, target_state) in [(4, TargetState::Ready), (5, TargetState::Draining)] {
        let live = TargetReport { state: target_state, ..report("bb", index) };
        let admitted = state.admit(live).expect("a report").expect("a change");
        record(&mut state, index, admitted);
        let recorded = &state.targets()[&SharedName::from("bb")];
        assert_eq!((&*recorded.group, recorded.state), ("g", target_state));
    }
}

// Guards against a directory that grows with every name that another writer makes up.
#[test]
fn targets_of_unknown_groups_are_bounded() {
    let mut state = DirectoryState::default();
    let command =
        DirectoryCommand::ApplyRoutes { draft: draft(1, &["d"]), document: "{}".to_owned().into() };
    state.apply(1, &command.encode());
    let unknown = |number: u64| TargetReport {
        group: "elsewhere".into(),
        address: format!("10.0.{}.{}:80", number / 250, number % 250).into(),
        ..report(&format!("u{number}"), 1)
    };
    let mut recorded = 0;
    for number in 0..3_000 {
        match state.admit(unknown(number)) {
            Ok(Some(report)) => {
                record(&mut state, 2 + number, report);
                recorded += 1;
            }
            refused => assert_eq!(refused, Err(ReportFault::TooManyUnknown)),
        }
    }
    assert!(recorded < 2_000, "{recorded}");
    let later = TargetReport { state: TargetState::Draining, ..unknown(0) };
    let later = TargetReport { order: ReportOrder { incarnation: 7, sequence: 2 }, ..later };
    assert_eq!(state.admit(later.clone()), Ok(Some(later)), "one that is recorded");
    assert_eq!(state.admit(report("a", 1)), Ok(Some(report("a", 1))), "of a known group");
}

// Guards against followers that cannot use or take an update because an earlier version recorded an odd report, also from a
// snapshot.
#[test]
fn odd_reports_that_are_stored_stay_away_from_followers() {
    let mut state = DirectoryState::default();
    record(&mut state, 1, report("a", 1));
    let since = state.version();
    record(&mut state, 2, TargetReport { zone: "z".repeat(1 << 20).into(), ..report("long", 1) });
    record(&mut state, 3, TargetReport { slots: 0, ..report("no-slots", 1) });
    record(&mut state, 4, TargetReport { address: "x".into(), ..report("nowhere", 1) });
    let later = state.update_since(since).expect("changes");
    assert!(later.targets.is_empty(), "{:?}", later.targets.len());
    let mut restored = DirectoryState::default();
    restored.restore(&state.snapshot()).expect("a snapshot");
    assert_eq!(restored.targets().len(), 4);
    let whole = restored.update_since(0).expect("changes");
    assert_eq!(whole.targets, [report("a", 1)]);
}

// Guards against control replicas that end at every start because their own snapshot is larger than they read: all of them
// hold the same state.
#[test]
fn large_snapshots_are_restored() {
    let mut state = DirectoryState::default();
    for number in 0..12 {
        let zone = "z".repeat(3 << 20).into();
        let address = format!("10.0.0.{number}:80").into();
        let odd = TargetReport { zone, address, ..report(&format!("t{number}"), 1) };
        record(&mut state, number, odd);
    }
    let mut restored = DirectoryState::default();
    assert_eq!(restored.restore(&state.snapshot()), Ok(()));
    assert_eq!(restored.targets().len(), 12);
}

// Guards against a payload that is cut at the limit and taken for whole, and against one that takes more room.
#[test]
fn payloads_above_the_limit_are_refused() {
    for length in [100, 4_000] {
        let bytes = vec![7; length];
        let packed = compress(&bytes);
        assert_eq!(decompress(&packed, length as u64), Some(bytes));
        assert_eq!(decompress(&packed, length as u64 - 1), None);
    }
}

// Guards against a target whose reports are ignored for good because an earlier version recorded one with an order that it
// never reaches. All replicas apply the proposed report by the rule that they always had.
#[test]
fn reports_follow_an_order_that_is_out_of_range() {
    let orders = [(7, u64::MAX), (u64::MAX, 4), (u64::MAX - 1, u64::MAX), (1 << 63, 0)];
    for (incarnation, sequence) in orders {
        let mut state = DirectoryState::default();
        let order = ReportOrder { incarnation, sequence };
        record(&mut state, 1, TargetReport { order, ..report("a", 0) });
        for (index, target_state) in [(2, TargetState::Draining), (3, TargetState::Ready)] {
            let live = TargetReport { state: target_state, ..report("a", index) };
            let proposed = state.admit(live).expect("valid").expect("a change");
            record(&mut state, index, proposed);
            assert_eq!(state.targets()["a"].state, target_state, "{order:?}");
        }
    }
}

fn member(host: &str, identity: u64, silent: u64) -> MemberContact {
    let record = MemberRecord {
        host: host.into(),
        address: format!("{host}:1").into(),
        identity: ReplicaIdentity(identity),
        voter: true,
    };
    MemberContact { record, silent_for: ms(silent) }
}

fn waiting(host: &str, identity: u64) -> WaitingReplica {
    WaitingReplica {
        host: host.into(),
        address: format!("{host}:1").into(),
        identity: ReplicaIdentity(identity),
    }
}

// Guards against a set that shrinks although its members are only unresponsive, and against a replica with an empty
// disk that keeps the vote of the lost one.
#[test]
fn replicas_are_replaced_one_at_a_time() {
    let five = [
        member("a", 1, 0),
        member("b", 2, 50),
        member("c", 3, 9_000),
        member("d", 4, 50),
        member("e", 5, 3_000),
    ];
    assert_eq!(next_repair(&five, &[], 5), None, "no replica is waiting");
    let step = next_repair(&five, &[waiting("f", 6)], 5);
    let identity = ReplicaIdentity(3);
    assert_eq!(step, Some(RepairStep::Remove { identity, reason: RepairReason::Silent }));
    let step = next_repair(&five, &[waiting("b", 7)], 5);
    let identity = ReplicaIdentity(2);
    assert_eq!(step, Some(RepairStep::Remove { identity, reason: RepairReason::DiskLost }));
    assert_eq!(
        next_repair(&five[..4], &[waiting("f", 6)], 5),
        Some(RepairStep::Add(waiting("f", 6)))
    );
    let well = [member("a", 1, 0), member("b", 2, 50), member("c", 3, 90)];
    assert_eq!(next_repair(&well, &[waiting("f", 6)], 3), None, "the set is full");
    assert_eq!(next_repair(&well, &[waiting("b", 2)], 3), None, "a member already");
}

// Guards against an outage that writes a log line for every report, and against a rate limit that hides log lines of
// other kinds.
#[test]
fn repeated_log_lines_are_written_once_per_second() {
    let mut limit = LogRateLimiter::default();
    let mut written = Vec::new();
    for millis in (0..3_000).step_by(10) {
        let now = Micros::from_millis(millis);
        if let Some(left_out) = limit.admit("report", now) {
            written.push(left_out);
        }
        if millis == 500 {
            assert_eq!(limit.admit("routes", now), Some(0));
        }
    }
    assert_eq!(written, [0, 99, 99]);
}
