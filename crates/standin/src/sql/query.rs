//! Binding of queries.

use {
    super::{
        bind::{ColumnScope, ExpressionBinder, ParameterTypes},
        expression::{BoundExpression, CompareOperator, ExpressionNode},
        fold,
        plan::{
            IndexLookup, OutputColumn, QueryPlan, QuerySource, ReturningPlan, RowFilter, SortKey,
            SortValue,
        },
        simple_name,
        typing::column_type,
    },
    crate::{
        error::SqlError,
        store::{DataStore, OpenTransaction},
        table::TableSchema,
        value::{ColumnType, Value},
    },
    sqlparser::ast::{
        Expr, FunctionArg, FunctionArgExpr, GroupByExpr, LimitClause, LockType, OrderByExpr,
        OrderByKind, OrderBySort, Query, Select, SelectItem, SelectItemQualifiedWildcardKind,
        SetExpr, TableAlias, TableFactor, TableWithJoins, Value as Literal,
        WildcardAdditionalOptions,
    },
    std::sync::Arc,
};

/// Columns of `group_status()`.
pub const STATUS_COLUMNS: [(&str, ColumnType); 10] = [
    ("role", ColumnType::Text),
    ("term", ColumnType::Int8),
    ("position", ColumnType::Text),
    ("received", ColumnType::Text),
    ("replayed_at_ms", ColumnType::Int8),
    ("lag_ms", ColumnType::Int8),
    ("max_running", ColumnType::Int8),
    ("max_connections", ColumnType::Int8),
    ("last_statement_ms", ColumnType::Int8),
    ("refused_connections", ColumnType::Int8),
];

/// Binds a query.
///
/// # Errors
///
/// Returns an error if a name is unknown, types do not fit or a clause is not supported.
pub fn bind(
    query: &Query,
    data: &DataStore,
    transaction: &OpenTransaction,
    parameters: &mut ParameterTypes,
) -> Result<QueryPlan, SqlError> {
    let plain = query.with.is_none()
        && query.fetch.is_none()
        && query.for_clause.is_none()
        && query.settings.is_none()
        && query.format_clause.is_none()
        && query.pipe_operators.is_empty();
    let select = match &*query.body {
        SetExpr::Select(select) if plain => select,
        SetExpr::Query(inner)
            if plain && query.order_by.is_none() && query.limit_clause.is_none() =>
        {
            return bind(inner, data, transaction, parameters);
        }
        _ => return Err(SqlError::unsupported(format!("the query {query}"))),
    };
    check_select(select)?;
    let (source, scope) = bind_source(&select.from, data, transaction, parameters)?;
    let schema = match &source {
        QuerySource::Table(schema) => Some(schema.clone()),
        _ => None,
    };
    let filter = bind_filter(select.selection.as_ref(), schema.as_deref(), &scope, parameters)?;
    let group = bind_group(&select.group_by, &scope, parameters)?;
    let mut binder = ExpressionBinder::new(&scope, parameters);
    binder.aggregates = Some(Vec::new());
    let (columns, projection) = bind_projection(&select.projection, &mut binder)?;
    let mut order = Vec::new();
    if let Some(clause) = &query.order_by {
        let OrderByKind::Expressions(items) = &clause.kind else {
            return Err(SqlError::unsupported("ORDER BY ALL"));
        };
        for item in items {
            order.push(bind_sort(item, &columns, &mut binder)?);
        }
    }
    let aggregates = binder.aggregates.take().unwrap_or_default();
    let grouped = !aggregates.is_empty() || !group.is_empty();
    if grouped {
        let sorted = order.iter().filter_map(|key| match &key.value {
            SortValue::Expression(expression) => Some(expression),
            SortValue::Output(_) => None,
        });
        for expression in projection.iter().chain(sorted) {
            let Some(column) = expression.column_outside(&group) else { continue };
            let name = &scope.columns[column].0;
            let message = format!("column \"{name}\" must appear in the GROUP BY clause");
            return Err(SqlError::new("42803", message));
        }
    }
    let (limit, offset) = bind_limit(query.limit_clause.as_ref(), parameters)?;
    let lock = bind_lock(query, &source, grouped)?;
    Ok(QueryPlan {
        columns,
        source,
        filter,
        projection,
        aggregates,
        grouped,
        group,
        order,
        limit,
        offset,
        lock,
    })
}

