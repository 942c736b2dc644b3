//! The watch that receives changes of the cluster state from control.

use {
    super::{
        MembershipLinks, MembershipSettings, ReplicaRotation, connect,
        view::{ClusterView, ViewChange},
    },
    banyansill_core::{event::EventNumber, names::SharedName, route::RouteTable},
    banyansill_runtime::events::EventSink,
    banyansill_wire::v1::{self, control_client::ControlClient},
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::watch,
        time::{sleep, timeout},
    },
    tonic::Streaming,
};

/// Delay before the watch is opened at the next replica after a stream ended or could not be opened.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Timeout for opening a watch at a replica.
const OPEN_TIMEOUT: Duration = Duration::from_millis(800);

/// Time that a watch may stay behind the version that a heartbeat reported as committed.
///
/// It is shorter than `SHEET_GRACE`, so that the entry moves on from a stuck replica before control
/// stops renewing its lease.
const LAG_TIMEOUT: Duration = Duration::from_millis(300);

pub(super) struct WatchTask {
    host: SharedName,
    replicas: ReplicaRotation,
    view: ClusterView,
    publisher: watch::Sender<Arc<RouteTable>>,
    committed: watch::Receiver<u64>,
    events: EventSink,
    sheet_number: u64,
}

impl WatchTask {
    pub(super) fn new(
        settings: &MembershipSettings,
        links: &MembershipLinks,
        committed: watch::Receiver<u64>,
    ) -> Self {
        Self {
            host: SharedName::from(settings.entry.host.as_str()),
            replicas: ReplicaRotation::new(settings.control.clone(), &settings.entry.host),
            view: ClusterView::default(),
            publisher: links.routes.clone(),
            committed,
            events: links.events.clone(),
            sheet_number: 0,
        }
    }

    pub(super) async fn run(mut self) {
        loop {
            let Some(address) = self.replicas.advance() else { return };
            match self.open(&address).await {
                Some(stream) => {
                    self.view.restart();
                    self.follow(stream).await;
                }
                None => log::debug!("watch at {address} could not be opened"),
            }
            sleep(RETRY_DELAY).await;
        }
    }

    async fn open(&self, address: &str) -> Option<Streaming<v1::WatchReply>> {
        let mut client = ControlClient::new(connect(address).ok()?);
        let request =
            v1::WatchRequest { since_version: self.view.version(), host: self.host.to_string() };
        let reply = timeout(OPEN_TIMEOUT, client.watch(request)).await.ok()?.ok()?;
        Some(reply.into_inner())
    }

    /// Applies replies until the stream ends, a reply is refused, or the view stays behind the committed
    /// version for `LAG_TIMEOUT`.
    async fn follow(&mut self, mut stream: Streaming<v1::WatchReply>) {
        loop {
            let behind = *self.committed.borrow_and_update() > self.view.version();
            let wait = if behind { LAG_TIMEOUT } else { Duration::from_secs(3_600) };
            tokio::select! {
                message = stream.message() => {
                    let Ok(Some(reply)) = message else { return };
                    if !self.apply(&reply) {
                        return;
                    }
                }
                () = sleep(wait) => {
                    if behind {
                        return;
                    }
                }
                Ok(()) = self.committed.changed() => {}
            }
        }
    }

    fn apply(&mut self, reply: &v1::WatchReply) -> bool {
        match self.view.apply(reply) {
            ViewChange::Complete => {}
            ViewChange::Partial => return true,
            ViewChange::Refused => return false,
        }
        let table = Arc::new(self.view.table());
        if table.sheet_number > self.sheet_number {
            self.sheet_number = table.sheet_number;
            let number = ("number", table.sheet_number.to_string());
            self.events.record(EventNumber::SheetApplied, &[number]);
        }
        self.publisher.send_replace(table);
        true
    }
}
