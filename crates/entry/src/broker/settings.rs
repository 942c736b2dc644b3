//! Settings of the broker side of an entry.

use banyansill_core::{names::SharedName, time::Micros};

/// How an entry connects to its targets.
#[derive(Clone, Debug)]
pub struct BrokerSettings {
    /// Name of this host in the route table.
    pub host: SharedName,
    /// User for connections to targets.
    pub user: String,
    /// Password for connections to targets, if they ask for one.
    pub password: Option<String>,
    /// Database name at start-up; the group's name if absent.
    pub database: Option<String>,
    /// Time for a connection to a target to be set up.
    pub connect_timeout: Micros,
}

impl BrokerSettings {
    /// Returns settings with trust authentication and the default time limit.
    #[must_use]
    pub fn new(host: SharedName, user: &str) -> Self {
        Self {
            host,
            user: user.to_owned(),
            password: None,
            database: None,
            // Set-up takes about 12 ms; a longer silence than this counts as a failure.
            connect_timeout: Micros::from_millis(500),
        }
    }
}
