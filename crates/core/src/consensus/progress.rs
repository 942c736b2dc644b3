//! Replication progress that a leader tracks for each follower.

use {
    super::MAX_APPENDS_IN_FLIGHT,
    crate::time::Micros,
    std::collections::{BTreeMap, VecDeque},
};

/// Mode in which a leader replicates to a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SendMode {
    /// Sends one empty append at a time until the common log prefix is found.
    Probe {
        /// Whether a probe is in flight.
        paused: bool,
    },
    /// Sends pipelined appends, up to `MAX_APPENDS_IN_FLIGHT` in flight.
    Stream,
    /// Waits until the follower has installed a snapshot.
    Snapshot {
        /// Index of the last entry in the snapshot.
        index: u64,
        /// Time at which the snapshot was sent.
        sent: Micros,
    },
}

/// Replication state of one follower.
#[derive(Clone, Debug)]
pub(super) struct PeerProgress {
    /// Highest index up to which the follower's log is known to be durable and to match the leader's.
    pub(super) match_index: u64,
    /// Index of the next entry to send.
    pub(super) next_index: u64,
    pub(super) mode: SendMode,
    /// Last index of each append in flight.
    pub(super) in_flight: VecDeque<u64>,
    /// Latest round that the follower has acknowledged.
    pub(super) acked_round: u64,
    /// Send time of that round; the follower still accepted this replica as leader after it.
    pub(super) last_contact: Micros,
}

impl PeerProgress {
    pub(super) const fn new(next_index: u64, last_contact: Micros) -> Self {
        Self {
            match_index: 0,
            next_index,
            mode: SendMode::Probe { paused: false },
            in_flight: VecDeque::new(),
            acked_round: 0,
            last_contact,
        }
    }

    pub(super) fn window_full(&self) -> bool {
        self.in_flight.len() >= MAX_APPENDS_IN_FLIGHT
    }

    /// Switches to probing from an index and forgets all appends in flight.
    pub(super) fn probe_from(&mut self, next_index: u64) {
        self.next_index = next_index;
        self.mode = SendMode::Probe { paused: false };
        self.in_flight.clear();
    }

    /// Records a successful reply and returns whether the match index advanced.
    pub(super) fn record_match(&mut self, match_index: u64) -> bool {
        let advanced = match_index > self.match_index;
        self.match_index = self.match_index.max(match_index);
        self.next_index = self.next_index.max(self.match_index + 1);
        while self.in_flight.front().is_some_and(|last| *last <= self.match_index) {
            self.in_flight.pop_front();
        }
        match self.mode {
            SendMode::Snapshot { index, .. } if self.match_index < index => {}
            _ => self.mode = SendMode::Stream,
        }
        advanced
    }
}

/// Send times of the latest confirmation rounds.
#[derive(Clone, Debug, Default)]
pub(super) struct RoundTable {
    latest: u64,
    sent: BTreeMap<u64, Micros>,
}

impl RoundTable {
    /// Number of rounds retained; replies to older rounds are too old to count as contact.
    const MAX_ROUNDS: usize = 512;

    /// Starts a round and returns its number.
    pub(super) fn begin(&mut self, now: Micros) -> u64 {
        self.latest += 1;
        self.sent.insert(self.latest, now);
        if self.sent.len() > Self::MAX_ROUNDS {
            self.sent.pop_first();
        }
        self.latest
    }

    pub(super) const fn latest(&self) -> u64 {
        self.latest
    }

    pub(super) fn sent_at(&self, round: u64) -> Option<Micros> {
        self.sent.get(&round).copied()
    }
}
