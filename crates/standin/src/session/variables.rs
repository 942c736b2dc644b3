//! Settings of a session.

use {
    crate::{error::SqlError, sql::function::SERVER_VERSION},
    std::collections::BTreeMap,
};

/// Settings that a session can change, with their defaults and whether changes are reported.
const CHANGEABLE: [(&str, &str, bool); 8] = [
    ("application_name", "", true),
    ("client_min_messages", "notice", false),
    ("datestyle", "ISO, MDY", true),
    ("default_transaction_read_only", "off", true),
    ("extra_float_digits", "1", false),
    ("search_path", "\"$user\", public", false),
    ("timezone", "UTC", true),
    ("client_encoding", "UTF8", true),
];

/// Settings that are the same in every session.
const FIXED: [(&str, &str, bool); 7] = [
    ("server_version", SERVER_VERSION, true),
    ("server_encoding", "UTF8", true),
    ("standard_conforming_strings", "on", true),
    ("integer_datetimes", "on", true),
    ("statement_timeout", "0", false),
    ("lock_timeout", "0", false),
    ("transaction_isolation", "repeatable read", false),
];

/// Names of reported settings in the spelling of the protocol.
const SPELLINGS: [(&str, &str); 2] = [("datestyle", "DateStyle"), ("timezone", "TimeZone")];

/// Settings of one session.
#[derive(Clone, Debug)]
pub struct SessionVariables {
    startup: BTreeMap<String, String>,
    current: BTreeMap<String, String>,
    before_block: Option<BTreeMap<String, String>>,
    local: BTreeMap<String, Option<String>>,
    changed: bool,
}

impl SessionVariables {
    /// Creates the settings of a session with the parameters of its startup message.
    pub fn new(parameters: &BTreeMap<String, String>) -> Self {
        let mut startup = BTreeMap::new();
        for (name, value) in parameters {
            let name = name.to_lowercase();
            if CHANGEABLE.iter().any(|(known, _, _)| *known == name) {
                startup.insert(name, value.clone());
            }
        }
        let current = startup.clone();
        Self { startup, current, before_block: None, local: BTreeMap::new(), changed: false }
    }

    /// Returns the reported settings.
    pub fn reported(&self) -> Vec<(&'static str, String)> {
        let mut reported = Vec::new();
        for (name, default, report) in FIXED.iter().chain(&CHANGEABLE) {
            if *report {
                let value = self.current.get(*name).map_or(*default, String::as_str);
                reported.push((spelling(name), value.to_owned()));
            }
        }
        reported
    }

    /// Returns the value of a setting.
    ///
    /// # Errors
    ///
    /// Returns 42704 if there is no such setting.
    pub fn get(&self, name: &str) -> Result<String, SqlError> {
        if let Some(value) = self.current.get(name) {
            return Ok(value.clone());
        }
        let known = FIXED.iter().chain(&CHANGEABLE).find(|(known, _, _)| *known == name);
        known.map(|(_, value, _)| (*value).to_owned()).ok_or_else(|| unknown(name))
    }

    /// Changes a setting, or takes the change back with `None`; `local` ends with the transaction.
    ///
    /// # Errors
    ///
    /// Returns 42704 or 0A000 if the setting is unknown or cannot have the value.
    pub fn set(&mut self, name: &str, value: Option<String>, local: bool) -> Result<(), SqlError> {
        let value = value.or_else(|| self.startup.get(name).cloned());
        if let Some((_, fixed, _)) = FIXED.iter().find(|(known, _, _)| *known == name) {
            if value.as_ref().is_none_or(|value| value.eq_ignore_ascii_case(fixed)) {
                return Ok(());
            }
            return Err(SqlError::unsupported(format!("another value of {name}")));
        }
        let custom = name.contains('.');
        if !custom && !CHANGEABLE.iter().any(|(known, _, _)| *known == name) {
            return Err(unknown(name));
        }
        let value = value.map(|value| checked(name, value)).transpose()?;
        if local {
            if self.before_block.is_none() {
                return Ok(());
            }
            let before = self.current.get(name).cloned();
            self.local.entry(name.to_owned()).or_insert(before);
        } else {
            self.local.remove(name);
        }
        self.store(name, value);
        Ok(())
    }

    /// Takes every change back.
    pub fn reset(&mut self) {
        self.changed = true;
        self.current = self.startup.clone();
        self.local.clear();
    }

    /// Starts a transaction block, whose rollback takes its changes back.
    pub fn begin(&mut self) {
        if self.before_block.is_none() {
            self.before_block = Some(self.current.clone());
        }
    }

    /// Ends a transaction block.
    pub fn end(&mut self, committed: bool) {
        let before = self.before_block.take();
        let local = std::mem::take(&mut self.local);
        if !committed {
            self.changed = true;
            self.current = before.unwrap_or_else(|| self.current.clone());
            return;
        }
        for (name, value) in local {
            self.store(&name, value);
        }
    }

    /// Returns whether transactions are read-only unless they say otherwise.
    pub fn default_read_only(&self) -> bool {
        self.current.get("default_transaction_read_only").is_some_and(|value| value == "on")
    }

    /// Returns whether settings may have changed since the last call.
    pub const fn take_changed(&mut self) -> bool {
        std::mem::replace(&mut self.changed, false)
    }

    fn store(&mut self, name: &str, value: Option<String>) {
        self.changed = true;
        match value {
            Some(value) => self.current.insert(name.to_owned(), value),
            None => self.current.remove(name),
        };
    }
}

fn checked(name: &str, value: String) -> Result<String, SqlError> {
    match name {
        "default_transaction_read_only" => match value.to_ascii_lowercase().as_str() {
            "on" | "true" | "1" | "yes" => Ok("on".to_owned()),
            "off" | "false" | "0" | "no" => Ok("off".to_owned()),
            _ => Err(SqlError::new("22023", format!("parameter {name} needs a Boolean value"))),
        },
        "client_encoding" if !matches!(value.to_ascii_uppercase().as_str(), "UTF8" | "UTF-8") => {
            Err(SqlError::unsupported(format!("the encoding {value}")))
        }
        _ => Ok(value),
    }
}

fn spelling(name: &'static str) -> &'static str {
    SPELLINGS.iter().find(|(known, _)| *known == name).map_or(name, |(_, spelling)| spelling)
}

fn unknown(name: &str) -> SqlError {
    SqlError::new("42704", format!("unrecognized configuration parameter \"{name}\""))
}
