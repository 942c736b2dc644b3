//! Callers that write orders, read them back and record what they were told.

use {
    crate::{
        cluster::connect,
        history::{HistoryLog, HistoryStep, WriteOutcome},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        ops::RangeInclusive,
        time::{Duration, Instant},
    },
    tokio::{
        sync::watch,
        task::JoinSet,
        time::{sleep, timeout},
    },
    tokio_postgres::{Client, Error},
};

/// Statement that creates the table of the workload.
pub const TABLE: &str = "CREATE TABLE IF NOT EXISTS orders (token bigint, caller bigint)";

/// Time after which a caller gives up on an answer; the outcome is then unknown.
const ANSWER_LIMIT: Duration = Duration::from_secs(20);

/// Pause after a failure.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);

/// Tokens per caller, so that tokens of different callers differ.
const TOKEN_RANGE: u64 = 1_000_000;

/// What the callers saw.
#[derive(Debug, Default)]
pub struct WorkloadResult {
    /// Steps of all callers.
    pub history: HistoryLog,
    /// Times of acknowledged writes, in ascending order.
    pub acknowledged: Vec<Instant>,
    /// Times of answered reads, in ascending order.
    pub answered: Vec<Instant>,
    /// Errors by SQLSTATE or description, for reports.
    pub errors: std::collections::BTreeMap<String, u64>,
}

impl WorkloadResult {
    /// Returns the longest time between two acknowledged writes.
    #[must_use]
    pub fn longest_write_gap(&self) -> Duration {
        let mut longest = Duration::ZERO;
        for pair in self.acknowledged.windows(2) {
            longest = longest.max(pair[1] - pair[0]);
        }
        longest
    }
}

/// Running callers.
#[derive(Debug)]
#[must_use]
pub struct Workload {
    stop: watch::Sender<bool>,
    tasks: JoinSet<WorkloadResult>,
}

impl Workload {
    /// Starts `callers` callers that spread over the entries and move when a connection ends.
    pub fn spawn(entries: &[SocketAddr], callers: u64, seed: u64) -> Self {
        Self::spawn_numbered(entries, 1..=callers, seed)
    }

    /// Starts callers with the given numbers, so that several workloads share a table.
    pub fn spawn_numbered(entries: &[SocketAddr], numbers: RangeInclusive<u64>, seed: u64) -> Self {
        let (stop, stopped) = watch::channel(false);
        let mut tasks = JoinSet::new();
        for number in numbers {
            let caller = TestCaller {
                number,
                entries: entries.to_vec(),
                rng: StdRng::seed_from_u64(seed.wrapping_add(number)),
                stopped: stopped.clone(),
                result: WorkloadResult::default(),
                next: 0,
            };
            tasks.spawn(caller.run());
        }
        Self { stop, tasks }
    }

    /// Stops the callers and returns what they saw.
    ///
    /// # Panics
    ///
    /// Panics if a caller panicked, since its steps are then missing.
    pub async fn finish(mut self) -> WorkloadResult {
        let _ = self.stop.send(true);
        let mut sum = WorkloadResult::default();
        while let Some(joined) = self.tasks.join_next().await {
            let part = joined.expect("a caller must not panic");
            sum.history.merge(part.history);
            sum.acknowledged.extend(part.acknowledged);
            sum.answered.extend(part.answered);
            for (error, count) in part.errors {
                *sum.errors.entry(error).or_default() += count;
            }
        }
        sum.acknowledged.sort();
        sum.answered.sort();
        sum
    }
}

struct TestCaller {
    number: u64,
    entries: Vec<SocketAddr>,
    rng: StdRng,
    stopped: watch::Receiver<bool>,
    result: WorkloadResult,
    next: u64,
}

impl TestCaller {
    async fn run(mut self) -> WorkloadResult {
        while !*self.stopped.borrow() {
            let entry = self.entries[self.rng.random_range(0..self.entries.len())];
            let connected = timeout(ANSWER_LIMIT, connect(entry, "coordinator")).await;
            let Ok(Ok(client)) = connected else {
                sleep(FAILURE_PAUSE).await;
                continue;
            };
            self.result.history.push(self.number, HistoryStep::Reconnected);
            self.use_connection(&client).await;
        }
        self.result
    }

