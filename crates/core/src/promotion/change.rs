//! Changes of a group's primary: adopt, close, fence, choose, promote.

use crate::{
    cluster::{CandidateRecord, ClusterCommand, ClusterState, DatabaseRecord, TargetRecord},
    detector::{LivenessTable, TargetCondition, TargetKey},
    names::SharedName,
    position::LogPosition,
    route::TargetRole,
    time::Micros,
};

/// Delay before a new group's announced primary is adopted, so that a second claim is heard.
pub const ADOPTION_DELAY: Micros = Micros::from_secs(1);

/// Time after which another candidate is chosen if the present one does not report its promotion.
pub const CANDIDATE_TIMEOUT: Micros = Micros::from_secs(2);

/// Time that a broker has to finish running writes in a planned change; after it, the term is closed as
/// in an unplanned one and the broker must stop at once.
pub const PLANNED_LIMIT: Micros = Micros::from_secs(10);

/// Greatest age of a position when it reaches the leader: a broker's probe interval of 250 ms and the way
/// to control.
///
/// Positions that arrive earlier after the fence may have been read before the last acknowledgement.
pub const OBSERVATION_AGE: Micros = Micros::from_millis(300);

/// Servers of a group that must answer before a candidate is chosen.
///
/// At least a majority, and all but one: a commit that waits for a second server is on two of them,
/// and any set of all but one server contains one of the two.
#[must_use]
pub const fn required_answers(servers: usize) -> usize {
    let majority = servers / 2 + 1;
    if servers.saturating_sub(1) > majority { servers - 1 } else { majority }
}

/// Result of looking for a candidate, also shown by a dry run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeOutlook {
    /// This server would be chosen.
    Candidate(CandidateRecord),
    /// Too few servers answer.
    TooFewAnswers {
        /// Servers that answer.
        answers: usize,
        /// Servers that must answer.
        required: usize,
    },
    /// The servers that hold the highest position are leaving; the others must catch up first.
    CatchingUp,
}

/// Returns which server would be chosen by what was heard at or after `since`.
#[must_use]
pub fn outlook(
    state: &ClusterState,
    table: &LivenessTable,
    name: &SharedName,
    group: &DatabaseRecord,
    since: Micros,
    now: Micros,
) -> ChangeOutlook {
    let mut answers: Vec<(LogPosition, &SharedName, &TargetRecord)> = Vec::new();
    let mut rejoining = 0;
    for (server, target) in &group.targets {
        let key = (name.clone(), server.clone());
        if !matches!(
            table.condition(state, &key, target, now),
            TargetCondition::Healthy | TargetCondition::Unheard
        ) {
            continue;
        }
        let Some(position) = table.position_since(state, &key, target, since, now) else {
            continue;
        };
        // A new incarnation may be reached by its broker before control hears its announcement.
        let fell = table.highest_position(&key).is_some_and(|highest| position < highest);
        rejoining += usize::from(fell || target.rejoining.is_some());
        answers.push((position, server, target));
    }
    // A server that lost its log does not show which commits it had confirmed. Only when every server
    // answers can no more be learnt, and the highest position that is left has to do.
    let required = required_answers(group.targets.len());
    let complete = answers.len() == group.targets.len();
    let answered = if complete { answers.len() } else { answers.len() - rejoining };
    if answered < required {
        return ChangeOutlook::TooFewAnswers { answers: answered, required };
    }
    let highest = answers.iter().map(|(position, ..)| *position).max().unwrap_or_default();
    let home = group.primary.as_ref().and_then(|primary| group.targets.get(primary));
    let mut best: Option<([bool; 4], CandidateRecord)> = None;
    for (position, server, target) in answers {
        if position < highest {
            continue;
        }
        if group.planned && target.is_draining() {
            continue;
        }
        let near = |home: &TargetRecord| home.info.region == target.info.region;
        // A candidate that did not promote in time comes last among equals.
        let tried = group.candidate.as_ref().is_some_and(|candidate| candidate.server == *server);
        let rank = [
            !target.is_draining(),
            !tried,
            state.live_broker(target).is_some(),
            home.is_some_and(near),
        ];
        if best.as_ref().is_none_or(|(highest, _)| rank > *highest) {
            let incarnation = target.info.incarnation;
            let candidate = CandidateRecord { server: server.clone(), incarnation, position };
            best = Some((rank, candidate));
        }
    }
    best.map_or(ChangeOutlook::CatchingUp, |(_, candidate)| ChangeOutlook::Candidate(candidate))
}

