//! Messages between a caller's session and the broker of a target.
//!
//! The session opens a grant and owns one end of a [`GrantLink`]; the broker, in this process or
//! behind a tonic stream, owns the other. Both directions are bounded, so a slow reader blocks
//! the writer and a large result needs bounded memory.

pub use banyansill_core::transaction::TransactionStatus;

use {
    banyansill_core::{
        failure::FailureKind, names::SharedName, position::LogPosition, time::Micros,
    },
    bytes::Bytes,
    tokio::sync::mpsc,
};

/// Capacity of the channel for each direction of a grant, in messages.
pub const LINK_CAPACITY: usize = 16;

/// Whether a request may change data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantAccess {
    /// Reads only; may be served by a replica.
    Read,
    /// May write; served by the primary under its term.
    Write,
}

/// Request of a session for a grant from a broker.
#[derive(Clone, Debug)]
pub struct GrantRequest {
    /// Database of the target.
    pub database: SharedName,
    /// Server name of the target.
    pub server: SharedName,
    /// Epoch of the broker that the session knows of.
    pub epoch: u64,
    /// Term of the primary that the session knows of; checked for writes.
    pub term: u64,
    /// Kind of the request in the sheet.
    pub kind: SharedName,
    /// Application of the caller.
    pub application: SharedName,
    /// Lowest position a read may be served at.
    pub floor: Option<LogPosition>,
    /// Maximum age of the data that a read returns; `None` is unlimited.
    pub max_age: Option<Micros>,
    /// Whether the request may write.
    pub access: GrantAccess,
    /// Time left until the deadline of the request.
    pub deadline: Micros,
    /// Expected execution time, if the session knows one.
    pub estimate: Option<Micros>,
    /// Whether a commit waits until a second server has its position.
    pub replica_ack: bool,
    /// Priority of the kind; lower numbers are served first.
    pub priority: u32,
    /// Fingerprint of the normalized statement, by which execution times are estimated.
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
    /// Cancels the running or queued statement.
    Cancel,
    /// Reports that the session leaves state on the connection, such as settings or listeners;
    /// the connection is reset before others use it.
    Taint,
    /// Ends the grant; a connection in an idle state becomes free for others.
    Release,
}

/// Failure that a broker reports to a session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkFailure {
    /// Kind of the failure.
    pub kind: FailureKind,
    /// Time after which a retry may succeed; zero means the default of the kind.
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
    /// Takes the place of ReadyForQuery.
    Ready {
        /// Transaction status that the target reported.
        status: TransactionStatus,
        /// Position of the commit, or the position that a read was served at.
        position: Option<LogPosition>,
    },
    /// The request is known not to have been executed; the grant has ended.
    Refused(LinkFailure),
    /// The connection was lost after a message had been sent to the target; the grant has ended.
    Lost(LinkFailure),
}

/// The session's end of a grant; dropping it releases the grant.
#[derive(Debug)]
pub struct GrantLink {
    /// Messages to the broker.
    pub input: mpsc::Sender<LinkInput>,
    /// Messages from the broker.
    pub output: mpsc::Receiver<LinkOutput>,
}

/// The broker's end of a grant.
#[derive(Debug)]
pub struct GrantPeer {
    /// Request of the session.
    pub request: GrantRequest,
    /// Messages from the session; closed once the session has dropped its end.
    pub input: mpsc::Receiver<LinkInput>,
    /// Messages to the session.
    pub output: mpsc::Sender<LinkOutput>,
}

/// Creates both ends of a grant.
#[must_use]
pub fn pair(request: GrantRequest) -> (GrantLink, GrantPeer) {
    let (input, peer_input) = mpsc::channel(LINK_CAPACITY);
    let (peer_output, output) = mpsc::channel(LINK_CAPACITY);
    let peer = GrantPeer { request, input: peer_input, output: peer_output };
    (GrantLink { input, output }, peer)
}

/// Opens grants at local and remote brokers.
pub trait GrantRouter: Clone + Send + Sync + 'static {
    /// Opens a grant at the broker of the target that the request names.
    ///
    /// Returns at once; a failure arrives as the link's first output.
    fn open(&self, request: GrantRequest) -> GrantLink;

    /// Requests the high-water mark from the broker of the primary; the request is sent after this call
    /// was made.
    ///
    /// # Errors
    ///
    /// Returns the failure if the mark cannot be determined.
    fn high_water_mark(
        &self,
        database: &SharedName,
    ) -> impl Future<Output = Result<LogPosition, FailureKind>> + Send;
}