fn check_select(select: &Select) -> Result<(), SqlError> {
    let plain = !select.projection.is_empty()
        && select.distinct.is_none()
        && select.top.is_none()
        && select.exclude.is_none()
        && select.into.is_none()
        && select.lateral_views.is_empty()
        && select.prewhere.is_none()
        && select.connect_by.is_empty()
        && select.cluster_by.is_empty()
        && select.distribute_by.is_empty()
        && select.sort_by.is_empty()
        && select.having.is_none()
        && select.named_window.is_empty()
        && select.qualify.is_none()
        && select.value_table_mode.is_none();
    if plain { Ok(()) } else { Err(SqlError::unsupported(format!("the query {select}"))) }
}

fn bind_source(
    from: &[TableWithJoins],
    data: &DataStore,
    transaction: &OpenTransaction,
    parameters: &mut ParameterTypes,
) -> Result<(QuerySource, ColumnScope), SqlError> {
    let table = match from {
        [] => return Ok((QuerySource::Single, ColumnScope::default())),
        [table] => table,
        _ => return Err(SqlError::unsupported("a query over several tables")),
    };
    let TableFactor::Table { name, alias, args: Some(arguments), with_ordinality: false, .. } =
        &table.relation
    else {
        let (schema, scope) = bind_table(table, data, transaction)?;
        return Ok((QuerySource::Table(schema), scope));
    };
    if !table.joins.is_empty() || arguments.settings.is_some() {
        return Err(SqlError::unsupported(format!("the table {table}")));
    }
    let function = simple_name(name)?;
    let mut values = Vec::new();
    for argument in &arguments.args {
        let FunctionArg::Unnamed(FunctionArgExpr::Expr(value)) = argument else {
            return Err(SqlError::unsupported(format!("the argument {argument}")));
        };
        values.push(value);
    }
    match (function.as_str(), values.as_slice()) {
        ("generate_series", [first, last]) => {
            let scope = ColumnScope::default();
            let mut binder = ExpressionBinder::new(&scope, parameters);
            let first = binder.bind(first, Some(ColumnType::Int8))?;
            let last = binder.bind(last, Some(ColumnType::Int8))?;
            let kind = match (first.kind, last.kind) {
                (ColumnType::Int4, ColumnType::Int4) => ColumnType::Int4,
                (ColumnType::Int4 | ColumnType::Int8, ColumnType::Int4 | ColumnType::Int8) => {
                    ColumnType::Int8
                }
                _ => return Err(SqlError::unsupported("generate_series over other types")),
            };
            let (table, column) = series_names(alias.as_ref())?;
            let scope = ColumnScope { table, columns: vec![(column, kind)] };
            Ok((QuerySource::Series(first, last), scope))
        }
        ("group_status", []) => {
            let table = alias.as_ref().map_or(function, |alias| fold(&alias.name));
            let columns = STATUS_COLUMNS.map(|(name, kind)| (name.to_owned(), kind)).to_vec();
            Ok((QuerySource::Status, ColumnScope { table, columns }))
        }
        _ => Err(SqlError::new("42883", format!("function {function} does not exist"))),
    }
}

fn series_names(alias: Option<&TableAlias>) -> Result<(String, String), SqlError> {
    let Some(alias) = alias else {
        return Ok(("generate_series".to_owned(), "generate_series".to_owned()));
    };
    let table = fold(&alias.name);
    match alias.columns.as_slice() {
        [] => Ok((table.clone(), table)),
        [column] if column.data_type.is_none() => Ok((table, fold(&column.name))),
        _ => Err(SqlError::unsupported(format!("the alias {alias}"))),
    }
}

