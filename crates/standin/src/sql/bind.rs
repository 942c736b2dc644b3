//! Resolution of names and types in expressions.

use {
    super::{
        expression::{BoundExpression, CompareOperator, ExpressionNode, MathOperator},
        fold,
        function::ScalarFunction,
        simple_name,
        typing::{
            assign, cast, check_comparable, column_type, common, negate_if, no_operator, number,
            plain_arguments, wider,
        },
    },
    crate::{
        error::SqlError,
        value::{ColumnType, Value},
    },
    sqlparser::ast::{
        BinaryOperator, CaseWhen, CastKind, Expr, Function, InTarget, UnaryOperator,
        Value as Literal,
    },
};

/// Most parameters of one statement, as in the protocol.
const PARAMETER_LIMIT: usize = 65_535;

/// Deepest nesting of an expression; a chain of n operators nests n deep. In a debug build a chain of
/// 200 fits into the 2 MB stack of a thread and one of 300 overflows it.
const DEPTH_LIMIT: usize = 150;

/// Types of a statement's parameters, as far as they are known.
#[derive(Clone, Debug, Default)]
pub struct ParameterTypes {
    /// Types by parameter, counted from 0.
    pub kinds: Vec<Option<ColumnType>>,
}

impl ParameterTypes {
    /// Returns the types; a parameter of unknown type is a text.
    pub fn resolved(&self) -> Vec<ColumnType> {
        self.kinds.iter().map(|kind| kind.unwrap_or(ColumnType::Text)).collect()
    }
}

/// Columns that expressions can name.
#[derive(Clone, Debug, Default)]
pub struct ColumnScope {
    /// Name of the table or its alias.
    pub table: String,
    /// Names and types of the columns.
    pub columns: Vec<(String, ColumnType)>,
}

/// Aggregate function.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AggregateFunction {
    /// `count`.
    Count,
    /// `sum`.
    Sum,
    /// `min`.
    Min,
    /// `max`.
    Max,
}

/// Call of an aggregate function; `count(*)` has no argument.
#[derive(Clone, Debug)]
pub struct AggregateCall {
    /// Function.
    pub function: AggregateFunction,
    /// Argument.
    pub argument: Option<BoundExpression>,
}

/// Binds the expressions of one statement.
#[derive(Debug)]
pub struct ExpressionBinder<'a> {
    /// Columns in scope.
    pub scope: &'a ColumnScope,
    /// Parameter types, completed while binding.
    pub parameters: &'a mut ParameterTypes,
    /// Aggregates found so far, or nothing where they are not allowed.
    pub aggregates: Option<Vec<AggregateCall>>,
    depth: usize,
}

impl<'a> ExpressionBinder<'a> {
    /// Creates a binder that refuses aggregates.
    pub const fn new(scope: &'a ColumnScope, parameters: &'a mut ParameterTypes) -> Self {
        Self { scope, parameters, aggregates: None, depth: 0 }
    }

    /// Binds an expression; `hint` is the type that literals and parameters take.
    ///
    /// # Errors
    ///
    /// Returns an error if a name is unknown, types do not fit or the expression is not supported.
    pub fn bind(
        &mut self,
        expression: &Expr,
        hint: Option<ColumnType>,
    ) -> Result<BoundExpression, SqlError> {
        if self.depth == DEPTH_LIMIT {
            return Err(SqlError::new("54001", "the expression is nested too deeply"));
        }
        self.depth += 1;
        let bound = self.bind_node(expression, hint);
        self.depth -= 1;
        bound
    }

