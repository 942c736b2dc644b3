//! Changes of a group's primary: adoption, closing and fencing of a term, choice of a candidate and
//! promotion.

use crate::{
    cluster::{CandidateRecord, ClusterCommand, ClusterState, DatabaseRecord, TargetRecord},
    detector::{LivenessTable, TargetCondition, TargetKey},
    names::SharedName,
    position::LogPosition,
    route::TargetRole,
    time::Micros,
};

/// Delay before a new group's announced primary is adopted, so that another server's claim to be the
/// primary can arrive first.
pub const ADOPTION_DELAY: Micros = Micros::from_secs(1);

/// Time after which another candidate is chosen if the current one does not report its promotion.
pub const CANDIDATE_TIMEOUT: Micros = Micros::from_secs(2);

/// Time that a broker has to finish running writes in a planned change.
///
/// After it, the term is closed as in an unplanned change and the broker must stop at once.
pub const PLANNED_CHANGE_TIMEOUT: Micros = Micros::from_secs(10);

/// Maximum age of a position when it reaches the leader: a broker's probe interval of 250 ms and the
/// network delay to control.
///
/// Positions that arrive sooner after the fence may have been read before the last acknowledgement.
pub const MAX_POSITION_AGE: Micros = Micros::from_millis(300);

/// Returns how many servers of a group must answer before a candidate is chosen.
///
/// At least a majority, and all but one: a commit that waits for a second server is on two of them,
/// and any set of all but one server contains one of the two.
#[must_use]
pub const fn required_answers(servers: usize) -> usize {
    let majority = servers / 2 + 1;
    if servers.saturating_sub(1) > majority { servers - 1 } else { majority }
}

/// Result of the search for a candidate, also shown by a dry run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CandidateChoice {
    /// This server is chosen.
    Candidate(CandidateRecord),
    /// Too few servers answer.
    TooFewAnswers {
        /// Number of servers that answer.
        answers: usize,
        /// Number of servers that must answer.
        required: usize,
    },
    /// All servers with the highest position are leaving; the others must catch up first.
    CatchingUp,
}

/// Selects the candidate by the positions that were received at or after `since`.
#[must_use]
pub fn select_candidate(
    state: &ClusterState,
    table: &LivenessTable,
    name: &SharedName,
    group: &DatabaseRecord,
    since: Micros,
    now: Micros,
) -> CandidateChoice {
    let mut answers: Vec<(LogPosition, &SharedName, &TargetRecord)> = Vec::new();
    let mut rejoining = 0;
    for (server, target) in &group.targets {
        let key = (name.clone(), server.clone());
        if !matches!(
            table.condition(state, &key, target, now),
            TargetCondition::Healthy | TargetCondition::AnnouncementsMissing
        ) {
            continue;
        }
        let Some(position) = table.position_since(state, &key, target, since, now) else {
            continue;
        };
        // A broker may reach a new incarnation before control receives its announcement.
        let regressed = table.highest_position(&key).is_some_and(|highest| position < highest);
        rejoining += usize::from(regressed || target.rejoining.is_some());
        answers.push((position, server, target));
    }
    // A server that lost its log no longer shows which commits it had confirmed. Once every server has
    // answered, no further positions can arrive, and the highest remaining one is used.
    let required = required_answers(group.targets.len());
    let complete = answers.len() == group.targets.len();
    let answered = if complete { answers.len() } else { answers.len() - rejoining };
    if answered < required {
        return CandidateChoice::TooFewAnswers { answers: answered, required };
    }
    let highest = answers.iter().map(|(position, ..)| *position).max().unwrap_or_default();
    let primary = group.primary.as_ref().and_then(|primary| group.targets.get(primary));
    let mut best: Option<([bool; 4], CandidateRecord)> = None;
    for (position, server, target) in answers {
        if position < highest {
            continue;
        }
        if group.planned && target.is_draining() {
            continue;
        }
        let same_region = |primary: &TargetRecord| primary.info.region == target.info.region;
        // Among equals, a candidate that was not promoted in time ranks last.
        let tried = group.candidate.as_ref().is_some_and(|candidate| candidate.server == *server);
        let rank = [
            !target.is_draining(),
            !tried,
            state.live_broker(target).is_some(),
            primary.is_some_and(same_region),
        ];
        if best.as_ref().is_none_or(|(highest, _)| rank > *highest) {
            let incarnation = target.info.incarnation;
            let candidate = CandidateRecord { server: server.clone(), incarnation, position };
            best = Some((rank, candidate));
        }
    }
    best.map_or(CandidateChoice::CatchingUp, |(_, candidate)| CandidateChoice::Candidate(candidate))
}

