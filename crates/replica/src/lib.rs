//! Replicated log on disk: storage, the task that drives the log machine, and streams to its peers.

pub mod command_log;
pub mod replica;
pub mod storage;
