//! Statement protocols and connections to targets that speak them.
//!
//! A [`StatementProtocol`] translates between bytes and the messages of this crate; it decides nothing.
//! Sessions, pools and the failover of control work on the messages alone.

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
