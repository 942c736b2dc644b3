//! Failure detection for primaries and choice of the replica to promote.

use {
    super::{holders::ServerLog, state::EarlierOrder},
    crate::{collections::FastMap, names::SharedName, position::LogPosition, time::Micros},
};

/// Time for which control's own probes must fail before the primary counts as lost: enough for one probe on the
/// open connection and two on new ones.
const CONTROL_FAILURE_TIMEOUT: Micros = Micros::from_millis(600);

/// Time for which control's own probes must fail if the address refuses connections: the host is up, but the
/// process has ended.
const REFUSED_FAILURE_TIMEOUT: Micros = Micros::from_millis(250);

/// Time for which an entry's attempts must fail before the entry counts against the primary. An entry tries a new
/// connection only after 300 ms without a response.
pub const ENTRY_FAILURE_TIMEOUT: Micros = Micros::from_millis(200);

/// Share of the entries that must fail to reach the primary to confirm a failure seen by control, in percent. A
/// primary that only control cannot reach keeps its role; entries without traffic detect a failure late.
const CONFIRM_PERCENT: u32 = 34;

/// Share of the entries whose failures replace a primary even if control reaches it, in percent.
const OVERRIDE_PERCENT: u32 = 80;

/// Time for which the entries counted by `OVERRIDE_PERCENT` must fail; a brief network failure does not justify a
/// promotion.
const OVERRIDE_DURATION: Micros = Micros::from_millis(1_500);

/// Time for which an entry that control has lost contact with still counts, if it reached the primary in its last
/// report. Partitions heal after some seconds; during a longer one, the callers on control's side have no primary
/// for this time.
pub const VANISHED_ENTRY_TTL: Micros = Micros::from_secs(8);

/// Time after the start of a leader's term for which an entry that has not reported to it yet still counts. Entries
/// contact control replicas at least every 1.2 s and report 250 ms later.
pub const AWAITED_ENTRY_TTL: Micros = Micros::from_secs(2);

/// Observations about a primary on which its replacement is decided.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrimaryEvidence {
    /// The primary reports that it is leaving.
    pub leaving: bool,
    /// The primary is no longer in the directory.
    pub gone: bool,
    /// Time for which control's probes have failed.
    pub silent_for: Micros,
    /// The last connection attempt was refused at the primary's address.
    pub refusing: bool,
    /// Entries that follow the directory and connect to the primary directly.
    pub entries: u32,
    /// Entries whose attempts have failed for `ENTRY_FAILURE_TIMEOUT`.
    pub entries_failing: u32,
    /// Shortest time for which one of the failing entries has failed.
    pub entries_failing_for: Micros,
    /// Entries that no longer report, but reached the primary in their last report within `VANISHED_ENTRY_TTL`.
    pub entries_vanished: u32,
    /// Entries of the directory that have not reported to this leader, within `AWAITED_ENTRY_TTL` after it began to
    /// lead.
    pub entries_awaited: u32,
}

/// Decision about a primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrimaryVerdict {
    /// The primary serves.
    Serving,
    /// The primary may be lost; the evidence is not sufficient yet.
    Doubtful,
    /// The primary does not serve and is replaced.
    Lost,
    /// The primary still serves, but is leaving and is replaced.
    Leaving,
}

impl PrimaryEvidence {
    /// Returns the decision that follows from the evidence.
    ///
    /// Covers a primary that crashes, stops responding, or is cut off from control, replicas or some entries. If
    /// control loses contact with most entries at the same time, they are likely on the primary's side of a
    /// partition: a promotion would demote a primary that serves them, and they could not learn of the new one. A
    /// new leader does not take the silence of entries that it has not heard of yet for a confirmation.
    #[must_use]
    pub const fn verdict(&self) -> PrimaryVerdict {
        if self.gone {
            return PrimaryVerdict::Lost;
        }
        if self.leaving {
            return PrimaryVerdict::Leaving;
        }
        let timeout = if self.refusing { REFUSED_FAILURE_TIMEOUT } else { CONTROL_FAILURE_TIMEOUT };
        let silent = self.silent_for.0 >= timeout.0;
        let failing_share = self.entries_failing * 100;
        // If the address refuses connections, the process has ended, and no entry can reach it.
        let silent_entries =
            if self.refusing { 0 } else { self.entries_vanished + self.entries_awaited };
        let known = self.entries + silent_entries;
        if silent && failing_share >= known * CONFIRM_PERCENT {
            return PrimaryVerdict::Lost;
        }
        if self.entries > 0
            && failing_share >= known * OVERRIDE_PERCENT
            && self.entries_failing_for.0 >= OVERRIDE_DURATION.0
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

/// Time within which a process that has started is known to control: two intervals of reports, one of them lost.
const REPORT_TIMEOUT: Micros = Micros::from_secs(3);

/// Answers of one replica to the polls of a promotion.
#[derive(Clone, Copy, Debug)]
struct AnswerSeries {
    /// Start time that the replica has reported.
    incarnation: u64,
    /// Start of the unbroken series of answers; `None` while it does not answer.
    since: Option<Micros>,
    /// Last position that it has told.
    received: LogPosition,
    /// Whether it may have started anew before the series.
    is_doubtful: bool,
}

/// Finds the answers that may come from a process which has started without its log and is not yet known to control.
///
/// Such an answer says nothing of what the process before had received.
#[derive(Clone, Debug, Default)]
pub struct AnswerWatch {
    answers: FastMap<SharedName, AnswerSeries>,
}

impl AnswerWatch {
    /// Takes a poll of a replica whose last report has the given start time, and returns whether its answer counts;
    /// `received` is the position that it told, if it answered.
    ///
    /// One that was silent, has lost entries or has none counts when its process has had the time to report itself.
    pub fn observe(
        &mut self,
        now: Micros,
        target: &SharedName,
        incarnation: u64,
        received: Option<LogPosition>,
    ) -> bool {
        let last = self.answers.get(target).filter(|last| last.incarnation == incarnation);
        let last_received = last.map_or(LogPosition::ZERO, |last| last.received);
        let Some(received) = received else {
            let silent = AnswerSeries {
                incarnation,
                since: None,
                received: last_received,
                is_doubtful: true,
            };
            self.answers.insert(target.clone(), silent);
            return false;
        };
        let is_shorter = received < last_received;
        let since = last.and_then(|last| last.since).filter(|_| !is_shorter).unwrap_or(now);
        let is_doubtful =
            is_shorter || received.offset == 0 || last.is_some_and(|last| last.is_doubtful);
        let series = AnswerSeries { incarnation, since: Some(since), received, is_doubtful };
        self.answers.insert(target.clone(), series);
        !is_doubtful || now.since(since) >= REPORT_TIMEOUT
    }
}

/// Response of a replica that may be promoted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CandidateAnswer {
    /// The replica.
    pub target: SharedName,
    /// Log of the replica.
    pub log: ServerLog,
    /// Whether the replica may become primary; a leaving replica only reports its position.
    pub eligible: bool,
}

/// Log of a primary that has stepped down. It has every commit that the primary acknowledged, so a replica that covers it
/// loses none, whatever other replicas have received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinalLog(ServerLog);

impl FinalLog {
    /// Returns the final log of a primary that reported `leading` while it led, and `stepped_down` once it did not.
    ///
    /// Returns `None` if its log is shorter by then: the process has started again without it.
    #[must_use]
    pub fn of_primary(leading: ServerLog, stepped_down: ServerLog) -> Option<Self> {
        let log = ServerLog { term: leading.term, ..stepped_down };
        log.covers(leading).then_some(Self(log))
    }

