//! One question for a high-water mark, shared by everybody who waits for it.

use {
    banyansill_core::{failure::FailureKind, position::LogPosition},
    std::sync::atomic::{AtomicU64, Ordering},
    tokio::sync::Mutex,
};

type MarkAnswer = Result<LogPosition, FailureKind>;

/// Shares the questions for one database's mark.
///
/// An answer counts for a caller only if its question was sent after the caller asked: an earlier
/// one may lack a commit that the caller's session has seen.
#[derive(Debug, Default)]
pub(super) struct MarkShare {
    asked: AtomicU64,
    answered: Mutex<Option<(u64, MarkAnswer)>>,
}

impl MarkShare {
    /// Sends `question`, or takes over the answer to one that was sent after this call.
    pub(super) async fn ask<F>(&self, question: F) -> MarkAnswer
    where
        F: Future<Output = MarkAnswer>,
    {
        let ticket = self.asked.fetch_add(1, Ordering::AcqRel) + 1;
        let mut answered = self.answered.lock().await;
        if let Some((covered, answer)) = *answered
            && covered >= ticket
        {
            return answer;
        }
        // Everybody with a ticket up to this one asked before the question is sent.
        let covered = self.asked.load(Ordering::Acquire);
        let answer = question.await;
        *answered = Some((covered, answer));
        answer
    }
}
