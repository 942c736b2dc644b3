//! Routes, and the handlers of health, announcements, events and the sheet.

use {
    super::{
        AdminState,
        body::{AcceptedBody, ErrorBody, node_error, payload_error},
        operations,
    },
    crate::{
        command_log::CommandLog,
        members::MemberControl,
        node::{NodeError, SheetOutcome},
        status::visible_rows,
    },
    banyansill_core::{cluster::ClusterState, event::HybridStamp, sheet::MAX_SHEET_BYTES},
    banyansill_runtime::{
        http::read_body,
        tokens::{self, AccessPolicy, OperatorAccess},
    },
    banyansill_wire::{
        announcement::{AnnouncedBody, AnnouncementBody, MAX_ANNOUNCEMENT_BYTES},
        v1,
    },
    ntex::{
        SharedCfg,
        http::{HttpService, StatusCode, header},
        io::Io,
        service::ServiceFactory,
        web::{self, App, HttpRequest, HttpResponse, types::Payload},
    },
    serde::{Deserialize, de::DeserializeOwned},
    std::{future::Future, sync::Arc},
};

pub(super) type Shared<L, M> = web::types::State<Arc<AdminState<L, M>>>;

/// Lists the routes once, for the service and for the check of `docs/openapi.json`.
macro_rules! routes {
    ($($method:ident $path:literal => $handler:expr;)*) => {
        /// Method and path of every route.
        pub const ROUTES: &[(&str, &str)] = &[$((stringify!($method), $path)),*];

        /// Builds the service of one worker.
        pub(super) fn service<L, M>(
            state: &Arc<AdminState<L, M>>,
        ) -> impl ServiceFactory<Io, SharedCfg> + use<L, M>
        where
            L: CommandLog<Machine = ClusterState>,
            M: MemberControl,
        {
            let app = App::new()
                .state(Arc::clone(state))
                $(.route($path, web::$method().to($handler)))*
                .default_service(web::to(not_found));
            HttpService::new(app.finish())
        }
    };
}

routes! {
    get "/healthz" => health;
    get "/readyz" => ready::<L, M>;
    post "/v1/announce" => announce::<L, M>;
    get "/v1/status" => operations::status::<L, M>;
    get "/v1/targets" => operations::targets::<L, M>;
    post "/v1/drain" => operations::drain::<L, M>;
    post "/v1/undrain" => operations::undrain::<L, M>;
    get "/v1/promotion" => operations::promotion::<L, M>;
    post "/v1/control/members" => operations::add_member::<L, M>;
    delete "/v1/control/members" => operations::remove_member::<L, M>;
    put "/v1/log-level" => operations::log_level::<L, M>;
    get "/v1/events" => events::<L, M>;
    get "/v1/sheet" => show_sheet::<L, M>;
    post "/v1/sheet" => apply_sheet::<L, M>;
    get "/v1/sheet/history" => operations::history::<L, M>;
    post "/v1/sheet/diff" => operations::diff::<L, M>;
}

async fn not_found(request: HttpRequest) -> HttpResponse {
    ErrorBody::new("not-found", format!("no {} {}", request.method(), request.path()))
        .reply(StatusCode::NOT_FOUND)
}

async fn health() -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain").body("ok\n")
}

/// Readiness check: succeeds if this replica leads or knows a leader.
async fn ready<L, M>(state: Shared<L, M>) -> HttpResponse
where
    L: CommandLog<Machine = ClusterState>,
    M: MemberControl,
{
    let status = state.node.log.status().borrow().clone();
    if status.leading || status.leader.is_some() {
        return HttpResponse::Ok().content_type("text/plain").body("ready\n");
    }
    ErrorBody::new("no-leader", "no leader is known").reply(StatusCode::SERVICE_UNAVAILABLE)
}

