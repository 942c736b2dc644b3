//! The entry's membership in the cluster: heartbeats that renew the node lease, and the watch that
//! receives routes and sheets.

mod heartbeat;
mod view;
mod watch;

use {
    crate::{announcements::AnnouncementRegistry, lease::NodeLease},
    banyansill_core::{names::SharedName, route::RouteTable},
    banyansill_runtime::{clock::MonotonicClock, events::EventSink},
    banyansill_wire::v1,
    std::{
        hash::{DefaultHasher, Hash, Hasher},
        sync::Arc,
        time::Duration,
    },
    tokio::{sync::watch as channel, task::JoinHandle},
    tonic::transport::{Channel, Endpoint},
};

/// Timeout for connecting to a control replica.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval between HTTP/2 pings on a control connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for the answer to a ping, after which the connection is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_millis(500);

/// Settings of the membership tasks.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Description of this entry in its heartbeats.
    pub entry: v1::EntryInfo,
    /// IP addresses and ports of the control replicas' gRPC listeners.
    pub control: Vec<SharedName>,
}

/// State that the membership tasks share with the rest of the entry.
#[derive(Debug)]
pub struct MembershipLinks {
    /// Clock that the lease is measured with.
    pub clock: MonotonicClock,
    /// Lease that heartbeats renew.
    pub lease: NodeLease,
    /// Publishes the routes and the sheet in force.
    pub routes: channel::Sender<Arc<RouteTable>>,
    /// Reports of this entry's brokers on their targets.
    pub reports: channel::Receiver<Vec<v1::TargetReport>>,
    /// Announcements of the targets whose broker this entry is.
    pub announcements: AnnouncementRegistry,
    /// Records the events of the entry.
    pub events: EventSink,
}

/// Running membership tasks; dropping the handle stops the heartbeats and the watch.
#[derive(Debug)]
#[must_use]
pub struct MembershipHandle {
    draining: channel::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl MembershipHandle {
    /// Starts the heartbeats and the watch on the current tokio runtime.
    pub fn spawn(settings: MembershipSettings, links: MembershipLinks) -> Self {
        let routes = links.routes.subscribe();
        let (draining, drain) = channel::channel(settings.entry.draining);
        let (committed, committed_version) = channel::channel(0);
        let watcher = watch::WatchTask::new(&settings, &links, committed_version);
        let heartbeats = heartbeat::HeartbeatTask::new(settings, links, routes, drain, committed);
        let tasks = vec![tokio::spawn(watcher.run()), tokio::spawn(heartbeats.run())];
        Self { draining, tasks }
    }

    /// Sets whether the heartbeats report the entry as draining; control moves brokerships away from a
    /// draining entry.
    pub fn set_draining(&self, draining: bool) {
        self.draining.send_replace(draining);
    }
}

impl Drop for MembershipHandle {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

fn connect(address: &str) -> Result<Channel, tonic::transport::Error> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))?;
    Ok(endpoint
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .keep_alive_while_idle(true)
        .connect_lazy())
}

/// Addresses of the control replicas, used in turn.
#[derive(Debug)]
struct ReplicaRotation {
    addresses: Vec<SharedName>,
    next: usize,
}

impl ReplicaRotation {
    /// Starts at an address derived from the host name, so that the entries count over the replicas.
    fn new(addresses: Vec<SharedName>, host: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        host.hash(&mut hasher);
        let count = u64::try_from(addresses.len()).unwrap_or_default().max(1);
        let next = usize::try_from(hasher.finish() % count).unwrap_or_default();
        Self { addresses, next }
    }

    fn advance(&mut self) -> Option<SharedName> {
        let address = self.addresses.get(self.next % self.addresses.len().max(1))?.clone();
        self.next += 1;
        Some(address)
    }
}
