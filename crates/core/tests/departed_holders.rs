//! Replicas that have left and may be the only ones with an acknowledged commit.

use banyansill_core::{
    compression::{MAX_SNAPSHOT_BYTES, compress, decompress},
    directory::{
        AnswerWatch, DirectoryCommand, DirectoryReply, DirectoryState, EndedReplicas, GroupRule,
        HolderProof, ProofStep, ReportOrder, RouteDraft, ServerLog, TargetReport, TargetState,
    },
    names::SharedName,
    position::{LogPosition, LogTerm},
    route::TargetRole,
    state_machine::StateMachine,
    time::Micros,
};

const ADDRESS: &str = "10.0.0.1:5000";

fn report(target: &str, group: &str, address: &str, incarnation: u64) -> TargetReport {
    TargetReport {
        target: target.into(),
        group: group.into(),
        address: address.into(),
        zone: "z".into(),
        slots: 5,
        state: TargetState::Ready,
        role: TargetRole::Replica,
        order: ReportOrder { incarnation, sequence: 1 },
    }
}

/// Directory with the group `sync`, whose commits wait for a replica, and the group `other`, whose commits do not.
struct Directory {
    state: DirectoryState,
    index: u64,
}

impl Directory {
    fn new() -> Self {
        let mut directory = Self { state: DirectoryState::default(), index: 0 };
        directory.apply_routes(1, 1);
        directory
    }

    fn apply_routes(&mut self, version: u64, sync_replicas: u32) {
        let rule = |group: &str, sync_replicas| GroupRule {
            group: group.into(),
            connections: 71,
            sync_replicas,
        };
        let groups = vec![rule("sync", sync_replicas), rule("other", 0)];
        let draft = RouteDraft { version, groups, ..RouteDraft::default() };
        let document = "routes".to_owned().into();
        self.apply(&DirectoryCommand::ApplyRoutes { draft, document });
    }

    fn apply(&mut self, command: &DirectoryCommand) {
        self.index += 1;
        let reply = self.state.apply(self.index, &command.encode());
        assert!(matches!(reply, DirectoryReply::Done { .. }), "{reply:?}");
    }

    fn record(&mut self, report: TargetReport) {
        self.apply(&DirectoryCommand::RecordTarget { report });
    }

    fn drain(&mut self, mut report: TargetReport) {
        report.order.sequence += 1;
        self.record(TargetReport { state: TargetState::Draining, ..report });
    }

    fn remove(&mut self, target: &str) {
        self.apply(&DirectoryCommand::RemoveTarget { target: target.into() });
    }

    fn holders(&self, group: &str) -> Vec<SharedName> {
        let holders = self.state.holders().of(group);
        holders.map(|holder| holder.target.clone()).collect()
    }
}

// Guards against a promotion that no longer counts a replica which left, until its successor reports from its address.
#[test]
fn a_leaving_replica_is_kept_until_its_successor_reports() {
    let mut directory = Directory::new();
    let near = report("near", "sync", ADDRESS, 7);
    directory.record(near.clone());
    directory.drain(near);
    directory.remove("near");
    assert_eq!(directory.holders("sync"), ["near".into()]);
    directory.record(report("elsewhere", "sync", "10.0.0.1:5001", 8));
    assert_eq!(directory.holders("sync"), ["near".into()], "a server at another address");
    directory.record(report("foreign", "other", ADDRESS, 9));
    assert_eq!(directory.holders("sync"), ["near".into()], "a server of another group");
    directory.record(report("next", "sync", ADDRESS, 10));
    assert!(directory.holders("sync").is_empty());
}

// Guards against the loss of what a crashed replica had received if another server reports from its address: the log is
// handed over only by one that was leaving.
#[test]
fn a_crashed_replica_is_kept_after_its_address_is_used_again() {
    let mut directory = Directory::new();
    directory.record(report("near", "sync", ADDRESS, 7));
    directory.record(report("next", "sync", ADDRESS, 8));
    assert_eq!(directory.holders("sync"), ["near".into()]);
    let mut restored = DirectoryState::default();
    restored.restore(&directory.state.snapshot()).expect("a snapshot");
    directory.state = restored;
    assert_eq!(directory.holders("sync"), ["near".into()], "after a restart");
    let since = directory.index;
    directory.apply(&DirectoryCommand::ConfirmHolders { group: "sync".into(), until: since - 1 });
    assert_eq!(directory.holders("sync"), ["near".into()], "departed after the proof began");
    directory.apply(&DirectoryCommand::ConfirmHolders { group: "sync".into(), until: since });
    assert!(directory.holders("sync").is_empty());
}

