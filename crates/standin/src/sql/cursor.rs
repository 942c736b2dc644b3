//! Execution of queries in steps of bounded work and memory.

use {
    super::{
        bind::{AggregateCall, AggregateFunction},
        evaluate::{RowContext, SessionFacts, evaluate, holds},
        expression::MathOperator,
        plan::{QueryPlan, QuerySource, RowFilter, SortKey, SortValue},
        query::row_count,
    },
    crate::{
        error::SqlError,
        store::{DataStore, OpenTransaction, RowOverlay},
        table::TableSchema,
        value::{ColumnType, IndexKey, SharedRow, Value},
    },
    std::{
        cell::Cell,
        cmp::Ordering,
        collections::{BTreeMap, VecDeque},
        ops::Bound::{Excluded, Unbounded},
        sync::Arc,
    },
};

/// Source rows that one step reads, so that the store's lock is never held for long.
const STEP_ROWS: usize = 512;

/// Text bytes after which a step ends early, so that wide rows do not pile up.
const STEP_BYTES: usize = 256 * 1024;

/// Values and facts that a statement is run with.
#[derive(Clone, Debug)]
pub struct StatementInput {
    /// Values of the parameters.
    pub parameters: Arc<[Value]>,
    /// Facts about the session.
    pub facts: SessionFacts,
}

impl StatementInput {
    /// Returns a context for expressions without aggregates.
    pub fn context<'a>(&'a self, sleep: &'a Cell<f64>) -> RowContext<'a> {
        RowContext { parameters: &self.parameters, aggregates: &[], facts: &self.facts, sleep }
    }
}

/// Scan of the rows of a table that a transaction sees.
#[derive(Debug)]
pub struct RowScan {
    table: u64,
    created: bool,
    offset: u64,
    after: Option<u64>,
    found: Option<VecDeque<u64>>,
    batch: VecDeque<(u64, SharedRow)>,
}

impl RowScan {
    /// Starts a scan; with a lookup only the rows that can match are read.
    ///
    /// # Errors
    ///
    /// Returns an error if a key cannot be computed.
    pub fn open(
        schema: &TableSchema,
        filter: &RowFilter,
        data: &DataStore,
        transaction: &OpenTransaction,
        context: &RowContext<'_>,
    ) -> Result<Self, SqlError> {
        let mut scan = Self {
            table: schema.id,
            created: transaction.created.values().any(|created| created.id == schema.id),
            offset: transaction.snapshot.position.offset,
            after: None,
            found: None,
            batch: VecDeque::new(),
        };
        let Some(lookup) = &filter.lookup else { return Ok(scan) };
        let mut found = Vec::new();
        for expressions in &lookup.keys {
            let mut values = Vec::with_capacity(expressions.len());
            for expression in expressions {
                values.push(evaluate(expression, &[], context)?);
            }
            let key = IndexKey(values);
            if key.0.iter().any(Value::is_null) {
                continue;
            }
            if let Some(rows) = data.tables.get(&schema.id) {
                found.extend_from_slice(rows.candidates(lookup.index, &key));
            }
            if let Some(own) = transaction.keys.get(&(schema.id, lookup.index, key)) {
                found.push(*own);
            }
        }
        found.sort_unstable();
        found.dedup();
        scan.found = Some(found.into());
        Ok(scan)
    }

    /// Returns the next row with its number.
    ///
    /// # Errors
    ///
    /// Returns 42P01 if the table was dropped in the meantime.
    pub fn next(
        &mut self,
        data: &DataStore,
        overlay: Option<&RowOverlay>,
    ) -> Result<Option<(u64, SharedRow)>, SqlError> {
        let rows = data.tables.get(&self.table);
        if rows.is_none() && !self.created {
            return Err(SqlError::new("42P01", "the table was dropped"));
        }
        if let Some(found) = &mut self.found {
            while let Some(id) = found.pop_front() {
                let row = match overlay.and_then(|overlay| overlay.get(&id)) {
                    Some(own) => own.as_ref(),
                    None => rows.and_then(|rows| rows.visible(id, self.offset)),
                };
                if let Some(row) = row {
                    return Ok(Some((id, row.clone())));
                }
            }
            return Ok(None);
        }
        if overlay.is_none_or(RowOverlay::is_empty) {
            if self.batch.is_empty() {
                let Some(rows) = rows else { return Ok(None) };
                self.batch = rows.visible_batch(self.after, self.offset, STEP_ROWS);
                self.after = self.batch.back().map(|(id, _)| *id).or(self.after);
            }
            return Ok(self.batch.pop_front());
        }
        loop {
            let committed = rows.and_then(|rows| rows.next_visible(self.after, self.offset));
            let start = self.after.map_or(Unbounded, Excluded);
            let own = overlay.and_then(|overlay| overlay.range((start, Unbounded)).next());
            let (id, row) = match (committed, own) {
                (None, None) => return Ok(None),
                (Some((id, row)), None) => (id, Some(row)),
                (Some((id, row)), Some((own, _))) if id < *own => (id, Some(row)),
                (_, Some((own, row))) => (*own, row.as_ref()),
            };
            self.after = Some(id);
            if let Some(row) = row {
                return Ok(Some((id, row.clone())));
            }
        }
    }
}

