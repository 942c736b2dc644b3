//! Commands of the replicated directory and the replies to their proposers.

use {
    super::{
        routes::RouteDraft,
        state::{ProcessHost, ProcessKind},
        targets::TargetReport,
    },
    crate::{
        compression::{MAX_COMMAND_BYTES, compress, decompress},
        hidden::Hidden,
        names::SharedName,
    },
    serde::{Deserialize, Serialize},
    thiserror::Error,
};

/// One change of the directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DirectoryCommand {
    /// Activates routes, unless their version is not higher than the active one.
    ApplyRoutes {
        /// The routes; the proposer has validated them.
        draft: RouteDraft,
        /// Text of the routes as the operator sent it.
        document: Hidden<String>,
    },
    /// Records a target's report about itself.
    RecordTarget {
        /// The report.
        report: TargetReport,
    },
    /// Removes a target that has left.
    RemoveTarget {
        /// Name of the target.
        target: SharedName,
    },
    /// Records a process, or a change of its address or zone.
    RecordProcess {
        /// Kind of the process.
        kind: ProcessKind,
        /// The process.
        process: ProcessHost,
    },
    /// Removes a process that no longer exists.
    RemoveProcess {
        /// Kind of the process.
        kind: ProcessKind,
        /// Host name.
        host: SharedName,
        /// Address of the process; the command changes nothing if the host has another one by now.
        address: SharedName,
    },
    /// Records that a target other than the one in the directory is the primary.
    AdoptPrimary {
        /// Group.
        group: SharedName,
        /// Primary according to the directory; the command changes nothing if this differs.
        expected: Option<SharedName>,
        /// Target that is the primary.
        primary: SharedName,
    },
    /// Begins a promotion; the log index of the command becomes its fencing number.
    BeginPromotion {
        /// Group.
        group: SharedName,
        /// Host of the control replica that carries out the promotion.
        holder: SharedName,
        /// Fencing number of the unfinished promotion that this one replaces; 0 if there is none.
        replaces: u64,
    },
    /// Records the target chosen by a promotion, before the promotion is ordered.
    ChooseCandidate {
        /// Group.
        group: SharedName,
        /// Fencing number of the promotion.
        fence: u64,
        /// The target.
        candidate: SharedName,
    },
    /// Ends a promotion.
    EndPromotion {
        /// Group.
        group: SharedName,
        /// Fencing number of the promotion.
        fence: u64,
        /// New primary; `None` if the promotion was abandoned before it was ordered.
        primary: Option<SharedName>,
    },
    /// Removes a replica whose process has ended without a farewell, and whose commits the remaining replicas have. Earlier
    /// versions reject it.
    RemoveEnded {
        /// Name of the target.
        target: SharedName,
        /// Start time of the process; the command changes nothing if another one is recorded by now.
        incarnation: u64,
    },
    /// Records that the remaining replicas of a group have what departed ones had received. Earlier versions reject it.
    ConfirmHolders {
        /// Group.
        group: SharedName,
        /// Log index up to which the departures are covered.
        until: u64,
    },
}

impl DirectoryCommand {
    /// Encodes the command for the replicated log.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        compress(&serde_json::to_vec(self).unwrap_or_default())
    }

    /// Decodes a command that `encode` wrote.
    ///
    /// # Errors
    ///
    /// Returns `Malformed` if the bytes are not a command.
    pub fn decode(bytes: &[u8]) -> Result<Self, DirectoryRejection> {
        let bytes = decompress(bytes, MAX_COMMAND_BYTES).ok_or_else(|| {
            DirectoryRejection::Malformed { detail: "the bytes cannot be unpacked".to_owned() }
        })?;
        serde_json::from_slice(&bytes)
            .map_err(|error| DirectoryRejection::Malformed { detail: error.to_string() })
    }
}

/// Why a command changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum DirectoryRejection {
    /// The bytes are not a valid encoding.
    #[error("malformed command: {detail}")]
    Malformed {
        /// What the decoder reported.
        detail: String,
    },
    /// Another promotion of the group is in progress.
    #[error("promotion {fence} of the group is in progress")]
    PromotionPending {
        /// Fencing number of that promotion.
        fence: u64,
    },
    /// The promotion was replaced by another one or has ended.
    #[error("promotion {fence} was replaced or has ended")]
    PromotionOver {
        /// Fencing number of the promotion.
        fence: u64,
    },
}

/// Reply to the proposer of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DirectoryReply {
    /// The command was applied.
    Done {
        /// Log index of the command.
        index: u64,
        /// Whether it changed the state.
        changed: bool,
    },
    /// The command changed nothing.
    Rejected(DirectoryRejection),
}

impl DirectoryReply {
    /// Encodes the reply for a process that forwarded the command.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes a reply that `encode` wrote.
    ///
    /// # Errors
    ///
    /// Returns `Malformed` if the bytes are not a reply.
    pub fn decode(bytes: &[u8]) -> Result<Self, DirectoryRejection> {
        serde_json::from_slice(bytes)
            .map_err(|error| DirectoryRejection::Malformed { detail: error.to_string() })
    }
}