/// Finds the only table of a clause.
///
/// # Errors
///
/// Returns 42P01 if there is none, or 0A000 for anything but a plain table.
pub fn bind_table(
    table: &TableWithJoins,
    data: &DataStore,
    transaction: &OpenTransaction,
) -> Result<(Arc<TableSchema>, ColumnScope), SqlError> {
    let TableFactor::Table {
        name,
        alias,
        args: None,
        with_hints,
        version: None,
        with_ordinality: false,
        partitions,
        json_path: None,
        sample: None,
        index_directives,
        inheritance: _,
    } = &table.relation
    else {
        return Err(SqlError::unsupported(format!("the table {table}")));
    };
    let plain = table.joins.is_empty()
        && with_hints.is_empty()
        && partitions.is_empty()
        && index_directives.is_empty()
        && alias.as_ref().is_none_or(|alias| alias.columns.is_empty());
    if !plain {
        return Err(SqlError::unsupported(format!("the table {table}")));
    }
    let schema = data.schema(transaction, &simple_name(name)?)?;
    let mut scope = table_scope(&schema);
    if let Some(alias) = alias {
        scope.table = fold(&alias.name);
    }
    Ok((schema, scope))
}

/// Returns the scope of a table's own columns.
pub fn table_scope(schema: &TableSchema) -> ColumnScope {
    let columns = schema.columns.iter().map(|column| (column.name.clone(), column.kind)).collect();
    ColumnScope { table: schema.name.clone(), columns }
}

/// Binds a condition and looks for a unique index that finds its rows.
///
/// # Errors
///
/// As [`ExpressionBinder::bind_condition`].
pub fn bind_filter(
    selection: Option<&Expr>,
    schema: Option<&TableSchema>,
    scope: &ColumnScope,
    parameters: &mut ParameterTypes,
) -> Result<RowFilter, SqlError> {
    let Some(selection) = selection else { return Ok(RowFilter::default()) };
    let mut binder = ExpressionBinder::new(scope, parameters);
    let condition = binder.bind_condition(selection)?;
    let lookup = schema.and_then(|schema| find_lookup(schema, &condition));
    Ok(RowFilter { condition: Some(condition), lookup })
}

fn find_lookup(schema: &TableSchema, condition: &BoundExpression) -> Option<IndexLookup> {
    let mut equalities = Vec::new();
    collect_equalities(condition, &mut equalities);
    for (index, unique) in schema.uniques.iter().enumerate() {
        let mut key = Vec::with_capacity(unique.columns.len());
        for column in &unique.columns {
            let Some((_, value)) = equalities.iter().find(|(other, _)| other == column) else {
                break;
            };
            key.push((*value).clone());
        }
        if key.len() == unique.columns.len() {
            return Some(IndexLookup { index, keys: vec![key] });
        }
    }
    for (index, unique) in schema.uniques.iter().enumerate() {
        let [column] = unique.columns.as_slice() else { continue };
        let Some(list) = find_list(condition, *column) else { continue };
        let keys = list.iter().map(|value| vec![value.clone()]).collect();
        return Some(IndexLookup { index, keys });
    }
    None
}

/// Returns the list of a condition `column IN (...)` that every row has to meet.
fn find_list(condition: &BoundExpression, column: usize) -> Option<&[BoundExpression]> {
    match &condition.node {
        ExpressionNode::And(left, right) => {
            find_list(left, column).or_else(|| find_list(right, column))
        }
        ExpressionNode::In(operand, list)
            if matches!(operand.node, ExpressionNode::Column(found) if found == column)
                && list.iter().all(is_key) =>
        {
            Some(list)
        }
        _ => None,
    }
}

/// Returns whether an expression can be a key; a fraction has to be compared with every row.
fn is_key(value: &BoundExpression) -> bool {
    value.is_fixed() && value.kind != ColumnType::Float8
}

fn collect_equalities<'a>(
    condition: &'a BoundExpression,
    found: &mut Vec<(usize, &'a BoundExpression)>,
) {
    match &condition.node {
        ExpressionNode::And(left, right) => {
            collect_equalities(left, found);
            collect_equalities(right, found);
        }
        ExpressionNode::Compare(CompareOperator::Equal, left, right) => {
            for (column, value) in [(left, right), (right, left)] {
                let ExpressionNode::Column(index) = column.node else { continue };
                if is_key(value) {
                    found.push((index, value));
                }
            }
        }
        _ => {}
    }
}

