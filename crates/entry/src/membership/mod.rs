//! The entry's part of membership: heartbeats that renew the node lease, and the watch on routes.

mod heartbeat;
mod view;
mod watch;

use {
    crate::{announcements::AnnounceBook, lease::NodeLease},
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

/// Time within which a control replica must accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval of HTTP/2 pings on a control connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which an unanswered ping ends the connection.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_millis(500);

/// What membership needs to know of its entry.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// The entry as it presents itself.
    pub entry: v1::EntryInfo,
    /// IP addresses and ports of the control replicas' tonic listeners.
    pub control: Vec<SharedName>,
}

/// Parts of the entry that membership feeds or reads.
#[derive(Debug)]
pub struct MembershipLinks {
    /// Clock of the lease.
    pub clock: MonotonicClock,
    /// Lease that heartbeats renew.
    pub lease: NodeLease,
    /// Where routes and the sheet in force are published.
    pub routes: channel::Sender<Arc<RouteTable>>,
    /// What the brokers observe of their targets.
    pub reports: channel::Receiver<Vec<v1::TargetReport>>,
    /// Announcements of the targets whose broker this entry is.
    pub announcements: AnnounceBook,
    /// Time line.
    pub events: EventSink,
}

/// Running membership; dropping it stops heartbeats and the watch.
#[derive(Debug)]
#[must_use]
pub struct MembershipHandle {
    draining: channel::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl MembershipHandle {
    /// Starts heartbeats and the watch on the current tokio runtime.
    pub fn spawn(settings: MembershipSettings, links: MembershipLinks) -> Self {
        let routes = links.routes.subscribe();
        let (draining, drain) = channel::channel(settings.entry.draining);
        let (committed, target) = channel::channel(0);
        let watcher = watch::WatchTask::new(&settings, &links, target);
        let beater = heartbeat::HeartbeatTask::new(settings, links, routes, drain, committed);
        let tasks = vec![tokio::spawn(watcher.run()), tokio::spawn(beater.run())];
        Self { draining, tasks }
    }

    /// Announces whether the entry is draining; brokerships move away from a draining entry.
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

/// Control replicas in rotation, with the leader first if it is known.
#[derive(Debug)]
struct ControlRing {
    addresses: Vec<SharedName>,
    next: usize,
}

impl ControlRing {
    /// Starts at an address that depends on the host, so that entries spread over the replicas.
    fn new(addresses: Vec<SharedName>, host: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        host.hash(&mut hasher);
        let spread = u64::try_from(addresses.len()).unwrap_or_default().max(1);
        let next = usize::try_from(hasher.finish() % spread).unwrap_or_default();
        Self { addresses, next }
    }

    fn advance(&mut self) -> Option<SharedName> {
        let address = self.addresses.get(self.next % self.addresses.len().max(1))?.clone();
        self.next += 1;
        Some(address)
    }
}
