//! JSON bodies of requests and replies.

use {
    crate::{command_log::LogError, node::NodeError},
    banyansill_core::{
        cluster::{ClusterRejection, RowDifference},
        sheet::SheetFault,
    },
    banyansill_wire::v1,
    ntex::{
        http::{StatusCode, error::PayloadError},
        web::HttpResponse,
    },
    serde::{Deserialize, Serialize, Serializer},
};

/// Body of every reply that reports an error.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Stable name of the kind of error.
    pub error: String,
    /// Human-readable description.
    pub detail: String,
    /// Tonic address of the leader; present if it is known and this replica does not lead.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
    /// Faults of a sheet.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<SheetFault>,
    /// Rows of a sheet that are not in the operator's scope.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rows: Vec<RowDifference>,
}

impl ErrorBody {
    pub(super) fn new(error: &str, detail: impl Into<String>) -> Self {
        Self { error: error.to_owned(), detail: detail.into(), ..Self::default() }
    }

    /// Returns the reply to a sheet with faults.
    pub(super) fn faults(faults: Vec<SheetFault>) -> HttpResponse {
        let mut body = Self::new("faults", format!("{} fault(s)", faults.len()));
        body.faults = faults;
        body.reply(StatusCode::UNPROCESSABLE_ENTITY)
    }

    pub(super) fn reply(self, status: StatusCode) -> HttpResponse {
        HttpResponse::build(status).json(&self)
    }
}

pub(super) fn node_error(error: &NodeError) -> HttpResponse {
    let detail = error.to_string();
    match error {
        NodeError::Invalid(_) => ErrorBody::new("invalid", detail).reply(StatusCode::BAD_REQUEST),
        NodeError::Busy(_) => ErrorBody::new("busy", detail).reply(StatusCode::SERVICE_UNAVAILABLE),
        NodeError::Rejected(ClusterRejection::Forbidden { .. }) => {
            ErrorBody::new("forbidden", detail).reply(StatusCode::FORBIDDEN)
        }
        NodeError::Rejected(_) => ErrorBody::new("rejected", detail).reply(StatusCode::CONFLICT),
        NodeError::Log(LogError::NotLeader { leader }) => {
            let mut body = ErrorBody::new("not-leader", detail);
            body.leader.clone_from(leader);
            body.reply(StatusCode::SERVICE_UNAVAILABLE)
        }
        NodeError::Log(LogError::OutcomeUnknown) => {
            ErrorBody::new("unknown-outcome", detail).reply(StatusCode::BAD_GATEWAY)
        }
        NodeError::Log(LogError::NoMajority) => {
            ErrorBody::new("no-majority", detail).reply(StatusCode::SERVICE_UNAVAILABLE)
        }
        NodeError::Log(LogError::Stopped(_)) => {
            ErrorBody::new("stopped", detail).reply(StatusCode::SERVICE_UNAVAILABLE)
        }
    }
}

pub(super) fn payload_error(error: &PayloadError) -> HttpResponse {
    match error {
        PayloadError::Overflow => ErrorBody::new("too-large", "the body is larger than accepted")
            .reply(StatusCode::PAYLOAD_TOO_LARGE),
        other => ErrorBody::new("invalid", other.to_string()).reply(StatusCode::BAD_REQUEST),
    }
}

/// Reply to an accepted sheet.
#[derive(Debug, Serialize)]
pub(super) struct AcceptedBody {
    pub(super) accepted: bool,
    pub(super) version: u64,
}

/// Entry or target whose drain mark an operator sets.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct DrainBody {
    scope: String,
    #[serde(default)]
    database: String,
    name: String,
    #[serde(default)]
    request_id: String,
}

impl DrainBody {
    pub(super) fn request(self, drain: bool) -> v1::DrainRequest {
        v1::DrainRequest {
            scope: self.scope,
            database: self.database,
            name: self.name,
            drain,
            request_id: self.request_id,
        }
    }
}

/// Whether a request changed the state.
#[derive(Debug, Serialize)]
pub(super) struct ChangedBody {
    pub(super) changed: bool,
}

/// Control replica that an operator adds.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct MemberBody {
    pub(super) host: String,
    pub(super) address: String,
}

/// Reply to a change of the control replicas.
#[derive(Debug, Serialize)]
pub(super) struct MemberChangedBody {
    pub(super) detail: String,
}

/// Server that a promotion would choose at present.
#[derive(Debug, Serialize)]
pub(super) struct OutlookBody {
    required: u32,
    answers: u32,
    candidate: String,
    position: String,
    detail: String,
}

impl From<v1::PromotionOutlook> for OutlookBody {
    fn from(outlook: v1::PromotionOutlook) -> Self {
        Self {
            required: outlook.required,
            answers: outlook.answers,
            candidate: outlook.candidate,
            position: position_text(outlook.position),
            detail: outlook.detail,
        }
    }
}

/// Record of one accepted sheet.
#[derive(Debug, Serialize)]
pub(super) struct HistoryBody {
    number: u64,
    digest: String,
    operator: String,
    request_id: String,
    version: u64,
}

