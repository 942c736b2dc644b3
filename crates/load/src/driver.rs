//! Open-loop driver: requests arrive at their own times, whether or not earlier ones were answered.
//!
//! An arrival takes any idle connection of its kind and opens another when none is idle, so no
//! request waits in the load tool behind another one.

use {
    crate::{
        mix::{MixEntry, RequestMix},
        overhead::{connect, micros, new_histogram},
    },
    hdrhistogram::Histogram,
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        collections::BTreeMap,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        task::JoinSet,
        time::{sleep_until, timeout_at},
    },
    tokio_postgres::{Client, Error, Row, Statement},
};

/// Rows of the table that short reads use.
pub const TABLE_ROWS: i64 = 1_000;

/// Connections per kind above which an arrival counts as not connected.
///
/// 3,000 requests/s that are answered in 10 ms need 30; the limit only bounds the load tool's own
/// memory when a side stops answering.
pub const CONNECTION_LIMIT: usize = 4_000;

/// Longest wait after the last arrival; the deadlines of all short kinds have passed by then.
const DRAIN_LIMIT: Duration = Duration::from_secs(8);

/// Part of a run with one arrival rate.
#[derive(Clone, Copy, Debug)]
pub struct LoadPhase {
    /// Name in the report.
    pub name: &'static str,
    /// Short requests per second.
    pub rate: f64,
    /// Long requests per second.
    pub reports: f64,
    /// Length of the phase.
    pub span: Duration,
}

/// What a run needs to know.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Mix of requests.
    pub mix: RequestMix,
    /// Phases in their order.
    pub phases: Vec<LoadPhase>,
    /// Greatest number of connections per kind.
    pub connections: usize,
    /// Seed of arrivals and keys.
    pub seed: u64,
}

/// What became of one kind of request in one phase.
#[derive(Clone, Debug)]
pub struct KindFigures {
    /// Requests that arrived.
    pub offered: u64,
    /// Whole correct answers within the deadline.
    pub in_time: u64,
    /// Requests without an answer at their deadline.
    pub late: u64,
    /// Answers that say not run.
    pub refused: u64,
    /// Requests that got no connection.
    pub unconnected: u64,
    /// Other errors.
    pub failed: u64,
    /// Answers that were not the answer to the request.
    pub wrong: u64,
    /// Requests whose deadline had not passed when the run ended.
    pub unfinished: u64,
    /// Answers in time from a replica.
    pub from_replica: u64,
    /// Latency of whole correct answers in microseconds, from the intended arrival; late ones
    /// that came before the end of the run are included.
    pub latency: Histogram<u64>,
    /// Time to refusals in microseconds, from the intended arrival.
    pub refusal: Histogram<u64>,
}

impl Default for KindFigures {
    fn default() -> Self {
        Self {
            offered: 0,
            in_time: 0,
            late: 0,
            refused: 0,
            unconnected: 0,
            failed: 0,
            wrong: 0,
            unfinished: 0,
            from_replica: 0,
            latency: new_histogram(),
            refusal: new_histogram(),
        }
    }
}

/// Figures by phase and kind.
pub type LoadFigures = BTreeMap<(&'static str, &'static str), KindFigures>;

/// Creates and fills the tables of a mix.
///
/// # Errors
///
/// Returns an error if the tables cannot be created.
pub async fn prepare(url: &str, mix: &RequestMix) -> Result<(), Error> {
    let client = connect(url, "setup").await?;
    for statement in mix.setup {
        client.batch_execute(statement).await?;
    }
    let table = mix.table();
    client.batch_execute(&format!("DELETE FROM {table}")).await?;
    let mut first = 1;
    while first <= TABLE_ROWS {
        let mut values = Vec::new();
        for item in first..(first + 100).min(TABLE_ROWS + 1) {
            values.push(format!("({item}, {})", item * 7));
        }
        let statement =
            format!("INSERT INTO {table} (item, quantity) VALUES {}", values.join(", "));
        client.batch_execute(&statement).await?;
        first += 100;
    }
    Ok(())
}

