//! Evaluation of expressions.

use {
    super::expression::{BoundExpression, CompareOperator, ExpressionNode, MathOperator},
    crate::{
        error::SqlError,
        value::{ColumnType, Value},
    },
    std::{cell::Cell, cmp::Ordering, sync::Arc},
};

/// Facts about the session and the server that functions report.
#[derive(Clone, Debug)]
pub struct SessionFacts {
    /// Whether the server is a replica.
    pub recovery: bool,
    /// Number of the session.
    pub pid: i32,
    /// Database of the server.
    pub database: Arc<str>,
}

/// What an expression can refer to besides constants.
#[derive(Debug)]
pub struct RowContext<'a> {
    /// Values of the statement's parameters.
    pub parameters: &'a [Value],
    /// Results of the query's aggregates.
    pub aggregates: &'a [Value],
    /// Facts about the session.
    pub facts: &'a SessionFacts,
    /// Seconds of sleep asked for by `pg_sleep`; the session waits them after the evaluation.
    pub sleep: &'a Cell<f64>,
}

/// Computes an expression for a row.
///
/// # Errors
///
/// Returns an error if a value is outside the domain of an operation.
pub fn evaluate(
    expression: &BoundExpression,
    row: &[Value],
    context: &RowContext<'_>,
) -> Result<Value, SqlError> {
    let value = |operand: &BoundExpression| evaluate(operand, row, context);
    match &expression.node {
        ExpressionNode::Constant(constant) => Ok(constant.clone()),
        ExpressionNode::Column(column) => Ok(row[*column].clone()),
        ExpressionNode::Parameter(index) => Ok(context.parameters[*index].clone()),
        ExpressionNode::Aggregate(index) => Ok(context.aggregates[*index].clone()),
        ExpressionNode::Math(operator, left, right) => {
            math(*operator, &value(left)?, &value(right)?, expression.kind)
        }
        ExpressionNode::Negate(operand) => match value(operand)? {
            Value::Int(number) => number
                .checked_neg()
                .map(Value::Int)
                .ok_or_else(|| SqlError::out_of_range("bigint"))?
                .fit(expression.kind),
            Value::Float(number) => Ok(Value::Float(-number)),
            _ => Ok(Value::Null),
        },
        ExpressionNode::Compare(operator, left, right) => {
            Ok(compare(*operator, &value(left)?, &value(right)?))
        }
        ExpressionNode::Concat(left, right) => {
            let (left, right) = (value(left)?, value(right)?);
            if left.is_null() || right.is_null() {
                return Ok(Value::Null);
            }
            Ok(Value::text(&format!("{}{}", long_text(&left), long_text(&right))))
        }
        ExpressionNode::And(left, right) => match value(left)? {
            Value::Bool(false) => Ok(Value::Bool(false)),
            first => match (first, value(right)?) {
                (_, Value::Bool(false)) => Ok(Value::Bool(false)),
                (Value::Bool(true), Value::Bool(true)) => Ok(Value::Bool(true)),
                _ => Ok(Value::Null),
            },
        },
        ExpressionNode::Or(left, right) => match value(left)? {
            Value::Bool(true) => Ok(Value::Bool(true)),
            first => match (first, value(right)?) {
                (_, Value::Bool(true)) => Ok(Value::Bool(true)),
                (Value::Bool(false), Value::Bool(false)) => Ok(Value::Bool(false)),
                _ => Ok(Value::Null),
            },
        },
        ExpressionNode::Not(operand) => match value(operand)? {
            Value::Bool(truth) => Ok(Value::Bool(!truth)),
            _ => Ok(Value::Null),
        },
        ExpressionNode::IsNull(operand) => Ok(Value::Bool(value(operand)?.is_null())),
        ExpressionNode::IsBool(operand, truth) => {
            Ok(Value::Bool(value(operand)? == Value::Bool(*truth)))
        }
        ExpressionNode::In(operand, list) => {
            let wanted = value(operand)?;
            let mut unknown = wanted.is_null();
            for item in list {
                match compare(CompareOperator::Equal, &wanted, &value(item)?) {
                    Value::Bool(true) => return Ok(Value::Bool(true)),
                    Value::Null => unknown = true,
                    _ => {}
                }
            }
            Ok(if unknown { Value::Null } else { Value::Bool(false) })
        }
        ExpressionNode::Like { text, pattern, fold_case } => {
            match (value(text)?, value(pattern)?) {
                (Value::Text(text), Value::Text(pattern)) if *fold_case => {
                    like(&text.to_lowercase(), &pattern.to_lowercase()).map(Value::Bool)
                }
                (Value::Text(text), Value::Text(pattern)) => like(&text, &pattern).map(Value::Bool),
                _ => Ok(Value::Null),
            }
        }
        ExpressionNode::Cast(operand) => convert(value(operand)?, expression.kind),
        ExpressionNode::Case(branches, otherwise) => {
            for (condition, result) in branches {
                if value(condition)? == Value::Bool(true) {
                    return value(result);
                }
            }
            otherwise.as_ref().map_or(Ok(Value::Null), |otherwise| value(otherwise))
        }
        ExpressionNode::Call(function, arguments) => {
            let mut values = Vec::with_capacity(arguments.len());
            for argument in arguments {
                values.push(value(argument)?);
            }
            function.call(&values, context)?.fit(expression.kind)
        }
    }
}

/// Returns whether a condition holds; null does not.
///
/// # Errors
///
/// As [`evaluate`].
pub fn holds(
    condition: Option<&BoundExpression>,
    row: &[Value],
    context: &RowContext<'_>,
) -> Result<bool, SqlError> {
    let Some(condition) = condition else { return Ok(true) };
    Ok(evaluate(condition, row, context)? == Value::Bool(true))
}