    async fn use_connection(&mut self, client: &Client) {
        while !*self.stopped.borrow() && !client.is_closed() {
            let lasting = if self.rng.random_bool(0.3) {
                self.write(client).await
            } else {
                self.read(client).await
            };
            if !lasting {
                return;
            }
            // Sometimes moves to another entry without a failure.
            if self.rng.random_bool(0.02) {
                return;
            }
            sleep(Duration::from_millis(self.rng.random_range(1..10))).await;
        }
    }

    const fn token(&mut self) -> u64 {
        self.next += 1;
        self.number * TOKEN_RANGE + self.next
    }

    async fn write(&mut self, client: &Client) -> bool {
        let token = self.token();
        let (row, caller) = (whole(token), whole(self.number));
        let statement = "/* kind=order */ INSERT INTO orders (token, caller) VALUES ($1, $2)";
        let answer = timeout(ANSWER_LIMIT, client.execute(statement, &[&row, &caller])).await;
        let (outcome, lasting) = match answer {
            Ok(Ok(1)) => {
                self.result.acknowledged.push(Instant::now());
                (WriteOutcome::Acknowledged, true)
            }
            Ok(Ok(_)) => (WriteOutcome::Unknown, false),
            Ok(Err(error)) => {
                self.count(&error);
                sleep(FAILURE_PAUSE).await;
                (classify(&error), !error.is_closed())
            }
            Err(_) => (WriteOutcome::Unknown, false),
        };
        self.result.history.push(self.number, HistoryStep::Write { token, outcome });
        lasting
    }

    async fn read(&mut self, client: &Client) -> bool {
        let asked = self.token();
        let statement = format!("SELECT {asked}, token FROM orders WHERE caller = $1");
        let caller = whole(self.number);
        let answer = timeout(ANSWER_LIMIT, client.query(&statement, &[&caller])).await;
        match answer {
            Ok(Ok(rows)) => {
                self.result.answered.push(Instant::now());
                let mut seen = BTreeSet::new();
                let mut echoed = asked;
                for row in &rows {
                    echoed = u64::try_from(row.get::<_, i32>(0)).unwrap_or_default();
                    seen.insert(u64::try_from(row.get::<_, i64>(1)).unwrap_or_default());
                }
                let received = u64::try_from(rows.len()).unwrap_or_default();
                let announced = received;
                let step = HistoryStep::Read { asked, echoed, seen, announced, received };
                self.result.history.push(self.number, step);
                true
            }
            Ok(Err(error)) => {
                self.count(&error);
                sleep(FAILURE_PAUSE).await;
                !error.is_closed()
            }
            Err(_) => false,
        }
    }

    fn count(&mut self, error: &Error) {
        let name = match error.as_db_error() {
            Some(answer) => format!("{} {}", answer.code().code(), answer.message()),
            None => error.to_string(),
        };
        *self.result.errors.entry(name).or_default() += 1;
    }
}

/// Classifies an error by what it says is certain; see `docs/errors.md`.
#[must_use]
pub fn classify(error: &Error) -> WriteOutcome {
    let Some(answer) = error.as_db_error() else { return WriteOutcome::Unknown };
    if answer.message().ends_with("not run") {
        return WriteOutcome::NotRun;
    }
    if answer.code().code() == "40003" { WriteOutcome::Unknown } else { WriteOutcome::Failed }
}

fn whole(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}

/// Reads the tokens that a server holds.
///
/// # Errors
///
/// Returns an error if the server cannot be read.
pub async fn stored_tokens(server: SocketAddr) -> Result<Vec<u64>, Error> {
    let client = connect(server, "test").await?;
    let rows = client.query("SELECT token FROM orders", &[]).await?;
    let mut tokens = Vec::new();
    for row in rows {
        tokens.push(u64::try_from(row.get::<_, i64>(0)).unwrap_or_default());
    }
    Ok(tokens)
}
