//! The watch on the cluster state.

use {
    super::{
        ControlRing, MembershipLinks, MembershipSettings, connect,
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

/// Pause before the next replica is asked after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Time within which a replica must answer a watch request.
const OPEN_TIMEOUT: Duration = Duration::from_millis(800);

/// Time that a watch may stay behind the version that a heartbeat confirmed.
///
/// Within the sheet grace, so that a stuck replica does not cost the entry its lease.
const LAG_LIMIT: Duration = Duration::from_millis(300);

pub(super) struct WatchTask {
    host: SharedName,
    ring: ControlRing,
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
            ring: ControlRing::new(settings.control.clone(), &settings.entry.host),
            view: ClusterView::default(),
            publisher: links.routes.clone(),
            committed,
            events: links.events.clone(),
            sheet_number: 0,
        }
    }

    pub(super) async fn run(mut self) {
        loop {
            let Some(address) = self.ring.advance() else { return };
            match self.open(&address).await {
                Some(stream) => {
                    self.view.restart();
                    self.follow(stream).await;
                }
                None => log::debug!("watch at {address}: not opened"),
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    async fn open(&self, address: &str) -> Option<Streaming<v1::WatchReply>> {
        let mut client = ControlClient::new(connect(address).ok()?);
        let request =
            v1::WatchRequest { since_version: self.view.version(), host: self.host.to_string() };
        let reply = timeout(OPEN_TIMEOUT, client.watch(request)).await.ok()?.ok()?;
        Some(reply.into_inner())
    }

    /// Applies replies until the stream ends or stays behind the confirmed version.
    async fn follow(&mut self, mut stream: Streaming<v1::WatchReply>) {
        loop {
            let behind = *self.committed.borrow_and_update() > self.view.version();
            let limit = if behind { LAG_LIMIT } else { Duration::from_secs(3_600) };
            tokio::select! {
                message = stream.message() => {
                    let Ok(Some(reply)) = message else { return };
                    if !self.apply(&reply) {
                        return;
                    }
                }
                () = sleep(limit) => {
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
