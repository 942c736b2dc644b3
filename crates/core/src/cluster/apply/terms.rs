//! Changes of a group's term: adoption of a primary, closing, choice of a candidate, promotion.

use {
    super::{Outcome, check_precondition, not_allowed},
    crate::{
        cluster::{
            ClusterState,
            change::ChangedItem,
            record::{CandidateRecord, DatabaseRecord, TermRecord},
        },
        names::SharedName,
        position::LogPosition,
    },
};

/// Number of terms kept in a group's history.
///
/// A session whose floor, the position that its reads must have reached, lies in an older term is
/// refused.
const MAX_TERM_RECORDS: usize = 64;

impl ClusterState {
    pub(super) fn adopt_primary(
        &mut self,
        index: u64,
        database: &SharedName,
        server: SharedName,
        incarnation: u64,
        term: TermRecord,
    ) -> Outcome {
        let record = self.target_mut(database, &server)?;
        check_precondition("target incarnation", incarnation, record.info.incarnation)?;
        let group = self.group_mut(database)?;
        check_precondition("term", 0, group.term)?;
        if term.term == 0 {
            return Err(not_allowed("term 0 has no primary"));
        }
        begin_term(group, server, incarnation, term);
        self.record_change(index, ChangedItem::Database(database.clone()));
        Ok(true)
    }

    pub(super) fn close_term(
        &mut self,
        index: u64,
        database: &SharedName,
        expected_term: u64,
        planned: bool,
    ) -> Outcome {
        let group = self.group_mut(database)?;
        check_precondition("term", expected_term, group.term)?;
        if group.term == 0 {
            return Err(not_allowed("the group has no term yet"));
        }
        // If the primary fails after a planned close, the close becomes unplanned, never the reverse.
        if group.closed && (planned || !group.planned) {
            return Ok(false);
        }
        group.closed = true;
        group.planned = planned;
        group.closed_version = index;
        self.record_change(index, ChangedItem::Database(database.clone()));
        Ok(true)
    }

    pub(super) fn choose_candidate(
        &mut self,
        index: u64,
        database: &SharedName,
        expected: (u64, u64),
        candidate: CandidateRecord,
    ) -> Outcome {
        let record = self.target_mut(database, &candidate.server)?;
        check_precondition("target incarnation", candidate.incarnation, record.info.incarnation)?;
        let group = self.group_mut(database)?;
        check_precondition("term", expected.0, group.term)?;
        check_precondition("candidate term", expected.1, group.candidate_term)?;
        if !group.closed {
            return Err(not_allowed("the term is not closed"));
        }
        group.candidate_term = group.term.max(group.candidate_term) + 1;
        group.candidate = Some(candidate);
        self.record_change(index, ChangedItem::Database(database.clone()));
        Ok(true)
    }

    pub(super) fn promote(
        &mut self,
        index: u64,
        database: &SharedName,
        expected_term: u64,
        server: &SharedName,
        term: TermRecord,
    ) -> Outcome {
        let group = self.group_mut(database)?;
        check_precondition("term", expected_term, group.term)?;
        check_precondition("candidate term", term.term, group.candidate_term)?;
        let Some(candidate) = &group.candidate else {
            return Err(not_allowed("no candidate was chosen"));
        };
        if candidate.server != *server {
            return Err(not_allowed("another candidate was chosen"));
        }
        let incarnation = candidate.incarnation;
        begin_term(group, server.clone(), incarnation, term);
        self.record_change(index, ChangedItem::Database(database.clone()));
        Ok(true)
    }
}

fn begin_term(
    group: &mut DatabaseRecord,
    server: SharedName,
    incarnation: u64,
    record: TermRecord,
) {
    let start = if record.start.term.0 < record.term { record.start } else { LogPosition::ZERO };
    group.history.push(TermRecord { term: record.term, start });
    if group.history.len() > MAX_TERM_RECORDS {
        group.history.remove(0);
    }
    group.term = record.term;
    group.primary = Some(server);
    group.primary_incarnation = incarnation;
    group.closed = false;
    group.planned = false;
    group.candidate = None;
    group.candidate_term = group.candidate_term.max(record.term);
}
