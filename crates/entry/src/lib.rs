//! Entry process: callers' sessions, brokers of targets, heartbeat and watch.

pub mod broker;
pub mod lease;
pub mod link;
pub mod membership;
pub mod session;
