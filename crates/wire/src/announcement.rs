//! JSON bodies of announcements, which targets send to control or to the brokers.

use {
    crate::v1,
    banyansill_core::position::LogPosition,
    serde::{Deserialize, Serialize},
};

/// Maximum size of an announcement in bytes.
pub const MAX_ANNOUNCEMENT_BYTES: usize = 8 * 1024;

/// JSON body of an announcement.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnnouncementBody {
    database: String,
    server: String,
    address: String,
    #[serde(default)]
    replication_address: String,
    region: String,
    zone: String,
    role: String,
    #[serde(default)]
    term: u64,
    position: String,
    slots: u32,
    connections: u32,
    #[serde(default)]
    leaving: bool,
    incarnation: u64,
}

impl AnnouncementBody {
    /// Converts the body to an announcement of the protocol.
    ///
    /// # Errors
    ///
    /// Returns a message if the role or the position is not valid.
    pub fn announcement(self) -> Result<v1::Announcement, String> {
        let role = match self.role.as_str() {
            "primary" => v1::Role::Primary,
            "replica" => v1::Role::Replica,
            other => return Err(format!("role {other:?} is not one of primary, replica")),
        };
        let position: LogPosition = self.position.parse().map_err(|error| format!("{error}"))?;
        Ok(v1::Announcement {
            database: self.database,
            server: self.server,
            address: self.address,
            replication_address: self.replication_address,
            region: self.region,
            zone: self.zone,
            role: role.into(),
            position: Some(position.into()),
            slots: self.slots,
            connections: self.connections,
            leaving: self.leaving,
            incarnation: self.incarnation,
            term: self.term,
        })
    }
}

/// JSON body of the reply to an announcement.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct AnnouncedBody {
    /// Current term.
    pub term: u64,
    /// Current primary; empty if there is none.
    pub primary: String,
    /// Address for the next announcements; empty if they go to the control addresses.
    #[serde(default)]
    pub announce_to: String,
}
