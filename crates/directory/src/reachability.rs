//! Reports of entries about the targets that they cannot reach.

use {
    banyansill_core::{
        collections::FastMap,
        directory::{
            ENTRY_FAILURE_TIMEOUT, PrimaryEvidence, StreamNumber, StreamRegistry,
            VANISHED_ENTRY_TTL,
        },
        names::SharedName,
        time::Micros,
    },
    banyansill_wire::directory_v1 as v1,
    std::sync::{Arc, Mutex, MutexGuard, PoisonError},
    tokio::sync::Notify,
};

/// Time without a report after which an entry no longer counts as following the directory.
const ENTRY_REPORT_TTL: Micros = Micros::from_millis(1_500);

/// Last report of one entry.
#[derive(Clone, Debug)]
struct EntryReport {
    address: SharedName,
    reported_at: Micros,
    /// Time for which every attempt to reach a target had failed when the report was received, by target.
    failing: FastMap<SharedName, Micros>,
}

/// Last reports of the entries by host; clones share the table.
#[derive(Clone, Debug, Default)]
pub(crate) struct EntryReports {
    entries: Arc<Mutex<FastMap<SharedName, EntryReport>>>,
    streams: Arc<Mutex<StreamRegistry>>,
    targets_changed: Arc<Notify>,
}

impl EntryReports {
    /// Records the report of an entry, received at `now`.
    pub(crate) fn record(&self, report: v1::EntryReach, now: Micros) {
        let mut failing = FastMap::default();
        for reach in report.reach {
            failing.insert(reach.target.into(), Micros::from_millis(reach.failing_ms.into()));
        }
        let entry = EntryReport { address: report.address.into(), reported_at: now, failing };
        let targets = entry.failing.len();
        let before = self.lock().insert(report.entry.into(), entry);
        if before.map_or(0, |before| before.failing.len()) != targets {
            self.targets_changed.notify_one();
        }
    }

    /// Waits until the number of targets that an entry reports as failing changes.
    pub(crate) async fn targets_changed(&self) {
        self.targets_changed.notified().await;
    }

    /// Registers a new stream of an entry.
    pub(crate) fn open_stream(&self, host: &SharedName) -> StreamNumber {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner).open(host.clone())
    }

    /// Removes the report of an entry whose stream ended, unless it has a newer stream; returns whether it was removed.
    pub(crate) fn close_stream(&self, host: &SharedName, number: StreamNumber) -> bool {
        // The registry stays locked, so that a new stream cannot report between the check and the removal.
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        let gone = streams.close(host, number);
        if gone {
            self.lock().remove(host);
        }
        drop(streams);
        gone
    }

    /// Returns the reports of all entries in the form that is forwarded to the leader.
    pub(crate) fn reports(&self) -> Vec<v1::EntryReach> {
        let mut reports = Vec::new();
        for (host, entry) in &*self.lock() {
            let mut report = v1::EntryReach {
                entry: host.to_string(),
                address: entry.address.to_string(),
                reach: Vec::new(),
            };
            for (target, failing) in &entry.failing {
                report.reach.push(v1::Reach {
                    group: String::new(),
                    target: target.to_string(),
                    failing_ms: u32::try_from(failing.as_millis()).unwrap_or(u32::MAX),
                });
            }
            reports.push(report);
        }
        reports
    }

    /// Adds the reports about a target to the evidence, of the entries that connect to it directly.
    ///
    /// An entry that uses connections of others does not notice the loss of the target itself.
    pub(crate) fn add_evidence<IsDirect>(
        &self,
        target: &SharedName,
        now: Micros,
        is_direct: IsDirect,
        evidence: &mut PrimaryEvidence,
    ) where
        IsDirect: Fn(&SharedName) -> bool,
    {
        let mut shortest: Option<Micros> = None;
        for (host, entry) in &*self.lock() {
            if !is_direct(host) {
                continue;
            }
            let age = now.since(entry.reported_at);
            if age >= ENTRY_REPORT_TTL {
                let reached = !entry.failing.contains_key(target);
                evidence.entries_vanished += u32::from(reached && age < VANISHED_ENTRY_TTL);
                continue;
            }
            evidence.entries += 1;
            let Some(failing) = entry.failing.get(target) else { continue };
            let failing = *failing + age;
            if failing >= ENTRY_FAILURE_TIMEOUT {
                evidence.entries_failing += 1;
                shortest = Some(shortest.map_or(failing, |known| known.min(failing)));
            }
        }
        evidence.entries_failing_for = shortest.unwrap_or_default();
    }

    /// Counts the entries that no report has come from within `VANISHED_ENTRY_TTL`.
    pub(crate) fn awaited<'a, Hosts>(&self, hosts: Hosts, now: Micros) -> u32
    where
        Hosts: IntoIterator<Item = &'a SharedName>,
    {
        let entries = self.lock();
        let mut awaited = 0;
        for host in hosts {
            let age = entries.get(host).map(|entry| now.since(entry.reported_at));
            awaited += u32::from(age.is_none_or(|age| age >= VANISHED_ENTRY_TTL));
        }
        awaited
    }

    /// Returns the addresses by host of the entries that reported within `max_age` before `now`.
    pub(crate) fn reported_within(
        &self,
        max_age: Micros,
        now: Micros,
    ) -> FastMap<SharedName, SharedName> {
        let mut reported = FastMap::default();
        for (host, entry) in &*self.lock() {
            if now.since(entry.reported_at) < max_age {
                reported.insert(host.clone(), entry.address.clone());
            }
        }
        reported
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<SharedName, EntryReport>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
