//! Callers that change two rows in each transaction, and a checker that no transaction is mixed with
//! another, half done, lost, or seen although it was rolled back.

use {
    crate::{cluster::connect, history::WriteOutcome, workload::classify},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
    tokio::{
        sync::watch,
        task::JoinSet,
        time::{sleep, timeout},
    },
    tokio_postgres::{Client, Error},
};

/// Statement that creates the table of the workload.
pub const PAIR_TABLE: &str =
    "CREATE TABLE IF NOT EXISTS pairs (token bigint, caller bigint, part bigint)";

/// Time after which a caller gives up on an answer; the outcome is then unknown.
const ANSWER_LIMIT: Duration = Duration::from_secs(20);

/// Pause after a failure.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);

/// Tokens per caller, so that tokens of different callers differ.
const TOKEN_RANGE: u64 = 1_000_000;

/// Row of the table: token, caller, part 1 or 2 of the transaction.
pub type PairRow = (u64, u64, u64);

/// Breach of a guarantee.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PairFault {
    /// A row carries another caller than the one that its token belongs to, or a caller saw it.
    Mixed(PairRow),
    /// A transaction is there in part, or more than once.
    NotWhole {
        /// Token of the transaction.
        token: u64,
        /// Parts that are there.
        parts: Vec<u64>,
    },
    /// An acknowledged transaction is not there.
    Lost(u64),
    /// A transaction is there although it was rolled back or reported as not run or failed.
    Undead(u64),
}

/// What callers were told about their transactions, and what they saw.
#[derive(Clone, Debug, Default)]
pub struct PairLog {
    outcomes: BTreeMap<u64, WriteOutcome>,
    reads: Vec<(u64, Vec<PairRow>)>,
    inside: Vec<(u64, u64, Vec<PairRow>)>,
}

impl PairLog {
    /// Adds a transaction with its outcome; one that was rolled back counts as failed.
    pub fn record(&mut self, token: u64, outcome: WriteOutcome) {
        self.outcomes.insert(token, outcome);
    }

    /// Adds the rows that a caller saw when it read its own.
    pub fn saw(&mut self, caller: u64, rows: Vec<PairRow>) {
        self.reads.push((caller, rows));
    }

    /// Adds the rows with a token that its transaction saw after both of its writes.
    pub fn saw_inside(&mut self, token: u64, caller: u64, rows: Vec<PairRow>) {
        self.inside.push((token, caller, rows));
    }

    /// Adds all records of another log.
    pub fn merge(&mut self, other: Self) {
        self.outcomes.extend(other.outcomes);
        self.reads.extend(other.reads);
        self.inside.extend(other.inside);
    }

    /// Returns the number of transactions with the given outcome.
    #[must_use]
    pub fn count(&self, outcome: WriteOutcome) -> usize {
        self.outcomes.values().filter(|known| **known == outcome).count()
    }

    /// Returns the number of answered reads.
    #[must_use]
    pub const fn reads(&self) -> usize {
        self.reads.len()
    }

    /// Compares the records with the rows that the database holds at the end.
    #[must_use]
    pub fn check(&self, rows: &[PairRow]) -> BTreeSet<PairFault> {
        let mut faults = BTreeSet::new();
        for (caller, rows) in &self.reads {
            for row in rows {
                if row.1 != *caller {
                    faults.insert(PairFault::Mixed(*row));
                }
            }
            self.check_rows(rows, &mut faults);
        }
        for (token, caller, rows) in &self.inside {
            let mut parts = Vec::new();
            for row in rows {
                if (row.0, row.1) != (*token, *caller) {
                    faults.insert(PairFault::Mixed(*row));
                }
                parts.push(row.2);
            }
            parts.sort_unstable();
            if parts != [1, 2] {
                faults.insert(PairFault::NotWhole { token: *token, parts });
            }
        }
        let present = self.check_rows(rows, &mut faults);
        for (token, outcome) in &self.outcomes {
            if *outcome == WriteOutcome::Acknowledged && !present.contains(token) {
                faults.insert(PairFault::Lost(*token));
            }
        }
        faults
    }

    fn check_rows(&self, rows: &[PairRow], faults: &mut BTreeSet<PairFault>) -> BTreeSet<u64> {
        let mut parts: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
        for row in rows {
            let (token, caller, part) = *row;
            if token / TOKEN_RANGE != caller {
                faults.insert(PairFault::Mixed(*row));
            }
            parts.entry(token).or_default().push(part);
        }
        let mut present = BTreeSet::new();
        for (token, mut parts) in parts {
            parts.sort_unstable();
            if parts != [1, 2] {
                faults.insert(PairFault::NotWhole { token, parts });
            }
            present.insert(token);
            let outcome = self.outcomes.get(&token);
            if matches!(outcome, Some(WriteOutcome::NotRun | WriteOutcome::Failed)) {
                faults.insert(PairFault::Undead(token));
            }
        }
        present
    }
}

/// Running callers.
#[derive(Debug)]
#[must_use]
pub struct PairWorkload {
    stop: watch::Sender<bool>,
    tasks: JoinSet<(PairLog, BTreeMap<String, u64>)>,
}

