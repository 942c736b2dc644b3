//! Coalesces concurrent requests for a high-water mark.

use {
    banyansill_core::{failure::FailureKind, position::LogPosition},
    std::sync::atomic::{AtomicU64, Ordering},
    tokio::sync::Mutex,
};

type MarkResult = Result<LogPosition, FailureKind>;

/// Coalesces the requests for one database's high-water mark.
///
/// A caller may use a result only if its fetch started after the caller's request: an earlier one
/// may lack a commit that the caller's session has seen.
#[derive(Debug, Default)]
pub(super) struct MarkCoalescer {
    /// Number of requests so far; a request's ticket is its number.
    requested: AtomicU64,
    /// Latest result and the highest ticket that it covers.
    latest: Mutex<Option<(u64, MarkResult)>>,
}

impl MarkCoalescer {
    /// Runs `fetch`, or returns the result of one that started after this call.
    pub(super) async fn request<F>(&self, fetch: F) -> MarkResult
    where
        F: Future<Output = MarkResult>,
    {
        let ticket = self.requested.fetch_add(1, Ordering::AcqRel) + 1;
        let mut latest = self.latest.lock().await;
        if let Some((covered, result)) = *latest
            && covered >= ticket
        {
            return result;
        }
        // Every ticket up to this one was issued before the fetch starts.
        let covered = self.requested.load(Ordering::Acquire);
        let result = fetch.await;
        *latest = Some((covered, result));
        result
    }
}
