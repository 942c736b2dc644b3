//! Bodies of requests and replies.

use {
    crate::{command_log::LogError, node::NodeError},
    banyansill_core::sheet::SheetFault,
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
    /// Sentence for the reader.
    pub detail: String,
    /// Tonic address of the leader, if it is known and this replica does not lead.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
    /// Faults of a sheet.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<SheetFault>,
}

impl ErrorBody {
    pub(super) fn new(error: &str, detail: impl Into<String>) -> Self {
        Self { error: error.to_owned(), detail: detail.into(), ..Self::default() }
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
        NodeError::Rejected(_) => ErrorBody::new("rejected", detail).reply(StatusCode::CONFLICT),
        NodeError::Log(LogError::NotLeader { leader }) => {
            let mut body = ErrorBody::new("not-leader", detail);
            body.leader.clone_from(leader);
            body.reply(StatusCode::SERVICE_UNAVAILABLE)
        }
        NodeError::Log(LogError::Unknown) => {
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

/// The state that `/v1/status` shows.
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
    #[serde(serialize_with = "as_text")]
    match_index: u64,
}

/// Log indexes may exceed the whole numbers that JSON readers represent exactly.
fn as_text<S>(number: &u64, serializer: S) -> Result<S::Ok, S::Error>
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
