//! Announcements of the targets whose broker this entry is.

use {
    crate::lease::NodeLease,
    banyansill_core::{
        detector::ANNOUNCEMENT_GAP, names::SharedName, route::RouteTable, time::Micros,
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

/// Time after which a silent target is forgotten; its next announcement is passed on as a first one.
const FORGET_AFTER: Micros = Micros::from_secs(10);

/// Incarnations of the targets that announced themselves within `ANNOUNCEMENT_GAP`, by database and
/// server.
pub type AnnouncedSet = BTreeMap<(String, String), u64>;

/// Why an announcement was not taken; the target announces itself to control instead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AnnounceRefusal {
    /// Without a lease control does not count this entry's reports.
    #[error("this entry holds no node lease")]
    NoLease,
    /// Another entry is the broker, or none, or control has to hear the target itself.
    #[error("this entry is not the target's broker")]
    NotBroker,
    /// A newer process of the target has announced itself.
    #[error("a newer incarnation is known")]
    OldIncarnation,
}

#[derive(Debug)]
struct HeardTarget {
    at: Micros,
    announcement: v1::Announcement,
    /// Whether control has recorded what the announcement says.
    confirmed: bool,
}

#[derive(Debug)]
struct BookState {
    host: SharedName,
    address: OnceLock<SocketAddr>,
    clock: MonotonicClock,
    lease: NodeLease,
    routes: watch::Receiver<Arc<RouteTable>>,
    heard: Mutex<BTreeMap<(String, String), HeardTarget>>,
    news: Notify,
}

/// Announcements that targets sent to this entry; clones share them.
#[derive(Clone, Debug)]
pub struct AnnounceBook {
    state: Arc<BookState>,
}

impl AnnounceBook {
    /// Creates an empty book.
    #[must_use]
    pub fn new(
        host: SharedName,
        clock: MonotonicClock,
        lease: NodeLease,
        routes: watch::Receiver<Arc<RouteTable>>,
    ) -> Self {
        let state = BookState {
            host,
            address: OnceLock::new(),
            clock,
            lease,
            routes,
            heard: Mutex::default(),
            news: Notify::new(),
        };
        Self { state: Arc::new(state) }
    }

    /// Sets the address that replies name; only the first call has an effect.
    pub fn set_address(&self, address: SocketAddr) {
        let _ = self.state.address.set(address);
    }

    /// Takes an announcement of a target whose broker this entry is.
    ///
    /// # Errors
    ///
    /// Returns why the target has to announce itself to control.
    pub fn take(&self, announcement: v1::Announcement) -> Result<AnnouncedBody, AnnounceRefusal> {
        if !self.state.lease.is_valid() {
            return Err(AnnounceRefusal::NoLease);
        }
        let route = self.state.routes.borrow().databases.get(&*announcement.database).cloned();
        // A group without a primary is adopted from announcements that control has heard itself.
        let route = route.filter(|route| route.term.0 > 0).ok_or(AnnounceRefusal::NotBroker)?;
        let target = route.target(&announcement.server).ok_or(AnnounceRefusal::NotBroker)?;
        if target.broker != self.state.host {
            return Err(AnnounceRefusal::NotBroker);
        }
        let key = (announcement.database.clone(), announcement.server.clone());
        let at = self.state.clock.now();
        let mut heard = self.heard();
        let previous = heard.get(&key).filter(|last| at.since(last.at) < FORGET_AFTER);
        let mut confirmed = false;
        let mut news = announcement.leaving;
        if let Some(last) = previous {
            if announcement.incarnation < last.announcement.incarnation {
                return Err(AnnounceRefusal::OldIncarnation);
            }
            let same = recorded_part(&last.announcement) == recorded_part(&announcement);
            confirmed = same && last.confirmed;
            news = !same;
        }
        heard.insert(key, HeardTarget { at, announcement, confirmed });
        drop(heard);
        if news {
            self.state.news.notify_one();
        }
        Ok(AnnouncedBody {
            term: route.term.0,
            primary: route.primary.as_ref().map(ToString::to_string).unwrap_or_default(),
            announce_to: self.state.address.get().map(ToString::to_string).unwrap_or_default(),
        })
    }

    /// Waits for an announcement that control has to learn at once.
    pub async fn news(&self) {
        self.state.news.notified().await;
    }

    /// Returns the targets that announced themselves within the last second.
    #[must_use]
    pub fn announced(&self) -> AnnouncedSet {
        let now = self.state.clock.now();
        let mut announced = AnnouncedSet::new();
        for (key, target) in &*self.heard() {
            if now.since(target.at) < ANNOUNCEMENT_GAP {
                announced.insert(key.clone(), target.announcement.incarnation);
            }
        }
        announced
    }

    /// Adds to reports what was heard of their targets within the last second, and returns all such
    /// targets.
    pub fn annotate(&self, reports: &mut [v1::TargetReport]) -> AnnouncedSet {
        let announced = self.announced();
        let now = self.state.clock.now();
        let mut heard = self.heard();
        heard.retain(|_, target| now.since(target.at) < FORGET_AFTER);
        for report in reports {
            let key = (report.database.clone(), report.server.clone());
            let Some(incarnation) = announced.get(&key) else { continue };
            report.announced_incarnation = *incarnation;
            // Control removes a target that has left by the last position that it announced.
            let target = heard.get(&key);
            let target = target.filter(|it| !it.confirmed || it.announcement.leaving);
            report.announcement = target.map(|target| target.announcement.clone());
        }
        announced
    }

    /// Notes that control has recorded the announcements in the reports of a heartbeat.
    pub fn confirm(&self, reports: &[v1::TargetReport]) {
        let mut heard = self.heard();
        for report in reports {
            let Some(announcement) = &report.announcement else { continue };
            let key = (report.database.clone(), report.server.clone());
            let Some(target) = heard.get_mut(&key) else { continue };
            if recorded_part(&target.announcement) == recorded_part(announcement) {
                target.confirmed = true;
            }
        }
    }

    fn heard(&self) -> MutexGuard<'_, BTreeMap<(String, String), HeardTarget>> {
        self.state.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns an announcement without what a running target changes all the time.
fn recorded_part(announcement: &v1::Announcement) -> v1::Announcement {
    v1::Announcement { position: None, term: 0, ..announcement.clone() }
}
