//! Queue of reads that wait until a majority has confirmed the leader.

/// Pending reads; at most one confirmation round serves reads at a time.
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

    /// Returns whether a round should start: reads are waiting and no round is in progress.
    pub(super) const fn needs_round(&self) -> bool {
        !self.waiting.is_empty() && self.active.is_none()
    }

    /// Assigns all waiting reads to a round that starts now, at the given commit index.
    pub(super) fn begin(&mut self, round: u64, index: u64) {
        let tickets = std::mem::take(&mut self.waiting);
        self.active = Some(ReadRound { round, index, tickets });
    }

    /// Returns the commit index and the tickets of the active round if a majority has acknowledged it.
    ///
    /// `answered` is the latest round that a majority has acknowledged.
    pub(super) fn finish(&mut self, answered: u64) -> Option<(u64, Vec<u64>)> {
        if self.active.as_ref().is_some_and(|active| active.round <= answered) {
            return self.active.take().map(|active| (active.index, active.tickets));
        }
        None
    }

    /// Returns the tickets of all reads that are not confirmed.
    pub(super) fn into_tickets(self) -> Vec<u64> {
        let mut tickets = self.waiting;
        if let Some(active) = self.active {
            tickets.extend(active.tickets);
        }
        tickets
    }
}
