//! Extended query protocol.

use {
    super::{
        CallerSession, SessionFault,
        execute::PortalProgress,
        messages::{encode, is_binary, row_description},
        utility::utility_columns,
    },
    crate::{
        error::SqlError,
        sql::{
            self,
            bind::ParameterTypes,
            plan::{OutputColumn, StatementPlan},
        },
        value::{ColumnType, Value},
    },
    pgwire::messages::{
        data::{NoData, ParameterDescription},
        extendedquery::{
            Bind, BindComplete, Close, CloseComplete, Describe, Execute, Parse, ParseComplete,
            TARGET_TYPE_BYTE_PORTAL, TARGET_TYPE_BYTE_STATEMENT,
        },
    },
    sqlparser::ast::Statement,
    std::sync::Arc,
};

/// Statement prepared by `Parse`.
#[derive(Clone, Debug)]
pub struct PreparedStatement {
    /// Statement, or nothing for an empty text.
    statement: Option<Arc<Statement>>,
    /// Types of the parameters.
    kinds: Vec<ColumnType>,
    /// Columns of the result.
    columns: Vec<OutputColumn>,
}

/// What a portal runs.
#[derive(Clone, Debug)]
pub enum PortalTask {
    /// Nothing.
    Empty,
    /// Statement on data.
    Plan(StatementPlan),
    /// Transaction control, settings and the like.
    Utility(Arc<Statement>),
}

/// Statement with its parameters, ready to run or running.
#[derive(Debug)]
pub struct CallerPortal {
    /// What it runs.
    pub task: PortalTask,
    /// Columns of the result.
    pub columns: Vec<OutputColumn>,
    /// Result formats.
    pub formats: Vec<i16>,
    /// Values of the parameters.
    pub parameters: Arc<[Value]>,
    /// Whether the result is described before its rows, as in the simple protocol.
    pub described: bool,
    /// How far it has run.
    pub progress: PortalProgress,
}

impl CallerSession {
    /// Binds a statement to a portal without parameters.
    pub(super) fn open_portal(
        &mut self,
        statement: &Arc<Statement>,
        parameters: &mut ParameterTypes,
    ) -> Result<CallerPortal, SqlError> {
        let (task, columns) = match utility_columns(statement) {
            Some(columns) => {
                self.check_block(statement)?;
                (PortalTask::Utility(statement.clone()), columns)
            }
            None => {
                let plan = self.plan(statement, parameters)?;
                let columns = plan.columns();
                (PortalTask::Plan(plan), columns)
            }
        };
        Ok(CallerPortal {
            task,
            columns,
            formats: Vec::new(),
            parameters: Arc::from([]),
            described: false,
            progress: PortalProgress::Ready,
        })
    }

    pub(super) fn parse(&mut self, parse: Parse) -> Result<(), SessionFault> {
        let name = parse.name.unwrap_or_default();
        if !name.is_empty() && self.statements.contains_key(&name) {
            let message = format!("prepared statement \"{name}\" already exists");
            return Err(SqlError::new("42P05", message).into());
        }
        let mut parameters = ParameterTypes::default();
        for oid in parse.type_oids {
            let kind = ColumnType::from_oid(oid);
            if oid != 0 && kind.is_none() {
                return Err(SqlError::unsupported(format!("the parameter type {oid}")).into());
            }
            parameters.kinds.push(kind);
        }
        let mut statements = sql::parse(&parse.query)?;
        if statements.len() > 1 {
            let message = "cannot insert multiple commands into a prepared statement";
            return Err(SqlError::new("42601", message).into());
        }
        let statement = statements.pop().map(Arc::new);
        let columns = match &statement {
            Some(statement) => self.open_portal(statement, &mut parameters)?.columns,
            None => Vec::new(),
        };
        let kinds = parameters.resolved();
        self.statements.insert(name, PreparedStatement { statement, kinds, columns });
        encode(&ParseComplete::new(), &mut self.output)?;
        Ok(())
    }

