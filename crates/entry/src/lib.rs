//! Entry process: callers' sessions, brokers of targets, heartbeat and watch.

pub mod lease;
pub mod link;
pub mod session;