#[derive(Debug)]
enum CursorSource {
    Rows(VecDeque<SharedRow>),
    Scan(RowScan, RowOverlay),
    Series(i64, i64),
    Ended,
}

#[derive(Debug)]
struct RowGroup {
    first: SharedRow,
    results: Vec<Value>,
}

/// Row of a result, with the number of the table row that it was computed from.
pub type FoundRow = (Option<u64>, Vec<Value>);

#[derive(Debug)]
struct SortedRow {
    keys: Vec<Value>,
    found: FoundRow,
}

/// Query in execution.
#[derive(Debug)]
pub struct QueryCursor {
    plan: Arc<QueryPlan>,
    input: StatementInput,
    source: CursorSource,
    groups: BTreeMap<IndexKey, RowGroup>,
    sorted: Vec<SortedRow>,
    ready: VecDeque<FoundRow>,
    skip: u64,
    remaining: Option<u64>,
    ended: bool,
}

impl QueryCursor {
    /// Starts a query; `status` is the row of `group_status()`.
    ///
    /// # Errors
    ///
    /// Returns an error if a limit, bound or key cannot be computed.
    pub fn open(
        plan: Arc<QueryPlan>,
        input: StatementInput,
        status: SharedRow,
        data: &DataStore,
        transaction: &OpenTransaction,
    ) -> Result<Self, SqlError> {
        let sleep = Cell::new(0.0);
        let context = input.context(&sleep);
        let source = match &plan.source {
            QuerySource::Single => CursorSource::Rows(VecDeque::from([SharedRow::from([])])),
            QuerySource::Status => CursorSource::Rows(VecDeque::from([status])),
            QuerySource::Series(first, last) => {
                match (evaluate(first, &[], &context)?, evaluate(last, &[], &context)?) {
                    (Value::Int(first), Value::Int(last)) => CursorSource::Series(first, last),
                    _ => CursorSource::Ended,
                }
            }
            QuerySource::Table(schema) => {
                let scan = RowScan::open(schema, &plan.filter, data, transaction, &context)?;
                let overlay = transaction.writes.get(&schema.id).cloned().unwrap_or_default();
                CursorSource::Scan(scan, overlay)
            }
        };
        let number = |expression: &Option<_>, what, sqlstate| match expression {
            Some(expression) => row_count(&evaluate(expression, &[], &context)?, what, sqlstate),
            None => Ok(None),
        };
        let remaining = number(&plan.limit, "LIMIT", "2201W")?;
        let skip = number(&plan.offset, "OFFSET", "2201X")?.unwrap_or(0);
        let mut cursor = Self {
            plan,
            input,
            source,
            groups: BTreeMap::new(),
            sorted: Vec::new(),
            ready: VecDeque::new(),
            skip,
            remaining,
            ended: false,
        };
        if cursor.plan.grouped && cursor.plan.group.is_empty() {
            cursor.group(&SharedRow::from([]), IndexKey(Vec::new()));
        }
        Ok(cursor)
    }

    /// Takes the next finished row.
    pub fn take(&mut self) -> Option<Vec<Value>> {
        self.ready.pop_front().map(|(_, row)| row)
    }

    /// Takes the next finished row with the number of its table row.
    pub fn take_found(&mut self) -> Option<FoundRow> {
        self.ready.pop_front()
    }

    /// Returns whether every row has been taken.
    pub fn is_done(&self) -> bool {
        self.ended && self.ready.is_empty()
    }

    /// Does a bounded amount of work; finished rows can then be taken.
    ///
    /// # Errors
    ///
    /// Returns an error if an expression cannot be computed.
    pub fn step(&mut self, data: &DataStore, sleep: &Cell<f64>) -> Result<(), SqlError> {
        let plan = self.plan.clone();
        let input = self.input.clone();
        let context = input.context(sleep);
        let mut bytes = 0;
        for _ in 0..STEP_ROWS {
            if self.ended || bytes > STEP_BYTES {
                return Ok(());
            }
            if self.remaining == Some(0) {
                self.ended = true;
                return Ok(());
            }
            let Some((id, row)) = self.pull(data)? else {
                return self.finish(&plan, &input, sleep);
            };
            if !holds(plan.filter.condition.as_ref(), &row, &context)? {
                continue;
            }
            if plan.grouped {
                self.accumulate(&plan, &row, &context)?;
                continue;
            }
            bytes += self.produce(&plan, id, &row, &context)?;
        }
        Ok(())
    }

    fn pull(&mut self, data: &DataStore) -> Result<Option<(Option<u64>, SharedRow)>, SqlError> {
        match &mut self.source {
            CursorSource::Ended => Ok(None),
            CursorSource::Rows(rows) => Ok(rows.pop_front().map(|row| (None, row))),
            CursorSource::Scan(scan, overlay) => {
                Ok(scan.next(data, Some(overlay))?.map(|(id, row)| (Some(id), row)))
            }
            CursorSource::Series(next, last) => {
                if *next > *last {
                    return Ok(None);
                }
                let row = SharedRow::from([Value::Int(*next)]);
                match next.checked_add(1) {
                    Some(following) => *next = following,
                    None => self.source = CursorSource::Ended,
                }
                Ok(Some((None, row)))
            }
        }
    }

