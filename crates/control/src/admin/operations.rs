//! Handlers of the operations that the command line also offers.

use {
    super::{
        body::{
            ChangedBody, DifferenceBody, DrainBody, ErrorBody, HistoryBody, MemberBody,
            MemberChangedBody, OutlookBody, StatusBody, node_error, payload_error, target_list,
        },
        routes::{Shared, operator, parse_query, reader, run},
    },
    crate::{command_log::CommandLog, members::MemberControl},
    banyansill_core::{
        cluster::{ClusterState, row_differences},
        sheet::{MAX_SHEET_BYTES, RuleSheet},
    },
    banyansill_runtime::{
        http::{LevelsBody, MAX_OPERATION_BYTES, read_body},
        logs::{self, LoggingError},
    },
    banyansill_wire::v1,
    ntex::{
        http::StatusCode,
        web::{HttpRequest, HttpResponse, types::Payload},
    },
    serde::{Deserialize, de::DeserializeOwned},
    std::sync::Arc,
};

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct StatusQuery {
    #[serde(default)]
    confirmed: bool,
}

/// Returns the part of the state that the sender of a request may see.
async fn visible_status<L, M>(
    state: &Shared<L, M>,
    request: &HttpRequest,
) -> Result<v1::StatusReply, HttpResponse>
where
    L: CommandLog<Machine = ClusterState>,
    M: MemberControl,
{
    let access = reader(&state.access, request)?;
    let query: StatusQuery = parse_query(request)?;
    let status_request =
        v1::StatusRequest { confirmed: query.confirmed, outlook_of: String::new() };
    let shared = Arc::clone(state);
    let reply =
        run(state, async move { shared.node.status(status_request, &access.scope).await }).await;
    reply.map_err(|error| node_error(&error))
}

pub(super) async fn status<L, M>(state: Shared<L, M>, request: HttpRequest) -> HttpResponse
where
    L: CommandLog<Machine = ClusterState>,
    M: MemberControl,
{
    match visible_status(&state, &request).await {
        Ok(reply) => HttpResponse::Ok().json(&StatusBody::from(reply)),
        Err(refusal) => refusal,
    }
}

pub(super) async fn targets<L, M>(state: Shared<L, M>, request: HttpRequest) -> HttpResponse
where
    L: CommandLog<Machine = ClusterState>,
    M: MemberControl,
{
    match visible_status(&state, &request).await {
        Ok(reply) => HttpResponse::Ok().json(&target_list(reply)),
        Err(refusal) => refusal,
    }
}