    /// Returns the final log of a primary that another leader has asked to step down, or that answers for the first time.
    ///
    /// An empty log may be that of a process that has started again without it.
    #[must_use]
    pub const fn of_replica(log: ServerLog) -> Option<Self> {
        if log.received.offset > 0 { Some(Self(log)) } else { None }
    }

    /// Returns whether a server with the given log has all of it.
    #[must_use]
    pub fn is_covered_by(self, log: ServerLog) -> bool {
        log.covers(self.0)
    }
}

/// Returns the replica to promote, or `None` while that cannot be decided.
///
/// The eligible replica with the highest received position loses the fewest commits. Where a commit waits for
/// `sync_replicas` replicas, the replicas that do not respond must be too few to be the only holders of an
/// acknowledged commit, and no replica may have received more than the chosen one.
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
    let furthest = answers.iter().map(|answer| answer.log.received).max()?;
    furthest_candidate(answers, |answer| sync == 0 || answer.log.received >= furthest)
}

/// Returns the replica to promote after the primary has stepped down, or `None` if no response is that of a replica which
/// covers its final log.
///
/// Unlike [`choose_candidate`], it does not need the replicas that do not respond. If an earlier order may still take
/// effect, only its target is returned: another one would roll back what that one acknowledges in between.
#[must_use]
pub fn choose_successor(
    answers: &[CandidateAnswer],
    last: FinalLog,
    earlier: &EarlierOrder,
) -> Option<SharedName> {
    let FinalLog(last) = last;
    // No replica can be ahead of the log of its primary.
    if answers.iter().any(|answer| !last.covers(answer.log)) {
        return None;
    }
    furthest_candidate(answers, |answer| {
        let may_lead = match earlier {
            EarlierOrder::Nothing => true,
            EarlierOrder::Target(target) => answer.target == *target,
            EarlierOrder::Unknown => false,
        };
        may_lead && answer.log.covers(last)
    })
}

/// Returns the eligible replica with the highest received position among those that `is_allowed` accepts.
fn furthest_candidate<F>(answers: &[CandidateAnswer], is_allowed: F) -> Option<SharedName>
where
    F: Fn(&CandidateAnswer) -> bool,
{
    let mut best: Option<&CandidateAnswer> = None;
    for answer in answers {
        if !answer.eligible || !is_allowed(answer) {
            continue;
        }
        if best.is_none_or(|best| best.log.received < answer.log.received) {
            best = Some(answer);
        }
    }
    best.map(|answer| answer.target.clone())
}

/// Returns the replica to promote if another leader may have ordered the promotion of `ordered`; `best` is the choice without
/// that.
///
/// The platform may carry the order out at any time, and a second change of primary would roll back what the first one has
/// acknowledged since. It is not kept if `best` has commits that must not be lost and that `ordered` lacks.
#[must_use]
pub fn keep_ordered(
    best: SharedName,
    ordered: Option<&SharedName>,
    answers: &[CandidateAnswer],
    sync_replicas: u32,
) -> SharedName {
    let answer_of = |name: &SharedName| answers.iter().find(|answer| answer.target == *name);
    let (Some(best_answer), Some(answer)) = (answer_of(&best), ordered.and_then(answer_of)) else {
        return best;
    };
    let lacks_commits = sync_replicas > 0 && answer.log.received < best_answer.log.received;
    if answer.eligible && !lacks_commits { answer.target.clone() } else { best }
}