// Guards against a replica that has started again without its log and counts for the process before; a primary keeps its log.
#[test]
fn a_replica_that_starts_again_departs() {
    let mut directory = Directory::new();
    directory.record(report("near", "sync", ADDRESS, 7));
    directory.record(report("near", "sync", ADDRESS, 8));
    assert_eq!(directory.holders("sync"), ["near".into()]);
    directory.record(report("near", "sync", ADDRESS, 7));
    assert_eq!(directory.holders("sync").len(), 1, "a late report");
    let primary =
        TargetReport { role: TargetRole::Primary, ..report("primary", "sync", "10.0.0.1:5001", 7) };
    directory.record(primary);
    directory.record(report("primary", "sync", "10.0.0.1:5001", 9));
    assert_eq!(directory.holders("sync"), ["near".into()]);
}

// Guards against an answer of a process that control does not know yet, in place of the one before it.
#[test]
fn answers_of_unknown_processes_do_not_count() {
    let (at, target) = (Micros::from_secs(5), SharedName::from("near"));
    let position = |offset| Some(LogPosition::new(1, offset));
    let mut watch = AnswerWatch::default();
    assert!(watch.observe(at, &target, 7, position(90)));
    assert!(!watch.observe(at, &target, 7, position(89)), "it has lost an entry");
    let later = at + Micros::from_secs(3);
    assert!(watch.observe(later, &target, 7, position(89)), "it had the time to report itself");
    assert!(!watch.observe(later, &target, 7, None));
    assert!(!watch.observe(later, &target, 7, position(89)), "it was silent");
    assert!(watch.observe(later, &target, 8, position(89)), "its report is known");
    let mut watch = AnswerWatch::default();
    assert!(!watch.observe(at, &target, 7, position(0)), "it is empty");
    assert!(watch.observe(later, &target, 7, position(0)));
}

// Guards against departures that are kept for groups whose promotions do not wait for a replica.
#[test]
fn only_groups_whose_commits_wait_keep_departures() {
    let mut directory = Directory::new();
    directory.record(report("free", "other", ADDRESS, 7));
    directory.remove("free");
    assert!(directory.holders("other").is_empty());
    directory.record(report("near", "sync", "10.0.0.1:5001", 7));
    directory.remove("near");
    directory.apply_routes(2, 0);
    assert!(directory.holders("sync").is_empty());
}

// Guards against a replica that reads a snapshot of an earlier version and takes the absence of departures for a proof.
#[test]
fn a_snapshot_without_departures_leaves_them_open() {
    let mut directory = Directory::new();
    let snapshot = decompress(&directory.state.snapshot(), MAX_SNAPSHOT_BYTES).expect("bytes");
    let mut data: serde_json::Value = serde_json::from_slice(&snapshot).expect("an object");
    assert!(data.as_object_mut().expect("an object").remove("holders").is_some());
    let earlier = compress(data.to_string().as_bytes());
    directory.state.restore(&earlier).expect("a snapshot");
    assert_eq!(directory.holders("sync").len(), 1);
    assert!(directory.holders("other").is_empty());
    let until = directory.state.version();
    directory.apply(&DirectoryCommand::ConfirmHolders { group: "sync".into(), until });
    let mut restored = DirectoryState::default();
    restored.restore(&directory.state.snapshot()).expect("a snapshot");
    directory.state = restored;
    assert!(directory.holders("sync").is_empty(), "the present version records departures");
}

const fn log(term: u64, received: LogPosition) -> ServerLog {
    ServerLog { term: LogTerm(term), received }
}

/// Advances a proof to the moment at which the primary has told its log.
fn proof_with_primary(primary: ServerLog) -> (HolderProof, Micros) {
    let mut proof = HolderProof::default();
    let begun = Micros::from_secs(5);
    assert_eq!(proof.next_step(begun, 40, true), ProofStep::Wait);
    let early = begun + Micros::from_millis(500);
    assert_eq!(proof.next_step(early, 41, true), ProofStep::Wait, "it may still confirm commits");
    let ended = begun + Micros::from_secs(2);
    assert_eq!(proof.next_step(ended, 41, true), ProofStep::AskPrimary);
    proof.primary_answered(primary);
    assert_eq!(proof.next_step(ended, 41, true), ProofStep::AskReplicas);
    (proof, ended)
}

