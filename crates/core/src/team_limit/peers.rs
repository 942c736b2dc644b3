//! Choice of the entries that count a team's operations for an entry that is out of touch with control.

use crate::{
    collections::FastMap,
    directory::ProcessHost,
    gateway::{Distance, rendezvous_weight},
    names::SharedName,
    time::Micros,
};

/// Time for which an entry that was silent, or out of touch as well, is not asked again.
const FAILURE_TTL: Micros = Micros::from_secs(1);

/// Number of entries that are asked for one operation.
const MAX_ASKED: usize = 3;

/// Time without requests after no entry that was asked for an operation was in touch.
const PAUSE: Micros = Micros::from_millis(200);

/// Minimum time between two lines about the entry that counts.
const LOG_INTERVAL: Micros = Micros::from_secs(1);

/// Order in which entries are asked: the one that counted the last operation, then by failures in the zone, distance and
/// the rendezvous weight.
type PeerRank = (bool, usize, Distance, u64);

/// Entry that did not count an operation.
#[derive(Clone, Debug)]
struct FailedPeer {
    zone: SharedName,
    until: Micros,
}

/// Entries that may count operations for an entry that is out of touch.
///
/// Designed for partitions that cut part of the entries off from control and not from the other entries: each of 139
/// entries sees an operation of a usual team every 14 s, so no allowance of its own that is safe for all of them together
/// admits a single one. An entry in touch admits it within the limit that control divides. If nobody is in touch, the
/// pauses bound the requests.
#[derive(Clone, Debug, Default)]
pub struct AdmissionPeers {
    /// Entry that counted the last operation.
    counting: Option<SharedName>,
    failed: FastMap<SharedName, FailedPeer>,
    paused_until: Micros,
    /// Time from which a change of the counting entry is logged again.
    log_from: Micros,
}

/// Requests for one operation.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerRequest {
    asked: usize,
}

impl AdmissionPeers {
    /// Returns the next entry to ask for an operation, or `None` if it is refused.
    ///
    /// The entries of a zone are often cut off together, so zones with few failures come first.
    pub fn next_peer<'a, Entries, Distances>(
        &mut self,
        request: &mut PeerRequest,
        own: &SharedName,
        entries: Entries,
        distance: Distances,
        now: Micros,
    ) -> Option<ProcessHost>
    where
        Entries: IntoIterator<Item = &'a ProcessHost>,
        Distances: Fn(&SharedName) -> Distance,
    {
        if request.asked == MAX_ASKED || now < self.paused_until {
            return None;
        }
        self.failed.retain(|_, failed| failed.until > now);
        let mut best: Option<(PeerRank, &ProcessHost)> = None;
        for entry in entries {
            if entry.host == *own || self.failed.contains_key(&entry.host) {
                continue;
            }
            let is_other = self.counting.as_ref() != Some(&entry.host);
            let failures = self.failed.values().filter(|failed| failed.zone == entry.zone).count();
            let weight = rendezvous_weight(&entry.host, own);
            let rank = (is_other, failures, distance(&entry.zone), weight);
            if best.as_ref().is_none_or(|(known, _)| rank < *known) {
                best = Some((rank, entry));
            }
        }
        request.asked += 1;
        best.map(|(_, entry)| entry.clone())
    }

    /// Records that an entry in touch admitted or refused an operation; returns whether that is to be logged.
    pub fn record_counted(&mut self, host: &SharedName, now: Micros) -> bool {
        let changed = self.counting.as_ref() != Some(host);
        self.counting = Some(host.clone());
        let is_due = changed && now >= self.log_from;
        if is_due {
            self.log_from = now + LOG_INTERVAL;
        }
        is_due
    }

    /// Records that an entry was silent or out of touch.
    pub fn record_failure(&mut self, request: PeerRequest, entry: &ProcessHost, now: Micros) {
        if self.counting.as_ref() == Some(&entry.host) {
            self.counting = None;
        }
        let failed = FailedPeer { zone: entry.zone.clone(), until: now + FAILURE_TTL };
        self.failed.insert(entry.host.clone(), failed);
        if request.asked == MAX_ASKED {
            self.paused_until = now + PAUSE;
        }
    }
}
