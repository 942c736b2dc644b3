//! When a primary is replaced, and by which replica.

use crate::{names::SharedName, position::LogPosition, time::Micros};

/// Time for which control's own tries fail before the primary counts as lost: a look at the kept
/// connection and two fresh ones.
const SILENT_PATIENCE: Micros = Micros::from_millis(600);

/// The same if the address refuses connections: the host answers for a process that is gone.
const REFUSING_PATIENCE: Micros = Micros::from_millis(250);

/// Time for which an entry's tries fail before it counts against the primary. An entry tries a fresh
/// connection only after 300 ms without an answer.
pub const ENTRY_PATIENCE: Micros = Micros::from_millis(200);

/// Part of the entries that must fail as well if control fails, in percent. A primary that control
/// alone cannot reach serves on; entries without traffic notice late that they cannot.
const CONFIRMING_PERCENT: u32 = 34;

/// Part of the entries whose failures alone replace a primary that control reaches, in percent.
const OVERRULING_PERCENT: u32 = 80;

/// Time for which that part has to fail; a path that breaks for a moment is not worth a promotion.
const OVERRULING_PATIENCE: Micros = Micros::from_millis(1_500);

/// Time for which an entry counts that reached the primary when it was last heard of. Partitions heal after some
/// seconds; a longer one leaves the callers on control's side without a primary for as long.
pub const VANISHED_LIFE: Micros = Micros::from_secs(8);

/// What is known of a primary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrimaryEvidence {
    /// It says that it is leaving.
    pub leaving: bool,
    /// It has left the directory.
    pub gone: bool,
    /// Time for which control's tries have failed.
    pub silent_for: Micros,
    /// The last try was refused at its address.
    pub refusing: bool,
    /// Entries that follow the directory.
    pub entries: u32,
    /// Entries whose tries have failed for `ENTRY_PATIENCE`.
    pub entries_failing: u32,
    /// Shortest time for which one of those has failed.
    pub entries_failing_for: Micros,
    /// Entries that reached the primary when they were last heard of, within `VANISHED_LIFE`.
    pub entries_vanished: u32,
}

/// What follows for a primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrimaryVerdict {
    /// It serves.
    Serving,
    /// It may be lost; the evidence is not enough yet.
    Doubtful,
    /// It is replaced, since it does not serve.
    Lost,
    /// It is replaced while it still serves.
    Leaving,
}

impl PrimaryEvidence {
    /// Returns what follows from the evidence.
    ///
    /// Load: a primary that crashes, goes dark, or is cut off from control, replicas or some entries. If most
    /// entries fall silent together with it, they are likely on its side of a partition: a promotion takes the
    /// lead away from a primary that serves them, and they cannot learn of the new one.
    #[must_use]
    pub const fn verdict(&self) -> PrimaryVerdict {
        if self.gone {
            return PrimaryVerdict::Lost;
        }
        if self.leaving {
            return PrimaryVerdict::Leaving;
        }
        let patience = if self.refusing { REFUSING_PATIENCE } else { SILENT_PATIENCE };
        let silent = self.silent_for.0 >= patience.0;
        let failing_share = self.entries_failing * 100;
        // Where the address refuses connections, the process is gone for all of them.
        let vanished = if self.refusing { 0 } else { self.entries_vanished };
        let known = self.entries + vanished;
        if silent && failing_share >= known * CONFIRMING_PERCENT {
            return PrimaryVerdict::Lost;
        }
        if self.entries > 0
            && failing_share >= known * OVERRULING_PERCENT
            && self.entries_failing_for.0 >= OVERRULING_PATIENCE.0
        {
            return PrimaryVerdict::Lost;
        }
        if silent || self.entries_failing > 0 {
            PrimaryVerdict::Doubtful
        } else {
            PrimaryVerdict::Serving
        }
    }
}

/// Answer of a replica that may become primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CandidateAnswer {
    /// The replica.
    pub target: SharedName,
    /// Last position that it has received.
    pub received: LogPosition,
    /// Whether it may serve as primary; a leaving replica only tells what it has.
    pub eligible: bool,
}

/// Returns the replica that becomes primary, or `None` while that cannot be decided.
///
/// The one that has received most loses least. Where a commit waits for `sync_replicas` replicas, the
/// replicas that do not answer must be too few to hold an acknowledged commit alone, and nobody may
/// have received more than the chosen one.
#[must_use]
pub fn choose_candidate(
    answers: &[CandidateAnswer],
    replicas: usize,
    sync_replicas: u32,
) -> Option<SharedName> {
    let missing = replicas.saturating_sub(answers.len());
    let sync = usize::try_from(sync_replicas).unwrap_or(usize::MAX);
    if sync > 0 && missing >= sync {
        return None;
    }
    let furthest = answers.iter().map(|answer| answer.received).max()?;
    let mut best: Option<&CandidateAnswer> = None;
    for answer in answers {
        let behind = sync > 0 && answer.received < furthest;
        if !answer.eligible || behind {
            continue;
        }
        if best.is_none_or(|best| best.received < answer.received) {
            best = Some(answer);
        }
    }
    best.map(|answer| answer.target.clone())
}
