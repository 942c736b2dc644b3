//! Checks of what callers saw against what the database holds at the end.
//!
//! Each write inserts a row with a token of its own and the caller's rising sequence number. Each read
//! echoes a token of its own and returns the sequence numbers that it saw for a caller.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

/// What a caller was told about a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// Acknowledged.
    Acknowledged,
    /// Reported as not run.
    NotRun,
    /// Ran and failed; nothing was changed.
    Failed,
    /// Reported as unknown, or the connection ended without an answer.
    Unknown,
}

/// One operation of one session, in the order in which the session did them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HistoryStep {
    /// A write that may not be repeated.
    Write {
        /// Token of the row.
        token: u64,
        /// What the caller was told.
        outcome: WriteOutcome,
    },
    /// The caller connected again, possibly to another entry.
    ///
    /// Acknowledged writes must still be seen. Rows of others' writes that were never acknowledged may
    /// be gone if a promotion happened in between.
    Reconnected,
    /// A read that was answered.
    Read {
        /// Token that the request asked to have echoed.
        asked: u64,
        /// Token in the answer.
        echoed: u64,
        /// Tokens of the session's own rows in the answer.
        seen: BTreeSet<u64>,
        /// Rows that the answer announced, and rows that came.
        announced: u64,
        /// Rows received.
        received: u64,
    },
}

/// Breach of a guarantee.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HistoryFault {
    /// A read missed a write of its own session that had been acknowledged.
    MissedOwnWrite {
        /// The session.
        session: u64,
        /// The missed row.
        token: u64,
    },
    /// A read missed a row that an earlier read of the session had returned.
    WentBack {
        /// The session.
        session: u64,
        /// The missed row.
        token: u64,
    },
    /// A caller got another request's answer.
    CrossedAnswer {
        /// The session.
        session: u64,
        /// What was asked.
        asked: u64,
        /// What came.
        echoed: u64,
    },
    /// An answer was cut short or too long.
    PartialAnswer {
        /// The session.
        session: u64,
        /// Token of the request.
        asked: u64,
    },
    /// A request that may not be repeated ran more than once.
    RanTwice {
        /// The row.
        token: u64,
        /// How often it is there.
        count: usize,
    },
    /// A request that was reported as not run has run.
    RanThoughRefused {
        /// The row.
        token: u64,
    },
    /// An acknowledged write is not in the database.
    LostWrite {
        /// The row.
        token: u64,
    },
}

impl fmt::Display for HistoryFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{self:?}")
    }
}

/// Steps of all sessions, by session number.
#[derive(Clone, Debug, Default)]
pub struct HistoryLog {
    sessions: BTreeMap<u64, Vec<HistoryStep>>,
}

impl HistoryLog {
    /// Adds the next step of a session.
    pub fn push(&mut self, session: u64, step: HistoryStep) {
        self.sessions.entry(session).or_default().push(step);
    }

    /// Adds all steps of another log.
    pub fn merge(&mut self, other: Self) {
        for (session, steps) in other.sessions {
            self.sessions.entry(session).or_default().extend(steps);
        }
    }

    /// Returns the number of writes with the given outcome.
    #[must_use]
    pub fn writes(&self, wanted: WriteOutcome) -> usize {
        let mut count = 0;
        for step in self.sessions.values().flatten() {
            let HistoryStep::Write { outcome, .. } = step else { continue };
            count += usize::from(*outcome == wanted);
        }
        count
    }

    /// Returns the number of reads that were answered.
    #[must_use]
    pub fn reads(&self) -> usize {
        let steps = self.sessions.values().flatten();
        steps.filter(|step| matches!(step, HistoryStep::Read { .. })).count()
    }

    /// Compares the steps with the tokens that the database holds at the end.
    #[must_use]
    pub fn check(&self, rows: &[u64]) -> Vec<HistoryFault> {
        let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
        for token in rows {
            *counts.entry(*token).or_default() += 1;
        }
        let mut faults = Vec::new();
        for (token, count) in &counts {
            if *count > 1 {
                faults.push(HistoryFault::RanTwice { token: *token, count: *count });
            }
        }
        for (session, steps) in &self.sessions {
            check_session(*session, steps, &counts, &mut faults);
        }
        faults
    }
}

fn check_session(
    session: u64,
    steps: &[HistoryStep],
    counts: &BTreeMap<u64, usize>,
    faults: &mut Vec<HistoryFault>,
) {
    let mut written = BTreeSet::new();
    let mut read = BTreeSet::new();
    for step in steps {
        match step {
            HistoryStep::Write { token, outcome } => {
                let present = counts.contains_key(token);
                match outcome {
                    WriteOutcome::Acknowledged => {
                        written.insert(*token);
                        if !present {
                            faults.push(HistoryFault::LostWrite { token: *token });
                        }
                    }
                    WriteOutcome::NotRun | WriteOutcome::Failed if present => {
                        faults.push(HistoryFault::RanThoughRefused { token: *token });
                    }
                    _ => {}
                }
            }
            HistoryStep::Reconnected => read.clear(),
            HistoryStep::Read { asked, echoed, seen, announced, received } => {
                if asked != echoed {
                    let (asked, echoed) = (*asked, *echoed);
                    faults.push(HistoryFault::CrossedAnswer { session, asked, echoed });
                }
                if announced != received {
                    faults.push(HistoryFault::PartialAnswer { session, asked: *asked });
                }
                for token in written.difference(seen) {
                    faults.push(HistoryFault::MissedOwnWrite { session, token: *token });
                }
                for token in read.difference(seen) {
                    if !written.contains(token) {
                        faults.push(HistoryFault::WentBack { session, token: *token });
                    }
                }
                read.extend(seen.iter().copied());
            }
        }
    }
}
