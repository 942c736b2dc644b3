//! Session settings that are replayed on each target connection that the session uses.
//!
//! They are sent again before each grant's first statement, and the connection is reset afterwards. This costs
//! one round trip per grant. Pinning the session instead would hold one of the target's few connections for as
//! long as the caller is connected.

use {
    super::response,
    bytes::{Bytes, BytesMut},
    postgres_protocol::escape::escape_literal,
    std::collections::BTreeMap,
};

/// Settings that have the same meaning on every connection, so that they can be replayed.
const REPLAYABLE_SETTINGS: [&str; 10] = [
    "bytea_output",
    "client_min_messages",
    "datestyle",
    "extra_float_digits",
    "idle_in_transaction_session_timeout",
    "intervalstyle",
    "lock_timeout",
    "search_path",
    "statement_timeout",
    "timezone",
];

/// Maximum length of a SET statement that can be replayed, in bytes.
const STATEMENT_TEXT_LIMIT: usize = 4_096;

/// SET statements of the settings that differ from the targets' defaults.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct SettingReplay {
    /// SET statements by setting name; sorted, so that the order is the same on every connection.
    statements: BTreeMap<String, String>,
    /// SET statements of the settings in the start-up packet.
    initial: BTreeMap<String, String>,
}

impl SettingReplay {
    /// Adds a setting of the start-up packet; returns whether it is supported.
    pub(super) fn add_initial(&mut self, name: &str, value: &str) -> bool {
        let name = name.to_ascii_lowercase();
        if is_default(&name, value) {
            return true;
        }
        if !can_replay(&name, value) {
            return false;
        }
        let mut literals = String::new();
        let parts = if name == "search_path" { value.split(',') } else { value.split('\0') };
        for part in parts {
            if !literals.is_empty() {
                literals.push_str(", ");
            }
            literals.push_str(&escape_literal(part.trim().trim_matches('"')));
        }
        let statement = format!("SET {name} TO {literals}");
        self.initial.insert(name.clone(), statement.clone());
        self.statements.insert(name, statement);
        true
    }

    /// Adds a SET statement that a target has accepted.
    pub(super) fn insert(&mut self, name: String, statement: String) {
        self.statements.insert(name, statement);
    }

    /// Restores the value from the start-up packet for one setting, or for all if `name` is `None`.
    pub(super) fn reset(&mut self, name: Option<&str>) {
        let Some(name) = name else {
            self.statements = self.initial.clone();
            return;
        };
        match self.initial.get(name) {
            Some(statement) => self.statements.insert(name.to_owned(), statement.clone()),
            None => self.statements.remove(name),
        };
    }

    /// Returns a Query message with all SET statements, or `None` if there are none.
    pub(super) fn query(&self) -> Option<Bytes> {
        if self.statements.is_empty() {
            return None;
        }
        let mut text = String::new();
        for statement in self.statements.values() {
            if !text.is_empty() {
                text.push_str("; ");
            }
            text.push_str(statement);
        }
        let mut buffer = BytesMut::new();
        response::message(&mut buffer, b'Q', |buffer| response::c_string(buffer, &text));
        Some(buffer.freeze())
    }
}

/// Returns whether a SET statement can be replayed on other connections.
pub(super) fn can_replay(name: &str, statement: &str) -> bool {
    REPLAYABLE_SETTINGS.contains(&name) && statement.len() <= STATEMENT_TEXT_LIMIT
}

/// Returns whether a value is the default on every target connection.
pub(super) fn is_default(name: &str, value: &str) -> bool {
    match name {
        "client_encoding" => {
            let name: String = value.chars().filter(char::is_ascii_alphanumeric).collect();
            name.eq_ignore_ascii_case("utf8") || name.eq_ignore_ascii_case("unicode")
        }
        "datestyle" => matches!(value, "ISO" | "ISO, MDY"),
        "timezone" => matches!(value, "UTC" | "Etc/UTC" | "GMT"),
        "standard_conforming_strings" => value.eq_ignore_ascii_case("on"),
        // Like the default, every value above zero selects the shortest exact output.
        "extra_float_digits" => matches!(value, "1" | "2" | "3"),
        _ => false,
    }
}
