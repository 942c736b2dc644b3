//! Bound statements.

use {
    super::{
        bind::{AggregateCall, ParameterTypes},
        define, evaluate,
        expression::BoundExpression,
        query, simple_name, write,
    },
    crate::{
        error::SqlError,
        store::{DataStore, OpenTransaction},
        table::TableSchema,
        value::{ColumnType, Value},
    },
    sqlparser::ast::{Query, SetExpr, Statement},
    std::{net::SocketAddr, sync::Arc},
};

/// Column of a result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutputColumn {
    /// Name.
    pub name: String,
    /// Type.
    pub kind: ColumnType,
}

/// Where a query's rows come from.
#[derive(Clone, Debug)]
pub enum QuerySource {
    /// One row without columns.
    Single,
    /// Table.
    Table(Arc<TableSchema>),
    /// `generate_series`.
    Series(BoundExpression, BoundExpression),
    /// `group_status()`.
    Status,
}

/// Unique index and the expressions whose values are the keys of the only rows that can match.
#[derive(Clone, Debug)]
pub struct IndexLookup {
    /// Index of the unique constraint.
    pub index: usize,
    /// Keys with one expression for each column of the constraint.
    pub keys: Vec<Vec<BoundExpression>>,
}

/// Condition on the rows of a table.
#[derive(Clone, Debug, Default)]
pub struct RowFilter {
    /// Condition, or every row.
    pub condition: Option<BoundExpression>,
    /// Lookup that finds every row for which the condition can hold.
    pub lookup: Option<IndexLookup>,
}

/// One sort key.
#[derive(Clone, Debug)]
pub struct SortKey {
    /// Value.
    pub value: SortValue,
    /// Whether larger values come first.
    pub descending: bool,
    /// Whether null comes first.
    pub nulls_first: bool,
}

/// Value of a sort key.
#[derive(Clone, Debug)]
pub enum SortValue {
    /// Column of the result.
    Output(usize),
    /// Expression over the source row.
    Expression(BoundExpression),
}

/// Bound `SELECT`.
#[derive(Clone, Debug)]
pub struct QueryPlan {
    /// Columns of the result.
    pub columns: Vec<OutputColumn>,
    /// Source.
    pub source: QuerySource,
    /// Filter.
    pub filter: RowFilter,
    /// One expression for each column of the result.
    pub projection: Vec<BoundExpression>,
    /// Aggregates; if there are any or `grouped` is set, the projection is computed for each group.
    pub aggregates: Vec<AggregateCall>,
    /// Whether rows are grouped.
    pub grouped: bool,
    /// Source columns of `GROUP BY`.
    pub group: Vec<usize>,
    /// Sort keys.
    pub order: Vec<SortKey>,
    /// Largest number of rows.
    pub limit: Option<BoundExpression>,
    /// Number of rows left out first.
    pub offset: Option<BoundExpression>,
    /// Whether the rows are locked.
    pub lock: bool,
}

/// Bound `INSERT`.
#[derive(Clone, Debug)]
pub struct InsertPlan {
    /// Table.
    pub schema: Arc<TableSchema>,
    /// Table columns in the order of the values.
    pub targets: Vec<usize>,
    /// Values.
    pub source: InsertSource,
    /// Unique constraints for which rows are left out if their key exists.
    pub skip: Vec<usize>,
    /// Result.
    pub returning: ReturningPlan,
}

/// Values of an `INSERT`.
#[derive(Clone, Debug)]
pub enum InsertSource {
    /// Rows of expressions; `None` is the default.
    Rows(Vec<Vec<Option<BoundExpression>>>),
    /// Query whose columns already have the types of the targets.
    Query(Box<QueryPlan>),
}

/// Bound `UPDATE`, or `DELETE` without assignments.
#[derive(Clone, Debug)]
pub struct ChangePlan {
    /// Table.
    pub schema: Arc<TableSchema>,
    /// Columns with their new values, or nothing to delete the rows.
    pub assignments: Option<Vec<(usize, BoundExpression)>>,
    /// Rows.
    pub filter: RowFilter,
    /// Result.
    pub returning: ReturningPlan,
}

/// Bound `RETURNING`.
#[derive(Clone, Debug, Default)]
pub struct ReturningPlan {
    /// Columns; empty without `RETURNING`.
    pub columns: Vec<OutputColumn>,
    /// One expression for each column.
    pub projection: Vec<BoundExpression>,
}

/// Call of a function that changes the server's place in its group.
#[derive(Clone, Debug)]
pub enum AdminCall {
    /// `group_promote(term)`.
    Promote(BoundExpression),
    /// `group_follow(term, address)`.
    Follow(BoundExpression, BoundExpression),
    /// `group_set_lag(ms)`.
    SetLag(BoundExpression),
}

