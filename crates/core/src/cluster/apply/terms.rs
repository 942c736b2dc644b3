//! Terms of a group: adopted, closed, and promoted.

use {
    super::{Outcome, check, not_allowed},
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

/// Terms of a group's history that are kept; a session floor from an older term is refused.
const HISTORY_KEPT: usize = 64;

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
        check("target incarnation", incarnation, record.info.incarnation)?;
        let group = self.group_mut(database)?;
        check("term", 0, group.term)?;
        if term.term == 0 {
            return Err(not_allowed("term 0 has no primary"));
        }
        put_in_force(group, server, incarnation, term);
        self.touch(index, ChangedItem::Database(database.clone()));
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
        check("term", expected_term, group.term)?;
        if group.term == 0 {
            return Err(not_allowed("no term is in force"));
        }
        // A planned close whose primary then fails becomes an unplanned one, never the reverse.
        if group.closed && (planned || !group.planned) {
            return Ok(false);
        }
        group.closed = true;
        group.planned = planned;
        group.closed_version = index;
        self.touch(index, ChangedItem::Database(database.clone()));
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
        check("target incarnation", candidate.incarnation, record.info.incarnation)?;
        let group = self.group_mut(database)?;
        check("term", expected.0, group.term)?;
        check("candidate term", expected.1, group.candidate_term)?;
        if !group.closed {
            return Err(not_allowed("the term is open"));
        }
        group.candidate_term = group.term.max(group.candidate_term) + 1;
        group.candidate = Some(candidate);
        self.touch(index, ChangedItem::Database(database.clone()));
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
        check("term", expected_term, group.term)?;
        check("candidate term", term.term, group.candidate_term)?;
        let Some(candidate) = &group.candidate else {
            return Err(not_allowed("no candidate was chosen"));
        };
        if candidate.server != *server {
            return Err(not_allowed("another candidate was chosen"));
        }
        let incarnation = candidate.incarnation;
        put_in_force(group, server.clone(), incarnation, term);
        self.touch(index, ChangedItem::Database(database.clone()));
        Ok(true)
    }
}

fn put_in_force(
    group: &mut DatabaseRecord,
    server: SharedName,
    incarnation: u64,
    record: TermRecord,
) {
    let start = if record.start.term.0 < record.term { record.start } else { LogPosition::ZERO };
    group.history.push(TermRecord { term: record.term, start });
    if group.history.len() > HISTORY_KEPT {
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
