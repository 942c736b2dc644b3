//! The control service over tonic on a single replica.

#![allow(clippy::unwrap_used)]

mod common;

use {
    banyansill_wire::v1::{self, control_client::ControlClient},
    common::{FakeEntry, SHEET, announcement, entry, eventually, start},
    tonic::transport::Channel,
};

async fn database(client: &ControlClient<Channel>) -> Option<v1::DatabaseView> {
    let reply = client.clone().status(v1::StatusRequest::default()).await.unwrap().into_inner();
    reply.databases.into_iter().next()
}

/// Guards against a group whose primary or brokers are never decided, so that nothing is routed.
#[tokio::test(flavor = "multi_thread")]
async fn announced_group_gets_brokers_and_its_primary() {
    let (handle, mut client) = start().await;
    let mut fake = FakeEntry::new(entry("entry-1", 1));
    let view = eventually("assignment and adoption", async || {
        fake.beat(&mut client).await;
        let roles = [("a", 7300, v1::Role::Primary), ("b", 7310, v1::Role::Replica)];
        for (server, port, role) in roles {
            let announcement = Some(announcement(server, port, role));
            let request = v1::AnnounceRequest { announcement, ..Default::default() };
            client.announce(request).await.unwrap();
        }
        let view = database(&client).await?;
        let brokered = view.servers.iter().all(|server| server.broker == "entry-1");
        (brokered && view.servers.len() == 2 && view.term > 0).then_some(view)
    })
    .await;
    assert_eq!((view.term, view.primary.as_str(), view.closed), (1, "a", false));
    assert!(view.servers.iter().all(|server| server.epoch == 1 && server.live));
    handle.stop().await;
}

/// Guards against a lease for a process that has not yet applied its own joining, and thus may still
/// act on assignments from before its lease ran out.
#[tokio::test(flavor = "multi_thread")]
async fn lease_needs_the_version_of_the_join() {
    let (handle, mut client) = start().await;
    let mut fake = FakeEntry::new(entry("entry-1", 1));
    let first = eventually("leader", async || {
        let reply = fake.beat(&mut client).await;
        (reply.version > 0).then_some(reply)
    })
    .await;
    assert!(!first.renewed, "{first:?}");
    let second = fake.beat(&mut client).await;
    assert!(second.renewed, "{second:?}");
    let mut old = FakeEntry::new(entry("entry-1", 0));
    let refused = old.beat(&mut client).await;
    assert!(!refused.renewed && refused.reason.contains("newer"), "{refused:?}");
    handle.stop().await;
}

/// Guards against watchers that miss a change between the snapshot and the deltas.
#[tokio::test(flavor = "multi_thread")]
async fn watch_starts_with_the_whole_state_and_continues_with_deltas() {
    let (handle, mut client) = start().await;
    let request = v1::WatchRequest { since_version: 0, host: "entry-1".to_owned() };
    let mut stream = client.watch(request).await.unwrap().into_inner();
    let first = stream.message().await.unwrap().unwrap();
    assert!(first.reset && first.sheet.is_none());
    let request = v1::ApplySheetRequest {
        number: 4,
        content: SHEET.into(),
        request_id: "r-1".to_owned(),
        operator: "ada".to_owned(),
    };
    let applied = client.apply_sheet(request).await.unwrap().into_inner();
    assert!(applied.accepted);
    let next = stream.message().await.unwrap().unwrap();
    assert_eq!((next.reset, next.version), (first.version == 0, applied.version));
    let sheet = next.sheet.unwrap();
    assert_eq!((sheet.number, &sheet.content[..]), (4, SHEET.as_bytes()));
    handle.stop().await;
}

/// Guards against a bad sheet that replaces the one in force, and against a lost winner's name.
#[tokio::test(flavor = "multi_thread")]
async fn sheet_faults_and_conflicts_change_nothing() {
    let (handle, mut client) = start().await;
    let apply = |content: &str, operator: &str, request_id: &str| v1::ApplySheetRequest {
        number: 1,
        content: content.to_owned().into(),
        request_id: request_id.to_owned(),
        operator: operator.to_owned(),
    };
    let bad = apply("database\nx\n", "ada", "r-1");
    let faulty = client.apply_sheet(bad).await.unwrap().into_inner();
    assert!(!faulty.accepted && !faulty.faults.is_empty());
    let first = client.apply_sheet(apply(SHEET, "ada", "r-2")).await.unwrap().into_inner();
    assert!(first.accepted);
    let other = SHEET.replace("1000", "2000");
    let lost = client.apply_sheet(apply(&other, "bo", "r-3")).await.unwrap().into_inner();
    assert!(!lost.accepted && lost.conflict.contains("ada"), "{lost:?}");
    let again = client.apply_sheet(apply(SHEET, "ada", "r-2")).await.unwrap().into_inner();
    assert_eq!(again, first);
    let history = client.sheet_history(v1::SheetHistoryRequest {}).await.unwrap().into_inner();
    assert_eq!(history.records.len(), 1);
    handle.stop().await;
}