/// Runs the phases against the entries or proxy at `urls`; connections are spread over them.
///
/// # Errors
///
/// Returns an error if no connection can be opened at the start.
pub async fn run(urls: &[String], plan: &LoadPlan) -> Result<LoadFigures, Error> {
    let urls: Arc<[String]> = urls.into();
    connect(&urls[0], "load").await?;
    let mut kinds = plan.mix.entries.clone();
    kinds.push(plan.mix.report.clone());
    let mut pools = Vec::new();
    for entry in kinds {
        pools.push(Arc::new(KindPool {
            entry,
            urls: Arc::clone(&urls),
            limit: plan.connections,
            opened: AtomicUsize::new(0),
            state: Mutex::default(),
        }));
    }
    let mut tasks = arrive(plan, &pools).await;
    let end = Instant::now() + DRAIN_LIMIT;
    while let Ok(Some(_)) = timeout_at(end.into(), tasks.join_next()).await {}
    tasks.shutdown().await;
    let mut figures = LoadFigures::new();
    for pool in pools {
        let mut state = pool.lock();
        for (phase, mut part) in std::mem::take(&mut state.figures) {
            let decided = part.in_time
                + part.late
                + part.refused
                + part.unconnected
                + part.failed
                + part.wrong;
            part.unfinished = part.offered - decided;
            figures.insert((phase, pool.entry.kind), part);
        }
    }
    Ok(figures)
}

struct CallerConnection {
    client: Client,
    statement: Option<Statement>,
}

#[derive(Default)]
struct PoolState {
    idle: Vec<CallerConnection>,
    /// Connections that are open or being opened.
    open: usize,
    figures: BTreeMap<&'static str, KindFigures>,
}

/// Connections and figures of one kind.
struct KindPool {
    entry: MixEntry,
    urls: Arc<[String]>,
    limit: usize,
    opened: AtomicUsize,
    state: Mutex<PoolState>,
}

#[derive(Clone, Copy, Debug)]
struct Arrival {
    phase: &'static str,
    at: Instant,
    key: i64,
}

/// How a request ended.
enum RequestEnd {
    Answer(Result<Vec<Row>, Error>),
    Unconnected,
}

impl KindPool {
    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(self: Arc<Self>, arrival: Arrival) {
        let deadline = arrival.at + self.entry.deadline;
        let mut work = Box::pin(self.request(arrival));
        // A request is given up at its deadline. Its connection stays busy until the answer has
        // come, as it does in a caller that does not cancel.
        if let Ok(end) = timeout_at(deadline.into(), &mut work).await {
            self.count(arrival, end);
            return;
        }
        self.count_late(arrival);
        if let RequestEnd::Answer(Ok(rows)) = work.await
            && is_whole(&rows, arrival.key, &self.entry)
        {
            let mut state = self.lock();
            let part = state.figures.entry(arrival.phase).or_default();
            part.latency.saturating_record(micros(arrival.at.elapsed()));
        }
    }

    async fn request(&self, arrival: Arrival) -> RequestEnd {
        let idle = {
            let mut state = self.lock();
            let idle = state.idle.pop();
            if idle.is_none() && state.open >= self.limit {
                return RequestEnd::Unconnected;
            }
            state.open += usize::from(idle.is_none());
            idle
        };
        let mut connection = match idle {
            Some(connection) => connection,
            None => match self.open().await {
                Ok(client) => CallerConnection { client, statement: None },
                Err(_) => {
                    self.lock().open -= 1;
                    return RequestEnd::Unconnected;
                }
            },
        };
        let result = self.query(&mut connection, arrival.key).await;
        let mut state = self.lock();
        if connection.client.is_closed() {
            state.open -= 1;
        } else {
            state.idle.push(connection);
        }
        RequestEnd::Answer(result)
    }