fn bind_group(
    clause: &GroupByExpr,
    scope: &ColumnScope,
    parameters: &mut ParameterTypes,
) -> Result<Vec<usize>, SqlError> {
    let GroupByExpr::Expressions(expressions, modifiers) = clause else {
        return Err(SqlError::unsupported("GROUP BY ALL"));
    };
    if !modifiers.is_empty() {
        return Err(SqlError::unsupported("a modifier of GROUP BY"));
    }
    let mut columns = Vec::with_capacity(expressions.len());
    for expression in expressions {
        let mut binder = ExpressionBinder::new(scope, parameters);
        let ExpressionNode::Column(column) = binder.bind(expression, None)?.node else {
            return Err(SqlError::unsupported("GROUP BY an expression"));
        };
        columns.push(column);
    }
    Ok(columns)
}

/// Binds the items of `SELECT` or `RETURNING`.
///
/// # Errors
///
/// As [`ExpressionBinder::bind`].
pub fn bind_projection(
    items: &[SelectItem],
    binder: &mut ExpressionBinder<'_>,
) -> Result<(Vec<OutputColumn>, Vec<BoundExpression>), SqlError> {
    let mut columns = Vec::new();
    let mut projection = Vec::new();
    for item in items {
        let (expression, name) = match item {
            SelectItem::UnnamedExpr(expression) => (expression, output_name(expression)),
            SelectItem::ExprWithAlias { expr, alias } => (expr, fold(alias)),
            SelectItem::Wildcard(options) if plain_wildcard(options) => {
                expand(binder.scope, &mut columns, &mut projection)?;
                continue;
            }
            SelectItem::QualifiedWildcard(
                SelectItemQualifiedWildcardKind::ObjectName(name),
                options,
            ) if plain_wildcard(options) => {
                let table = simple_name(name)?;
                if table != binder.scope.table {
                    let message = format!("missing FROM-clause entry for table \"{table}\"");
                    return Err(SqlError::new("42P01", message));
                }
                expand(binder.scope, &mut columns, &mut projection)?;
                continue;
            }
            other => return Err(SqlError::unsupported(format!("the item {other}"))),
        };
        let bound = binder.bind(expression, None)?;
        columns.push(OutputColumn { name, kind: bound.kind });
        projection.push(bound);
    }
    Ok((columns, projection))
}

/// Binds `RETURNING`.
///
/// # Errors
///
/// As [`bind_projection`].
pub fn bind_returning(
    items: Option<&[SelectItem]>,
    scope: &ColumnScope,
    parameters: &mut ParameterTypes,
) -> Result<ReturningPlan, SqlError> {
    let Some(items) = items else { return Ok(ReturningPlan::default()) };
    let mut binder = ExpressionBinder::new(scope, parameters);
    let (columns, projection) = bind_projection(items, &mut binder)?;
    Ok(ReturningPlan { columns, projection })
}

const fn plain_wildcard(options: &WildcardAdditionalOptions) -> bool {
    options.opt_ilike.is_none()
        && options.opt_exclude.is_none()
        && options.opt_except.is_none()
        && options.opt_replace.is_none()
        && options.opt_rename.is_none()
        && options.opt_alias.is_none()
}

fn expand(
    scope: &ColumnScope,
    columns: &mut Vec<OutputColumn>,
    projection: &mut Vec<BoundExpression>,
) -> Result<(), SqlError> {
    if scope.columns.is_empty() {
        return Err(SqlError::new("42601", "SELECT * with no tables specified is not valid"));
    }
    for (index, (name, kind)) in scope.columns.iter().enumerate() {
        columns.push(OutputColumn { name: name.clone(), kind: *kind });
        projection.push(BoundExpression::new(ExpressionNode::Column(index), *kind));
    }
    Ok(())
}

fn output_name(expression: &Expr) -> String {
    match expression {
        Expr::Identifier(ident) => fold(ident),
        Expr::CompoundIdentifier(parts) => parts.last().map(fold).unwrap_or_default(),
        Expr::Function(function) => simple_name(&function.name).unwrap_or_default(),
        Expr::Cast { expr, data_type, .. } => match output_name(expr) {
            name if name == "?column?" => column_type(data_type).map_or(name, cast_name),
            name => name,
        },
        Expr::Nested(inner) => output_name(inner),
        Expr::Case { .. } => "case".to_owned(),
        _ => "?column?".to_owned(),
    }
}