    fn bind_node(
        &mut self,
        expression: &Expr,
        hint: Option<ColumnType>,
    ) -> Result<BoundExpression, SqlError> {
        match expression {
            Expr::Nested(inner) => self.bind(inner, hint),
            Expr::Identifier(ident) => self.column(None, &fold(ident)),
            Expr::CompoundIdentifier(parts) => match parts.as_slice() {
                [table, column] => self.column(Some(&fold(table)), &fold(column)),
                _ => Err(SqlError::unsupported(format!("the name {expression}"))),
            },
            Expr::Value(value) => self.literal(&value.value, hint),
            Expr::TypedString(typed) => {
                let kind = column_type(&typed.data_type)?;
                self.literal(&typed.value.value, Some(kind))
            }
            Expr::BinaryOp { left, op, right } => self.binary(left, op, right),
            Expr::UnaryOp { op, expr } => self.unary(op, expr, hint),
            Expr::IsNull(inner) => self.is_null(inner, false),
            Expr::IsNotNull(inner) => self.is_null(inner, true),
            Expr::IsTrue(inner) => self.is_bool(inner, true, false),
            Expr::IsNotTrue(inner) => self.is_bool(inner, true, true),
            Expr::IsFalse(inner) => self.is_bool(inner, false, false),
            Expr::IsNotFalse(inner) => self.is_bool(inner, false, true),
            Expr::In { expr, target: InTarget::List(list), negated, global: false } => {
                self.in_list(expr, list, *negated)
            }
            Expr::Between { expr, negated, low, high } => {
                let lower = self.compare(expr, CompareOperator::GreaterEqual, low)?;
                let upper = self.compare(expr, CompareOperator::LessEqual, high)?;
                let node = ExpressionNode::And(Box::new(lower), Box::new(upper));
                Ok(negate_if(*negated, BoundExpression::new(node, ColumnType::Bool)))
            }
            Expr::Like { negated, any: false, expr, pattern, escape_char: None } => {
                self.like(expr, pattern, *negated, false)
            }
            Expr::ILike { negated, any: false, expr, pattern, escape_char: None } => {
                self.like(expr, pattern, *negated, true)
            }
            Expr::Cast {
                kind: CastKind::Cast | CastKind::DoubleColon,
                expr,
                data_type,
                format: None,
            } => {
                let kind = column_type(data_type)?;
                let inner = self.bind(expr, Some(kind))?;
                cast(inner, kind)
            }
            Expr::Case { operand, conditions, else_result, .. } => {
                self.case(operand.as_deref(), conditions, else_result.as_deref(), hint)
            }
            Expr::Function(function) => self.function(function, hint),
            other => Err(SqlError::unsupported(format!("the expression {other}"))),
        }
    }

    /// Binds an expression that must be a truth value.
    ///
    /// # Errors
    ///
    /// As [`ExpressionBinder::bind`], and 42804 for another type.
    pub fn bind_condition(&mut self, expression: &Expr) -> Result<BoundExpression, SqlError> {
        let bound = self.bind(expression, Some(ColumnType::Bool))?;
        if bound.kind != ColumnType::Bool {
            let message = format!("argument must be type boolean, not type {}", bound.kind);
            return Err(SqlError::mismatch(message));
        }
        Ok(bound)
    }

    /// Binds an expression whose value is stored in or passed as `kind`.
    ///
    /// # Errors
    ///
    /// As [`ExpressionBinder::bind`], and 42804 if the types do not fit.
    pub fn bind_as(
        &mut self,
        expression: &Expr,
        kind: ColumnType,
        what: &str,
    ) -> Result<BoundExpression, SqlError> {
        let bound = self.bind(expression, Some(kind))?;
        assign(bound, kind, what)
    }

    fn column(&self, table: Option<&str>, name: &str) -> Result<BoundExpression, SqlError> {
        if let Some(table) = table
            && table != self.scope.table
        {
            let message = format!("missing FROM-clause entry for table \"{table}\"");
            return Err(SqlError::new("42P01", message));
        }
        let found = self.scope.columns.iter().position(|(column, _)| column == name);
        let index = found
            .ok_or_else(|| SqlError::new("42703", format!("column \"{name}\" does not exist")))?;
        Ok(BoundExpression::new(ExpressionNode::Column(index), self.scope.columns[index].1))
    }

    fn literal(
        &mut self,
        literal: &Literal,
        hint: Option<ColumnType>,
    ) -> Result<BoundExpression, SqlError> {
        let constant =
            |value, kind| Ok(BoundExpression::new(ExpressionNode::Constant(value), kind));
        match literal {
            Literal::Number(text, _) => number(text),
            Literal::SingleQuotedString(text) | Literal::EscapedStringLiteral(text) => {
                let kind = hint.unwrap_or(ColumnType::Text);
                constant(Value::parse(text, kind)?, kind)
            }
            Literal::Boolean(truth) => constant(Value::Bool(*truth), ColumnType::Bool),
            Literal::Null => constant(Value::Null, hint.unwrap_or(ColumnType::Text)),
            Literal::Placeholder(name) => self.parameter(name, hint),
            other => Err(SqlError::unsupported(format!("the literal {other}"))),
        }
    }

