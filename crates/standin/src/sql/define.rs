//! Table definitions.

use {
    super::{
        bind::{ColumnScope, ExpressionBinder, ParameterTypes},
        evaluate::{RowContext, SessionFacts, evaluate},
        fold, simple_name,
        typing::column_type,
    },
    crate::{
        error::SqlError,
        table::{ColumnSpec, TableSchema, UniqueSpec},
        value::{ColumnType, Value},
    },
    sqlparser::ast::{
        ColumnDef, ColumnOption, CreateTable, CreateTableOptions, DataType, Expr, IndexColumn,
        ObjectType, Statement, TableConstraint,
    },
    std::{cell::Cell, sync::Arc},
};

/// Returns the definition of a new table; its number is set when it is created.
///
/// # Errors
///
/// Returns an error if the definition is contradictory or uses what the stand-in does not have.
pub fn table_schema(create: &CreateTable) -> Result<TableSchema, SqlError> {
    check_create(create)?;
    let mut schema = TableSchema {
        id: 0,
        name: simple_name(&create.name)?,
        columns: Vec::with_capacity(create.columns.len()),
        uniques: Vec::new(),
    };
    for definition in &create.columns {
        add_column(&mut schema, definition)?;
    }
    for constraint in &create.constraints {
        match constraint {
            TableConstraint::PrimaryKey(key) => {
                let columns = key_columns(&schema, &key.columns)?;
                add_unique(&mut schema, columns, true)?;
            }
            TableConstraint::Unique(key) => {
                let columns = key_columns(&schema, &key.columns)?;
                add_unique(&mut schema, columns, false)?;
            }
            other => return Err(SqlError::unsupported(format!("the constraint {other}"))),
        }
    }
    Ok(schema)
}

/// Checks that a `DROP` concerns tables only.
///
/// # Errors
///
/// Returns 0A000 if not.
pub fn check_drop(statement: &Statement) -> Result<(), SqlError> {
    let Statement::Drop { object_type, cascade, purge, temporary, table, .. } = statement else {
        return Err(SqlError::unsupported(format!("the statement {statement}")));
    };
    let plain =
        *object_type == ObjectType::Table && !*cascade && !*purge && !*temporary && table.is_none();
    if plain { Ok(()) } else { Err(SqlError::unsupported(format!("the statement {statement}"))) }
}

fn check_create(create: &CreateTable) -> Result<(), SqlError> {
    let plain = !create.or_replace
        && !create.temporary
        && !create.unlogged
        && !create.external
        && create.query.is_none()
        && create.like.is_none()
        && create.clone.is_none()
        && create.on_commit.is_none()
        && create.partition_by.is_none()
        && create.partition_of.is_none()
        && create.inherits.is_none()
        && create.table_options == CreateTableOptions::None;
    if plain { Ok(()) } else { Err(SqlError::unsupported(format!("the statement {create}"))) }
}

fn add_column(schema: &mut TableSchema, definition: &ColumnDef) -> Result<(), SqlError> {
    let name = fold(&definition.name);
    if schema.column(&name).is_some() {
        let message = format!("column \"{name}\" specified more than once");
        return Err(SqlError::new("42701", message));
    }
    let serial = serial_type(&definition.data_type);
    let kind = match serial {
        Some(kind) => kind,
        None => column_type(&definition.data_type)?,
    };
    if matches!(kind, ColumnType::Float8 | ColumnType::Void) {
        return Err(SqlError::unsupported(format!("a column of type {kind}")));
    }
    let mut column = ColumnSpec {
        name,
        kind,
        not_null: serial.is_some(),
        default: None,
        serial: serial.is_some(),
    };
    let index = schema.columns.len();
    let mut keys = Vec::new();
    for option in &definition.options {
        match &option.option {
            ColumnOption::Null => {}
            ColumnOption::NotNull => column.not_null = true,
            ColumnOption::Default(value) => column.default = Some(constant(value, kind)?),
            ColumnOption::PrimaryKey(_) => keys.push(true),
            ColumnOption::Unique(_) => keys.push(false),
            other => return Err(SqlError::unsupported(format!("the column option {other}"))),
        }
    }
    schema.columns.push(column);
    for primary in keys {
        add_unique(schema, vec![index], primary)?;
    }
    Ok(())
}

fn add_unique(
    schema: &mut TableSchema,
    columns: Vec<usize>,
    primary: bool,
) -> Result<(), SqlError> {
    let mut name = schema.name.clone();
    if primary {
        for &column in &columns {
            schema.columns[column].not_null = true;
        }
        name.push_str("_pkey");
        if schema.uniques.iter().any(|unique| unique.name == name) {
            let message = format!("multiple primary keys for table \"{}\"", schema.name);
            return Err(SqlError::new("42P16", message));
        }
    } else {
        for &column in &columns {
            name.push('_');
            name.push_str(&schema.columns[column].name);
        }
        name.push_str("_key");
    }
    schema.uniques.push(UniqueSpec { name, columns });
    Ok(())
}

fn key_columns(schema: &TableSchema, keys: &[IndexColumn]) -> Result<Vec<usize>, SqlError> {
    let mut columns = Vec::with_capacity(keys.len());
    for key in keys {
        let Expr::Identifier(ident) = &key.column.expr else {
            return Err(SqlError::unsupported(format!("the key {}", key.column)));
        };
        let name = fold(ident);
        let column = schema.column(&name).ok_or_else(|| {
            SqlError::new("42703", format!("column \"{name}\" named in key does not exist"))
        })?;
        columns.push(column);
    }
    Ok(columns)
}

fn serial_type(name: &DataType) -> Option<ColumnType> {
    match name.to_string().to_ascii_lowercase().as_str() {
        "serial" | "serial4" => Some(ColumnType::Int4),
        "bigserial" | "serial8" => Some(ColumnType::Int8),
        _ => None,
    }
}

fn constant(expression: &Expr, kind: ColumnType) -> Result<Value, SqlError> {
    let scope = ColumnScope::default();
    let mut parameters = ParameterTypes::default();
    let mut binder = ExpressionBinder::new(&scope, &mut parameters);
    let bound = binder.bind_as(expression, kind, "default")?;
    if !parameters.kinds.is_empty() {
        return Err(SqlError::new("42P02", "there are no parameters in a default"));
    }
    let facts = SessionFacts { recovery: false, pid: 0, database: Arc::from("") };
    let sleep = Cell::new(0.0);
    let context = RowContext { parameters: &[], aggregates: &[], facts: &facts, sleep: &sleep };
    evaluate(&bound, &[], &context)
}