pub(super) async fn drain<L, M>(
    state: Shared<L, M>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse
where
    L: CommandLog<Machine = ClusterState>,
    M: MemberControl,
{
    set_drain(&state, &request, payload, true).await.unwrap_or_else(|refusal| refusal)
}

pub(super) async fn undrain<L, M>(
    state: Shared<L, M>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse
where
    L: CommandLog<Machine = ClusterState>,
    M: MemberControl,
{
    set_drain(&state, &request, payload, false).await.unwrap_or_else(|refusal| refusal)
}

async fn set_drain<L, M>(
    state: &Shared<L, M>,
    request: &HttpRequest,
    payload: Payload,
    drain: bool,
) -> Result<HttpResponse, HttpResponse>
where
    L: CommandLog<Machine = ClusterState>,
    M: MemberControl,
{
    let access = operator(&state.access, request)?;
    let body: DrainBody = parse_body(payload).await?;
    let drain_request = body.request(drain);
    let shared = Arc::clone(state);
    let changed =
        run(state, async move { shared.node.drain(drain_request, &access.scope).await }).await;
    let changed = changed.map_err(|error| node_error(&error))?;
    Ok(HttpResponse::Ok().json(&ChangedBody { changed }))
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PromotionQuery {
    database: String,
}

pub(super) async fn promotion<L, M>(state: Shared<L, M>, request: HttpRequest) -> HttpResponse
where
    L: CommandLog<Machine = ClusterState>,
    M: MemberControl,
{
    outlook(&state, &request).await.unwrap_or_else(|refusal| refusal)
}

async fn outlook<L, M>(
    state: &Shared<L, M>,
    request: &HttpRequest,
) -> Result<HttpResponse, HttpResponse>
where
    L: CommandLog<Machine = ClusterState>,
    M: MemberControl,
{
    let access = operator(&state.access, request)?;
    let query: PromotionQuery = parse_query(request)?;
    if query.database.is_empty() {
        return Err(invalid("database must not be empty".to_owned()));
    }
    let status_request = v1::StatusRequest { confirmed: true, outlook_of: query.database };
    let shared = Arc::clone(state);
    let reply =
        run(state, async move { shared.node.status(status_request, &access.scope).await }).await;
    let reply = reply.map_err(|error| node_error(&error))?;
    Ok(HttpResponse::Ok().json(&OutlookBody::from(reply.outlook.unwrap_or_default())))
}

pub(super) async fn add_member<L, M>(
    state: Shared<L, M>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse
where
    L: CommandLog<Machine = ClusterState>,
    M: MemberControl,
{
    if let Err(refusal) = operator(&state.access, &request) {
        return refusal;
    }
    match parse_body::<MemberBody>(payload).await {
        Ok(body) => change_member(&state, &request, body, true).await,
        Err(refusal) => refusal,
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct MemberQuery {
    host: String,
}

pub(super) async fn remove_member<L, M>(state: Shared<L, M>, request: HttpRequest) -> HttpResponse
where
    L: CommandLog<Machine = ClusterState>,
    M: MemberControl,
{
    if let Err(refusal) = operator(&state.access, &request) {
        return refusal;
    }
    match parse_query::<MemberQuery>(&request) {
        Ok(MemberQuery { host }) => {
            let body = MemberBody { host, address: String::new() };
            change_member(&state, &request, body, false).await
        }
        Err(refusal) => refusal,
    }
}

async fn change_member<L, M>(
    state: &Shared<L, M>,
    request: &HttpRequest,
    body: MemberBody,
    add: bool,
) -> HttpResponse
where
    L: CommandLog<Machine = ClusterState>,
    M: MemberControl,
{
    let access = match operator(&state.access, request) {
        Ok(access) => access,
        Err(refusal) => return refusal,
    };
    let shared = Arc::clone(state);
    let detail = run(state, async move {
        let host = body.host.as_str().into();
        shared.node.change_member(host, body.address, add, &access.scope).await
    });
    match detail.await {
        Ok(detail) => HttpResponse::Ok().json(&MemberChangedBody { detail }),
        Err(error) => node_error(&error),
    }
}

pub(super) async fn history<L, M>(state: Shared<L, M>, request: HttpRequest) -> HttpResponse
where
    L: CommandLog<Machine = ClusterState>,
    M: MemberControl,
{
    if let Err(refusal) = operator(&state.access, &request) {
        return refusal;
    }
    let shared = Arc::clone(&state);
    match run(&state, async move { shared.node.sheet_history().await }).await {
        Ok(records) => {
            let records: Vec<HistoryBody> = records.into_iter().map(HistoryBody::from).collect();
            HttpResponse::Ok().json(&records)
        }
        Err(error) => node_error(&error),
    }
}

pub(super) async fn diff<L, M>(
    state: Shared<L, M>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse
where
    L: CommandLog<Machine = ClusterState>,
    M: MemberControl,
{
    difference(&state, &request, payload).await.unwrap_or_else(|refusal| refusal)
}

async fn difference<L, M>(
    state: &Shared<L, M>,
    request: &HttpRequest,
    payload: Payload,
) -> Result<HttpResponse, HttpResponse>
where
    L: CommandLog<Machine = ClusterState>,
    M: MemberControl,
{
    let access = operator(&state.access, request)?;
    let content =
        read_body(payload, MAX_SHEET_BYTES).await.map_err(|error| payload_error(&error))?;
    let wanted = RuleSheet::parse(&content).map_err(ErrorBody::faults)?;
    let shared = Arc::clone(state);
    let in_force = run(state, async move {
        shared.node.log.confirm().await?;
        let read = |state: &ClusterState| {
            (state.sheet().map_or(0, |record| record.number), state.sheet_content().to_owned())
        };
        Ok(shared.node.log.inspect(read).await?)
    });
    let (number, content) = in_force.await.map_err(|error| node_error(&error))?;
    let current = RuleSheet::parse(content.as_bytes()).unwrap_or_default();
    let mut body = DifferenceBody { number, rows: Vec::new(), out_of_scope: Vec::new() };
    for row in row_differences(&current, &wanted) {
        if access.scope.covers_row(&row.database, &row.application) {
            body.rows.push(row);
        } else {
            body.out_of_scope.push(row);
        }
    }
    Ok(HttpResponse::Ok().json(&body))
}

pub(super) async fn log_level<L, M>(
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
    if !access.scope.is_unlimited() {
        let detail = "only an operator with all rights changes log levels";
        return ErrorBody::new("forbidden", detail).reply(StatusCode::FORBIDDEN);
    }
    let body: LevelsBody = match parse_body(payload).await {
        Ok(body) => body,
        Err(refusal) => return refusal,
    };
    match logs::change_levels(&body.levels, &access.operator, &state.node.events) {
        Ok(()) => HttpResponse::Ok().json(&body),
        Err(error @ LoggingError::NotRunning) => {
            ErrorBody::new("unsupported", error.to_string()).reply(StatusCode::NOT_IMPLEMENTED)
        }
        Err(error) => invalid(error.to_string()),
    }
}

fn invalid(detail: String) -> HttpResponse {
    ErrorBody::new("invalid", detail).reply(StatusCode::BAD_REQUEST)
}

async fn parse_body<T>(payload: Payload) -> Result<T, HttpResponse>
where
    T: DeserializeOwned,
{
    let body =
        read_body(payload, MAX_OPERATION_BYTES).await.map_err(|error| payload_error(&error))?;
    serde_json::from_slice(&body).map_err(|error| invalid(error.to_string()))
}