/// Returns what is to be logged next for the primary of a group.
#[must_use]
pub fn next_step(
    state: &ClusterState,
    table: &LivenessTable,
    name: &SharedName,
    group: &DatabaseRecord,
    now: Micros,
) -> Option<ClusterCommand> {
    if group.term == 0 {
        return adopt(table, name, group, now);
    }
    let primary = group.primary.as_ref()?;
    let target = group.targets.get(primary)?;
    let key = (name.clone(), primary.clone());
    // A restarted primary may have lost what it had not synced, so it competes for a new term.
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
    let Some(fenced) = table.fenced_at(name) else {
        let overdue =
            table.closed_observed_at(name).is_some_and(|seen| now.since(seen) >= PLANNED_LIMIT);
        return (group.planned && (failed || overdue)).then(|| close(false));
    };
    if failed && group.planned {
        return Some(close(false));
    }
    let Some(candidate) = &group.candidate else {
        return choose(state, table, name, group, fenced, now);
    };
    let record = group.targets.get(&candidate.server);
    let Some(record) = record.filter(|record| record.info.incarnation == candidate.incarnation)
    else {
        return choose(state, table, name, group, fenced, now);
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
    let chosen = table.candidate_observed_at(name).unwrap_or(now);
    let lost = table.condition(state, &key, record, now) == TargetCondition::Unreachable;
    if lost || now.since(chosen) >= CANDIDATE_TIMEOUT {
        return choose(state, table, name, group, fenced, now);
    }
    None
}

fn has_successor(group: &DatabaseRecord, primary: &SharedName) -> bool {
    let mut others = group.targets.iter().filter(|(server, _)| *server != primary);
    others.any(|(_, target)| target.live && !target.is_draining())
}

fn adopt(
    table: &LivenessTable,
    name: &SharedName,
    group: &DatabaseRecord,
    now: Micros,
) -> Option<ClusterCommand> {
    let mut first = None;
    let mut best: Option<((u64, LogPosition), &SharedName, u64)> = None;
    for (server, target) in &group.targets {
        let key: TargetKey = (name.clone(), server.clone());
        let Some(heard) = table.first_received(&key) else { continue };
        if first.is_none_or(|first| heard < first) {
            first = Some(heard);
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
    // Positions of earlier terms are known only if nothing was written in this one.
    let start = if position.term.0 < term { position } else { LogPosition::ZERO };
    Some(ClusterCommand::AdoptPrimary {
        database: name.clone(),
        server: server.clone(),
        incarnation,
        term,
        start,
    })
}

fn choose(
    state: &ClusterState,
    table: &LivenessTable,
    name: &SharedName,
    group: &DatabaseRecord,
    fenced: Micros,
    now: Micros,
) -> Option<ClusterCommand> {
    let since = fenced + OBSERVATION_AGE;
    let ChangeOutlook::Candidate(candidate) = outlook(state, table, name, group, since, now) else {
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

/// Returns the position at which the candidate's term begins, once the candidate acts under it.
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
        return Some(known.unwrap_or_else(|| start_of(report.position, candidate, term)));
    }
    let (_, announcement) = table.announcement(&key)?;
    let promoted = announcement.incarnation == candidate.incarnation
        && announcement.role == Some(TargetRole::Primary)
        && announcement.term == term;
    promoted.then(|| start_of(announcement.position, candidate, term))
}

/// Falls back to the position at which the candidate was chosen when it has already written in its
/// term: claiming less of the old term than survived is safe, claiming more is not.
fn start_of(position: LogPosition, candidate: &CandidateRecord, term: u64) -> LogPosition {
    if position.term.0 < term { position.max(candidate.position) } else { candidate.position }
}
