//! Expressions with resolved columns, parameters and types.

use {
    super::function::ScalarFunction,
    crate::value::{ColumnType, Value},
};

/// Operator on two numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MathOperator {
    /// Sum.
    Add,
    /// Difference.
    Subtract,
    /// Product.
    Multiply,
    /// Quotient.
    Divide,
    /// Remainder.
    Remainder,
}

/// Comparison of two values of one type.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompareOperator {
    /// `=`.
    Equal,
    /// `<>`.
    Different,
    /// `<`.
    Less,
    /// `<=`.
    LessEqual,
    /// `>`.
    Greater,
    /// `>=`.
    GreaterEqual,
}

/// Operation of an expression.
#[derive(Clone, Debug)]
pub enum ExpressionNode {
    /// Fixed value.
    Constant(Value),
    /// Column of the source row.
    Column(usize),
    /// Parameter, counted from 0.
    Parameter(usize),
    /// Result of an aggregate of the query.
    Aggregate(usize),
    /// Arithmetic.
    Math(MathOperator, Box<BoundExpression>, Box<BoundExpression>),
    /// Negation of a number.
    Negate(Box<BoundExpression>),
    /// Comparison.
    Compare(CompareOperator, Box<BoundExpression>, Box<BoundExpression>),
    /// Concatenation of texts.
    Concat(Box<BoundExpression>, Box<BoundExpression>),
    /// Conjunction.
    And(Box<BoundExpression>, Box<BoundExpression>),
    /// Disjunction.
    Or(Box<BoundExpression>, Box<BoundExpression>),
    /// Negation of a truth value.
    Not(Box<BoundExpression>),
    /// Test for null.
    IsNull(Box<BoundExpression>),
    /// Test for a truth value; null is neither.
    IsBool(Box<BoundExpression>, bool),
    /// Membership in a list.
    In(Box<BoundExpression>, Vec<BoundExpression>),
    /// Match against a pattern with an escape character.
    Like {
        /// Text.
        text: Box<BoundExpression>,
        /// Pattern.
        pattern: Box<BoundExpression>,
        /// Whether case is ignored.
        fold_case: bool,
    },
    /// Conversion to the expression's type.
    Cast(Box<BoundExpression>),
    /// Conditions with results, and the result if none holds.
    Case(Vec<(BoundExpression, BoundExpression)>, Option<Box<BoundExpression>>),
    /// Function call.
    Call(ScalarFunction, Vec<BoundExpression>),
}

/// Expression with its type.
#[derive(Clone, Debug)]
pub struct BoundExpression {
    /// Operation.
    pub node: ExpressionNode,
    /// Type of the result.
    pub kind: ColumnType,
}

impl BoundExpression {
    /// Creates an expression.
    pub const fn new(node: ExpressionNode, kind: ColumnType) -> Self {
        Self { node, kind }
    }

    /// Returns the direct operands.
    pub fn operands(&self) -> Vec<&Self> {
        match &self.node {
            ExpressionNode::Constant(_)
            | ExpressionNode::Column(_)
            | ExpressionNode::Parameter(_)
            | ExpressionNode::Aggregate(_) => Vec::new(),
            ExpressionNode::Math(_, left, right)
            | ExpressionNode::Compare(_, left, right)
            | ExpressionNode::Concat(left, right)
            | ExpressionNode::And(left, right)
            | ExpressionNode::Or(left, right) => vec![left, right],
            ExpressionNode::Negate(operand)
            | ExpressionNode::Not(operand)
            | ExpressionNode::IsNull(operand)
            | ExpressionNode::IsBool(operand, _)
            | ExpressionNode::Cast(operand) => vec![operand],
            ExpressionNode::In(operand, list) => {
                let mut operands = vec![&**operand];
                operands.extend(list);
                operands
            }
            ExpressionNode::Like { text, pattern, .. } => vec![text, pattern],
            ExpressionNode::Case(branches, otherwise) => {
                let mut operands = Vec::new();
                for (condition, result) in branches {
                    operands.push(condition);
                    operands.push(result);
                }
                operands.extend(otherwise.as_deref());
                operands
            }
            ExpressionNode::Call(_, arguments) => arguments.iter().collect(),
        }
    }

    /// Returns the first column that the expression reads and that is not in `allowed`.
    pub fn column_outside(&self, allowed: &[usize]) -> Option<usize> {
        if let ExpressionNode::Column(column) = self.node {
            return (!allowed.contains(&column)).then_some(column);
        }
        self.operands().into_iter().find_map(|operand| operand.column_outside(allowed))
    }

    /// Returns whether the result is the same for every row.
    pub fn is_fixed(&self) -> bool {
        self.column_outside(&[]).is_none()
            && !self.any(&|node| {
                matches!(
                    node,
                    ExpressionNode::Aggregate(_) | ExpressionNode::Call(ScalarFunction::Sleep, _)
                )
            })
    }

    fn any(&self, test: &impl Fn(&ExpressionNode) -> bool) -> bool {
        test(&self.node) || self.operands().into_iter().any(|operand| operand.any(test))
    }
}