/// Returns the next command to log for the primary of a group.
#[must_use]
pub fn next_primary_change(
    state: &ClusterState,
    table: &LivenessTable,
    name: &SharedName,
    group: &DatabaseRecord,
    now: Micros,
) -> Option<ClusterCommand> {
    if group.term == 0 {
        return adopt_primary(table, name, group, now);
    }
    let primary = group.primary.as_ref()?;
    let target = group.targets.get(primary)?;
    let key = (name.clone(), primary.clone());
    // A restarted primary may have lost entries that it had not synced, so it competes with
    // the other servers for a new term.
    let failed = target.info.incarnation != group.primary_incarnation
        || target.info.address.is_empty()
        || table.condition(state, &key, target, now) == TargetCondition::Unreachable;
    let close = |planned| ClusterCommand::CloseTerm {
        database: name.clone(),
        expected_term: group.term,
        planned,
    };
    if !group.closed {
        if failed {
            return Some(close(false));
        }
        return (target.is_draining() && has_successor(group, primary)).then(|| close(true));
    }
    let Some(fenced_at) = table.fenced_at(name) else {
        let overdue = table
            .closed_observed_at(name)
            .is_some_and(|closed| now.since(closed) >= PLANNED_CHANGE_TIMEOUT);
        return (group.planned && (failed || overdue)).then(|| close(false));
    };
    if failed && group.planned {
        return Some(close(false));
    }
    let Some(candidate) = &group.candidate else {
        return choose_candidate(state, table, name, group, fenced_at, now);
    };
    let record = group.targets.get(&candidate.server);
    let Some(record) = record.filter(|record| record.info.incarnation == candidate.incarnation)
    else {
        return choose_candidate(state, table, name, group, fenced_at, now);
    };
    if let Some(start) = promoted_start(state, table, name, group, candidate, record, now) {
        return Some(ClusterCommand::Promote {
            database: name.clone(),
            expected_term: group.term,
            candidate: candidate.server.clone(),
            term: group.candidate_term,
            start,
        });
    }
    let key = (name.clone(), candidate.server.clone());
    let chosen_at = table.candidate_observed_at(name).unwrap_or(now);
    let unreachable = table.condition(state, &key, record, now) == TargetCondition::Unreachable;
    if unreachable || now.since(chosen_at) >= CANDIDATE_TIMEOUT {
        return choose_candidate(state, table, name, group, fenced_at, now);
    }
    None
}

fn has_successor(group: &DatabaseRecord, primary: &SharedName) -> bool {
    let mut others = group.targets.iter().filter(|(server, _)| *server != primary);
    others.any(|(_, target)| target.live && !target.is_draining())
}

fn adopt_primary(
    table: &LivenessTable,
    name: &SharedName,
    group: &DatabaseRecord,
    now: Micros,
) -> Option<ClusterCommand> {
    let mut first = None;
    let mut best: Option<((u64, LogPosition), &SharedName, u64)> = None;
    for (server, target) in &group.targets {
        let key: TargetKey = (name.clone(), server.clone());
        let Some(received) = table.first_seen(&key) else { continue };
        if first.is_none_or(|first| received < first) {
            first = Some(received);
        }
        let Some((_, announcement)) = table.announcement(&key) else { continue };
        let current = target.live && announcement.incarnation == target.info.incarnation;
        if !current || announcement.role != Some(TargetRole::Primary) {
            continue;
        }
        let term = announcement.term.max(announcement.position.term.0).max(1);
        let rank = (term, announcement.position);
        if best.is_none_or(|(highest, ..)| rank > highest) {
            best = Some((rank, server, announcement.incarnation));
        }
    }
    if now.since(first?) < ADOPTION_DELAY {
        return None;
    }
    let ((term, position), server, incarnation) = best?;
    // The last position of earlier terms is known only if nothing was written in this term.
    let start = if position.term.0 < term { position } else { LogPosition::ZERO };
    Some(ClusterCommand::AdoptPrimary {
        database: name.clone(),
        server: server.clone(),
        incarnation,
        term,
        start,
    })
}

fn choose_candidate(
    state: &ClusterState,
    table: &LivenessTable,
    name: &SharedName,
    group: &DatabaseRecord,
    fenced_at: Micros,
    now: Micros,
) -> Option<ClusterCommand> {
    let since = fenced_at + MAX_POSITION_AGE;
    let CandidateChoice::Candidate(candidate) =
        select_candidate(state, table, name, group, since, now)
    else {
        return None;
    };
    Some(ClusterCommand::ChooseCandidate {
        database: name.clone(),
        expected_term: group.term,
        expected_candidate_term: group.candidate_term,
        candidate: candidate.server,
        incarnation: candidate.incarnation,
        position: candidate.position,
    })
}

/// Returns the position at which the candidate's term begins, once the candidate acts as its primary.
fn promoted_start(
    state: &ClusterState,
    table: &LivenessTable,
    name: &SharedName,
    group: &DatabaseRecord,
    candidate: &CandidateRecord,
    target: &TargetRecord,
    now: Micros,
) -> Option<LogPosition> {
    let key = (name.clone(), candidate.server.clone());
    let term = group.candidate_term;
    let report = table.report(state, &key, target, now).filter(|report| {
        report.reachable && report.role == Some(TargetRole::Primary) && report.term == term
    });
    if let Some(report) = report {
        let known = report.term_start.filter(|start| *start >= candidate.position);
        return Some(known.unwrap_or_else(|| start_position(report.position, candidate, term)));
    }
    let (_, announcement) = table.announcement(&key)?;
    let promoted = announcement.incarnation == candidate.incarnation
        && announcement.role == Some(TargetRole::Primary)
        && announcement.term == term;
    promoted.then(|| start_position(announcement.position, candidate, term))
}

/// Returns the last position of earlier terms, as far as `position` shows it.
///
/// If the candidate has already written in its term, this is the position at which it was chosen:
/// claiming less of the old term than survived is safe, claiming more is not.
fn start_position(position: LogPosition, candidate: &CandidateRecord, term: u64) -> LogPosition {
    if position.term.0 < term { position.max(candidate.position) } else { candidate.position }
}
