//! Request handlers.

use {
    super::{
        AdminState, TokenTable,
        body::{AcceptedBody, ErrorBody, StatusBody, node_error, payload_error},
    },
    crate::{
        command_log::CommandLog,
        members::MemberControl,
        node::{NodeError, SheetOutcome},
    },
    banyansill_core::{cluster::ClusterState, event::HybridStamp, sheet::SHEET_LIMIT},
    banyansill_wire::{
        announcement::{ANNOUNCEMENT_LIMIT, AnnouncedBody, AnnouncementBody},
        v1,
    },
    ntex::{
        SharedCfg,
        http::{HttpService, StatusCode, error::PayloadError, header},
        io::Io,
        service::ServiceFactory,
        util::BytesMut,
        web::{self, App, HttpRequest, HttpResponse, types::Payload},
    },
    serde::Deserialize,
    std::{future::Future, sync::Arc},
};

type Shared<L, M> = web::types::State<Arc<AdminState<L, M>>>;

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
        .route("/healthz", web::get().to(health))
        .route("/readyz", web::get().to(ready::<L, M>))
        .route("/v1/announce", web::post().to(announce::<L, M>))
        .route("/v1/status", web::get().to(status::<L, M>))
        .route("/v1/events", web::get().to(events::<L, M>))
        .service(
            web::resource("/v1/sheet")
                .route(web::get().to(show_sheet::<L, M>))
                .route(web::post().to(apply_sheet::<L, M>)),
        )
        .default_service(web::to(missing));
    HttpService::new(app.finish())
}

async fn missing(request: HttpRequest) -> HttpResponse {
    ErrorBody::new("not-found", format!("no {} {}", request.method(), request.path()))
        .reply(StatusCode::NOT_FOUND)
}

async fn health() -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain").body("ok\n")
}

/// Ready means that this replica leads or knows a leader.
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
    let body = match read_body(payload, ANNOUNCEMENT_LIMIT).await {
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

async fn status<L, M>(state: Shared<L, M>) -> HttpResponse
where
    L: CommandLog<Machine = ClusterState>,
    M: MemberControl,
{
    let shared = Arc::clone(&state);
    match run(&state, async move { shared.node.status(v1::StatusRequest::default()).await }).await {
        Ok(reply) => HttpResponse::Ok().json(&StatusBody::from(reply)),
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
    let query = match web::types::Query::<EventsQuery>::from_query(request.query_string()) {
        Ok(query) => query,
        Err(error) => {
            let detail = format!("since_ms: {error}");
            return ErrorBody::new("invalid", detail).reply(StatusCode::BAD_REQUEST);
        }
    };
    // Every stamp of the given millisecond is wanted, so the search begins just before it.
    let after = match query.since_ms.checked_sub(1) {
        Some(millis) => HybridStamp { millis, counter: u32::MAX },
        None => HybridStamp::default(),
    };
    HttpResponse::Ok().json(&state.node.events.since(after))
}

async fn show_sheet<L, M>(state: Shared<L, M>, request: HttpRequest) -> HttpResponse
where
    L: CommandLog<Machine = ClusterState>,
    M: MemberControl,
{
    if let Err(refusal) = operator(&state.tokens, &request) {
        return refusal;
    }
    let shared = Arc::clone(&state);
    let sheet = run(&state, async move {
        let read = |state: &ClusterState| {
            let number = state.sheet().map(|record| record.number);
            number.map(|number| (number, state.sheet_content().to_owned()))
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
    let operator = match operator(&state.tokens, &request) {
        Ok(operator) => operator,
        Err(refusal) => return refusal,
    };
    let query = match web::types::Query::<SheetQuery>::from_query(request.query_string()) {
        Ok(query) => query,
        Err(error) => {
            return ErrorBody::new("invalid", error.to_string()).reply(StatusCode::BAD_REQUEST);
        }
    };
    let content = match read_body(payload, SHEET_LIMIT).await {
        Ok(content) => content,
        Err(error) => return payload_error(&error),
    };
    let sheet = v1::ApplySheetRequest {
        number: query.number,
        content: content.to_vec().into(),
        request_id: query.request_id.clone(),
        operator,
    };
    let shared = Arc::clone(&state);
    match run(&state, async move { shared.node.apply_sheet(sheet).await }).await {
        Ok(SheetOutcome::Accepted(version)) => {
            HttpResponse::Ok().json(&AcceptedBody { accepted: true, version })
        }
        Ok(SheetOutcome::Conflict(winner)) => {
            ErrorBody::new("conflict", winner).reply(StatusCode::CONFLICT)
        }
        Ok(SheetOutcome::Faults(faults)) => {
            let mut body = ErrorBody::new("faults", format!("{} fault(s)", faults.len()));
            body.faults = faults;
            body.reply(StatusCode::UNPROCESSABLE_ENTITY)
        }
        Err(error) => node_error(&error),
    }
}

/// Returns the operator whose token the request carries.
fn operator(tokens: &TokenTable, request: &HttpRequest) -> Result<String, HttpResponse> {
    let header = request.headers().get(header::AUTHORIZATION);
    let token = header.and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "));
    let operator = token.and_then(|token| tokens.operator(token));
    operator.map(ToOwned::to_owned).ok_or_else(|| {
        ErrorBody::new("unauthorized", "a valid bearer token is required")
            .reply(StatusCode::UNAUTHORIZED)
    })
}

/// Runs a request on the replica's own runtime.
async fn run<L, M, T, F>(state: &AdminState<L, M>, future: F) -> Result<T, NodeError>
where
    T: Send + 'static,
    F: Future<Output = Result<T, NodeError>> + Send + 'static,
{
    match state.runtime.spawn(future).await {
        Ok(result) => result,
        Err(error) => Err(NodeError::Log(crate::command_log::LogError::Stopped(error.to_string()))),
    }
}

async fn read_body(mut payload: Payload, limit: usize) -> Result<BytesMut, PayloadError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.recv().await {
        let chunk = chunk?;
        if body.len() + chunk.len() > limit {
            return Err(PayloadError::Overflow);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}
