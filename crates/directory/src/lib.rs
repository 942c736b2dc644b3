//! Control of groups whose servers fence themselves: the replicated directory, its followers, promotions
//! of primaries, and a cluster of directory replicas that bootstraps and repairs itself.

mod confirm;
mod confirm_batch;
mod follow;
mod group_snapshot;
mod holder_proof;
mod join;
mod leader;
mod limits;
mod node;
mod probe;
mod process;
mod promotion;
mod reachability;
mod service;
mod settings;
mod supervisor;

pub use {
    confirm::{
        ConfirmSource, ConfirmedRound, ConfirmedState, KnownLimits, PendingProbes, ProbeBoard,
        ROUND_INTERVAL,
    },
    confirm_batch::ConfirmBatch,
    node::{DirectoryError, DirectoryNode, RoutesOutcome},
    process::{DirectoryHandle, SpawnError, spawn},
    promotion::{PromotionOrder, PromotionPort, PromotionReply},
    settings::DirectorySettings,
};
