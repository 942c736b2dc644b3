//! What a leader knows about one follower.

use {
    super::APPEND_WINDOW,
    crate::time::Micros,
    std::collections::{BTreeMap, VecDeque},
};

/// How a leader sends to a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SendMode {
    /// One empty append at a time until the common prefix is found.
    Probe {
        /// A probe is in flight.
        paused: bool,
    },
    /// Pipelined appends.
    Stream,
    /// A snapshot is in flight.
    Snapshot {
        /// Index of the snapshot.
        index: u64,
        /// When it was sent.
        sent: Micros,
    },
}

/// Replication state of one follower.
#[derive(Clone, Debug)]
pub(super) struct PeerProgress {
    pub(super) match_index: u64,
    pub(super) next_index: u64,
    pub(super) mode: SendMode,
    /// Last index of each append in flight.
    pub(super) in_flight: VecDeque<u64>,
    /// Latest round that the follower has answered.
    pub(super) round: u64,
    /// When that round was sent; the follower regarded this replica as leader after it.
    pub(super) contact: Micros,
}

impl PeerProgress {
    pub(super) const fn new(next_index: u64, contact: Micros) -> Self {
        Self {
            match_index: 0,
            next_index,
            mode: SendMode::Probe { paused: false },
            in_flight: VecDeque::new(),
            round: 0,
            contact,
        }
    }

    pub(super) fn window_full(&self) -> bool {
        self.in_flight.len() >= APPEND_WINDOW
    }

    pub(super) fn probe_from(&mut self, next_index: u64) {
        self.next_index = next_index;
        self.mode = SendMode::Probe { paused: false };
        self.in_flight.clear();
    }

    /// Records a successful reply; returns whether the match index rose.
    pub(super) fn accept(&mut self, match_index: u64) -> bool {
        let rose = match_index > self.match_index;
        self.match_index = self.match_index.max(match_index);
        self.next_index = self.next_index.max(self.match_index + 1);
        while self.in_flight.front().is_some_and(|last| *last <= self.match_index) {
            self.in_flight.pop_front();
        }
        match self.mode {
            SendMode::Snapshot { index, .. } if self.match_index < index => {}
            _ => self.mode = SendMode::Stream,
        }
        rose
    }
}

/// Send times of the latest rounds.
#[derive(Clone, Debug, Default)]
pub(super) struct RoundTable {
    latest: u64,
    sent: BTreeMap<u64, Micros>,
}

impl RoundTable {
    /// Rounds kept; answers to older rounds are too old to count as contact.
    const KEPT: usize = 512;

    pub(super) fn begin(&mut self, now: Micros) -> u64 {
        self.latest += 1;
        self.sent.insert(self.latest, now);
        if self.sent.len() > Self::KEPT {
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
