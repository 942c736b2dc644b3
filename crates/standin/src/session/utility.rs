//! Transaction control, settings and other statements without data.

use {
    super::{CallerSession, TransactionBlock},
    crate::{
        error::SqlError,
        sql::{fold, plan::OutputColumn, simple_name},
        value::{ColumnType, Value},
    },
    sqlparser::ast::{
        ContextModifier, DiscardObject, Expr, Ident, ObjectName, Reset, Set, Statement,
        TransactionAccessMode, TransactionIsolationLevel, TransactionMode, Value as Literal,
    },
};

/// Rows and tag of a statement.
pub type UtilityResult = (Vec<Vec<Value>>, String);

/// Returns the result columns of a statement that does not concern data, or nothing for others.
pub fn utility_columns(statement: &Statement) -> Option<Vec<OutputColumn>> {
    match statement {
        Statement::ShowVariable { variable } => {
            let name = variable_name(variable);
            Some(vec![OutputColumn { name, kind: ColumnType::Text }])
        }
        Statement::StartTransaction { .. }
        | Statement::Commit { .. }
        | Statement::Rollback { .. }
        | Statement::Set(_)
        | Statement::Reset(_)
        | Statement::Discard { .. }
        | Statement::Deallocate { .. } => Some(Vec::new()),
        _ => None,
    }
}

impl CallerSession {
    /// Checks that a statement may run in a failed transaction block.
    pub(super) fn check_block(&self, statement: &Statement) -> Result<(), SqlError> {
        let ends = matches!(statement, Statement::Commit { .. } | Statement::Rollback { .. });
        if self.block != TransactionBlock::Failed || ends {
            return Ok(());
        }
        let message =
            "current transaction is aborted, commands ignored until end of transaction block";
        Err(SqlError::new("25P02", message))
    }

    /// Runs a statement that does not concern data.
    pub(super) fn run_utility(&mut self, statement: &Statement) -> Result<UtilityResult, SqlError> {
        self.check_block(statement)?;
        match statement {
            Statement::StartTransaction {
                modes, begin, modifier, statements, exception, ..
            } => {
                if modifier.is_some() || !statements.is_empty() || exception.is_some() {
                    return Err(SqlError::unsupported(format!("the statement {statement}")));
                }
                let read_only = read_only_mode(modes)?;
                if self.block == TransactionBlock::Idle {
                    let read_only = read_only.unwrap_or(self.variables.default_read_only());
                    self.begin_block(read_only);
                }
                Ok(done(if *begin { "BEGIN" } else { "START TRANSACTION" }))
            }
            Statement::Commit { chain: false, modifier: None, .. } => {
                Ok(done(if self.end_block(true)? { "COMMIT" } else { "ROLLBACK" }))
            }
            Statement::Rollback { chain: false, savepoint: None } => {
                self.end_block(false)?;
                Ok(done("ROLLBACK"))
            }
            Statement::Set(set) => {
                self.set(set)?;
                Ok(done("SET"))
            }
            Statement::Reset(reset) => {
                match &reset.reset {
                    Reset::ALL => self.variables.reset(),
                    Reset::ConfigurationParameter(name) => {
                        self.variables.set(&setting_name(name)?, None, false)?;
                    }
                    Reset::SessionAuthorization => {
                        return Err(SqlError::unsupported("RESET SESSION AUTHORIZATION"));
                    }
                }
                Ok(done("RESET"))
            }
            Statement::ShowVariable { variable } => self.show(variable),
            Statement::Discard { object_type } => self.discard(object_type),
            Statement::Deallocate { name, .. } => {
                if name.quote_style.is_none() && name.value.eq_ignore_ascii_case("all") {
                    self.statements.clear();
                    return Ok(done("DEALLOCATE ALL"));
                }
                let name = fold(name);
                if self.statements.remove(&name).is_none() {
                    let message = format!("prepared statement \"{name}\" does not exist");
                    return Err(SqlError::new("26000", message));
                }
                Ok(done("DEALLOCATE"))
            }
            other => Err(SqlError::unsupported(format!("the statement {other}"))),
        }
    }

