//! Acceptance of a sheet while control replicas die, and answers that outlive snapshots and restarts.

#![allow(clippy::unwrap_used)]

use {
    banyansill_testkit::{
        cluster::{ClusterPlan, DEFAULT_SHEET, TestCluster},
        history::WriteOutcome,
        inspect::{LogLine, LogWatch},
        workload::{TABLE, Workload, WorkloadResult, stored_tokens},
    },
    banyansill_wire::v1::{
        ApplySheetReply, ApplySheetRequest, MemberRequest, StatusRequest,
        control_client::ControlClient,
    },
    std::{
        net::SocketAddr,
        path::{Path, PathBuf},
        time::{Duration, Instant},
    },
    tokio::time::{sleep, timeout},
    tonic::{Status, transport::Channel},
};

const CALLERS: u64 = 6;

/// Limit of each wait, for a slow machine; no bound of the design is measured here.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// Time that one control replica gets to answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(2);

/// Changes between an answer and its repetition, and entries after which a snapshot is taken: each
/// replica has replaced the entry of the first answer by a snapshot several times.
const FURTHER_CHANGES: u64 = 500;
const SNAPSHOT_ENTRIES: u64 = 100;

fn sheet(number: u64) -> String {
    DEFAULT_SHEET.replace(",4,10000", &format!(",4,{}", 10_000 + number))
}

async fn spawn(entries: usize) -> TestCluster {
    let snapshot_entries = SNAPSHOT_ENTRIES;
    let plan =
        ClusterPlan { controls: 3, entries, lag_ms: 20, snapshot_entries, ..Default::default() };
    let cluster = TestCluster::spawn(plan).await.unwrap();
    let caller = cluster.caller(0, "test").await.unwrap();
    caller.batch_execute(TABLE).await.unwrap();
    cluster
}

fn addresses(cluster: &TestCluster) -> Vec<SocketAddr> {
    cluster.entries.iter().map(|entry| entry.address).collect()
}

async fn check(cluster: &TestCluster, result: &WorkloadResult) {
    let primary = cluster.primary().await.unwrap();
    let rows = stored_tokens(cluster.targets[primary].address).await.unwrap();
    assert!(result.history.writes(WriteOutcome::Acknowledged) > 20, "{:?}", result.errors);
    let faults = result.history.check(&rows);
    assert!(faults.is_empty(), "{faults:?}\nerrors: {:?}", result.errors);
}

/// Returns a client of the present leader.
async fn leader(cluster: &TestCluster) -> (usize, ControlClient<Channel>) {
    let status = cluster.status(WAIT_LIMIT).await.unwrap();
    let leader =
        cluster.controls.iter().position(|control| control.address.to_string() == status.leader);
    let leader = leader.unwrap();
    (leader, client(cluster.controls[leader].address).await.unwrap())
}

async fn client(address: SocketAddr) -> Option<ControlClient<Channel>> {
    let connecting = ControlClient::connect(format!("http://{address}"));
    timeout(ANSWER_LIMIT, connecting).await.ok()?.ok()
}

fn request(number: u64, content: &str, id: &str) -> ApplySheetRequest {
    ApplySheetRequest {
        number,
        content: content.as_bytes().to_vec().into(),
        request_id: id.to_owned(),
        operator: "test".to_owned(),
    }
}

/// When the leader is killed, seen from the operator who offers a sheet.
#[derive(Clone, Copy, Debug)]
enum KillMoment {
    /// The request may or may not have arrived.
    After(Duration),
    /// The leader has recorded the acceptance; the answer may or may not have arrived.
    Accepted,
    /// The operator has the answer.
    Answered,
}

/// Offers a sheet once, kills the leader at the moment and returns the answer if it came.
async fn offer_and_kill(
    cluster: &mut TestCluster,
    number: u64,
    moment: KillMoment,
) -> Option<ApplySheetReply> {
    let (leader, mut client) = leader(cluster).await;
    let mut logs = LogWatch::new(cluster.folder());
    let since = logs.read().unwrap();
    let (content, id) = (sheet(number), format!("request-{number}"));
    let mut offered = tokio::spawn(async move {
        let answer: Result<_, Status> = client.apply_sheet(request(number, &content, &id)).await;
        answer.ok().map(tonic::Response::into_inner)
    });
    let answer = match moment {
        KillMoment::After(delay) => {
            sleep(delay).await;
            None
        }
        KillMoment::Accepted => {
            let wanted = number.to_string();
            logs.wait(since, WAIT_LIMIT, |line| {
                line.is_event(201) && line.field("number") == Some(&wanted)
            })
            .await
            .unwrap();
            None
        }
        KillMoment::Answered => Some((&mut offered).await.unwrap()),
    };
    cluster.controls[leader].process.kill();
    let answer = match answer {
        Some(answer) => answer,
        // An answer that was on its way counts.
        None => offered.await.unwrap(),
    };
    cluster.restart_control(leader).unwrap();
    answer
}