impl From<v1::SheetRecord> for HistoryBody {
    fn from(record: v1::SheetRecord) -> Self {
        Self {
            number: record.number,
            digest: record.digest,
            operator: record.operator,
            request_id: record.request_id,
            version: record.version,
        }
    }
}

/// Rows in which a sheet differs from the current sheet.
#[derive(Debug, Serialize)]
pub(super) struct DifferenceBody {
    /// Number of the current sheet; 0 if there is none.
    pub(super) number: u64,
    pub(super) rows: Vec<RowDifference>,
    pub(super) out_of_scope: Vec<RowDifference>,
}

/// One target with its database.
#[derive(Debug, Serialize)]
pub(super) struct TargetListItem {
    database: String,
    server: String,
    address: String,
    region: String,
    zone: String,
    role: &'static str,
    live: bool,
    draining: bool,
    broker: String,
    epoch: u64,
    position: String,
}

pub(super) fn target_list(reply: v1::StatusReply) -> Vec<TargetListItem> {
    let mut items = Vec::new();
    for database in reply.databases {
        for server in database.servers {
            let announcement = server.announcement.unwrap_or_default();
            let primary = announcement.server == database.primary;
            items.push(TargetListItem {
                database: database.database.clone(),
                server: announcement.server,
                address: announcement.address,
                region: announcement.region,
                zone: announcement.zone,
                role: if primary { "primary" } else { "replica" },
                live: server.live,
                draining: server.draining,
                broker: server.broker,
                epoch: server.epoch,
                position: position_text(announcement.position),
            });
        }
    }
    items
}

fn position_text(position: Option<v1::Position>) -> String {
    let position = position.unwrap_or_default();
    format!("{}:{}", position.term, position.offset)
}

/// Reply of `/v1/status`.
#[derive(Debug, Serialize)]
pub(super) struct StatusBody {
    version: u64,
    leader: String,
    consensus_term: u64,
    sheet_number: u64,
    databases: Vec<DatabaseBody>,
    entries: Vec<EntryBody>,
    replicas: Vec<ReplicaBody>,
}

#[derive(Debug, Serialize)]
struct DatabaseBody {
    database: String,
    term: u64,
    primary: String,
    closed: bool,
    candidate: String,
    targets: Vec<TargetBody>,
}

#[derive(Debug, Serialize)]
struct TargetBody {
    server: String,
    address: String,
    region: String,
    zone: String,
    broker: String,
    epoch: u64,
    live: bool,
    draining: bool,
}

#[derive(Debug, Serialize)]
struct EntryBody {
    host: String,
    address: String,
    region: String,
    zone: String,
    live: bool,
    draining: bool,
    sheet_number: u64,
    applied_version: u64,
    silent_ms: u32,
}

#[derive(Debug, Serialize)]
struct ReplicaBody {
    host: String,
    address: String,
    leader: bool,
    voter: bool,
    #[serde(serialize_with = "as_string")]
    match_index: u64,
}

/// Serializes a log index as a string, since it may exceed the integers that JSON readers represent
/// exactly.
fn as_string<S>(number: &u64, serializer: S) -> Result<S::Ok, S::Error>
where
    S: Serializer,
{
    serializer.serialize_str(&number.to_string())
}

impl From<v1::StatusReply> for StatusBody {
    fn from(reply: v1::StatusReply) -> Self {
        let mut databases = Vec::new();
        for database in reply.databases {
            databases.push(database_body(database));
        }
        let mut entries = Vec::new();
        for status in reply.entries {
            let entry = status.entry.unwrap_or_default();
            entries.push(EntryBody {
                host: entry.host,
                address: entry.address,
                region: entry.region,
                zone: entry.zone,
                live: status.live,
                draining: entry.draining,
                sheet_number: status.sheet_number,
                applied_version: status.applied_version,
                silent_ms: status.silent_ms,
            });
        }
        let mut replicas = Vec::new();
        for replica in reply.replicas {
            replicas.push(ReplicaBody {
                host: replica.host,
                address: replica.address,
                leader: replica.leader,
                voter: replica.voter,
                match_index: replica.match_index,
            });
        }
        Self {
            version: reply.version,
            leader: reply.leader,
            consensus_term: reply.consensus_term,
            sheet_number: reply.sheet.map_or(0, |sheet| sheet.number),
            databases,
            entries,
            replicas,
        }
    }
}

fn database_body(view: v1::DatabaseView) -> DatabaseBody {
    let mut targets = Vec::new();
    for server in view.servers {
        let announcement = server.announcement.unwrap_or_default();
        targets.push(TargetBody {
            server: announcement.server,
            address: announcement.address,
            region: announcement.region,
            zone: announcement.zone,
            broker: server.broker,
            epoch: server.epoch,
            live: server.live,
            draining: server.draining,
        });
    }
    DatabaseBody {
        database: view.database,
        term: view.term,
        primary: view.primary,
        closed: view.closed,
        candidate: view.candidate,
        targets,
    }
}