    fn produce(
        &mut self,
        plan: &QueryPlan,
        id: Option<u64>,
        row: &[Value],
        context: &RowContext<'_>,
    ) -> Result<usize, SqlError> {
        let streamed = plan.order.is_empty();
        if streamed && self.skip > 0 {
            self.skip -= 1;
            return Ok(0);
        }
        let mut output = Vec::with_capacity(plan.projection.len());
        let mut bytes = 0;
        for expression in &plan.projection {
            let value = evaluate(expression, row, context)?;
            if let Value::Text(text) = &value {
                bytes += text.len();
            }
            output.push(value);
        }
        if !streamed {
            let mut keys = Vec::with_capacity(plan.order.len());
            for key in &plan.order {
                keys.push(match &key.value {
                    SortValue::Output(index) => output[*index].clone(),
                    SortValue::Expression(expression) => evaluate(expression, row, context)?,
                });
            }
            self.sorted.push(SortedRow { keys, found: (id, output) });
            return Ok(bytes);
        }
        if let Some(remaining) = &mut self.remaining {
            if *remaining == 0 {
                return Ok(0);
            }
            *remaining -= 1;
        }
        self.ready.push_back((id, output));
        Ok(bytes)
    }

    fn group(&mut self, first: &SharedRow, key: IndexKey) -> &mut RowGroup {
        let calls = &self.plan.aggregates;
        self.groups.entry(key).or_insert_with(|| {
            let mut results = Vec::with_capacity(calls.len());
            for call in calls {
                let counts = call.function == AggregateFunction::Count;
                results.push(if counts { Value::Int(0) } else { Value::Null });
            }
            RowGroup { first: first.clone(), results }
        })
    }

    fn accumulate(
        &mut self,
        plan: &QueryPlan,
        row: &SharedRow,
        context: &RowContext<'_>,
    ) -> Result<(), SqlError> {
        let key = IndexKey(plan.group.iter().map(|column| row[*column].clone()).collect());
        let group = self.group(row, key);
        for (call, result) in plan.aggregates.iter().zip(&mut group.results) {
            let value = match &call.argument {
                Some(argument) => evaluate(argument, row, context)?,
                None => Value::Bool(true),
            };
            if !value.is_null() {
                *result = aggregate(call, result, value)?;
            }
        }
        Ok(())
    }

    fn finish(
        &mut self,
        plan: &QueryPlan,
        input: &StatementInput,
        sleep: &Cell<f64>,
    ) -> Result<(), SqlError> {
        for group in std::mem::take(&mut self.groups).into_values() {
            let context = RowContext { aggregates: &group.results, ..input.context(sleep) };
            self.produce(plan, None, &group.first, &context)?;
        }
        let mut sorted = std::mem::take(&mut self.sorted);
        sorted.sort_by(|left, right| sort_order(&plan.order, &left.keys, &right.keys));
        let skip = usize::try_from(self.skip).unwrap_or(usize::MAX);
        let limit =
            self.remaining.map_or(usize::MAX, |limit| usize::try_from(limit).unwrap_or(usize::MAX));
        if !plan.order.is_empty() {
            self.ready.extend(sorted.into_iter().skip(skip).take(limit).map(|row| row.found));
        }
        self.ended = true;
        Ok(())
    }
}

fn sort_order(keys: &[SortKey], left: &[Value], right: &[Value]) -> Ordering {
    for (key, (left, right)) in keys.iter().zip(left.iter().zip(right)) {
        let order = match (left.is_null(), right.is_null()) {
            (true, true) => Ordering::Equal,
            (true, false) if key.nulls_first => Ordering::Less,
            (true, false) => Ordering::Greater,
            (false, true) if key.nulls_first => Ordering::Greater,
            (false, true) => Ordering::Less,
            _ if key.descending => right.order(left),
            _ => left.order(right),
        };
        if order != Ordering::Equal {
            return order;
        }
    }
    Ordering::Equal
}

fn aggregate(call: &AggregateCall, result: &Value, value: Value) -> Result<Value, SqlError> {
    if result.is_null() && call.function != AggregateFunction::Count {
        return Ok(value);
    }
    match call.function {
        AggregateFunction::Count => {
            super::evaluate::math(MathOperator::Add, result, &Value::Int(1), ColumnType::Int8)
        }
        AggregateFunction::Sum => {
            super::evaluate::math(MathOperator::Add, result, &value, ColumnType::Int8)
        }
        AggregateFunction::Min if value.order(result) == Ordering::Less => Ok(value),
        AggregateFunction::Max if value.order(result) == Ordering::Greater => Ok(value),
        AggregateFunction::Min | AggregateFunction::Max => Ok(result.clone()),
    }
}
