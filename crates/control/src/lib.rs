//! Control process: durable replicated state, membership, sheet and promotion.

pub mod admin;
pub mod announce;
pub mod event;
pub mod forward;
pub mod handle;
pub mod leader;
pub mod members;
pub mod node;
pub mod service;
pub mod settings;
pub mod single_replica_log;
mod status;
pub mod view;
pub mod watch;

pub use {
    banyansill_replica::{command_log, replica, storage},
    handle::{ControlHandle, spawn},
};

use event::record_event;
