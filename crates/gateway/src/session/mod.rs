//! Connections, sessions and statements of callers.

mod access;
mod caller;
mod codec;
mod listener;
mod outcome;
mod single;
mod transaction;

pub(crate) use listener::{CallerListener, CallerSources, StopStage};