// Guards against a proof that rests on fewer replicas than a commit waits for, or on ones that are behind.
#[test]
fn replicas_that_are_behind_prove_nothing() {
    let (mut proof, now) = proof_with_primary(log(3, LogPosition::new(3, 90)));
    let behind = log(3, LogPosition::new(3, 89));
    let equal = log(3, LogPosition::new(3, 90));
    proof.replicas_answered(&[behind], 1);
    proof.replicas_answered(&[behind, equal], 2);
    proof.replicas_answered(&[], 1);
    assert_eq!(proof.next_step(now, 41, true), ProofStep::AskReplicas);
    proof.replicas_answered(&[behind, equal], 1);
    assert_eq!(proof.next_step(now, 41, true), ProofStep::Confirm { until: 40 });
    proof.recorded(now);
    assert_eq!(proof.next_step(now, 41, false), ProofStep::Wait);
}

// Guards against a departure that stays open after a promotion until the next commit: the new primary counts its position in
// its own term, its replicas in that of the last commit.
#[test]
fn a_replica_of_the_same_term_has_the_same_log() {
    let primary = log(4, LogPosition::new(4, 90));
    assert!(log(4, LogPosition::new(3, 90)).covers(primary));
    assert!(!log(4, LogPosition::new(3, 89)).covers(primary));
    assert!(
        !log(3, LogPosition::new(3, 95)).covers(primary),
        "it has not given up its own entries"
    );
}

// Guards against replicas of control that keep a departure of an earlier version's snapshot because the leader knows of none.
#[test]
fn a_group_without_departures_is_confirmed_again() {
    let mut proof = HolderProof::default();
    let begun = Micros::from_secs(5);
    assert_eq!(proof.next_step(begun, 40, false), ProofStep::Wait);
    let ended = begun + Micros::from_secs(2);
    assert_eq!(proof.next_step(ended, 40, false), ProofStep::AskPrimary, "a new leader");
    proof.recorded(ended);
    assert_eq!(proof.next_step(ended, 40, false), ProofStep::Wait);
    let later = ended + Micros::from_secs(31);
    assert_eq!(proof.next_step(later, 44, false), ProofStep::Wait);
    assert_eq!(proof.next_step(later + Micros::from_secs(2), 44, false), ProofStep::AskPrimary);
}

// Guards against a promotion that waits for a replica which has ended for good without a farewell.
#[test]
fn a_replica_whose_address_refuses_connections_has_ended() {
    let (second, target) = (Micros::from_secs(1), SharedName::from("near"));
    let mut ended = EndedReplicas::default();
    let mut now = Micros::from_secs(100);
    assert!(!ended.observe(now, &target, 7, true));
    now += second;
    assert!(!ended.observe(now, &target, 7, false), "it does not respond, or accepts connections");
    let begun = now;
    while now.since(begun) < Micros::from_secs(4) {
        assert!(!ended.observe(now, &target, 7, true), "it may restart");
        now += second;
    }
    assert!(!ended.observe(now, &target, 8, true), "its new process has reported itself");
    now += Micros::from_secs(4);
    assert!(ended.observe(now, &target, 8, true));
    ended.retain(|_| false);
    assert!(!ended.observe(now, &target, 8, true));
}

// Guards against the removal of a process that has started meanwhile, or of the primary, and against one that hides a replica
// which comes back.
#[test]
fn an_ended_replica_is_recorded_again_when_it_returns() {
    let mut directory = Directory::new();
    let primary =
        TargetReport { role: TargetRole::Primary, ..report("primary", "sync", "10.0.0.1:1", 7) };
    directory.record(primary);
    directory.record(report("near", "sync", ADDRESS, 8));
    let remove = |target: &str, incarnation| DirectoryCommand::RemoveEnded {
        target: target.into(),
        incarnation,
    };
    let is_listed = |directory: &Directory, target: &str| {
        directory.state.targets().contains_key(&SharedName::from(target))
    };
    directory.apply(&remove("near", 7));
    assert!(is_listed(&directory, "near"), "another process");
    directory.apply(&remove("primary", 7));
    assert!(is_listed(&directory, "primary"), "the primary");
    directory.apply(&remove("near", 8));
    assert!(!is_listed(&directory, "near"));
    assert!(directory.holders("sync").is_empty(), "the remaining replicas have what it had");
    directory.record(report("near", "sync", ADDRESS, 8));
    assert!(is_listed(&directory, "near"), "the same process");
}
