//! Replicated directory of the operators' routes, the targets and entries that register themselves, and
//! the primaries of the groups.
//!
//! It serves database groups whose servers fence themselves: a server that is no longer the primary refuses
//! writes, so the directory grants no leases. Groups that need leases use [`crate::cluster`].

mod command;
mod failover;
mod holders;
mod routes;
mod state;
mod stream_registry;
mod targets;
mod teams;
mod update;

pub use {
    command::{DirectoryCommand, DirectoryRejection, DirectoryReply},
    failover::{
        AWAITED_ENTRY_TTL, AnswerWatch, CandidateAnswer, ENTRY_FAILURE_TIMEOUT, FinalLog,
        PrimaryEvidence, PrimaryVerdict, VANISHED_ENTRY_TTL, choose_candidate, choose_successor,
        keep_ordered,
    },
    holders::{
        DepartedHolder, DepartedHolders, EndedReplicas, HolderProof, ProofStep, ServerLog,
        is_covered,
    },
    routes::{ActiveRoutes, GroupRule, ReadRule, RouteDraft, RouteFault, RouteLimits, RouteRule},
    state::{
        DirectoryItem, DirectorySet, DirectoryState, EarlierOrder, GroupRecord, ProcessHost,
        ProcessKind, PromotionRecord,
    },
    stream_registry::{StreamNumber, StreamRegistry},
    targets::{
        DepartedTarget, MAX_REPORT_NAME_BYTES, MAX_TARGET_SLOTS, ReportFault, ReportOrder,
        TargetReport, TargetState,
    },
    teams::{KeyDigest, TeamLimit, TeamRule},
    update::{DirectoryUpdate, GroupView},
};
