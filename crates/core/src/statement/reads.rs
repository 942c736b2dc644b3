//! Classification of statements that access data as reads or writes.

use {
    super::{
        ConnectionEffect, StatementAction,
        pure::{is_pure, is_session_function},
    },
    sqlparser::ast::{
        BinaryOperator, Expr, ObjectName, Query, Select, SetExpr, Statement, TableFactor, Visit,
        Visitor,
    },
    std::ops::ControlFlow,
};

pub(super) fn classify_data(statement: &Statement) -> (StatementAction, ConnectionEffect) {
    let mut check = ReadCheck::default();
    let is_read = may_be_read(statement) && statement.visit(&mut check).is_continue();
    if is_read && !check.found {
        return (StatementAction::Read, ConnectionEffect::NONE);
    }
    let mut search = SessionStateSearch::default();
    let _ = statement.visit(&mut search);
    let effect = if search.found { ConnectionEffect::PINS } else { ConnectionEffect::NONE };
    (StatementAction::Write, effect)
}

fn may_be_read(statement: &Statement) -> bool {
    match statement {
        Statement::Query(_)
        | Statement::ShowVariable { .. }
        | Statement::Declare { .. }
        | Statement::Fetch { .. }
        | Statement::Close { .. } => true,
        Statement::Explain { statement, .. } => may_be_read(statement),
        _ => false,
    }
}

/// Visitor that stops at the first part of a statement that is not known to be a read.
#[derive(Debug, Default)]
struct ReadCheck {
    found: bool,
}

impl ReadCheck {
    const fn require(&mut self, pure: bool) -> ControlFlow<()> {
        if pure {
            return ControlFlow::Continue(());
        }
        self.found = true;
        ControlFlow::Break(())
    }
}

impl Visitor for ReadCheck {
    type Break = ();

    fn pre_visit_statement(&mut self, statement: &Statement) -> ControlFlow<()> {
        self.require(may_be_read(statement))
    }

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        let plain = query.locks.is_empty()
            && query.for_clause.is_none()
            && query.settings.is_none()
            && query.format_clause.is_none()
            && query.pipe_operators.is_empty();
        self.require(plain && is_read_body(&query.body))
    }

    fn pre_visit_select(&mut self, select: &Select) -> ControlFlow<()> {
        self.require(select.into.is_none())
    }

    fn pre_visit_table_factor(&mut self, factor: &TableFactor) -> ControlFlow<()> {
        let pure = match factor {
            TableFactor::Table { name, args: Some(_), .. } => is_pure(name),
            TableFactor::Function { name, .. } => is_pure(name),
            TableFactor::Table { .. }
            | TableFactor::Derived { .. }
            | TableFactor::NestedJoin { .. }
            | TableFactor::UNNEST { .. } => true,
            _ => false,
        };
        self.require(pure)
    }

    fn pre_visit_expr(&mut self, expression: &Expr) -> ControlFlow<()> {
        let pure = match expression {
            Expr::Function(function) => is_pure(&function.name),
            // An operator of an extension may run any function.
            Expr::BinaryOp {
                op: BinaryOperator::Custom(_) | BinaryOperator::PGCustomBinaryOperator(_),
                ..
            } => false,
            _ => true,
        };
        self.require(pure)
    }
}

fn is_read_body(body: &SetExpr) -> bool {
    match body {
        SetExpr::Select(_) | SetExpr::Query(_) | SetExpr::Values(_) | SetExpr::Table(_) => true,
        SetExpr::SetOperation { .. } => {
            // Chains of UNION nest to the left, so a loop over the left side avoids deep recursion.
            let mut body = body;
            while let SetExpr::SetOperation { left, right, .. } = body {
                if !matches!(
                    right.as_ref(),
                    SetExpr::Select(_)
                        | SetExpr::Query(_)
                        | SetExpr::Values(_)
                        | SetExpr::Table(_)
                        | SetExpr::SetOperation { .. }
                ) {
                    return false;
                }
                body = left;
            }
            is_read_body(body)
        }
        SetExpr::Insert(_) | SetExpr::Update(_) | SetExpr::Delete(_) | SetExpr::Merge(_) => false,
    }
}

/// Visitor that searches for functions and clauses that leave state on the connection.
#[derive(Debug, Default)]
struct SessionStateSearch {
    found: bool,
}

impl SessionStateSearch {
    fn check_function(&mut self, name: &ObjectName) {
        let function = name.0.last().and_then(|part| part.as_ident());
        self.found |= function.is_some_and(|ident| is_session_function(&ident.value));
    }
}

impl Visitor for SessionStateSearch {
    type Break = ();

    fn pre_visit_select(&mut self, select: &Select) -> ControlFlow<()> {
        self.found |= select.into.as_ref().is_some_and(|into| into.temporary);
        ControlFlow::Continue(())
    }

    fn pre_visit_table_factor(&mut self, factor: &TableFactor) -> ControlFlow<()> {
        if let TableFactor::Table { name, args: Some(_), .. } | TableFactor::Function { name, .. } =
            factor
        {
            self.check_function(name);
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_expr(&mut self, expression: &Expr) -> ControlFlow<()> {
        if let Expr::Function(function) = expression {
            self.check_function(&function.name);
        }
        ControlFlow::Continue(())
    }
}
