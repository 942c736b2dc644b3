//! Classification of statements: reads, writes, transaction control and session state.
//!
//! The classification is conservative. Any statement that is not known to be a read counts as a
//! write that must not be repeated: text that cannot be parsed, calls of functions that are not on
//! the list of pure built-ins, locking reads.

mod cache;
mod pure;
mod reads;
mod tokens;

pub use cache::ProfileCache;

use {
    crate::names::SharedName,
    sqlparser::{
        ast::{
            ContextModifier, DiscardObject, ObjectName, Reset, Set, Statement,
            TransactionAccessMode, TransactionMode,
        },
        dialect::PostgreSqlDialect,
        parser::Parser,
    },
};

/// Maximum number of tokens in a text that is parsed.
///
/// A chain of operators becomes a tree as deep as the chain is long, and visiting and dropping the
/// tree are recursive. This limit keeps the deepest tree within a 2 MiB stack in a debug build.
pub const TOKEN_LIMIT: usize = 2_000;

/// Maximum length of a text that is tokenized, in bytes.
///
/// Tokenizing a text of many short tokens takes about 0.25 ms per KiB, during which the other
/// callers on the same worker are blocked.
pub const TEXT_LIMIT: usize = 64 << 10;

/// Maximum nesting depth that the parser accepts.
const NESTING_LIMIT: usize = 50;

/// Effect of a statement, as far as it matters for routing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementAction {
    /// No statement: only comments, white space and semicolons.
    Empty,
    /// Known to change no data; may be repeated.
    Read,
    /// Not known to be a read.
    Write,
    /// Starts a transaction.
    Begin {
        /// Whether the transaction is declared `READ ONLY`.
        read_only: bool,
    },
    /// Commits without `AND CHAIN`.
    Commit,
    /// Rolls back without `AND CHAIN`.
    Rollback,
    /// Sets, releases or rolls back to a savepoint.
    Savepoint,
    /// Sets one session parameter.
    Setting {
        /// Name of the parameter in lower case.
        name: String,
        /// Value as text without quotes.
        value: String,
    },
    /// Resets one or all session parameters to the session's defaults.
    Reset {
        /// Name of the parameter in lower case; `None` resets all.
        name: Option<String>,
    },
    /// `DISCARD ALL`.
    DiscardAll,
    /// `DEALLOCATE ALL`.
    DeallocateAll,
}

/// Classification of one text, which may hold several statements.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatementProfile {
    /// Effect of the statement; several statements count as one `Read` or `Write`.
    pub action: StatementAction,
    /// Kind from a `/* kind=NAME */` tag, if there is one.
    pub kind: Option<SharedName>,
    /// Hash of the text without literals, comments and white space; equal on all hosts.
    pub fingerprint: u64,
    /// Number of statements; 1 for text that is not or cannot be parsed.
    pub statements: usize,
    /// Whether it leaves state on the connection that later statements of the session depend on.
    pub pins: bool,
    /// Whether it may leave state on the connection that must not be visible to other sessions.
    pub taints: bool,
    /// Whether it may end the transaction in which it runs.
    pub ends_transaction: bool,
}

impl StatementProfile {
    /// Classifies a text, which may hold several statements.
    #[must_use]
    pub fn classify(text: &str) -> Self {
        if text.len() > TEXT_LIMIT {
            let state = tokens::mentions_state_words(text);
            return Self::unknown(tokens::leading_kind(text), tokens::raw_fingerprint(text), state);
        }
        let Some(scan) = tokens::scan(text) else {
            return Self::unknown(None, tokens::raw_fingerprint(text), true);
        };
        let kind = scan.kind;
        let fingerprint = scan.fingerprint;
        if scan.words.is_empty() && scan.tokens.len() < TOKEN_LIMIT && scan.blank {
            return Self { action: StatementAction::Empty, ..Self::known(kind, fingerprint, 0) };
        }
        let state = tokens::mentions_session_state(&scan.words);
        if scan.tokens.len() > TOKEN_LIMIT {
            return Self::unknown(kind, fingerprint, state);
        }
        let parsed = Parser::new(&PostgreSqlDialect {})
            .with_recursion_limit(NESTING_LIMIT)
            .with_tokens_with_locations(scan.tokens)
            .parse_statements();
        let Ok(statements) = parsed else { return Self::unknown(kind, fingerprint, state) };
        let mut profile = Self::known(kind, fingerprint, statements.len());
        let [statement] = statements.as_slice() else {
            profile.merge(&statements, state);
            return profile;
        };
        profile.apply(statement);
        profile
    }

    /// Returns whether the text is known to change no data.
    #[must_use]
    pub const fn is_read(&self) -> bool {
        matches!(self.action, StatementAction::Read | StatementAction::Empty)
    }

    const fn known(kind: Option<SharedName>, fingerprint: u64, statements: usize) -> Self {
        Self {
            action: StatementAction::Write,
            kind,
            fingerprint,
            statements,
            pins: false,
            taints: false,
            ends_transaction: false,
        }
    }

    fn unknown(kind: Option<SharedName>, fingerprint: u64, pins: bool) -> Self {
        Self { pins, taints: true, ends_transaction: true, ..Self::known(kind, fingerprint, 1) }
    }

    fn apply(&mut self, statement: &Statement) {
        let (action, effect) = classify_statement(statement);
        self.action = action;
        self.pins = effect.pins;
        self.taints = effect.pins || effect.taints;
        self.ends_transaction = effect.ends;
    }

