//! Statements that write.

use {
    super::{
        bind::{ExpressionBinder, ParameterTypes},
        cursor::{QueryCursor, RowScan, StatementInput},
        evaluate::{RowContext, convert, evaluate, holds},
        expression::{BoundExpression, ExpressionNode},
        fold,
        plan::{ChangePlan, InsertPlan, InsertSource, QueryPlan, QuerySource, RowFilter},
        query::{bind_filter, bind_returning, bind_table, table_scope},
        simple_name,
        typing::assign,
    },
    crate::{
        error::{SqlError, StatementHalt},
        locks::LockName,
        store::{DataStore, OpenTransaction, StatementWrites},
        table::TableSchema,
        value::{SharedRow, Value},
    },
    sqlparser::ast::{
        AssignmentTarget, ConflictTarget, Delete, Expr, FromTable, Insert, ObjectName,
        OnConflictAction, OnInsert, Query, SetExpr, TableObject, Update,
    },
    std::{cell::Cell, sync::Arc},
};

/// Rows of `RETURNING` and the number of rows written.
pub type WriteResult = (Vec<Vec<Value>>, u64);

/// Binds `INSERT`.
///
/// # Errors
///
/// Returns an error if a name is unknown, types do not fit or a clause is not supported.
pub fn bind_insert(
    insert: &Insert,
    data: &DataStore,
    transaction: &OpenTransaction,
    parameters: &mut ParameterTypes,
) -> Result<InsertPlan, SqlError> {
    let plain = insert.table_alias.is_none()
        && insert.assignments.is_empty()
        && insert.partitioned.is_none()
        && insert.after_columns.is_empty()
        && insert.overriding.is_none()
        && insert.output.is_none()
        && insert.insert_alias.is_none()
        && !insert.overwrite
        && !insert.replace_into
        && !insert.by_name;
    let TableObject::TableName(name) = &insert.table else {
        return Err(SqlError::unsupported("INSERT into anything but a table"));
    };
    if !plain {
        return Err(SqlError::unsupported(format!("the statement {insert}")));
    }
    let schema = data.schema(transaction, &simple_name(name)?)?;
    let skip = bind_conflict(insert.on.as_ref(), &schema)?;
    let mut targets = Vec::new();
    for column in &insert.columns {
        let index = target_column(&schema, column)?;
        if targets.contains(&index) {
            let message = format!("column \"{column}\" specified more than once");
            return Err(SqlError::new("42701", message));
        }
        targets.push(index);
    }
    let named = !targets.is_empty();
    if !named {
        targets = (0..schema.columns.len()).collect();
    }
    let source = match &insert.source {
        None => InsertSource::Rows(vec![Vec::new()]),
        Some(query) => {
            bind_values(query, &schema, &mut targets, named, data, transaction, parameters)?
        }
    };
    let scope = table_scope(&schema);
    let returning = bind_returning(insert.returning.as_deref(), &scope, parameters)?;
    Ok(InsertPlan { schema, targets, source, skip, returning })
}

fn bind_values(
    query: &Query,
    schema: &TableSchema,
    targets: &mut Vec<usize>,
    named: bool,
    data: &DataStore,
    transaction: &OpenTransaction,
    parameters: &mut ParameterTypes,
) -> Result<InsertSource, SqlError> {
    let SetExpr::Values(values) = &*query.body else {
        let mut plan = super::query::bind(query, data, transaction, parameters)?;
        if plan.lock {
            return Err(SqlError::unsupported("INSERT from SELECT FOR UPDATE"));
        }
        fit_targets(targets, named, plan.projection.len())?;
        let mut projection = Vec::with_capacity(targets.len());
        for (expression, target) in plan.projection.into_iter().zip(targets.iter()) {
            let column = &schema.columns[*target];
            projection.push(assign(expression, column.kind, &column.name)?);
        }
        plan.projection = projection;
        return Ok(InsertSource::Query(Box::new(plan)));
    };
    let plain = query.with.is_none()
        && query.order_by.is_none()
        && query.limit_clause.is_none()
        && query.fetch.is_none()
        && query.locks.is_empty();
    if !plain {
        return Err(SqlError::unsupported("a clause after VALUES"));
    }
    let scope = super::bind::ColumnScope::default();
    let mut rows = Vec::with_capacity(values.rows.len());
    let width = values.rows.first().map_or(0, |row| row.content.len());
    fit_targets(targets, named, width)?;
    for values in &values.rows {
        if values.content.len() != width {
            return Err(SqlError::new("42601", "VALUES lists must all be the same length"));
        }
        let mut row = Vec::with_capacity(targets.len());
        for (expression, target) in values.content.iter().zip(targets.iter()) {
            let column = &schema.columns[*target];
            if is_default(expression) {
                row.push(None);
                continue;
            }
            let mut binder = ExpressionBinder::new(&scope, parameters);
            row.push(Some(binder.bind_as(expression, column.kind, &column.name)?));
        }
        rows.push(row);
    }
    Ok(InsertSource::Rows(rows))
}