fn cast_name(kind: ColumnType) -> String {
    match kind {
        ColumnType::Bool => "bool",
        ColumnType::Int4 => "int4",
        ColumnType::Int8 => "int8",
        ColumnType::Float8 => "float8",
        ColumnType::Text => "text",
        ColumnType::Void => "void",
    }
    .to_owned()
}

fn bind_sort(
    item: &OrderByExpr,
    columns: &[OutputColumn],
    binder: &mut ExpressionBinder<'_>,
) -> Result<SortKey, SqlError> {
    let descending = match &item.options.sort {
        None | Some(OrderBySort::Asc) => false,
        Some(OrderBySort::Desc) => true,
        Some(OrderBySort::Using(_)) => return Err(SqlError::unsupported("ORDER BY USING")),
    };
    if item.with_fill.is_some() {
        return Err(SqlError::unsupported("WITH FILL"));
    }
    let nulls_first = item.options.nulls_first.unwrap_or(descending);
    let value = match &item.expr {
        Expr::Value(value) => {
            let Literal::Number(text, _) = &value.value else {
                return Err(SqlError::new("42601", "non-integer constant in ORDER BY"));
            };
            let number = text.parse::<usize>().ok().and_then(|number| number.checked_sub(1));
            let Some(index) = number.filter(|index| *index < columns.len()) else {
                let message = format!("ORDER BY position {text} is not in select list");
                return Err(SqlError::new("42P10", message));
            };
            SortValue::Output(index)
        }
        Expr::Identifier(ident) => {
            let name = fold(ident);
            match columns.iter().position(|column| column.name == name) {
                Some(index) => SortValue::Output(index),
                None => SortValue::Expression(binder.bind(&item.expr, None)?),
            }
        }
        other => SortValue::Expression(binder.bind(other, None)?),
    };
    Ok(SortKey { value, descending, nulls_first })
}

fn bind_limit(
    clause: Option<&LimitClause>,
    parameters: &mut ParameterTypes,
) -> Result<(Option<BoundExpression>, Option<BoundExpression>), SqlError> {
    let (limit, offset) = match clause {
        None => return Ok((None, None)),
        Some(LimitClause::LimitOffset { limit, offset, limit_by }) if limit_by.is_empty() => {
            (limit.as_ref(), offset.as_ref().map(|offset| &offset.value))
        }
        Some(other) => return Err(SqlError::unsupported(format!("the clause {other}"))),
    };
    let scope = ColumnScope::default();
    let mut binder = ExpressionBinder::new(&scope, parameters);
    let limit = limit.map(|limit| binder.bind_as(limit, ColumnType::Int8, "LIMIT")).transpose()?;
    let offset =
        offset.map(|offset| binder.bind_as(offset, ColumnType::Int8, "OFFSET")).transpose()?;
    Ok((limit, offset))
}

fn bind_lock(query: &Query, source: &QuerySource, grouped: bool) -> Result<bool, SqlError> {
    let clause = match query.locks.as_slice() {
        [] => return Ok(false),
        [clause] => clause,
        _ => return Err(SqlError::unsupported("several locking clauses")),
    };
    let plain =
        clause.of.is_none() && clause.nonblock.is_none() && clause.lock_type == LockType::Update;
    if !plain || grouped || !matches!(source, QuerySource::Table(_)) {
        return Err(SqlError::unsupported(format!("the clause {clause} here")));
    }
    Ok(true)
}

/// Reads the value of `LIMIT` or `OFFSET`; null means no limit.
///
/// # Errors
///
/// Returns `sqlstate` if the number is negative.
pub fn row_count(
    value: &Value,
    what: &str,
    sqlstate: &'static str,
) -> Result<Option<u64>, SqlError> {
    let Value::Int(number) = value else { return Ok(None) };
    let number = u64::try_from(*number)
        .map_err(|_| SqlError::new(sqlstate, format!("{what} must not be negative")))?;
    Ok(Some(number))
}
