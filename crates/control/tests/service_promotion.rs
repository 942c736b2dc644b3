//! A change of primary through the control service.

#![allow(clippy::unwrap_used)]

mod common;

use {
    banyansill_wire::v1::{self, control_client::ControlClient},
    common::{FakeEntry, announcement, entry, eventually, start},
    tonic::transport::Channel,
};

struct Group {
    client: ControlClient<Channel>,
    fake: FakeEntry,
    announced: Vec<v1::Announcement>,
}

impl Group {
    /// One heartbeat and one announcement of each target; returns the group as control sees it.
    async fn round(&mut self) -> Option<v1::DatabaseView> {
        self.fake.beat(&mut self.client).await;
        for announcement in &self.announced {
            let announcement = Some(announcement.clone());
            let request = v1::AnnounceRequest { announcement, ..Default::default() };
            let _ = self.client.announce(request).await;
        }
        let status = self.client.status(v1::StatusRequest::default()).await.unwrap();
        let view = status.into_inner().databases.into_iter().next()?;
        for report in &mut self.fake.reports {
            let server = view.servers.iter().find(|server| {
                server.announcement.as_ref().is_some_and(|it| it.server == report.server)
            });
            report.epoch = server.map_or(0, |server| server.epoch);
        }
        Some(view)
    }
}

fn report(server: &str) -> v1::TargetReport {
    v1::TargetReport {
        database: "repairs-1".to_owned(),
        server: server.to_owned(),
        reachable: true,
        role: v1::Role::Replica.into(),
        position: Some(v1::Position { term: 1, offset: 5 }),
        term: 1,
        open_connections: 1,
        ..v1::TargetReport::default()
    }
}

/// Guards against a failover that stops at any of its steps: detection, close, fence, choice, promotion.
#[tokio::test(flavor = "multi_thread")]
async fn dead_primary_is_replaced_by_the_replica_with_the_highest_position() {
    let (handle, client) = start().await;
    let mut group = Group {
        client,
        fake: FakeEntry::new(entry("entry-1", 1)),
        announced: vec![
            announcement("a", 7300, v1::Role::Primary),
            announcement("b", 7310, v1::Role::Replica),
            announcement("c", 7320, v1::Role::Replica),
        ],
    };
    group.announced[2].position = Some(v1::Position { term: 1, offset: 6 });
    eventually("adoption", async || {
        let view = group.round().await?;
        let brokered = view.servers.iter().all(|server| server.epoch > 0);
        (brokered && view.servers.len() == 3 && view.term == 1).then_some(())
    })
    .await;
    group.announced.remove(0);
    let mut reports = vec![report("a"), report("b"), report("c")];
    reports[0].reachable = false;
    reports[0].unreachable_ms = 500;
    reports[2].position = Some(v1::Position { term: 1, offset: 6 });
    group.fake.reports = reports;
    let closed = eventually("the close of the term", async || {
        group.round().await.filter(|view| view.closed)
    })
    .await;
    assert_eq!((closed.term, closed.primary.as_str(), closed.planned), (1, "a", false));
    assert_eq!(closed.candidate, "", "a candidate was chosen before the fence");
    group.fake.reports[0].fenced_term = 1;
    let chosen = eventually("the choice", async || {
        group.round().await.filter(|view| !view.candidate.is_empty())
    })
    .await;
    assert_eq!((chosen.candidate.as_str(), chosen.candidate_term), ("c", 2));
    let report = &mut group.fake.reports[2];
    report.role = v1::Role::Primary.into();
    report.term = 2;
    report.term_start = report.position;
    let view =
        eventually("the promotion", async || group.round().await.filter(|view| view.term == 2))
            .await;
    assert_eq!((view.primary.as_str(), view.closed), ("c", false));
    let start = v1::TermStart { term: 2, start: Some(v1::Position { term: 1, offset: 6 }) };
    assert_eq!(view.history.last(), Some(&start));
    // The old primary returns and learns that it was replaced.
    let mut old = announcement("a", 7300, v1::Role::Primary);
    old.incarnation = 2;
    let request = v1::AnnounceRequest { announcement: Some(old), ..Default::default() };
    let reply = group.client.announce(request).await.unwrap().into_inner();
    assert_eq!((reply.term, reply.primary.as_str()), (2, "c"));
    handle.stop().await;
}

/// Guards against a leaving target that is marked late, and a leaving primary that keeps its role.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_primary_is_marked_at_once_and_closed_as_planned() {
    let (handle, client) = start().await;
    let mut group = Group {
        client,
        fake: FakeEntry::new(entry("entry-1", 1)),
        announced: vec![
            announcement("a", 7300, v1::Role::Primary),
            announcement("b", 7310, v1::Role::Replica),
        ],
    };
    eventually("adoption", async || {
        group.round().await.filter(|view| view.term == 1 && view.servers.len() == 2)
    })
    .await;
    group.announced[0].leaving = true;
    let view = group.round().await.unwrap();
    assert!(view.servers[0].draining);
    let view =
        eventually("the planned close", async || group.round().await.filter(|view| view.closed))
            .await;
    assert!(view.planned);
    handle.stop().await;
}
