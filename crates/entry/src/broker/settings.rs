//! Settings of the brokers of an entry.

use banyansill_core::{names::SharedName, time::Micros};

/// How an entry connects to its targets.
#[derive(Clone, Debug)]
pub struct BrokerSettings {
    /// Name of this host in the route table.
    pub host: SharedName,
    /// User for connections to targets.
    pub user: String,
    /// Password for connections to targets; if absent, an empty one is sent to targets that request
    /// one.
    pub password: Option<String>,
    /// Database name in the startup message; the name of the database group if absent.
    pub database: Option<String>,
    /// Timeout for connecting and authenticating to a target.
    pub connect_timeout: Micros,
}

impl BrokerSettings {
    /// Returns settings without a password and with the default timeout.
    #[must_use]
    pub fn new(host: SharedName, user: &str) -> Self {
        Self {
            host,
            user: user.to_owned(),
            password: None,
            database: None,
            // Opening a connection takes about 12 ms; one that takes longer than this has failed.
            connect_timeout: Micros::from_millis(500),
        }
    }
}