/// Converts a value to a type.
///
/// # Errors
///
/// Returns an error if the value has no counterpart in the type.
pub fn convert(value: Value, kind: ColumnType) -> Result<Value, SqlError> {
    match (value, kind) {
        (Value::Null, _) => Ok(Value::Null),
        (Value::Text(text), ColumnType::Text | ColumnType::Void) => Ok(Value::Text(text)),
        (Value::Text(text), _) => Value::parse(&text, kind),
        (value, ColumnType::Text) => Ok(Value::text(&long_text(&value))),
        (Value::Bool(truth), ColumnType::Bool) => Ok(Value::Bool(truth)),
        (Value::Bool(truth), _) => Ok(Value::Int(i64::from(truth))),
        (Value::Int(number), ColumnType::Bool) => Ok(Value::Bool(number != 0)),
        (Value::Int(number), ColumnType::Float8) => Ok(Value::Float(number as f64)),
        (Value::Int(number), _) => Value::Int(number).fit(kind),
        (Value::Float(number), ColumnType::Int4 | ColumnType::Int8) => {
            let rounded = number.round_ties_even();
            // The bounds are the range of i64, of which the upper one is not itself a float.
            if !(-9_223_372_036_854_775_808.0..9_223_372_036_854_775_808.0).contains(&rounded) {
                return Err(SqlError::out_of_range(&kind.to_string()));
            }
            Value::Int(rounded as i64).fit(kind)
        }
        (value, _) => Ok(value),
    }
}

fn long_text(value: &Value) -> String {
    match value {
        Value::Bool(truth) => truth.to_string(),
        other => other.to_string(),
    }
}

/// Computes arithmetic on two numbers.
///
/// # Errors
///
/// Returns 22003 or 22012 if there is no result.
pub fn math(
    operator: MathOperator,
    left: &Value,
    right: &Value,
    kind: ColumnType,
) -> Result<Value, SqlError> {
    let zero = || SqlError::new("22012", "division by zero");
    match (left, right) {
        (Value::Null, _) | (_, Value::Null) => Ok(Value::Null),
        (&Value::Int(left), &Value::Int(right)) => {
            let result = match operator {
                MathOperator::Add => left.checked_add(right),
                MathOperator::Subtract => left.checked_sub(right),
                MathOperator::Multiply => left.checked_mul(right),
                MathOperator::Divide | MathOperator::Remainder if right == 0 => return Err(zero()),
                MathOperator::Divide => left.checked_div(right),
                MathOperator::Remainder => Some(left.wrapping_rem(right)),
            };
            let result = result.ok_or_else(|| SqlError::out_of_range(&kind.to_string()))?;
            Value::Int(result).fit(kind)
        }
        _ => {
            let (Value::Float(left), Value::Float(right)) = (
                convert(left.clone(), ColumnType::Float8)?,
                convert(right.clone(), ColumnType::Float8)?,
            ) else {
                return Err(SqlError::mismatch("arithmetic needs numbers"));
            };
            Ok(Value::Float(match operator {
                MathOperator::Add => left + right,
                MathOperator::Subtract => left - right,
                MathOperator::Multiply => left * right,
                MathOperator::Divide if right == 0.0 => return Err(zero()),
                MathOperator::Divide => left / right,
                MathOperator::Remainder => {
                    return Err(SqlError::unsupported("% on fractions"));
                }
            }))
        }
    }
}

fn compare(operator: CompareOperator, left: &Value, right: &Value) -> Value {
    if left.is_null() || right.is_null() {
        return Value::Null;
    }
    let order = left.order(right);
    Value::Bool(match operator {
        CompareOperator::Equal => order == Ordering::Equal,
        CompareOperator::Different => order != Ordering::Equal,
        CompareOperator::Less => order == Ordering::Less,
        CompareOperator::LessEqual => order != Ordering::Greater,
        CompareOperator::Greater => order == Ordering::Greater,
        CompareOperator::GreaterEqual => order != Ordering::Less,
    })
}

fn like(text: &str, pattern: &str) -> Result<bool, SqlError> {
    let mut tokens = Vec::new();
    let mut characters = pattern.chars();
    while let Some(character) = characters.next() {
        match character {
            '%' => tokens.push(LikeToken::Any),
            '_' => tokens.push(LikeToken::One),
            '\\' => {
                let escaped = characters.next().ok_or_else(|| {
                    SqlError::new("22025", "LIKE pattern must not end with escape character")
                })?;
                tokens.push(LikeToken::Exact(escaped));
            }
            other => tokens.push(LikeToken::Exact(other)),
        }
    }
    let text: Vec<char> = text.chars().collect();
    // Greedy match that returns to the last `%` on a mismatch.
    let (mut position, mut token) = (0, 0);
    let mut restart = None;
    while position < text.len() {
        match tokens.get(token) {
            Some(LikeToken::Any) => {
                token += 1;
                restart = Some((position, token));
                continue;
            }
            Some(LikeToken::One) => {
                position += 1;
                token += 1;
                continue;
            }
            Some(LikeToken::Exact(wanted)) if *wanted == text[position] => {
                position += 1;
                token += 1;
                continue;
            }
            _ => {}
        }
        let Some((start, next)) = restart else { return Ok(false) };
        restart = Some((start + 1, next));
        position = start + 1;
        token = next;
    }
    Ok(tokens[token..].iter().all(|token| matches!(token, LikeToken::Any)))
}

#[derive(Clone, Copy)]
enum LikeToken {
    Any,
    One,
    Exact(char),
}