    /// Prepares the statement at the first use; a refusal of that leaves the connection usable.
    async fn query(&self, connection: &mut CallerConnection, key: i64) -> Result<Vec<Row>, Error> {
        let statement = match &connection.statement {
            Some(statement) => statement.clone(),
            None => {
                let statement = connection.client.prepare(self.entry.statement).await?;
                connection.statement.insert(statement).clone()
            }
        };
        connection.client.query(&statement, &[&key]).await
    }

    async fn open(&self) -> Result<Client, Error> {
        let number = self.opened.fetch_add(1, Ordering::Relaxed);
        connect(&self.urls[number % self.urls.len()], self.entry.application).await
    }

    fn count_late(&self, arrival: Arrival) {
        self.lock().figures.entry(arrival.phase).or_default().late += 1;
    }

    fn count(&self, arrival: Arrival, end: RequestEnd) {
        let elapsed = micros(arrival.at.elapsed());
        let mut state = self.lock();
        let part = state.figures.entry(arrival.phase).or_default();
        match end {
            RequestEnd::Answer(Ok(rows)) if is_whole(&rows, arrival.key, &self.entry) => {
                part.in_time += 1;
                part.latency.saturating_record(elapsed);
                part.from_replica += u64::from(is_from_replica(&rows, &self.entry));
            }
            RequestEnd::Answer(Ok(_)) => part.wrong += 1,
            RequestEnd::Answer(Err(error)) if is_refusal(&error) => {
                part.refused += 1;
                part.refusal.saturating_record(elapsed);
            }
            RequestEnd::Answer(Err(_)) => part.failed += 1,
            RequestEnd::Unconnected => part.unconnected += 1,
        }
    }
}

async fn arrive(plan: &LoadPlan, pools: &[Arc<KindPool>]) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let total: u32 = pools.iter().map(|pool| pool.entry.weight).sum();
    let mut phase_start = Instant::now();
    for phase in &plan.phases {
        let end = phase_start + phase.span;
        let mut next_short = phase_start + gap(&mut rng, phase.rate);
        let mut next_long = phase_start + gap(&mut rng, phase.reports);
        loop {
            let at = next_short.min(next_long);
            if at >= end {
                break;
            }
            sleep_until(at.into()).await;
            while tasks.try_join_next().is_some() {}
            let long = next_long <= next_short;
            if long {
                next_long = at + gap(&mut rng, phase.reports);
            } else {
                next_short = at + gap(&mut rng, phase.rate);
            }
            let pick = rng.random_range(0..total.max(1));
            let key = rng.random_range(1..=TABLE_ROWS);
            let Some(pool) = choose(pools, long, pick) else { continue };
            pool.lock().figures.entry(phase.name).or_default().offered += 1;
            let arrival = Arrival { phase: phase.name, at, key };
            tasks.spawn(Arc::clone(pool).serve(arrival));
        }
        phase_start = end;
    }
    tasks
}

fn choose(pools: &[Arc<KindPool>], long: bool, pick: u32) -> Option<&Arc<KindPool>> {
    let mut passed = 0;
    for pool in pools {
        if pool.entry.long != long {
            continue;
        }
        passed += pool.entry.weight;
        if long || pick < passed {
            return Some(pool);
        }
    }
    None
}

/// Returns an exponentially distributed gap between arrivals.
fn gap(rng: &mut StdRng, rate: f64) -> Duration {
    if rate <= 0.0 {
        return Duration::from_secs(86_400);
    }
    let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate)
}

fn is_whole(rows: &[Row], key: i64, entry: &MixEntry) -> bool {
    let [row] = rows else { return false };
    let item: i64 = row.get(0);
    if entry.writes {
        return item == key;
    }
    let quantity: i64 = row.get(1);
    item == key && quantity == key * 7
}

fn is_from_replica(rows: &[Row], entry: &MixEntry) -> bool {
    let Some(row) = rows.first() else { return false };
    !entry.writes && row.get::<_, bool>(2)
}

/// Every refusal's message ends with these words; see `docs/errors.md`.
fn is_refusal(error: &Error) -> bool {
    error.as_db_error().is_some_and(|error| error.message().ends_with("not run"))
}