/// Returns the unique constraints of `ON CONFLICT DO NOTHING`.
fn bind_conflict(clause: Option<&OnInsert>, schema: &TableSchema) -> Result<Vec<usize>, SqlError> {
    let conflict = match clause {
        None => return Ok(Vec::new()),
        Some(OnInsert::OnConflict(conflict))
            if matches!(conflict.action, OnConflictAction::DoNothing) =>
        {
            conflict
        }
        Some(_) => return Err(SqlError::unsupported("ON CONFLICT other than DO NOTHING")),
    };
    let wanted = match &conflict.conflict_target {
        None => return Ok((0..schema.uniques.len()).collect()),
        Some(ConflictTarget::Columns { columns, predicate: None }) => columns,
        Some(other) => return Err(SqlError::unsupported(format!("the conflict target {other}"))),
    };
    let mut columns = Vec::with_capacity(wanted.len());
    for ident in wanted {
        let name = fold(ident);
        columns.push(
            schema.column(&name).ok_or_else(|| {
                SqlError::new("42703", format!("column \"{name}\" does not exist"))
            })?,
        );
    }
    columns.sort_unstable();
    let mut skip = Vec::new();
    for (index, unique) in schema.uniques.iter().enumerate() {
        let mut own = unique.columns.clone();
        own.sort_unstable();
        if own == columns {
            skip.push(index);
        }
    }
    if skip.is_empty() {
        let message = "there is no unique constraint matching the ON CONFLICT specification";
        return Err(SqlError::new("42P10", message));
    }
    Ok(skip)
}

/// Cuts the targets to the number of values, which may be smaller if no columns are named.
fn fit_targets(targets: &mut Vec<usize>, named: bool, given: usize) -> Result<(), SqlError> {
    if given > targets.len() {
        return Err(SqlError::new("42601", "INSERT has more expressions than target columns"));
    }
    if named && given < targets.len() {
        return Err(SqlError::new("42601", "INSERT has more target columns than expressions"));
    }
    targets.truncate(given);
    Ok(())
}

/// Binds `UPDATE`.
///
/// # Errors
///
/// As [`bind_insert`].
pub fn bind_update(
    update: &Update,
    data: &DataStore,
    transaction: &OpenTransaction,
    parameters: &mut ParameterTypes,
) -> Result<ChangePlan, SqlError> {
    let plain = update.from.is_none()
        && update.output.is_none()
        && update.or.is_none()
        && update.order_by.is_empty()
        && update.limit.is_none();
    if !plain {
        return Err(SqlError::unsupported(format!("the statement {update}")));
    }
    let (schema, scope) = bind_table(&update.table, data, transaction)?;
    let mut assignments: Vec<(usize, BoundExpression)> = Vec::new();
    for assignment in &update.assignments {
        let AssignmentTarget::ColumnName(name) = &assignment.target else {
            return Err(SqlError::unsupported(format!("the assignment {assignment}")));
        };
        let index = target_column(&schema, name)?;
        let column = &schema.columns[index];
        if assignments.iter().any(|(other, _)| *other == index) {
            let message = format!("multiple assignments to same column \"{}\"", column.name);
            return Err(SqlError::new("42601", message));
        }
        let value = if is_default(&assignment.value) {
            if column.serial {
                return Err(SqlError::unsupported("UPDATE of a serial column to DEFAULT"));
            }
            let default = column.default.clone().unwrap_or(Value::Null);
            BoundExpression::new(ExpressionNode::Constant(default), column.kind)
        } else {
            let mut binder = ExpressionBinder::new(&scope, parameters);
            binder.bind_as(&assignment.value, column.kind, &column.name)?
        };
        assignments.push((index, value));
    }
    let filter = bind_filter(update.selection.as_ref(), Some(&schema), &scope, parameters)?;
    let returning = bind_returning(update.returning.as_deref(), &scope, parameters)?;
    Ok(ChangePlan { schema, assignments: Some(assignments), filter, returning })
}