    pub(super) fn bind(&mut self, bind: Bind) -> Result<(), SessionFault> {
        let name = bind.portal_name.unwrap_or_default();
        if !name.is_empty() && self.portals.contains_key(&name) {
            let message = format!("cursor \"{name}\" already exists");
            return Err(SqlError::new("42P03", message).into());
        }
        let prepared = self.prepared(bind.statement_name.as_deref())?.clone();
        let wanted = prepared.kinds.len();
        let given = bind.parameters.len();
        if wanted != given {
            let message = format!(
                "bind message supplies {given} parameters, but the statement requires {wanted}"
            );
            return Err(SqlError::new("08P01", message).into());
        }
        check_formats(&bind.parameter_format_codes, given)?;
        check_formats(&bind.result_column_format_codes, prepared.columns.len())?;
        let mut values = Vec::with_capacity(given);
        for (index, (bytes, kind)) in bind.parameters.iter().zip(&prepared.kinds).enumerate() {
            let binary = is_binary(&bind.parameter_format_codes, index);
            values.push(match bytes {
                None => Value::Null,
                Some(bytes) if binary => Value::from_binary(bytes, *kind)?,
                Some(bytes) => Value::from_text(bytes, *kind)?,
            });
        }
        let mut portal = match &prepared.statement {
            Some(statement) => {
                let kinds = prepared.kinds.iter().copied().map(Some).collect();
                self.open_portal(statement, &mut ParameterTypes { kinds })?
            }
            None => CallerPortal {
                task: PortalTask::Empty,
                columns: Vec::new(),
                formats: Vec::new(),
                parameters: Arc::from([]),
                described: false,
                progress: PortalProgress::Ready,
            },
        };
        if portal.columns != prepared.columns {
            return Err(SqlError::new("0A000", "cached plan must not change result type").into());
        }
        portal.formats = bind.result_column_format_codes;
        portal.parameters = values.into();
        self.portals.insert(name, portal);
        encode(&BindComplete::new(), &mut self.output)?;
        Ok(())
    }

    pub(super) fn describe(&mut self, describe: &Describe) -> Result<(), SessionFault> {
        let (columns, formats) = match describe.target_type {
            TARGET_TYPE_BYTE_STATEMENT => {
                let prepared = self.prepared(describe.name.as_deref())?.clone();
                let types = prepared.kinds.iter().map(|kind| kind.oid()).collect();
                encode(&ParameterDescription::new(types), &mut self.output)?;
                (prepared.columns, Vec::new())
            }
            TARGET_TYPE_BYTE_PORTAL => {
                let name = describe.name.as_deref().unwrap_or_default();
                let portal = self.portals.get(name).ok_or_else(|| no_portal(name))?;
                (portal.columns.clone(), portal.formats.clone())
            }
            _ => return Err(SqlError::new("08P01", "invalid DESCRIBE message").into()),
        };
        if columns.is_empty() {
            encode(&NoData::new(), &mut self.output)?;
        } else {
            encode(&row_description(&columns, &formats), &mut self.output)?;
        }
        Ok(())
    }

    pub(super) async fn execute(&mut self, execute: &Execute) -> Result<(), SessionFault> {
        let name = execute.name.as_deref().unwrap_or_default();
        // Taken out while it runs; an error or the end of the transaction drops it.
        let mut portal = self.portals.remove(name).ok_or_else(|| no_portal(name))?;
        let limit = u64::try_from(execute.max_rows).unwrap_or(0);
        self.run_portal(&mut portal, limit, false).await?;
        if self.transaction.is_some() {
            self.portals.insert(name.to_owned(), portal);
        }
        Ok(())
    }

    pub(super) fn close(&mut self, close: &Close) -> Result<(), SessionFault> {
        let name = close.name.as_deref().unwrap_or_default();
        match close.target_type {
            TARGET_TYPE_BYTE_STATEMENT => {
                self.statements.remove(name);
            }
            TARGET_TYPE_BYTE_PORTAL => {
                self.portals.remove(name);
            }
            _ => return Err(SqlError::new("08P01", "invalid CLOSE message").into()),
        }
        encode(&CloseComplete::new(), &mut self.output)?;
        Ok(())
    }

    fn prepared(&self, name: Option<&str>) -> Result<&PreparedStatement, SqlError> {
        let name = name.unwrap_or_default();
        self.statements.get(name).ok_or_else(|| {
            SqlError::new("26000", format!("prepared statement \"{name}\" does not exist"))
        })
    }
}

fn no_portal(name: &str) -> SqlError {
    SqlError::new("34000", format!("portal \"{name}\" does not exist"))
}

fn check_formats(formats: &[i16], count: usize) -> Result<(), SqlError> {
    if formats.len() > 1 && formats.len() != count {
        let message = format!("bind message has {} formats for {count} values", formats.len());
        return Err(SqlError::new("08P01", message));
    }
    if let Some(format) = formats.iter().find(|format| !matches!(format, 0 | 1)) {
        return Err(SqlError::new("22023", format!("unsupported format code: {format}")));
    }
    Ok(())
}
