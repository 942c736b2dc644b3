//! Entry process: callers' sessions, brokers of targets, heartbeat and watch.

pub mod admin;
pub mod lease;
pub mod link;
pub mod session;
pub mod settings;