/// Guards against an acceptance that is lost, doubled or answered differently when the leader is
/// killed at any step of it and the operator sends the request again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resent_sheet_gets_the_first_answer_though_leaders_die() {
    let mut cluster = spawn(2).await;
    let workload = Workload::spawn(&addresses(&cluster), CALLERS, 61);
    let moments = [
        KillMoment::After(Duration::ZERO),
        KillMoment::After(Duration::from_millis(1)),
        KillMoment::After(Duration::from_millis(3)),
        KillMoment::Accepted,
        KillMoment::Answered,
    ];
    for (step, moment) in moments.into_iter().enumerate() {
        let number = 10 + u64::try_from(step).unwrap();
        let first = offer_and_kill(&mut cluster, number, moment).await;
        let id = format!("request-{number}");
        let again = cluster.apply_sheet(number, &sheet(number), &id).await.unwrap();
        assert!(again.accepted, "{moment:?}: {again:?}");
        println!("{moment:?}: first {first:?} again {again:?}");
        if let Some(first) = first {
            assert_eq!(first, again, "{moment:?}");
        }
        // A resend after a later sheet still gets the first answer, and the later sheet stays.
        if number > 10 {
            let id = format!("request-{}", number - 1);
            let earlier = cluster.apply_sheet(number - 1, &sheet(number - 1), &id).await.unwrap();
            assert!(earlier.accepted && earlier.version < again.version, "{earlier:?} {again:?}");
        }
        let status = cluster.status(WAIT_LIMIT).await.unwrap();
        assert_eq!(status.sheet.unwrap().number, number, "{moment:?}");
    }
    let result = workload.finish().await;
    check(&cluster, &result).await;
}

/// Applies sheets `first` to `last`, each with a request id of its own.
async fn change_often(cluster: &TestCluster, first: u64, last: u64) {
    let (_, mut client) = leader(cluster).await;
    for number in first..=last {
        let request = request(number, &sheet(number), &format!("change-{number}"));
        loop {
            match timeout(ANSWER_LIMIT, client.apply_sheet(request.clone())).await {
                Ok(Ok(reply)) if reply.get_ref().accepted => break,
                Ok(Ok(reply)) => panic!("sheet {number}: {reply:?}"),
                _ => (_, client) = leader(cluster).await,
            }
        }
    }
}

/// Returns the answers to the same requests from a replica that leads.
async fn resend(cluster: &TestCluster, offers: &[(u64, String, &str)]) -> Vec<ApplySheetReply> {
    let mut replies = Vec::new();
    for (number, content, id) in offers {
        replies.push(cluster.apply_sheet(*number, content, id).await.unwrap());
    }
    replies
}

/// Guards against answers, sheets or members that do not survive a snapshot and a restart of every
/// replica, and against a replica that cannot catch up once the log that it lacks is gone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_survive_500_changes_and_a_restart_of_all_replicas() {
    let mut cluster = spawn(2).await;
    let offers = [
        (20, sheet(20), "accepted"),
        (20, sheet(21), "conflict"),
        (19, sheet(19), "older"),
        (22, sheet(22), "later"),
    ];
    let first = resend(&cluster, &offers).await;
    assert!(first[0].accepted && first[3].accepted, "{first:?}");
    assert!(!first[1].conflict.is_empty() && !first[2].conflict.is_empty(), "{first:?}");
    let stopped = (leader(&cluster).await.0 + 1) % 3;
    cluster.controls[stopped].process.kill();
    let last = 100 + FURTHER_CHANGES;
    change_often(&cluster, 101, last).await;
    let version = cluster.status(WAIT_LIMIT).await.unwrap().version;
    assert_eq!(resend(&cluster, &offers).await, first);
    let mut logs = LogWatch::new(cluster.folder());
    let since = logs.read().unwrap();
    cluster.restart_control(stopped).unwrap();
    // The log that it lacks has been replaced by a snapshot on the others.
    let host = cluster.controls[stopped].host.clone();
    logs.wait(since, WAIT_LIMIT, |line| line.is_event(104) && line.source == host).await.unwrap();
    for control in &mut cluster.controls {
        control.process.kill();
    }
    // Without the replica that was never stopped, so that the one that caught up is needed.
    let absent = (stopped + 1) % 3;
    for control in 0..3 {
        if control != absent {
            cluster.restart_control(control).unwrap();
        }
    }
    let status = cluster.status(WAIT_LIMIT).await.unwrap();
    assert!(status.version >= version, "{} after {version}", status.version);
    assert_eq!(status.sheet.unwrap().number, last);
    assert_eq!(resend(&cluster, &offers).await, first);
    cluster.restart_control(absent).unwrap();
    change_often(&cluster, last + 1, last + 2).await;
    cluster.wait_serving(0).await.unwrap();
    cluster.wait_serving(1).await.unwrap();
}