/// Binds `DELETE`.
///
/// # Errors
///
/// As [`bind_insert`].
pub fn bind_delete(
    delete: &Delete,
    data: &DataStore,
    transaction: &OpenTransaction,
    parameters: &mut ParameterTypes,
) -> Result<ChangePlan, SqlError> {
    let plain = delete.tables.is_empty()
        && delete.using.is_none()
        && delete.output.is_none()
        && delete.order_by.is_empty()
        && delete.limit.is_none();
    let FromTable::WithFromKeyword(from) = &delete.from else {
        return Err(SqlError::unsupported(format!("the statement {delete}")));
    };
    let ([table], true) = (from.as_slice(), plain) else {
        return Err(SqlError::unsupported(format!("the statement {delete}")));
    };
    let (schema, scope) = bind_table(table, data, transaction)?;
    let filter = bind_filter(delete.selection.as_ref(), Some(&schema), &scope, parameters)?;
    let returning = bind_returning(delete.returning.as_deref(), &scope, parameters)?;
    Ok(ChangePlan { schema, assignments: None, filter, returning })
}

fn target_column(schema: &TableSchema, name: &ObjectName) -> Result<usize, SqlError> {
    let name = simple_name(name)?;
    schema.column(&name).ok_or_else(|| {
        let message = format!("column \"{name}\" of relation \"{}\" does not exist", schema.name);
        SqlError::new("42703", message)
    })
}

fn is_default(expression: &Expr) -> bool {
    matches!(expression, Expr::Identifier(ident) if ident.quote_style.is_none() && fold(ident) == "default")
}

/// Runs `INSERT`.
///
/// # Errors
///
/// Returns a halt if a row breaks a constraint or a lock is held by another transaction.
pub fn insert(
    plan: &InsertPlan,
    input: &StatementInput,
    data: &mut DataStore,
    transaction: &mut OpenTransaction,
    sleep: &Cell<f64>,
) -> Result<WriteResult, StatementHalt> {
    let context = input.context(sleep);
    let schema = &plan.schema;
    let created = transaction.created.values().any(|created| created.id == schema.id);
    if !created && !data.tables.contains_key(&schema.id) {
        let message = format!("relation \"{}\" does not exist", schema.name);
        return Err(SqlError::new("42P01", message).into());
    }
    let mut writes = StatementWrites::new(schema.clone());
    let mut result = (Vec::new(), 0);
    for given in insert_rows(plan, input, data, transaction, sleep)? {
        let mut row = Vec::with_capacity(schema.columns.len());
        for (index, column) in schema.columns.iter().enumerate() {
            let position = plan.targets.iter().position(|target| *target == index);
            let value = position.and_then(|position| given.get(position)).cloned().flatten();
            row.push(match value {
                Some(value) => value,
                None if column.serial => data.next_number(transaction, schema, index)?,
                None => column.default.clone().unwrap_or(Value::Null),
            });
        }
        let row = checked_row(schema, row)?;
        let id = data.allocate_row();
        if !writes.put(id, None, Some(row.clone()), &plan.skip, data, transaction)? {
            continue;
        }
        result.1 += 1;
        if !plan.returning.columns.is_empty() {
            result.0.push(plan.returning.row(&row, &context)?);
        }
    }
    writes.finish(transaction);
    Ok(result)
}

/// Returns the values of an `INSERT` in the order of its targets; `None` is the default.
fn insert_rows(
    plan: &InsertPlan,
    input: &StatementInput,
    data: &DataStore,
    transaction: &OpenTransaction,
    sleep: &Cell<f64>,
) -> Result<Vec<Vec<Option<Value>>>, SqlError> {
    let context = input.context(sleep);
    let mut rows = Vec::new();
    match &plan.source {
        InsertSource::Rows(expressions) => {
            for row in expressions {
                let mut values = Vec::with_capacity(row.len());
                for expression in row {
                    let value =
                        expression.as_ref().map(|expression| evaluate(expression, &[], &context));
                    values.push(value.transpose()?);
                }
                rows.push(values);
            }
        }
        InsertSource::Query(query) => {
            if matches!(query.source, QuerySource::Status) {
                return Err(SqlError::unsupported("INSERT from group_status()"));
            }
            let plan = Arc::new((**query).clone());
            let status = SharedRow::from([]);
            let mut cursor = QueryCursor::open(plan, input.clone(), status, data, transaction)?;
            while !cursor.is_done() {
                cursor.step(data, sleep)?;
                while let Some(row) = cursor.take() {
                    rows.push(row.into_iter().map(Some).collect());
                }
            }
        }
    }
    Ok(rows)
}

