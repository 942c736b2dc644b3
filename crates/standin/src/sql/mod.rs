//! SQL over tables in memory.

pub mod admin;
pub mod bind;
pub mod cursor;
pub mod define;
pub mod evaluate;
pub mod expression;
pub mod function;
pub mod plan;
pub mod query;
pub mod typing;
pub mod write;

use {
    crate::error::SqlError,
    sqlparser::{
        ast::{Ident, ObjectName, ObjectNamePart, Statement},
        dialect::PostgreSqlDialect,
        parser::Parser,
    },
};

/// Parses the statements of a query text.
///
/// # Errors
///
/// Returns 42601 if the text is not valid.
pub fn parse(text: &str) -> Result<Vec<Statement>, SqlError> {
    Parser::parse_sql(&PostgreSqlDialect {}, text)
        .map_err(|error| SqlError::new("42601", error.to_string()))
}

/// Returns a name as PostgreSQL folds it.
pub fn fold(ident: &Ident) -> String {
    if ident.quote_style.is_some() { ident.value.clone() } else { ident.value.to_lowercase() }
}

/// Returns the last part of a name; the only schemas are `public` and `pg_catalog`.
///
/// # Errors
///
/// Returns 0A000 or 3F000 if the name is not a plain one.
pub fn simple_name(name: &ObjectName) -> Result<String, SqlError> {
    let mut parts = Vec::new();
    for part in &name.0 {
        let ObjectNamePart::Identifier(ident) = part else {
            return Err(SqlError::unsupported(format!("the name {name}")));
        };
        parts.push(fold(ident));
    }
    match parts.as_slice() {
        [name] => Ok(name.clone()),
        [schema, name] if schema == "public" || schema == "pg_catalog" => Ok(name.clone()),
        [schema, _] => Err(SqlError::new("3F000", format!("schema \"{schema}\" does not exist"))),
        _ => Err(SqlError::unsupported(format!("the name {name}"))),
    }
}
