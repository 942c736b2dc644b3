//! Results of commands.

use {crate::client::ClientError, comfy_table::Table, serde::Serialize, std::fmt::Write};

/// Exit code of a request that control refused.
pub const EXIT_REFUSED: u8 = 1;

/// Exit code of faulty arguments, files or sheets.
pub const EXIT_USAGE: u8 = 2;

/// Exit code when control cannot be reached or has no leader.
pub const EXIT_UNREACHABLE: u8 = 3;

/// Exit code when a request may or may not have taken effect.
pub const EXIT_UNKNOWN: u8 = 4;

/// What a command prints, and its exit code.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[must_use]
pub struct CommandOutput {
    /// Text for standard output.
    pub text: String,
    /// Text for standard error.
    pub errors: String,
    /// Exit code.
    pub code: u8,
}

impl CommandOutput {
    pub(crate) fn text(text: impl Into<String>) -> Self {
        Self { text: text.into(), ..Self::default() }
    }

    pub(crate) fn usage(message: &str) -> Self {
        Self { errors: format!("banyansill: {message}\n"), code: EXIT_USAGE, ..Self::default() }
    }

    pub(crate) fn client_error(error: &ClientError) -> Self {
        let code = match error {
            ClientError::Unreachable { .. } | ClientError::NoLeader { .. } => EXIT_UNREACHABLE,
            ClientError::Unknown { .. } => EXIT_UNKNOWN,
            ClientError::Refused(_) => EXIT_REFUSED,
            ClientError::Address(_) => EXIT_USAGE,
        };
        Self { errors: format!("banyansill: {error}\n"), code, ..Self::default() }
    }

    /// Prints a value as JSON, or the text for people.
    pub(crate) fn either<T>(json: bool, value: &T, text: impl FnOnce() -> String) -> Self
    where
        T: Serialize,
    {
        if !json {
            return Self::text(text());
        }
        let mut text = serde_json::to_string_pretty(value).unwrap_or_default();
        text.push('\n');
        Self::text(text)
    }

    pub(crate) const fn with_code(mut self, code: u8) -> Self {
        self.code = code;
        self
    }
}

/// Formats rows under a header, without borders.
pub(crate) fn table<R>(header: &[&str], rows: R) -> String
where
    R: IntoIterator<Item = Vec<String>>,
{
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::NOTHING);
    table.set_header(header.to_vec());
    for row in rows {
        table.add_row(row);
    }
    for column in table.column_iter_mut() {
        column.set_padding((0, 2));
    }
    let mut text = String::new();
    for line in table.lines() {
        let _ = writeln!(text, "{}", line.trim_end());
    }
    text
}
