//! Replicated log: storage on disk, the task that drives the log machine, and streams to other replicas.

pub mod command_log;
pub mod replica;
pub mod storage;