/// Evaluated [`AdminCall`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminAction {
    /// Become primary of a term.
    Promote(u64),
    /// Become a replica of the primary of a term.
    Follow(u64, SocketAddr),
    /// Change the replication lag.
    SetLag(u64),
}

/// Bound statement that reads or writes data.
#[derive(Clone, Debug)]
pub enum StatementPlan {
    /// `SELECT`.
    Query(Arc<QueryPlan>),
    /// `INSERT`.
    Insert(Box<InsertPlan>),
    /// `UPDATE` or `DELETE`.
    Change(Box<ChangePlan>),
    /// `CREATE TABLE`, and whether an existing table is accepted.
    Create(TableSchema, bool),
    /// `DROP TABLE`, and whether missing tables are accepted.
    Drop(Vec<String>, bool),
    /// Function of the group, with the name of its column.
    Admin(AdminCall, OutputColumn),
}

impl StatementPlan {
    /// Binds a statement against the tables that the transaction sees.
    ///
    /// # Errors
    ///
    /// Returns an error if a name is unknown, types do not fit or the statement is not supported.
    pub fn bind(
        statement: &Statement,
        data: &DataStore,
        transaction: &OpenTransaction,
        parameters: &mut ParameterTypes,
    ) -> Result<Self, SqlError> {
        match statement {
            Statement::Query(query) => Self::bind_query(query, data, transaction, parameters),
            Statement::Insert(insert) => {
                let plan = write::bind_insert(insert, data, transaction, parameters)?;
                Ok(Self::Insert(Box::new(plan)))
            }
            Statement::Update(update) => {
                let plan = write::bind_update(update, data, transaction, parameters)?;
                Ok(Self::Change(Box::new(plan)))
            }
            Statement::Delete(delete) => {
                let plan = write::bind_delete(delete, data, transaction, parameters)?;
                Ok(Self::Change(Box::new(plan)))
            }
            Statement::CreateTable(create) => {
                Ok(Self::Create(define::table_schema(create)?, create.if_not_exists))
            }
            Statement::Drop { if_exists, names, .. } => {
                define::check_drop(statement)?;
                let mut tables = Vec::with_capacity(names.len());
                for name in names {
                    tables.push(simple_name(name)?);
                }
                Ok(Self::Drop(tables, *if_exists))
            }
            other => Err(SqlError::unsupported(format!("the statement {other}"))),
        }
    }

    fn bind_query(
        query: &Query,
        data: &DataStore,
        transaction: &OpenTransaction,
        parameters: &mut ParameterTypes,
    ) -> Result<Self, SqlError> {
        if let SetExpr::Select(select) = &*query.body
            && let Some((call, name)) = super::admin::bind(select, parameters)?
        {
            let column = OutputColumn { name, kind: ColumnType::Text };
            return Ok(Self::Admin(call, column));
        }
        let plan = query::bind(query, data, transaction, parameters)?;
        Ok(Self::Query(Arc::new(plan)))
    }

    /// Returns the columns of the result; none means that there are no rows.
    pub fn columns(&self) -> Vec<OutputColumn> {
        match self {
            Self::Query(plan) => plan.columns.clone(),
            Self::Insert(plan) => plan.returning.columns.clone(),
            Self::Change(plan) => plan.returning.columns.clone(),
            Self::Create(..) | Self::Drop(..) => Vec::new(),
            Self::Admin(_, column) => vec![column.clone()],
        }
    }

    /// Returns the command that is refused in a read-only transaction, if it is one that writes.
    pub fn write_command(&self) -> Option<&'static str> {
        match self {
            Self::Query(plan) if plan.lock => Some("SELECT FOR UPDATE"),
            Self::Query(_) | Self::Admin(..) => None,
            Self::Insert(_) => Some("INSERT"),
            Self::Change(plan) if plan.assignments.is_some() => Some("UPDATE"),
            Self::Change(_) => Some("DELETE"),
            Self::Create(..) => Some("CREATE TABLE"),
            Self::Drop(..) => Some("DROP TABLE"),
        }
    }
}

impl ReturningPlan {
    /// Computes the result for a row.
    ///
    /// # Errors
    ///
    /// As [`evaluate::evaluate`].
    pub fn row(
        &self,
        row: &[Value],
        context: &evaluate::RowContext<'_>,
    ) -> Result<Vec<Value>, SqlError> {
        let mut values = Vec::with_capacity(self.projection.len());
        for expression in &self.projection {
            values.push(evaluate::evaluate(expression, row, context)?);
        }
        Ok(values)
    }
}