    fn parameter(
        &mut self,
        name: &str,
        hint: Option<ColumnType>,
    ) -> Result<BoundExpression, SqlError> {
        let number = name.strip_prefix('$').and_then(|digits| digits.parse::<usize>().ok());
        let Some(index) = number.and_then(|number| number.checked_sub(1)) else {
            return Err(SqlError::new("42P02", format!("there is no parameter {name}")));
        };
        if index >= PARAMETER_LIMIT {
            return Err(SqlError::new("42P02", format!("there is no parameter {name}")));
        }
        if self.parameters.kinds.len() <= index {
            self.parameters.kinds.resize(index + 1, None);
        }
        let slot = &mut self.parameters.kinds[index];
        if slot.is_none() {
            *slot = hint;
        }
        let kind = slot.unwrap_or(ColumnType::Text);
        Ok(BoundExpression::new(ExpressionNode::Parameter(index), kind))
    }

    /// Binds two operands; a literal or parameter takes the type of the other operand.
    fn pair(
        &mut self,
        left: &Expr,
        right: &Expr,
        hint: Option<ColumnType>,
    ) -> Result<(BoundExpression, BoundExpression), SqlError> {
        if self.is_untyped(left) {
            let right = self.bind(right, hint)?;
            let left = self.bind(left, Some(right.kind))?;
            return Ok((left, right));
        }
        let left = self.bind(left, hint)?;
        let right = self.bind(right, Some(left.kind))?;
        Ok((left, right))
    }

    fn is_untyped(&self, expression: &Expr) -> bool {
        match expression {
            Expr::Nested(inner) => self.is_untyped(inner),
            Expr::Value(value) => matches!(
                value.value,
                Literal::SingleQuotedString(_) | Literal::Null | Literal::Placeholder(_)
            ),
            _ => false,
        }
    }

    fn binary(
        &mut self,
        left: &Expr,
        operator: &BinaryOperator,
        right: &Expr,
    ) -> Result<BoundExpression, SqlError> {
        let compare = match operator {
            BinaryOperator::And | BinaryOperator::Or => {
                let left = Box::new(self.bind_condition(left)?);
                let right = Box::new(self.bind_condition(right)?);
                let node = if *operator == BinaryOperator::And {
                    ExpressionNode::And(left, right)
                } else {
                    ExpressionNode::Or(left, right)
                };
                return Ok(BoundExpression::new(node, ColumnType::Bool));
            }
            BinaryOperator::StringConcat => {
                let left = self.bind(left, Some(ColumnType::Text))?;
                let right = self.bind(right, Some(ColumnType::Text))?;
                if left.kind != ColumnType::Text && right.kind != ColumnType::Text {
                    return Err(no_operator(&left, "||", &right));
                }
                let node = ExpressionNode::Concat(Box::new(left), Box::new(right));
                return Ok(BoundExpression::new(node, ColumnType::Text));
            }
            BinaryOperator::Plus => return self.math(left, MathOperator::Add, "+", right),
            BinaryOperator::Minus => return self.math(left, MathOperator::Subtract, "-", right),
            BinaryOperator::Multiply => return self.math(left, MathOperator::Multiply, "*", right),
            BinaryOperator::Divide => return self.math(left, MathOperator::Divide, "/", right),
            BinaryOperator::Modulo => return self.math(left, MathOperator::Remainder, "%", right),
            BinaryOperator::Eq => CompareOperator::Equal,
            BinaryOperator::NotEq => CompareOperator::Different,
            BinaryOperator::Lt => CompareOperator::Less,
            BinaryOperator::LtEq => CompareOperator::LessEqual,
            BinaryOperator::Gt => CompareOperator::Greater,
            BinaryOperator::GtEq => CompareOperator::GreaterEqual,
            other => return Err(SqlError::unsupported(format!("the operator {other}"))),
        };
        self.compare(left, compare, right)
    }

    fn compare(
        &mut self,
        left: &Expr,
        operator: CompareOperator,
        right: &Expr,
    ) -> Result<BoundExpression, SqlError> {
        let (left, right) = self.pair(left, right, None)?;
        check_comparable(&left, &right)?;
        let node = ExpressionNode::Compare(operator, Box::new(left), Box::new(right));
        Ok(BoundExpression::new(node, ColumnType::Bool))
    }

