//! Reads that wait for a confirmation round.

/// Queue of read confirmations; at most one round serves reads at a time.
#[derive(Clone, Debug, Default)]
pub(super) struct ReadQueue {
    waiting: Vec<u64>,
    active: Option<ReadRound>,
}

#[derive(Clone, Debug)]
struct ReadRound {
    round: u64,
    index: u64,
    tickets: Vec<u64>,
}

impl ReadQueue {
    pub(super) fn push(&mut self, ticket: u64) {
        self.waiting.push(ticket);
    }

    /// Returns whether a round should start: reads wait and no round is under way.
    pub(super) const fn wants_round(&self) -> bool {
        !self.waiting.is_empty() && self.active.is_none()
    }

    /// Assigns all waiting reads to a round that starts now, at the given commit index.
    pub(super) fn begin(&mut self, round: u64, index: u64) {
        let tickets = std::mem::take(&mut self.waiting);
        self.active = Some(ReadRound { round, index, tickets });
    }

    /// Returns the reads of the active round and their index if a majority has answered it.
    pub(super) fn finish(&mut self, answered: u64) -> Option<(u64, Vec<u64>)> {
        if self.active.as_ref().is_some_and(|active| active.round <= answered) {
            return self.active.take().map(|active| (active.index, active.tickets));
        }
        None
    }

    pub(super) fn into_tickets(self) -> Vec<u64> {
        let mut tickets = self.waiting;
        if let Some(active) = self.active {
            tickets.extend(active.tickets);
        }
        tickets
    }
}
