//! Settings that a session takes along from one target connection to the next.
//!
//! They are sent again before each grant's first statement, and the connection is reset afterwards.
//! That costs a round trip per grant; a session that is pinned instead would hold one of the few
//! connections of a target for as long as its caller stays.

use {
    super::response,
    bytes::{Bytes, BytesMut},
    postgres_protocol::escape::escape_literal,
    std::collections::BTreeMap,
};

/// Settings that mean the same on every connection and may be sent again.
const REPLAYED: [&str; 10] = [
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

/// Longest text of a setting that is remembered.
const TEXT_LIMIT: usize = 4_096;

/// Statements of the settings that differ from the targets' defaults.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct SettingReplay {
    /// SET statements by the setting's name, so that the order is the same on every connection.
    statements: BTreeMap<String, String>,
    /// What the session started with.
    initial: BTreeMap<String, String>,
}

impl SettingReplay {
    /// Takes a setting of the start-up packet; returns whether it is supported.
    pub(super) fn start_with(&mut self, name: &str, value: &str) -> bool {
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

    /// Remembers a SET statement that a target has accepted.
    pub(super) fn remember(&mut self, name: String, statement: String) {
        self.statements.insert(name, statement);
    }

    /// Returns to what the session started with, for one setting or for all.
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

    /// Returns the Query message that sets everything, or `None` if there is nothing to set.
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

/// Returns whether a setting may be sent again on other connections.
pub(super) fn can_replay(name: &str, statement: &str) -> bool {
    REPLAYED.contains(&name) && statement.len() <= TEXT_LIMIT
}

/// Returns whether a value is what every target connection has anyway.
pub(super) fn is_default(name: &str, value: &str) -> bool {
    match name {
        "client_encoding" => {
            let name: String = value.chars().filter(char::is_ascii_alphanumeric).collect();
            name.eq_ignore_ascii_case("utf8") || name.eq_ignore_ascii_case("unicode")
        }
        "datestyle" => matches!(value, "ISO" | "ISO, MDY"),
        "timezone" => matches!(value, "UTC" | "Etc/UTC" | "GMT"),
        "standard_conforming_strings" => value.eq_ignore_ascii_case("on"),
        // Every value above zero prints the shortest exact numbers, as the default does.
        "extra_float_digits" => matches!(value, "1" | "2" | "3"),
        _ => false,
    }
}
