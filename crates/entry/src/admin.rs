//! HTTP listener for health checks, the time line and the entry's status.

use {
    crate::{
        announcements::AnnounceBook,
        lease::NodeLease,
        session::{CallerRegistry, SessionCounters},
    },
    banyansill_core::{event::HybridStamp, names::SharedName, route::RouteTable},
    banyansill_runtime::{events::EventSink, server::ServerHandle},
    banyansill_wire::announcement::{ANNOUNCEMENT_LIMIT, AnnouncementBody},
    ntex::{
        http::{HttpService, StatusCode},
        util::Bytes,
        web::{self, App, HttpResponse, types},
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        io,
        net::{SocketAddr, TcpListener},
        sync::Arc,
    },
    tokio::sync::watch,
};

/// What the answers are made from.
#[derive(Clone, Debug)]
pub struct AdminSources {
    /// Name of this host.
    pub host: SharedName,
    /// Announcements of the targets whose broker this entry is.
    pub announcements: AnnounceBook,
    /// Node lease of the entry.
    pub lease: NodeLease,
    /// Routes and the sheet in force.
    pub routes: watch::Receiver<Arc<RouteTable>>,
    /// Events of the entry.
    pub events: EventSink,
    /// Callers of the entry.
    pub registry: Arc<CallerRegistry>,
    /// Counters of the sessions.
    pub counters: Arc<SessionCounters>,
}

impl AdminSources {
    /// Returns why the entry takes no new callers, or `None` if it does.
    #[must_use]
    pub fn unready_reason(&self) -> Option<&'static str> {
        if *self.registry.draining().borrow() {
            return Some("draining");
        }
        if !self.lease.is_valid() {
            return Some("no-lease");
        }
        if self.routes.borrow().sheet.is_none() {
            return Some("no-sheet");
        }
        None
    }

    /// Returns the status as `/v1/status` shows it.
    #[must_use]
    pub fn status(&self) -> EntryStatus {
        let table = self.routes.borrow().clone();
        let mut databases = BTreeMap::new();
        for (name, route) in &table.databases {
            let live = route.targets.iter().filter(|target| target.live).count();
            let status = DatabaseStatus {
                term: route.term.0,
                primary: route.primary.clone(),
                closed: route.closed,
                targets: route.targets.len(),
                live_targets: live,
            };
            databases.insert(name.clone(), status);
        }
        EntryStatus {
            host: self.host.clone(),
            unready_reason: self.unready_reason(),
            lease_remaining_ms: self.lease.remaining().as_millis(),
            routes_version: table.version,
            callers: self.registry.open(),
            counters: self.counters.values().into_iter().collect(),
            databases,
        }
    }
}

/// Status of an entry.
#[derive(Clone, Debug, Serialize)]
pub struct EntryStatus {
    /// Name of this host.
    pub host: SharedName,
    /// Why the entry takes no new callers.
    pub unready_reason: Option<&'static str>,
    /// Time left of the node lease.
    pub lease_remaining_ms: u64,
    /// Version of the routes.
    pub routes_version: u64,
    /// Connected callers.
    pub callers: usize,
    /// Counters of the sessions.
    pub counters: BTreeMap<&'static str, u64>,
    /// Database groups by name.
    pub databases: BTreeMap<SharedName, DatabaseStatus>,
}

/// Status of a database group as the entry sees it.
#[derive(Clone, Debug, Serialize)]
pub struct DatabaseStatus {
    /// Current term.
    pub term: u64,
    /// Primary in force.
    pub primary: Option<SharedName>,
    /// Whether the term is closed for acknowledgements.
    pub closed: bool,
    /// Known targets.
    pub targets: usize,
    /// Targets that are live.
    pub live_targets: usize,
}

#[derive(Debug, Deserialize)]
struct EventsQuery {
    #[serde(default)]
    since_ms: u64,
}

/// HTTP listener of an entry.
#[derive(Debug)]
pub struct AdminServer;

impl AdminServer {
    /// Binds the listener and serves until the handle is stopped.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or the server thread cannot be started.
    pub async fn bind(listen: SocketAddr, sources: AdminSources) -> io::Result<AdminHandle> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let server = ServerHandle::spawn("admin", 1, move |builder| {
            builder.listen("admin", listener, async move |_| {
                let app = App::new()
                    .state(sources.clone())
                    .route("/healthz", web::get().to(health))
                    .route("/readyz", web::get().to(readiness))
                    .route("/v1/announce", web::post().to(announce))
                    .route("/v1/events", web::get().to(events))
                    .route("/v1/status", web::get().to(status));
                HttpService::new(app)
            })
        })
        .await?;
        Ok(AdminHandle { address, server })
    }
}

/// Running HTTP listener.
#[derive(Debug)]
#[must_use]
pub struct AdminHandle {
    address: SocketAddr,
    server: ServerHandle,
}

impl AdminHandle {
    /// Returns the address of the listener.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the listener.
    pub async fn stop(&self) {
        self.server.stop(false).await;
    }
}

async fn health() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

async fn readiness(sources: types::State<AdminSources>) -> HttpResponse {
    match sources.unready_reason() {
        None => HttpResponse::Ok().body("ready\n"),
        Some(reason) => HttpResponse::ServiceUnavailable().body(format!("{reason}\n")),
    }
}

async fn events(
    sources: types::State<AdminSources>,
    query: types::Query<EventsQuery>,
) -> HttpResponse {
    // Stamps are compared as greater than, and events of the given millisecond belong to the list.
    let after = match query.since_ms.checked_sub(1) {
        Some(millis) => HybridStamp { millis, counter: u32::MAX },
        None => HybridStamp::default(),
    };
    HttpResponse::Ok().json(&sources.events.since(after))
}

async fn announce(sources: types::State<AdminSources>, body: Bytes) -> HttpResponse {
    if body.len() > ANNOUNCEMENT_LIMIT {
        return HttpResponse::PayloadTooLarge().body("the announcement is too large\n");
    }
    let parsed = serde_json::from_slice::<AnnouncementBody>(&body)
        .map_err(|error| error.to_string())
        .and_then(AnnouncementBody::announcement);
    let announcement = match parsed {
        Ok(announcement) => announcement,
        Err(detail) => return HttpResponse::BadRequest().body(format!("{detail}\n")),
    };
    match sources.announcements.take(announcement) {
        Ok(reply) => HttpResponse::Ok().json(&reply),
        // The target goes back to the control addresses of its settings.
        Err(refusal) => {
            HttpResponse::build(StatusCode::MISDIRECTED_REQUEST).body(format!("{refusal}\n"))
        }
    }
}

async fn status(sources: types::State<AdminSources>) -> HttpResponse {
    HttpResponse::Ok().json(&sources.status())
}