async fn announce<L, M>(state: Shared<L, M>, payload: Payload) -> HttpResponse
where
    L: CommandLog<Machine = ClusterState>,
    M: MemberControl,
{
    let body = match read_body(payload, MAX_ANNOUNCEMENT_BYTES).await {
        Ok(body) => body,
        Err(error) => return payload_error(&error),
    };
    let parsed = serde_json::from_slice::<AnnouncementBody>(&body)
        .map_err(|error| error.to_string())
        .and_then(AnnouncementBody::announcement);
    let announcement = match parsed {
        Ok(announcement) => announcement,
        Err(detail) => return ErrorBody::new("invalid", detail).reply(StatusCode::BAD_REQUEST),
    };
    let shared = Arc::clone(&state);
    let reply =
        run(&state, async move { shared.client.announce(&shared.node, announcement).await }).await;
    match reply {
        Ok(reply) => {
            let (term, primary, announce_to) = (reply.term, reply.primary, reply.announce_to);
            HttpResponse::Ok().json(&AnnouncedBody { term, primary, announce_to })
        }
        Err(error) => node_error(&error),
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct EventsQuery {
    #[serde(default)]
    since_ms: u64,
}

async fn events<L, M>(state: Shared<L, M>, request: HttpRequest) -> HttpResponse
where
    L: CommandLog<Machine = ClusterState>,
    M: MemberControl,
{
    let access = match reader(&state.access, &request) {
        Ok(access) => access,
        Err(refusal) => return refusal,
    };
    let query: EventsQuery = match parse_query(&request) {
        Ok(query) => query,
        Err(refusal) => return refusal,
    };
    // The events after a stamp exclude the stamp itself, so the last stamp of the millisecond before is
    // used.
    let after = match query.since_ms.checked_sub(1) {
        Some(millis) => HybridStamp { millis, counter: u32::MAX },
        None => HybridStamp::default(),
    };
    let mut events = state.node.events.since(after);
    tokens::retain_visible(&mut events, &access.scope);
    HttpResponse::Ok().json(&events)
}

async fn show_sheet<L, M>(state: Shared<L, M>, request: HttpRequest) -> HttpResponse
where
    L: CommandLog<Machine = ClusterState>,
    M: MemberControl,
{
    let access = match operator(&state.access, &request) {
        Ok(access) => access,
        Err(refusal) => return refusal,
    };
    let shared = Arc::clone(&state);
    let sheet = run(&state, async move {
        let read = move |state: &ClusterState| {
            let number = state.sheet()?.number;
            let content = state.sheet_content();
            if access.scope.is_unlimited() {
                return Some((number, content.to_owned()));
            }
            Some((number, visible_rows(content.as_bytes(), &access.scope)))
        };
        Ok(shared.node.log.inspect(read).await?)
    })
    .await;
    match sheet {
        Ok(Some((number, content))) => HttpResponse::Ok()
            .content_type("text/csv; charset=utf-8")
            .set_header("banyansill-sheet-number", number.to_string())
            .body(content),
        Ok(None) => {
            ErrorBody::new("not-found", "no sheet was accepted").reply(StatusCode::NOT_FOUND)
        }
        Err(error) => node_error(&error),
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SheetQuery {
    number: u64,
    #[serde(default)]
    request_id: String,
}

async fn apply_sheet<L, M>(
    state: Shared<L, M>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse
where
    L: CommandLog<Machine = ClusterState>,
    M: MemberControl,
{
    let access = match operator(&state.access, &request) {
        Ok(access) => access,
        Err(refusal) => return refusal,
    };
    let query: SheetQuery = match parse_query(&request) {
        Ok(query) => query,
        Err(refusal) => return refusal,
    };
    let content = match read_body(payload, MAX_SHEET_BYTES).await {
        Ok(content) => content,
        Err(error) => return payload_error(&error),
    };
    let sheet = v1::ApplySheetRequest {
        number: query.number,
        content: content.to_vec().into(),
        request_id: query.request_id.clone(),
        operator: access.operator,
    };
    let shared = Arc::clone(&state);
    match run(&state, async move { shared.node.apply_sheet(sheet, &access.scope).await }).await {
        Ok(SheetOutcome::Accepted(version)) => {
            HttpResponse::Ok().json(&AcceptedBody { accepted: true, version })
        }
        Ok(SheetOutcome::Conflict(detail)) => {
            ErrorBody::new("conflict", detail).reply(StatusCode::CONFLICT)
        }
        Ok(SheetOutcome::OutOfScope { rows, detail }) => {
            let mut body = ErrorBody::new("out-of-scope", detail);
            body.rows = rows;
            body.reply(StatusCode::FORBIDDEN)
        }
        Ok(SheetOutcome::Faults(faults)) => ErrorBody::faults(faults),
        Err(error) => node_error(&error),
    }
}

fn authorization(request: &HttpRequest) -> Option<&str> {
    request.headers().get(header::AUTHORIZATION)?.to_str().ok()
}

fn unauthorized() -> HttpResponse {
    ErrorBody::new("unauthorized", "a valid bearer token is required")
        .reply(StatusCode::UNAUTHORIZED)
}

/// Returns the operator whose token the request carries, or a reply with status 401.
pub(super) fn operator(
    access: &AccessPolicy,
    request: &HttpRequest,
) -> Result<OperatorAccess, HttpResponse> {
    access.operator(authorization(request)).ok_or_else(unauthorized)
}

/// Returns the operator of a request that only reads; without a token file everyone may read.
pub(super) fn reader(
    access: &AccessPolicy,
    request: &HttpRequest,
) -> Result<OperatorAccess, HttpResponse> {
    access.operator_or_open(authorization(request)).ok_or_else(unauthorized)
}

/// Runs a request on the replica's runtime.
pub(super) async fn run<L, M, T, F>(state: &AdminState<L, M>, future: F) -> Result<T, NodeError>
where
    T: Send + 'static,
    F: Future<Output = Result<T, NodeError>> + Send + 'static,
{
    match state.runtime.spawn(future).await {
        Ok(result) => result,
        Err(error) => Err(NodeError::Log(crate::command_log::LogError::Stopped(error.to_string()))),
    }
}

pub(super) fn parse_query<T>(request: &HttpRequest) -> Result<T, HttpResponse>
where
    T: DeserializeOwned,
{
    match web::types::Query::<T>::from_query(request.query_string()) {
        Ok(query) => Ok(query.into_inner()),
        Err(error) => {
            Err(ErrorBody::new("invalid", error.to_string()).reply(StatusCode::BAD_REQUEST))
        }
    }
}