/// Runs `UPDATE` or `DELETE`.
///
/// # Errors
///
/// As [`insert`]; also a halt if a row changed after the snapshot.
pub fn change(
    plan: &ChangePlan,
    input: &StatementInput,
    data: &mut DataStore,
    transaction: &mut OpenTransaction,
    sleep: &Cell<f64>,
) -> Result<WriteResult, StatementHalt> {
    let context = input.context(sleep);
    let schema = &plan.schema;
    let mut writes = StatementWrites::new(schema.clone());
    let mut result = (Vec::new(), 0);
    for (id, old) in locked_rows(schema, &plan.filter, data, transaction, &context)? {
        let new = match &plan.assignments {
            None => None,
            Some(assignments) => {
                let mut row = old.to_vec();
                for (column, expression) in assignments {
                    row[*column] = evaluate(expression, &old, &context)?;
                }
                Some(checked_row(schema, row)?)
            }
        };
        writes.put(id, Some(&old), new.clone(), &[], data, transaction)?;
        result.1 += 1;
        if !plan.returning.columns.is_empty() {
            result.0.push(plan.returning.row(new.as_ref().unwrap_or(&old), &context)?);
        }
    }
    writes.finish(transaction);
    Ok(result)
}

/// Runs `SELECT ... FOR UPDATE` and locks the rows of its result.
///
/// # Errors
///
/// As [`change`].
pub fn select_locked(
    plan: &Arc<QueryPlan>,
    input: StatementInput,
    data: &mut DataStore,
    transaction: &OpenTransaction,
    sleep: &Cell<f64>,
) -> Result<Vec<Vec<Value>>, StatementHalt> {
    let QuerySource::Table(schema) = &plan.source else { return Ok(Vec::new()) };
    let status = SharedRow::from([]);
    let mut cursor = QueryCursor::open(plan.clone(), input, status, data, transaction)?;
    let mut rows = Vec::new();
    while !cursor.is_done() {
        cursor.step(data, sleep)?;
        while let Some((id, row)) = cursor.take_found() {
            if let Some(id) = id {
                lock_row(schema, id, data, transaction)?;
            }
            rows.push(row);
        }
    }
    Ok(rows)
}

fn locked_rows(
    schema: &TableSchema,
    filter: &RowFilter,
    data: &mut DataStore,
    transaction: &OpenTransaction,
    context: &RowContext<'_>,
) -> Result<Vec<(u64, SharedRow)>, StatementHalt> {
    let overlay = transaction.writes.get(&schema.id);
    let mut scan = RowScan::open(schema, filter, data, transaction, context)?;
    let mut rows = Vec::new();
    while let Some((id, row)) = scan.next(data, overlay)? {
        if holds(filter.condition.as_ref(), &row, context)? {
            rows.push((id, row));
        }
    }
    for (id, _) in &rows {
        lock_row(schema, *id, data, transaction)?;
    }
    Ok(rows)
}

fn lock_row(
    schema: &TableSchema,
    id: u64,
    data: &mut DataStore,
    transaction: &OpenTransaction,
) -> Result<(), StatementHalt> {
    data.locks.acquire(transaction.id, LockName::Row(schema.id, id))?;
    let latest = data.tables.get(&schema.id).map_or(0, |rows| rows.latest_offset(id));
    if latest > transaction.snapshot.position.offset {
        return Err(StatementHalt::Stale);
    }
    Ok(())
}

fn checked_row(schema: &TableSchema, row: Vec<Value>) -> Result<SharedRow, SqlError> {
    let mut checked = Vec::with_capacity(row.len());
    for (value, column) in row.into_iter().zip(&schema.columns) {
        if value.is_null() && column.not_null {
            let message = format!(
                "null value in column \"{}\" of relation \"{}\" violates not-null constraint",
                column.name, schema.name
            );
            return Err(SqlError::new("23502", message));
        }
        checked.push(convert(value, column.kind)?);
    }
    Ok(checked.into())
}
