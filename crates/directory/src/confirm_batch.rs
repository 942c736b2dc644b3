//! Rounds of the log that confirm the leadership, shared by the requests that wait for one.

use {
    banyansill_replica::command_log::LogError,
    std::{
        future::Future,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::Mutex,
        time::{Instant, sleep_until},
    },
};

/// Minimum time between the starts of two rounds.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Last round, and the requests that it confirmed.
#[derive(Debug, Default)]
struct LastRound {
    begun: Option<Instant>,
    /// Number of the last request that had arrived when the round began.
    covers: u64,
    outcome: Option<Result<(), LogError>>,
}

/// Batches of requests for a confirmation; clones share them.
///
/// Designed for many replicas that ask the leader several times a second: each round is a message to every voter and back,
/// most of them between regions, and one round confirms all requests that arrived before it began.
#[derive(Clone, Debug, Default)]
pub struct ConfirmBatch {
    arrived: Arc<AtomicU64>,
    last: Arc<Mutex<LastRound>>,
}

impl ConfirmBatch {
    /// Waits for a round that begins after this call; `confirm` carries one out.
    ///
    /// # Errors
    ///
    /// Returns why the leadership could not be confirmed.
    pub async fn run<Confirm, Round>(&self, confirm: Confirm) -> Result<(), LogError>
    where
        Confirm: FnOnce() -> Round,
        Round: Future<Output = Result<(), LogError>>,
    {
        let number = self.arrived.fetch_add(1, Ordering::AcqRel) + 1;
        // The requests wait here for the round before.
        let mut last = self.last.lock().await;
        if last.covers >= number
            && let Some(outcome) = &last.outcome
        {
            return outcome.clone();
        }
        if let Some(begun) = last.begun {
            sleep_until(begun + BATCH_INTERVAL).await;
        }
        // A round that is given up covers nothing.
        let covers = self.arrived.load(Ordering::Acquire);
        last.begun = Some(Instant::now());
        let outcome = confirm().await;
        last.covers = covers;
        last.outcome = Some(outcome.clone());
        outcome
    }
}