    fn math(
        &mut self,
        left: &Expr,
        operator: MathOperator,
        symbol: &str,
        right: &Expr,
    ) -> Result<BoundExpression, SqlError> {
        let (left, right) = self.pair(left, right, None)?;
        if !left.kind.is_number() || !right.kind.is_number() {
            return Err(no_operator(&left, symbol, &right));
        }
        let kind = wider(left.kind, right.kind);
        let node = ExpressionNode::Math(operator, Box::new(left), Box::new(right));
        Ok(BoundExpression::new(node, kind))
    }

    fn unary(
        &mut self,
        operator: &UnaryOperator,
        operand: &Expr,
        hint: Option<ColumnType>,
    ) -> Result<BoundExpression, SqlError> {
        match operator {
            UnaryOperator::Not => Ok(negate_if(true, self.bind_condition(operand)?)),
            UnaryOperator::Minus => {
                // The smallest numbers have no positive counterpart of the same type.
                if let Expr::Value(value) = operand
                    && let Literal::Number(text, _) = &value.value
                {
                    return number(&format!("-{text}"));
                }
                let bound = self.bind(operand, hint)?;
                if !bound.kind.is_number() {
                    let message = format!("operator does not exist: - {}", bound.kind);
                    return Err(SqlError::new("42883", message));
                }
                let kind = bound.kind;
                Ok(BoundExpression::new(ExpressionNode::Negate(Box::new(bound)), kind))
            }
            UnaryOperator::Plus => self.bind(operand, hint),
            other => Err(SqlError::unsupported(format!("the operator {other}"))),
        }
    }

    fn is_null(&mut self, inner: &Expr, negated: bool) -> Result<BoundExpression, SqlError> {
        let bound = self.bind(inner, None)?;
        let node = ExpressionNode::IsNull(Box::new(bound));
        Ok(negate_if(negated, BoundExpression::new(node, ColumnType::Bool)))
    }

    fn is_bool(
        &mut self,
        inner: &Expr,
        truth: bool,
        negated: bool,
    ) -> Result<BoundExpression, SqlError> {
        let bound = self.bind_condition(inner)?;
        let node = ExpressionNode::IsBool(Box::new(bound), truth);
        Ok(negate_if(negated, BoundExpression::new(node, ColumnType::Bool)))
    }

    fn in_list(
        &mut self,
        operand: &Expr,
        list: &[Expr],
        negated: bool,
    ) -> Result<BoundExpression, SqlError> {
        let hint = if self.is_untyped(operand) {
            list.first().map(|first| self.bind(first, None)).transpose()?.map(|first| first.kind)
        } else {
            None
        };
        let operand = self.bind(operand, hint)?;
        let mut items = Vec::with_capacity(list.len());
        for item in list {
            let item = self.bind(item, Some(operand.kind))?;
            check_comparable(&operand, &item)?;
            items.push(item);
        }
        let node = ExpressionNode::In(Box::new(operand), items);
        Ok(negate_if(negated, BoundExpression::new(node, ColumnType::Bool)))
    }

    fn like(
        &mut self,
        text: &Expr,
        pattern: &Expr,
        negated: bool,
        fold_case: bool,
    ) -> Result<BoundExpression, SqlError> {
        let text = self.bind(text, Some(ColumnType::Text))?;
        let pattern = self.bind(pattern, Some(ColumnType::Text))?;
        if text.kind != ColumnType::Text || pattern.kind != ColumnType::Text {
            return Err(no_operator(&text, "~~", &pattern));
        }
        let (text, pattern) = (Box::new(text), Box::new(pattern));
        let node = ExpressionNode::Like { text, pattern, fold_case };
        Ok(negate_if(negated, BoundExpression::new(node, ColumnType::Bool)))
    }

