//! Brokers of an entry: own the connections, slots and queues of the targets assigned to this host
//! and serve grants to sessions on this and other hosts.

mod connection;
mod convert;
mod frame;
mod grant;
mod hub;
mod lifecycle;
mod mark_coalescer;
mod pool_maintenance;
mod position;
mod probe;
mod pump;
mod refusal;
mod remote;
mod replies;
mod service;
mod settings;
mod shared;
mod target;

pub use {
    hub::{BrokerHandle, BrokerHub},
    service::{BrokerService, service},
    settings::BrokerSettings,
};
