//! Types of literals, operators and conversions.

use {
    super::expression::{BoundExpression, ExpressionNode},
    crate::{
        error::SqlError,
        value::{ColumnType, Value},
    },
    sqlparser::ast::{
        DataType, Expr, Function, FunctionArg, FunctionArgExpr, FunctionArguments, ObjectNamePart,
    },
};

/// Returns the arguments of a plain call; `*` is `None`.
///
/// # Errors
///
/// Returns 0A000 if the call uses more than positional arguments.
pub fn plain_arguments(function: &Function) -> Result<Vec<Option<&Expr>>, SqlError> {
    let plain = function.filter.is_none()
        && function.over.is_none()
        && function.null_treatment.is_none()
        && function.within_group.is_empty()
        && !function.uses_odbc_syntax
        && matches!(function.parameters, FunctionArguments::None);
    let unsupported = || SqlError::unsupported(format!("the call {function}"));
    if !plain {
        return Err(unsupported());
    }
    let list = match &function.args {
        FunctionArguments::None => return Ok(Vec::new()),
        FunctionArguments::List(list) => list,
        FunctionArguments::Subquery(_) => return Err(unsupported()),
    };
    if list.duplicate_treatment.is_some() || !list.clauses.is_empty() {
        return Err(unsupported());
    }
    let mut arguments = Vec::with_capacity(list.args.len());
    for argument in &list.args {
        match argument {
            FunctionArg::Unnamed(FunctionArgExpr::Expr(argument)) => arguments.push(Some(argument)),
            FunctionArg::Unnamed(FunctionArgExpr::Wildcard) => arguments.push(None),
            _ => return Err(unsupported()),
        }
    }
    Ok(arguments)
}

/// Returns the type that a type name stands for in expressions.
///
/// # Errors
///
/// Returns 0A000 for a type that the stand-in does not have.
pub fn column_type(name: &DataType) -> Result<ColumnType, SqlError> {
    match name {
        DataType::Int(None) | DataType::Integer(None) | DataType::Int4(None) => {
            Ok(ColumnType::Int4)
        }
        DataType::BigInt(None) | DataType::Int8(None) => Ok(ColumnType::Int8),
        DataType::Text | DataType::Varchar(None) | DataType::CharacterVarying(None) => {
            Ok(ColumnType::Text)
        }
        DataType::Bool | DataType::Boolean => Ok(ColumnType::Bool),
        DataType::DoublePrecision | DataType::Float8 => Ok(ColumnType::Float8),
        DataType::Custom(name, modifiers) if modifiers.is_empty() => match name.0.as_slice() {
            [ObjectNamePart::Identifier(ident)] if ident.value.eq_ignore_ascii_case("int4") => {
                Ok(ColumnType::Int4)
            }
            _ => Err(SqlError::unsupported(format!("the type {name}"))),
        },
        other => Err(SqlError::unsupported(format!("the type {other}"))),
    }
}

/// Converts an expression to the type of the place that takes its value.
///
/// # Errors
///
/// Returns 42804 if the types do not fit.
pub fn assign(
    bound: BoundExpression,
    kind: ColumnType,
    what: &str,
) -> Result<BoundExpression, SqlError> {
    if bound.kind == kind {
        return Ok(bound);
    }
    let null = matches!(bound.node, ExpressionNode::Constant(Value::Null));
    if null || (bound.kind.is_number() && kind.is_number()) || kind == ColumnType::Text {
        return Ok(BoundExpression::new(ExpressionNode::Cast(Box::new(bound)), kind));
    }
    let message = format!("{what} is of type {kind} but expression is of type {}", bound.kind);
    Err(SqlError::mismatch(message))
}

/// Converts an expression explicitly.
///
/// # Errors
///
/// Returns 42846 if there is no conversion.
pub fn cast(inner: BoundExpression, kind: ColumnType) -> Result<BoundExpression, SqlError> {
    let allowed = inner.kind == kind
        || inner.kind == ColumnType::Text
        || kind == ColumnType::Text
        || (inner.kind.is_number() && kind.is_number())
        || matches!(
            (inner.kind, kind),
            (ColumnType::Bool, ColumnType::Int4) | (ColumnType::Int4, ColumnType::Bool)
        );
    if !allowed {
        let message = format!("cannot cast type {} to {kind}", inner.kind);
        return Err(SqlError::new("42846", message));
    }
    Ok(BoundExpression::new(ExpressionNode::Cast(Box::new(inner)), kind))
}

/// Binds a number; one that is too large for `bigint` or has a fraction is a `double precision`.
///
/// # Errors
///
/// Returns 22P02 if the text is not a number.
pub fn number(text: &str) -> Result<BoundExpression, SqlError> {
    let (value, kind) = match text.parse::<i64>() {
        Ok(number) if i32::try_from(number).is_ok() => (Value::Int(number), ColumnType::Int4),
        Ok(number) => (Value::Int(number), ColumnType::Int8),
        Err(_) => (Value::parse(text, ColumnType::Float8)?, ColumnType::Float8),
    };
    Ok(BoundExpression::new(ExpressionNode::Constant(value), kind))
}

/// Negates a truth value if `negated` is set.
pub fn negate_if(negated: bool, bound: BoundExpression) -> BoundExpression {
    if !negated {
        return bound;
    }
    BoundExpression::new(ExpressionNode::Not(Box::new(bound)), ColumnType::Bool)
}

/// Checks that two values can be compared.
///
/// # Errors
///
/// Returns 42883 if not.
pub fn check_comparable(left: &BoundExpression, right: &BoundExpression) -> Result<(), SqlError> {
    if left.kind == right.kind || (left.kind.is_number() && right.kind.is_number()) {
        return Ok(());
    }
    Err(no_operator(left, "=", right))
}

/// Error for an operator that does not exist for the types.
pub fn no_operator(left: &BoundExpression, symbol: &str, right: &BoundExpression) -> SqlError {
    let message = format!("operator does not exist: {} {symbol} {}", left.kind, right.kind);
    SqlError::new("42883", message)
}

/// Returns the type of arithmetic on two numbers.
pub const fn wider(left: ColumnType, right: ColumnType) -> ColumnType {
    match (left, right) {
        (ColumnType::Float8, _) | (_, ColumnType::Float8) => ColumnType::Float8,
        (ColumnType::Int8, _) | (_, ColumnType::Int8) => ColumnType::Int8,
        _ => ColumnType::Int4,
    }
}

/// Returns the common type of two results.
pub const fn common(left: ColumnType, right: ColumnType) -> ColumnType {
    if left.is_number() && right.is_number() { wider(left, right) } else { left }
}