    fn case(
        &mut self,
        operand: Option<&Expr>,
        conditions: &[CaseWhen],
        otherwise: Option<&Expr>,
        hint: Option<ColumnType>,
    ) -> Result<BoundExpression, SqlError> {
        let mut branches = Vec::with_capacity(conditions.len());
        let mut kind = hint;
        for branch in conditions {
            let condition = match operand {
                Some(operand) => {
                    self.compare(operand, CompareOperator::Equal, &branch.condition)?
                }
                None => self.bind_condition(&branch.condition)?,
            };
            let result = self.bind(&branch.result, kind)?;
            kind = Some(kind.map_or(result.kind, |kind| common(kind, result.kind)));
            branches.push((condition, result));
        }
        let otherwise = otherwise.map(|result| self.bind(result, kind)).transpose()?;
        if let Some(result) = &otherwise {
            kind = Some(kind.map_or(result.kind, |kind| common(kind, result.kind)));
        }
        let kind = kind.unwrap_or(ColumnType::Text);
        let mut results = Vec::with_capacity(branches.len());
        for (condition, result) in branches {
            results.push((condition, assign(result, kind, "CASE result")?));
        }
        let otherwise = otherwise.map(|result| assign(result, kind, "CASE result")).transpose()?;
        let node = ExpressionNode::Case(results, otherwise.map(Box::new));
        Ok(BoundExpression::new(node, kind))
    }

    fn function(
        &mut self,
        function: &Function,
        hint: Option<ColumnType>,
    ) -> Result<BoundExpression, SqlError> {
        let name = simple_name(&function.name)?;
        let arguments = plain_arguments(function)?;
        let aggregate = match name.as_str() {
            "count" => Some(AggregateFunction::Count),
            "sum" => Some(AggregateFunction::Sum),
            "min" => Some(AggregateFunction::Min),
            "max" => Some(AggregateFunction::Max),
            _ => None,
        };
        if let Some(aggregate) = aggregate {
            return self.aggregate(aggregate, &arguments);
        }
        let unknown = || SqlError::new("42883", format!("function {name} does not exist"));
        let scalar = ScalarFunction::from_name(&name).ok_or_else(unknown)?;
        let mut bound = Vec::with_capacity(arguments.len());
        match scalar.parameters() {
            Some(kinds) => {
                if kinds.len() != arguments.len() {
                    return Err(unknown());
                }
                for (argument, kind) in arguments.iter().zip(kinds) {
                    let argument = argument.ok_or_else(unknown)?;
                    bound.push(self.bind_as(argument, *kind, &name)?);
                }
            }
            None => {
                let mut kind = hint;
                for argument in &arguments {
                    let argument = self.bind(argument.ok_or_else(unknown)?, kind)?;
                    kind = Some(if bound.is_empty() {
                        argument.kind
                    } else {
                        kind.map_or(argument.kind, |kind| common(kind, argument.kind))
                    });
                    bound.push(argument);
                }
                let kind = kind.filter(|_| !bound.is_empty()).ok_or_else(unknown)?;
                let single = scalar == ScalarFunction::Abs;
                if single && (bound.len() != 1 || !kind.is_number()) {
                    return Err(unknown());
                }
                let mut same = Vec::with_capacity(bound.len());
                for argument in bound {
                    same.push(assign(argument, kind, &name)?);
                }
                bound = same;
            }
        }
        let first = bound.first().map_or(ColumnType::Text, |argument| argument.kind);
        let kind = scalar.result(first);
        Ok(BoundExpression::new(ExpressionNode::Call(scalar, bound), kind))
    }

    fn aggregate(
        &mut self,
        function: AggregateFunction,
        arguments: &[Option<&Expr>],
    ) -> Result<BoundExpression, SqlError> {
        let Some(mut calls) = self.aggregates.take() else {
            return Err(SqlError::new("42803", "aggregate functions are not allowed here"));
        };
        let argument = match arguments {
            [None] if function == AggregateFunction::Count => None,
            [Some(argument)] => Some(self.bind(argument, None)?),
            _ => return Err(SqlError::new("42883", "no such aggregate function")),
        };
        let kind = match (function, argument.as_ref().map(|argument| argument.kind)) {
            (AggregateFunction::Count, _) => ColumnType::Int8,
            (AggregateFunction::Sum, Some(ColumnType::Int4 | ColumnType::Int8)) => ColumnType::Int8,
            (AggregateFunction::Sum, Some(ColumnType::Float8)) => ColumnType::Float8,
            (
                AggregateFunction::Min | AggregateFunction::Max,
                Some(
                    kind @ (ColumnType::Int4
                    | ColumnType::Int8
                    | ColumnType::Float8
                    | ColumnType::Text),
                ),
            ) => kind,
            _ => return Err(SqlError::new("42883", "no such aggregate function for the type")),
        };
        calls.push(AggregateCall { function, argument });
        let index = calls.len() - 1;
        self.aggregates = Some(calls);
        Ok(BoundExpression::new(ExpressionNode::Aggregate(index), kind))
    }
}
