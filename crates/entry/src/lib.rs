//! Entry process: callers' sessions, brokers of targets, and membership through heartbeats and a watch.

pub mod admin;
pub mod announcements;
pub mod broker;
pub mod lease;
pub mod link;
pub mod membership;
pub mod process;
pub mod session;
pub mod settings;

pub use process::{EntryHandle, spawn};