    fn set(&mut self, set: &Set) -> Result<(), SqlError> {
        match set {
            Set::SingleAssignment { scope, hivevar: false, variable, values } => {
                let local = match scope {
                    None | Some(ContextModifier::Session) => false,
                    Some(ContextModifier::Local) => true,
                    Some(_) => return Err(SqlError::unsupported(format!("the statement {set}"))),
                };
                let value = setting_value(values)?;
                self.variables.set(&setting_name(variable)?, value, local)
            }
            Set::SetTimeZone { local, value } => {
                let value = setting_value(std::slice::from_ref(value))?;
                self.variables.set("timezone", value, *local)
            }
            Set::SetNames { charset_name, collation_name: None } => {
                self.variables.set("client_encoding", Some(charset_name.value.clone()), false)
            }
            Set::SetTransaction { modes, snapshot: None, session: false } => {
                let Some(read_only) = read_only_mode(modes)? else { return Ok(()) };
                if self.block == TransactionBlock::Idle {
                    return Ok(());
                }
                let used = self.transaction.as_ref().is_some_and(|transaction| transaction.used);
                if used && !read_only && self.block_read_only {
                    let message = "transaction read-write mode must be set before any query";
                    return Err(SqlError::new("25001", message));
                }
                self.block_read_only = read_only;
                if let Some(transaction) = &mut self.transaction {
                    transaction.read_only = read_only;
                }
                Ok(())
            }
            Set::SetTransaction { modes, snapshot: None, session: true } => {
                let Some(read_only) = read_only_mode(modes)? else { return Ok(()) };
                let value = if read_only { "on" } else { "off" };
                self.variables.set("default_transaction_read_only", Some(value.to_owned()), false)
            }
            other => Err(SqlError::unsupported(format!("the statement {other}"))),
        }
    }

    fn show(&self, variable: &[Ident]) -> Result<UtilityResult, SqlError> {
        let name = variable_name(variable);
        let value = match name.as_str() {
            "transaction_read_only" => {
                let block = self.block != TransactionBlock::Idle && self.block_read_only;
                let replica = self.shared.read().role != crate::group::GroupRole::Primary;
                let read_only = replica || block || self.variables.default_read_only();
                (if read_only { "on" } else { "off" }).to_owned()
            }
            "all" => return Err(SqlError::unsupported("SHOW ALL")),
            name => self.variables.get(name)?,
        };
        Ok((vec![vec![Value::text(&value)]], "SHOW".to_owned()))
    }

    fn discard(&mut self, object: &DiscardObject) -> Result<UtilityResult, SqlError> {
        match object {
            DiscardObject::ALL => {
                if self.block != TransactionBlock::Idle {
                    let message = "DISCARD ALL cannot run inside a transaction block";
                    return Err(SqlError::new("25001", message));
                }
                self.statements.clear();
                self.portals.clear();
                self.variables.reset();
                Ok(done("DISCARD ALL"))
            }
            // There are no kept plans, sequence values or temporary tables to discard.
            DiscardObject::PLANS => Ok(done("DISCARD PLANS")),
            DiscardObject::SEQUENCES => Ok(done("DISCARD SEQUENCES")),
            DiscardObject::TEMP => Ok(done("DISCARD TEMP")),
        }
    }
}

fn done(tag: &str) -> UtilityResult {
    (Vec::new(), tag.to_owned())
}

fn read_only_mode(modes: &[TransactionMode]) -> Result<Option<bool>, SqlError> {
    let mut read_only = None;
    for mode in modes {
        match mode {
            TransactionMode::AccessMode(TransactionAccessMode::ReadOnly) => read_only = Some(true),
            TransactionMode::AccessMode(TransactionAccessMode::ReadWrite) => {
                read_only = Some(false);
            }
            // Each of these is no stronger than a snapshot of the whole transaction.
            TransactionMode::IsolationLevel(
                TransactionIsolationLevel::ReadUncommitted
                | TransactionIsolationLevel::ReadCommitted
                | TransactionIsolationLevel::RepeatableRead
                | TransactionIsolationLevel::Snapshot,
            ) => {}
            TransactionMode::IsolationLevel(TransactionIsolationLevel::Serializable) => {
                return Err(SqlError::unsupported("the isolation level SERIALIZABLE"));
            }
        }
    }
    Ok(read_only)
}

fn variable_name(parts: &[Ident]) -> String {
    let mut names = Vec::new();
    for part in parts {
        names.push(part.value.to_lowercase());
    }
    match names.join(".").as_str() {
        "time.zone" | "timezone" => "timezone".to_owned(),
        "transaction.isolation.level" => "transaction_isolation".to_owned(),
        name => name.to_owned(),
    }
}

fn setting_name(name: &ObjectName) -> Result<String, SqlError> {
    // A name with a dot is an application's own setting, not one of a schema.
    match simple_name(name) {
        Ok(name) => Ok(name.to_lowercase()),
        Err(_) => Ok(name.to_string().to_lowercase()),
    }
}

fn setting_value(values: &[Expr]) -> Result<Option<String>, SqlError> {
    let mut texts = Vec::with_capacity(values.len());
    for value in values {
        let text = match value {
            Expr::Value(literal) => match &literal.value {
                Literal::SingleQuotedString(text) | Literal::DoubleQuotedString(text) => {
                    text.clone()
                }
                Literal::Placeholder(_) => {
                    return Err(SqlError::new("42601", "SET takes no parameters"));
                }
                other => other.to_string(),
            },
            Expr::Identifier(ident) => ident.value.clone(),
            other => other.to_string(),
        };
        texts.push(text);
    }
    if let [text] = texts.as_slice()
        && text.eq_ignore_ascii_case("default")
    {
        return Ok(None);
    }
    Ok(Some(texts.join(", ")))
}
