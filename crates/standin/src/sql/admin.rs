//! Functions that change the server's place in its group.

use {
    super::{
        bind::{ColumnScope, ExpressionBinder, ParameterTypes},
        evaluate::{RowContext, evaluate},
        plan::{AdminAction, AdminCall},
        simple_name,
        typing::plain_arguments,
    },
    crate::{
        error::SqlError,
        value::{ColumnType, Value},
    },
    sqlparser::ast::{Expr, Select, SelectItem},
};

/// Longest settable lag: one day.
const LAG_LIMIT_MS: u64 = 86_400_000;

/// Binds a query that is nothing but a call of a function of the group; returns its name too.
///
/// # Errors
///
/// Returns an error if the arguments do not fit, or if the call is only a part of the query.
pub fn bind(
    select: &Select,
    parameters: &mut ParameterTypes,
) -> Result<Option<(AdminCall, String)>, SqlError> {
    let [SelectItem::UnnamedExpr(Expr::Function(function))] = select.projection.as_slice() else {
        return Ok(None);
    };
    let name = simple_name(&function.name)?;
    if !matches!(name.as_str(), "group_promote" | "group_follow" | "group_set_lag") {
        return Ok(None);
    }
    if !select.from.is_empty() || select.selection.is_some() {
        return Err(SqlError::unsupported(format!("{name} in a query with FROM or WHERE")));
    }
    let arguments = plain_arguments(function)?;
    let scope = ColumnScope::default();
    let mut binder = ExpressionBinder::new(&scope, parameters);
    let call = match (name.as_str(), arguments.as_slice()) {
        ("group_promote", [Some(term)]) => {
            AdminCall::Promote(binder.bind_as(term, ColumnType::Int8, "term")?)
        }
        ("group_follow", [Some(term), Some(address)]) => AdminCall::Follow(
            binder.bind_as(term, ColumnType::Int8, "term")?,
            binder.bind_as(address, ColumnType::Text, "address")?,
        ),
        ("group_set_lag", [Some(lag)]) => {
            AdminCall::SetLag(binder.bind_as(lag, ColumnType::Int8, "lag")?)
        }
        _ => return Err(SqlError::new("42883", format!("function {name} has other parameters"))),
    };
    Ok(Some((call, name)))
}

/// Computes the arguments of a call.
///
/// # Errors
///
/// Returns 22023 or 22004 if an argument is outside its range.
pub fn action(call: &AdminCall, context: &RowContext<'_>) -> Result<AdminAction, SqlError> {
    match call {
        AdminCall::Promote(term) => {
            Ok(AdminAction::Promote(whole(&evaluate(term, &[], context)?)?))
        }
        AdminCall::Follow(term, address) => {
            let term = whole(&evaluate(term, &[], context)?)?;
            let address = evaluate(address, &[], context)?.to_string();
            let parsed = address.parse().map_err(|_| {
                let message = format!("not an address of the form ip:port: \"{address}\"");
                SqlError::new("22023", message)
            })?;
            Ok(AdminAction::Follow(term, parsed))
        }
        AdminCall::SetLag(lag) => {
            let lag = whole(&evaluate(lag, &[], context)?)?;
            if lag > LAG_LIMIT_MS {
                return Err(SqlError::new("22023", format!("lag is above {LAG_LIMIT_MS} ms")));
            }
            Ok(AdminAction::SetLag(lag))
        }
    }
}

fn whole(value: &Value) -> Result<u64, SqlError> {
    match value {
        Value::Int(number) => u64::try_from(*number)
            .map_err(|_| SqlError::new("22023", "argument must not be negative")),
        _ => Err(SqlError::new("22004", "argument must not be null")),
    }
}
