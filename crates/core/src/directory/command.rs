//! Commands of the directory and the answers to their proposers.

use {
    super::{
        routes::RouteDraft,
        state::{ProcessHost, ProcessKind},
        targets::TargetReport,
    },
    crate::{
        compression::{compress, decompress},
        names::SharedName,
    },
    serde::{Deserialize, Serialize},
    thiserror::Error,
};

/// One change of the directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DirectoryCommand {
    /// Puts routes in force unless their version is not higher than the one in force.
    ApplyRoutes {
        /// The routes; the proposer has checked them.
        draft: RouteDraft,
        /// Text that the operator sent.
        document: String,
    },
    /// Records what a target says of itself.
    RecordTarget {
        /// The report.
        report: TargetReport,
    },
    /// Removes a target that has left.
    RemoveTarget {
        /// Name of the target.
        target: SharedName,
    },
    /// Records a process of the system.
    RecordProcess {
        /// What it does.
        kind: ProcessKind,
        /// The process.
        process: ProcessHost,
    },
    /// Removes a process that is gone.
    RemoveProcess {
        /// What it did.
        kind: ProcessKind,
        /// Host name.
        host: SharedName,
        /// Address of the process that is gone.
        address: SharedName,
    },
    /// Records that another target leads than the directory names.
    AdoptPrimary {
        /// Group.
        group: SharedName,
        /// Primary that the directory names.
        expected: Option<SharedName>,
        /// Target that leads.
        primary: SharedName,
    },
    /// Begins a change of primary; the command's index is its fence.
    BeginPromotion {
        /// Group.
        group: SharedName,
        /// Host that orders the promotion.
        holder: SharedName,
        /// Fence of the unfinished promotion that this one replaces; 0 if there is none.
        replaces: u64,
    },
    /// Names the target that the group's promotion chose, before it is ordered.
    ChooseCandidate {
        /// Group.
        group: SharedName,
        /// Fence of the promotion.
        fence: u64,
        /// The target.
        candidate: SharedName,
    },
    /// Ends a change of primary.
    EndPromotion {
        /// Group.
        group: SharedName,
        /// Fence of the promotion.
        fence: u64,
        /// New primary; `None` if the promotion was given up before it was ordered.
        primary: Option<SharedName>,
    },
}

impl DirectoryCommand {
    /// Returns the command as bytes for the replicated log.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        compress(&serde_json::to_vec(self).unwrap_or_default())
    }

    /// Reads a command that `encode` wrote.
    ///
    /// # Errors
    ///
    /// Returns a rejection if the bytes are not a command.
    pub fn decode(bytes: &[u8]) -> Result<Self, DirectoryRejection> {
        let bytes = decompress(bytes).ok_or_else(|| DirectoryRejection::Malformed {
            detail: "the bytes cannot be unpacked".to_owned(),
        })?;
        serde_json::from_slice(&bytes)
            .map_err(|error| DirectoryRejection::Malformed { detail: error.to_string() })
    }
}

/// Why a command changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum DirectoryRejection {
    /// The bytes are not a command.
    #[error("malformed command: {detail}")]
    Malformed {
        /// What the decoder reported.
        detail: String,
    },
    /// Another promotion of the group is under way.
    #[error("promotion {fence} of the group is under way")]
    PromotionPending {
        /// Its fence.
        fence: u64,
    },
    /// The promotion was replaced or has ended.
    #[error("promotion {fence} is over")]
    PromotionOver {
        /// Its fence.
        fence: u64,
    },
}

/// Answer to the proposer of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DirectoryReply {
    /// The command was applied.
    Done {
        /// Index of the command.
        index: u64,
        /// Whether it changed the state.
        changed: bool,
    },
    /// The command changed nothing.
    Rejected(DirectoryRejection),
}

impl DirectoryReply {
    /// Returns the reply as bytes for a process that passed the command on.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Reads a reply that `encode` wrote.
    ///
    /// # Errors
    ///
    /// Returns a rejection if the bytes are not a reply.
    pub fn decode(bytes: &[u8]) -> Result<Self, DirectoryRejection> {
        serde_json::from_slice(bytes)
            .map_err(|error| DirectoryRejection::Malformed { detail: error.to_string() })
    }
}
