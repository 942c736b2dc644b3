//! Messages between a caller's session and the broker of a target.
//!
//! The session opens a grant and owns one end of a [`GrantLink`]; the broker, in this process or
//! behind a tonic stream, owns the other. Both directions are bounded, so a slow reader stops the
//! writer and large answers need bounded memory.

pub use banyansill_core::transaction::TransactionStatus;

use {
    banyansill_core::{
        failure::FailureKind, names::SharedName, position::LogPosition, time::Micros,
    },
    bytes::Bytes,
    tokio::sync::mpsc,
};

/// Messages in flight per direction of a grant.
pub const LINK_DEPTH: usize = 16;

/// Whether a request may change data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantAccess {
    /// Reads only; may be served by a replica.
    Read,
    /// May write; served by the primary under its term.
    Write,
}

/// What a session asks of a broker.
#[derive(Clone, Debug)]
pub struct GrantRequest {
    /// Database of the target.
    pub database: SharedName,
    /// Server name of the target.
    pub server: SharedName,
    /// Broker epoch known to the session.
    pub epoch: u64,
    /// Primary term known to the session; checked for writes.
    pub term: u64,
    /// Kind of the request in the sheet.
    pub kind: SharedName,
    /// Application of the caller.
    pub application: SharedName,
    /// Lowest position a read may be served at.
    pub floor: Option<LogPosition>,
    /// Greatest age of the answer; `None` is unlimited.
    pub max_age: Option<Micros>,
    /// Whether the request may write.
    pub access: GrantAccess,
    /// Time left to the request's deadline.
    pub deadline: Micros,
    /// Expected execution time, if the session knows one.
    pub estimate: Option<Micros>,
    /// Whether a commit waits until a second server has its position.
    pub replica_ack: bool,
    /// Priority of the kind; lower numbers first.
    pub priority: u32,
    /// Fingerprint of the normalized statement, for learning estimates.
    pub fingerprint: u64,
}

/// Message from the session to the broker.
#[derive(Clone, Debug)]
pub enum LinkInput {
    /// Whole PostgreSQL frontend messages.
    ///
    /// The session sends the first ones without waiting for `Granted`, which saves a round trip
    /// during which the slot would be idle; they are sent to the target once the grant holds.
    Data(Bytes),
    /// Cancels the statement that runs or waits.
    Cancel,
    /// Reports that the session leaves state on the connection, such as settings or listeners;
    /// the connection is reset before others use it.
    Taint,
    /// Ends the grant; a connection in an idle state becomes free for others.
    Release,
}

/// Failure as a broker reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkFailure {
    /// Kind of the failure.
    pub kind: FailureKind,
    /// Time after which a retry may succeed; zero takes the kind's default.
    pub retry_after: Micros,
    /// Detail for the log and the error response; holds no caller data.
    pub detail: String,
}

/// Message from the broker to the session.
#[derive(Clone, Debug)]
pub enum LinkOutput {
    /// The grant holds a connection and a slot.
    Granted {
        /// Time spent in the queue.
        waited: Micros,
    },
    /// Whole PostgreSQL backend messages, without ReadyForQuery.
    Data(Bytes),
    /// Stands for ReadyForQuery.
    Ready {
        /// Transaction status that the target reported.
        status: TransactionStatus,
        /// Position of the commit, or the position that a read was served at.
        position: Option<LogPosition>,
    },
    /// The request was certainly not run; the grant is over.
    Refused(LinkFailure),
    /// The connection was lost after something was sent; the grant is over.
    Lost(LinkFailure),
}

/// The session's end of a grant; dropping it releases the grant.
#[derive(Debug)]
pub struct GrantLink {
    /// To the broker.
    pub input: mpsc::Sender<LinkInput>,
    /// From the broker.
    pub output: mpsc::Receiver<LinkOutput>,
}

/// The broker's end of a grant.
#[derive(Debug)]
pub struct GrantPeer {
    /// What the session asked for.
    pub request: GrantRequest,
    /// From the session; closed when the session has gone.
    pub input: mpsc::Receiver<LinkInput>,
    /// To the session.
    pub output: mpsc::Sender<LinkOutput>,
}

/// Creates both ends of a grant.
#[must_use]
pub fn pair(request: GrantRequest) -> (GrantLink, GrantPeer) {
    let (input, peer_input) = mpsc::channel(LINK_DEPTH);
    let (peer_output, output) = mpsc::channel(LINK_DEPTH);
    let peer = GrantPeer { request, input: peer_input, output: peer_output };
    (GrantLink { input, output }, peer)
}

/// Way from sessions to brokers, local or remote.
pub trait GrantRouter: Clone + Send + Sync + 'static {
    /// Opens a grant at the broker of the target that the request names.
    ///
    /// Returns at once; a failure arrives as the link's first output.
    fn open(&self, request: GrantRequest) -> GrantLink;

    /// Asks the primary's broker for its high-water mark, with a request sent after this call.
    ///
    /// # Errors
    ///
    /// Returns the failure if the mark cannot be learnt.
    fn high_water_mark(
        &self,
        database: &SharedName,
    ) -> impl Future<Output = Result<LogPosition, FailureKind>> + Send;
}