impl PairWorkload {
    /// Starts `callers` callers that spread over the entries and move when a connection ends.
    pub fn spawn(entries: &[SocketAddr], callers: u64, seed: u64) -> Self {
        let (stop, stopped) = watch::channel(false);
        let mut tasks = JoinSet::new();
        for number in 1..=callers {
            let caller = PairCaller {
                number,
                entries: entries.to_vec(),
                rng: StdRng::seed_from_u64(seed.wrapping_add(number)),
                stopped: stopped.clone(),
                log: PairLog::default(),
                errors: BTreeMap::new(),
                next: 0,
            };
            tasks.spawn(caller.run());
        }
        Self { stop, tasks }
    }

    /// Stops the callers and returns what they saw, and their errors by SQLSTATE or description.
    ///
    /// # Panics
    ///
    /// Panics if a caller panicked, since its records are then missing.
    pub async fn finish(mut self) -> (PairLog, BTreeMap<String, u64>) {
        let _ = self.stop.send(true);
        let mut sum = PairLog::default();
        let mut errors = BTreeMap::new();
        while let Some(joined) = self.tasks.join_next().await {
            let (log, more) = joined.expect("a caller must not panic");
            sum.merge(log);
            for (error, count) in more {
                *errors.entry(error).or_default() += count;
            }
        }
        (sum, errors)
    }
}

struct PairCaller {
    number: u64,
    entries: Vec<SocketAddr>,
    rng: StdRng,
    stopped: watch::Receiver<bool>,
    log: PairLog,
    errors: BTreeMap<String, u64>,
    next: u64,
}

impl PairCaller {
    async fn run(mut self) -> (PairLog, BTreeMap<String, u64>) {
        while !*self.stopped.borrow() {
            let entry = self.entries[self.rng.random_range(0..self.entries.len())];
            let connected = timeout(ANSWER_LIMIT, connect(entry, "coordinator")).await;
            let Ok(Ok(client)) = connected else {
                sleep(FAILURE_PAUSE).await;
                continue;
            };
            while !*self.stopped.borrow() && !client.is_closed() {
                let lasting = if self.rng.random_bool(0.3) {
                    self.read(&client).await
                } else {
                    self.transact(&client).await
                };
                if !lasting || self.rng.random_bool(0.02) {
                    break;
                }
            }
        }
        (self.log, self.errors)
    }

    async fn transact(&mut self, client: &Client) -> bool {
        self.next += 1;
        let token = self.number * TOKEN_RANGE + self.next;
        let commit = self.rng.random_bool(0.7);
        match timeout(ANSWER_LIMIT, self.work(client, token)).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => {
                self.count(&error);
                // Without a commit nothing may remain, whatever the error says.
                self.log.record(token, WriteOutcome::Failed);
                let _ = timeout(ANSWER_LIMIT, client.batch_execute("ROLLBACK")).await;
                sleep(FAILURE_PAUSE).await;
                return !error.is_closed();
            }
            Err(_) => {
                self.log.record(token, WriteOutcome::Failed);
                return false;
            }
        }
        let end = if commit { "COMMIT" } else { "ROLLBACK" };
        let answer = timeout(ANSWER_LIMIT, client.batch_execute(end)).await;
        if !commit {
            self.log.record(token, WriteOutcome::Failed);
            return matches!(answer, Ok(Ok(())));
        }
        let (outcome, lasting) = match answer {
            Ok(Ok(())) => (WriteOutcome::Acknowledged, true),
            Ok(Err(error)) => {
                self.count(&error);
                (classify(&error), !error.is_closed())
            }
            Err(_) => (WriteOutcome::Unknown, false),
        };
        self.log.record(token, outcome);
        lasting
    }

    /// Writes both rows, with a pause in which the process that carries the transaction may die.
    async fn work(&mut self, client: &Client, token: u64) -> Result<(), Error> {
        let insert = "INSERT INTO pairs (token, caller, part) VALUES ($1, $2, $3)";
        let (row, caller) = (whole(token), whole(self.number));
        client.batch_execute("/* kind=order */ BEGIN").await?;
        client.execute(insert, &[&row, &caller, &1_i64]).await?;
        sleep(Duration::from_millis(self.rng.random_range(0..20))).await;
        client.execute(insert, &[&row, &caller, &2_i64]).await?;
        // What the transaction itself sees must be its own work.
        let query = "SELECT token, caller, part FROM pairs WHERE token = $1";
        let rows = client.query(query, &[&row]).await?;
        self.log.saw_inside(token, self.number, convert(&rows));
        Ok(())
    }

    async fn read(&mut self, client: &Client) -> bool {
        let caller = whole(self.number);
        let query = "SELECT token, caller, part FROM pairs WHERE caller = $1";
        match timeout(ANSWER_LIMIT, client.query(query, &[&caller])).await {
            Ok(Ok(rows)) => {
                self.log.saw(self.number, convert(&rows));
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
        *self.errors.entry(name).or_default() += 1;
    }
}

fn convert(rows: &[tokio_postgres::Row]) -> Vec<PairRow> {
    let mut pairs = Vec::new();
    for row in rows {
        let column = |index: usize| u64::try_from(row.get::<_, i64>(index)).unwrap_or_default();
        pairs.push((column(0), column(1), column(2)));
    }
    pairs
}

fn whole(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}

/// Reads the rows that a server holds.
///
/// # Errors
///
/// Returns an error if the server cannot be read.
pub async fn stored_pairs(server: SocketAddr) -> Result<Vec<PairRow>, Error> {
    let client = connect(server, "test").await?;
    Ok(convert(&client.query("SELECT token, caller, part FROM pairs", &[]).await?))
}