/// Adds or removes a control replica, resending until the leader has done it.
async fn change_member(cluster: &TestCluster, host: &str, address: SocketAddr, add: bool) {
    let end = Instant::now() + WAIT_LIMIT;
    loop {
        let (_, mut client) = leader(cluster).await;
        let request = MemberRequest {
            host: host.to_owned(),
            address: address.to_string(),
            add,
            request_id: format!("{host}-{add}"),
        };
        let reason = match timeout(WAIT_LIMIT, client.change_member(request)).await {
            Ok(Ok(_)) => return,
            Ok(Err(status)) => status.to_string(),
            Err(_) => "no answer".to_owned(),
        };
        assert!(Instant::now() < end, "{host}: {reason}");
        sleep(Duration::from_millis(100)).await;
    }
}

fn data_folder(folder: &Path, host: &str) -> PathBuf {
    folder.join(format!("{host}-data"))
}

/// Guards against a repaired control state that depends on the lost disk, and against a replacement
/// that counts for the majority before it has everything.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn second_control_host_is_lost_right_after_the_repair() {
    let mut cluster = spawn(2).await;
    let workload = Workload::spawn(&addresses(&cluster), CALLERS, 62);
    let offers = [(30, sheet(30), "before"), (29, sheet(29), "older")];
    let before = resend(&cluster, &offers).await;
    assert!(before[0].accepted && !before[1].conflict.is_empty(), "{before:?}");
    // More than the 256 entries that a leader keeps after a snapshot, so that the replacement has to
    // get a snapshot.
    let last = 100 + 4 * SNAPSHOT_ENTRIES;
    change_often(&cluster, 101, last).await;
    let lost = leader(&cluster).await.0;
    let lost_host = cluster.controls[lost].host.clone();
    cluster.controls[lost].process.kill();
    std::fs::remove_dir_all(data_folder(cluster.folder(), &lost_host)).unwrap();
    cluster.replace_control(lost, "control-4").unwrap();
    let address = cluster.controls[lost].address;
    change_member(&cluster, &lost_host, address, false).await;
    change_member(&cluster, "control-4", address, true).await;
    let mut logs = LogWatch::new(cluster.folder());
    let installed = |line: &LogLine| line.is_event(104) && line.source == "control-4";
    logs.wait(0, WAIT_LIMIT, installed).await.unwrap();
    // The second host is lost at once: the replacement and one old host are the majority.
    let second = (lost + 1) % 3;
    let second_host = cluster.controls[second].host.clone();
    cluster.controls[second].process.kill();
    std::fs::remove_dir_all(data_folder(cluster.folder(), &second_host)).unwrap();
    let status = cluster.status(WAIT_LIMIT).await.unwrap();
    assert_eq!(status.sheet.unwrap().number, last);
    assert_eq!(resend(&cluster, &offers).await, before);
    // The replacement's own state, not only that of the old host, must be complete.
    let mut own = client(cluster.controls[lost].address).await.unwrap();
    let own = own.status(StatusRequest::default()).await.unwrap().into_inner();
    assert_eq!(own.sheet.unwrap().number, last);
    assert!(own.version >= before[0].version && own.entries.len() == 2, "{:?}", own.entries);
    let after = cluster.apply_sheet(last + 1, &sheet(last + 1), "after").await.unwrap();
    assert!(after.accepted && after.version > before[0].version, "{after:?}");
    for entry in 0..2 {
        cluster.wait_serving(entry).await.unwrap();
    }
    // The second repair works the same way.
    cluster.replace_control(second, "control-5").unwrap();
    let address = cluster.controls[second].address;
    change_member(&cluster, &second_host, address, false).await;
    change_member(&cluster, "control-5", address, true).await;
    let status = cluster.status(WAIT_LIMIT).await.unwrap();
    assert_eq!(status.replicas.iter().filter(|replica| replica.voter).count(), 3, "{status:?}");
    let result = workload.finish().await;
    check(&cluster, &result).await;
}
