//! Interface for statement protocols, and connections to targets that use them.
//!
//! A [`StatementProtocol`] encodes and decodes the messages of this crate and contains no further logic.
//! Sessions, pools and the failover of control depend only on the messages.

mod connection;
mod message;
mod protocol;

pub use {
    connection::{
        ConnectError, ConnectionOptions, ExchangeError, StatementAnswer, TargetConnection,
        TargetStream,
    },
    message::{
        CallerMessage, CallerReply, ProbeRow, StartRequest, Statement, StatementAccess,
        TargetReply, TargetRequest,
    },
    protocol::{FramingError, StatementProtocol},
};
