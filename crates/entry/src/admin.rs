//! HTTP listener for health checks, announcements, events, the entry's status and log levels.

use {
    crate::{
        announcements::AnnouncementRegistry,
        lease::NodeLease,
        session::{CallerRegistry, SessionCounters},
    },
    banyansill_core::{event::HybridStamp, names::SharedName, route::RouteTable},
    banyansill_runtime::{
        events::EventSink,
        http::{LevelsBody, MAX_OPERATION_BYTES, read_body},
        logs::{self, LoggingError},
        server::ServerHandle,
        tokens::{self, AccessPolicy, OperatorAccess},
    },
    banyansill_wire::announcement::{AnnouncementBody, MAX_ANNOUNCEMENT_BYTES},
    ntex::{
        SharedCfg,
        http::{HttpService, StatusCode, error::PayloadError, header},
        io::Io,
        service::ServiceFactory,
        util::Bytes,
        web::{self, App, HttpRequest, HttpResponse, types},
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

/// State that the HTTP handlers read.
#[derive(Clone, Debug)]
pub struct AdminSources {
    /// Name of this host.
    pub host: SharedName,
    /// Announcements of the targets whose broker this entry is.
    pub announcements: AnnouncementRegistry,
    /// Node lease of the entry.
    pub lease: NodeLease,
    /// Current routes, with the sheet in force.
    pub routes: watch::Receiver<Arc<RouteTable>>,
    /// Events of the entry.
    pub events: EventSink,
    /// Callers of the entry.
    pub registry: Arc<CallerRegistry>,
    /// Counters of the sessions.
    pub counters: Arc<SessionCounters>,
    /// Who may read the status and the events.
    pub access: AccessPolicy,
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

    /// Returns the status, unfiltered; `/v1/status` removes the databases that the operator may not read.
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
    /// Why the entry takes no new callers; `None` if it does.
    pub unready_reason: Option<&'static str>,
    /// Time until the node lease expires, in milliseconds.
    pub lease_remaining_ms: u64,
    /// Version of the routes.
    pub routes_version: u64,
    /// Number of connected callers.
    pub callers: usize,
    /// Session counters by name.
    pub counters: BTreeMap<&'static str, u64>,
    /// Database groups by name.
    pub databases: BTreeMap<SharedName, DatabaseStatus>,
}

/// Status of a database group as the entry sees it.
#[derive(Clone, Debug, Serialize)]
pub struct DatabaseStatus {
    /// Current term.
    pub term: u64,
    /// Current primary; `None` if the group has none.
    pub primary: Option<SharedName>,
    /// Whether the term is closed, so that no commit is acknowledged under it.
    pub closed: bool,
    /// Number of known targets.
    pub targets: usize,
    /// Number of live targets.
    pub live_targets: usize,
}

/// Body of every reply that reports an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Stable identifier of the kind of error, such as `not-found`.
    pub error: String,
    /// Human-readable description.
    pub detail: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct EventsQuery {
    #[serde(default)]
    since_ms: u64,
}

/// Defines the routes of the service and `ROUTES`, which a test compares with `docs/openapi.json`.
macro_rules! routes {
    ($($method:ident $path:literal => $handler:expr;)*) => {
        /// Method and path of every route.
        pub const ROUTES: &[(&str, &str)] = &[$((stringify!($method), $path)),*];

        fn service(sources: AdminSources) -> impl ServiceFactory<Io, SharedCfg> {
            let app = App::new()
                .state(sources)
                $(.route($path, web::$method().to($handler)))*
                .default_service(web::to(missing));
            HttpService::new(app.finish())
        }
    };
}

routes! {
    get "/healthz" => health;
    get "/readyz" => readiness;
    post "/v1/announce" => announce;
    get "/v1/events" => events;
    get "/v1/status" => status;
    put "/v1/log-level" => log_level;
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
            builder.listen("admin", listener, async move |_| service(sources.clone()))
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

fn error(status: StatusCode, error: &str, detail: String) -> HttpResponse {
    HttpResponse::build(status).json(&ErrorBody { error: error.to_owned(), detail })
}

async fn missing(request: HttpRequest) -> HttpResponse {
    let detail = format!("no {} {}", request.method(), request.path());
    error(StatusCode::NOT_FOUND, "not-found", detail)
}

/// Returns the operator who sent a read request; without a token file everybody may read.
fn operator(access: &AccessPolicy, request: &HttpRequest) -> Result<OperatorAccess, HttpResponse> {
    let header = request.headers().get(header::AUTHORIZATION);
    let operator = access.operator_or_open(header.and_then(|value| value.to_str().ok()));
    operator.ok_or_else(unauthorized)
}

fn unauthorized() -> HttpResponse {
    let detail = "a valid bearer token is required".to_owned();
    error(StatusCode::UNAUTHORIZED, "unauthorized", detail)
}

async fn events(sources: types::State<AdminSources>, request: HttpRequest) -> HttpResponse {
    let access = match operator(&sources.access, &request) {
        Ok(access) => access,
        Err(refusal) => return refusal,
    };
    let query = match types::Query::<EventsQuery>::from_query(request.query_string()) {
        Ok(query) => query,
        Err(fault) => {
            return error(StatusCode::BAD_REQUEST, "invalid", format!("since_ms: {fault}"));
        }
    };
    // `since` returns events with a greater stamp, and the list includes the given millisecond.
    let after = match query.since_ms.checked_sub(1) {
        Some(millis) => HybridStamp { millis, counter: u32::MAX },
        None => HybridStamp::default(),
    };
    let mut events = sources.events.since(after);
    tokens::retain_visible(&mut events, &access.scope);
    HttpResponse::Ok().json(&events)
}

async fn status(sources: types::State<AdminSources>, request: HttpRequest) -> HttpResponse {
    let access = match operator(&sources.access, &request) {
        Ok(access) => access,
        Err(refusal) => return refusal,
    };
    let mut status = sources.status();
    status.databases.retain(|name, _| access.scope.covers_database(name));
    HttpResponse::Ok().json(&status)
}

async fn log_level(
    sources: types::State<AdminSources>,
    request: HttpRequest,
    payload: types::Payload,
) -> HttpResponse {
    let header = request.headers().get(header::AUTHORIZATION).and_then(|text| text.to_str().ok());
    let Some(access) = sources.access.operator(header) else {
        return unauthorized();
    };
    if !access.scope.is_unlimited() {
        let detail = "only an operator with all rights changes log levels".to_owned();
        return error(StatusCode::FORBIDDEN, "forbidden", detail);
    }
    let body = match read_body(payload, MAX_OPERATION_BYTES).await {
        Ok(body) => body,
        Err(PayloadError::Overflow) => {
            let detail = "the body is larger than accepted".to_owned();
            return error(StatusCode::PAYLOAD_TOO_LARGE, "too-large", detail);
        }
        Err(fault) => return error(StatusCode::BAD_REQUEST, "invalid", fault.to_string()),
    };
    let body: LevelsBody = match serde_json::from_slice(&body) {
        Ok(body) => body,
        Err(fault) => return error(StatusCode::BAD_REQUEST, "invalid", fault.to_string()),
    };
    match logs::change_levels(&body.levels, &access.operator, &sources.events) {
        Ok(()) => HttpResponse::Ok().json(&body),
        Err(fault @ LoggingError::NotRunning) => {
            error(StatusCode::NOT_IMPLEMENTED, "unsupported", fault.to_string())
        }
        Err(fault) => error(StatusCode::BAD_REQUEST, "invalid", fault.to_string()),
    }
}

async fn announce(sources: types::State<AdminSources>, body: Bytes) -> HttpResponse {
    if body.len() > MAX_ANNOUNCEMENT_BYTES {
        let detail = "the announcement is larger than accepted".to_owned();
        return error(StatusCode::PAYLOAD_TOO_LARGE, "too-large", detail);
    }
    let parsed = serde_json::from_slice::<AnnouncementBody>(&body)
        .map_err(|error| error.to_string())
        .and_then(AnnouncementBody::announcement);
    let announcement = match parsed {
        Ok(announcement) => announcement,
        Err(detail) => return error(StatusCode::BAD_REQUEST, "invalid", detail),
    };
    match sources.announcements.accept(announcement) {
        Ok(reply) => HttpResponse::Ok().json(&reply),
        // On this status the target announces itself to the control addresses of its settings again.
        Err(refusal) => error(StatusCode::MISDIRECTED_REQUEST, "not-broker", refusal.to_string()),
    }
}