    /// Combines several statements; `state` is set if a word in the text indicates session state.
    fn merge(&mut self, statements: &[Statement], state: bool) {
        let mut all_reads = true;
        for statement in statements {
            let (action, effect) = classify_statement(statement);
            all_reads &= action == StatementAction::Read;
            let setting = matches!(
                action,
                StatementAction::Setting { .. }
                    | StatementAction::Reset { .. }
                    | StatementAction::DiscardAll
                    | StatementAction::DeallocateAll
            );
            self.pins |= effect.pins || setting;
            self.taints |= effect.taints;
            self.ends_transaction |= effect.ends;
        }
        self.pins |= state && !all_reads;
        self.taints |= self.pins;
        self.action = if all_reads { StatementAction::Read } else { StatementAction::Write };
    }
}

/// Effects of a statement on the connection rather than on the data.
#[derive(Clone, Copy, Debug, Default)]
struct ConnectionEffect {
    pins: bool,
    taints: bool,
    ends: bool,
}

impl ConnectionEffect {
    const NONE: Self = Self { pins: false, taints: false, ends: false };
    const PINS: Self = Self { pins: true, taints: true, ends: false };
    const TAINTS: Self = Self { pins: false, taints: true, ends: true };
    const ENDS: Self = Self { pins: false, taints: false, ends: true };
}

fn classify_statement(statement: &Statement) -> (StatementAction, ConnectionEffect) {
    use StatementAction as Action;
    match statement {
        Statement::StartTransaction {
            modes, modifier: None, statements, exception: None, ..
        } if statements.is_empty() => {
            (Action::Begin { read_only: is_read_only(modes) }, ConnectionEffect::ENDS)
        }
        Statement::Commit { chain: false, modifier: None, .. } => {
            (Action::Commit, ConnectionEffect::ENDS)
        }
        Statement::Rollback { savepoint: Some(_), chain: false }
        | Statement::Savepoint { .. }
        | Statement::ReleaseSavepoint { .. } => (Action::Savepoint, ConnectionEffect::NONE),
        Statement::Rollback { chain: false, savepoint: None } => {
            (Action::Rollback, ConnectionEffect::ENDS)
        }
        Statement::Commit { .. }
        | Statement::Rollback { .. }
        | Statement::StartTransaction { .. }
        | Statement::Call(_) => (Action::Write, ConnectionEffect::TAINTS),
        Statement::Set(set) => classify_set(set),
        Statement::Reset(statement) => match &statement.reset {
            Reset::ALL => (Action::Reset { name: None }, ConnectionEffect::NONE),
            Reset::ConfigurationParameter(name) => {
                (Action::Reset { name: Some(parameter_name(name)) }, ConnectionEffect::NONE)
            }
            Reset::SessionAuthorization => (Action::Write, ConnectionEffect::PINS),
        },
        Statement::Discard { object_type: DiscardObject::ALL } => {
            (Action::DiscardAll, ConnectionEffect::NONE)
        }
        Statement::Deallocate { name, .. } if name.value.eq_ignore_ascii_case("all") => {
            (Action::DeallocateAll, ConnectionEffect::NONE)
        }
        Statement::Discard { .. }
        | Statement::LISTEN { .. }
        | Statement::UNLISTEN { .. }
        | Statement::Prepare { .. }
        | Statement::Deallocate { .. }
        | Statement::Execute { .. }
        | Statement::Load { .. } => (Action::Write, ConnectionEffect::PINS),
        Statement::CreateTable(table) if table.temporary => (Action::Write, ConnectionEffect::PINS),
        Statement::CreateView(view) if view.temporary => (Action::Write, ConnectionEffect::PINS),
        Statement::CreateSequence { temporary: true, .. } => {
            (Action::Write, ConnectionEffect::PINS)
        }
        Statement::Declare { stmts, .. }
            if stmts.iter().any(|declare| declare.hold == Some(true)) =>
        {
            (Action::Write, ConnectionEffect::PINS)
        }
        _ => reads::classify_data(statement),
    }
}

fn classify_set(set: &Set) -> (StatementAction, ConnectionEffect) {
    match set {
        // These change no data and last at most until the end of the transaction.
        Set::SingleAssignment { scope: Some(ContextModifier::Local), .. }
        | Set::SetRole { context_modifier: Some(ContextModifier::Local), .. }
        | Set::SetTimeZone { local: true, .. }
        | Set::SetTransaction { session: false, .. } => {
            (StatementAction::Read, ConnectionEffect::NONE)
        }
        Set::SingleAssignment { variable, values, .. } => {
            let mut text = String::new();
            for value in values {
                if !text.is_empty() {
                    text.push(',');
                }
                text.push_str(value.to_string().trim_matches(|quote| matches!(quote, '\'' | '"')));
            }
            let name = parameter_name(variable);
            (StatementAction::Setting { name, value: text }, ConnectionEffect::NONE)
        }
        Set::SetNames { charset_name, .. } => {
            let name = "client_encoding".to_owned();
            let value = charset_name.value.trim_matches('\'').to_owned();
            (StatementAction::Setting { name, value }, ConnectionEffect::NONE)
        }
        Set::SetTimeZone { local: false, value } => {
            let name = "timezone".to_owned();
            let value = value.to_string().trim_matches('\'').to_owned();
            (StatementAction::Setting { name, value }, ConnectionEffect::NONE)
        }
        _ => (StatementAction::Write, ConnectionEffect::PINS),
    }
}

fn parameter_name(name: &ObjectName) -> String {
    let mut text = String::new();
    for part in &name.0 {
        if !text.is_empty() {
            text.push('.');
        }
        match part.as_ident() {
            Some(ident) => text.push_str(&ident.value),
            None => text.push_str(&part.to_string()),
        }
    }
    text.make_ascii_lowercase();
    text
}

fn is_read_only(modes: &[TransactionMode]) -> bool {
    let mut read_only = false;
    for mode in modes {
        if let TransactionMode::AccessMode(access) = mode {
            read_only = *access == TransactionAccessMode::ReadOnly;
        }
    }
    read_only
}
