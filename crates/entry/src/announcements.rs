//! Announcements of the targets whose broker this entry is.

use {
    crate::lease::NodeLease,
    banyansill_core::{
        detector::ANNOUNCEMENT_TIMEOUT, names::SharedName, route::RouteTable, time::Micros,
    },
    banyansill_runtime::clock::MonotonicClock,
    banyansill_wire::{announcement::AnnouncedBody, v1},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError},
    },
    thiserror::Error,
    tokio::sync::{Notify, watch},
};

/// Time without announcements until a target is removed; its next one is then reported like a first one.
const ANNOUNCEMENT_RETENTION: Micros = Micros::from_secs(10);

/// Incarnations of the targets with an announcement within `ANNOUNCEMENT_TIMEOUT`, by database and server.
pub type AnnouncedSet = BTreeMap<(String, String), u64>;

/// Why an announcement was refused; the target then announces itself to control.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AnnounceRefusal {
    /// Control ignores the reports of an entry that holds no lease.
    #[error("this entry holds no node lease")]
    NoLease,
    /// The broker is another entry or does not exist, or control needs the announcement directly.
    #[error("this entry is not the target's broker")]
    NotBroker,
    /// A newer process of the target has already sent an announcement.
    #[error("a newer incarnation is known")]
    OldIncarnation,
}

#[derive(Debug)]
struct AnnouncedTarget {
    received_at: Micros,
    announcement: v1::Announcement,
    /// Whether control has recorded the announcement, apart from its position and term.
    confirmed: bool,
}

#[derive(Debug)]
struct RegistryState {
    host: SharedName,
    address: OnceLock<SocketAddr>,
    clock: MonotonicClock,
    lease: NodeLease,
    routes: watch::Receiver<Arc<RouteTable>>,
    targets: Mutex<BTreeMap<(String, String), AnnouncedTarget>>,
    urgent_change: Notify,
}

/// Latest announcement of each target that announces itself to this entry; clones share the state.
#[derive(Clone, Debug)]
pub struct AnnouncementRegistry {
    state: Arc<RegistryState>,
}

impl AnnouncementRegistry {
    /// Creates an empty registry.
    #[must_use]
    pub fn new(
        host: SharedName,
        clock: MonotonicClock,
        lease: NodeLease,
        routes: watch::Receiver<Arc<RouteTable>>,
    ) -> Self {
        let state = RegistryState {
            host,
            address: OnceLock::new(),
            clock,
            lease,
            routes,
            targets: Mutex::default(),
            urgent_change: Notify::new(),
        };
        Self { state: Arc::new(state) }
    }

    /// Sets the address to which replies direct further announcements; only the first call has an effect.
    pub fn set_address(&self, address: SocketAddr) {
        let _ = self.state.address.set(address);
    }

    /// Records an announcement of a target whose broker this entry is.
    ///
    /// # Errors
    ///
    /// Returns why the target has to announce itself to control.
    pub fn accept(&self, announcement: v1::Announcement) -> Result<AnnouncedBody, AnnounceRefusal> {
        if !self.state.lease.is_valid() {
            return Err(AnnounceRefusal::NoLease);
        }
        let route = self.state.routes.borrow().databases.get(&*announcement.database).cloned();
        // Control sets up a group without a primary only from announcements that it received directly.
        let route = route.filter(|route| route.term.0 > 0).ok_or(AnnounceRefusal::NotBroker)?;
        let target = route.target(&announcement.server).ok_or(AnnounceRefusal::NotBroker)?;
        if target.broker != self.state.host {
            return Err(AnnounceRefusal::NotBroker);
        }
        let key = (announcement.database.clone(), announcement.server.clone());
        let received_at = self.state.clock.now();
        let mut targets = self.targets();
        let previous = targets
            .get(&key)
            .filter(|last| received_at.since(last.received_at) < ANNOUNCEMENT_RETENTION);
        let mut confirmed = false;
        let mut urgent = announcement.leaving;
        if let Some(last) = previous {
            if announcement.incarnation < last.announcement.incarnation {
                return Err(AnnounceRefusal::OldIncarnation);
            }
            let same = stable_fields(&last.announcement) == stable_fields(&announcement);
            confirmed = same && last.confirmed;
            urgent = !same;
        }
        targets.insert(key, AnnouncedTarget { received_at, announcement, confirmed });
        drop(targets);
        if urgent {
            self.state.urgent_change.notify_one();
        }
        Ok(AnnouncedBody {
            term: route.term.0,
            primary: route.primary.as_ref().map(ToString::to_string).unwrap_or_default(),
            announce_to: self.state.address.get().map(ToString::to_string).unwrap_or_default(),
        })
    }

    /// Waits for an announcement that must be reported to control before the next regular heartbeat.
    pub async fn wait_for_urgent_change(&self) {
        self.state.urgent_change.notified().await;
    }

    /// Returns the targets with an announcement within the last second, `ANNOUNCEMENT_TIMEOUT`.
    #[must_use]
    pub fn announced(&self) -> AnnouncedSet {
        let now = self.state.clock.now();
        let mut announced = AnnouncedSet::new();
        for (key, target) in &*self.targets() {
            if now.since(target.received_at) < ANNOUNCEMENT_TIMEOUT {
                announced.insert(key.clone(), target.announcement.incarnation);
            }
        }
        announced
    }

    /// Adds the announcements of the last second to the reports on their targets, and returns all targets
    /// with such an announcement.
    ///
    /// If control has recorded an announcement, only its incarnation is reported, unless the target is
    /// leaving.
    pub fn annotate(&self, reports: &mut [v1::TargetReport]) -> AnnouncedSet {
        let announced = self.announced();
        let now = self.state.clock.now();
        let mut targets = self.targets();
        targets.retain(|_, target| now.since(target.received_at) < ANNOUNCEMENT_RETENTION);
        for report in reports {
            let key = (report.database.clone(), report.server.clone());
            let Some(incarnation) = announced.get(&key) else { continue };
            report.announced_incarnation = *incarnation;
            // Control decides by the last announced position whether a leaving target may be removed.
            let target = targets.get(&key);
            let target = target.filter(|it| !it.confirmed || it.announcement.leaving);
            report.announcement = target.map(|target| target.announcement.clone());
        }
        announced
    }

    /// Marks the announcements in the reports of an acknowledged heartbeat as recorded by control.
    pub fn confirm(&self, reports: &[v1::TargetReport]) {
        let mut targets = self.targets();
        for report in reports {
            let Some(announcement) = &report.announcement else { continue };
            let key = (report.database.clone(), report.server.clone());
            let Some(target) = targets.get_mut(&key) else { continue };
            if stable_fields(&target.announcement) == stable_fields(announcement) {
                target.confirmed = true;
            }
        }
    }

    fn targets(&self) -> MutexGuard<'_, BTreeMap<(String, String), AnnouncedTarget>> {
        self.state.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns an announcement without the values that change continuously while a target runs.
fn stable_fields(announcement: &v1::Announcement) -> v1::Announcement {
    v1::Announcement { position: None, term: 0, ..announcement.clone() }
}
