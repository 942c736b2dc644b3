//! What entries see of targets.

use {
    banyansill_core::{
        collections::FastMap,
        directory::{ENTRY_FAILURE_TIMEOUT, PrimaryEvidence, VANISHED_ENTRY_TTL},
        names::SharedName,
        time::Micros,
    },
    banyansill_wire::directory_v1 as v1,
    std::sync::{Arc, Mutex, MutexGuard, PoisonError},
    tokio::sync::Notify,
};

/// Time after which an entry that no replica hears of counts for nothing.
const ENTRY_LIFE: Micros = Micros::from_millis(1_500);

/// One entry as it was last reported.
#[derive(Clone, Debug)]
struct EntryReach {
    address: SharedName,
    seen: Micros,
    /// Time for which every try at a target had failed when the report came.
    failing: FastMap<SharedName, Micros>,
}

/// Entries by host; clones share the table.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReachTable {
    entries: Arc<Mutex<FastMap<SharedName, EntryReach>>>,
    news: Arc<Notify>,
}

impl ReachTable {
    /// Takes over what an entry reports.
    pub(crate) fn record(&self, report: v1::EntryReach, now: Micros) {
        let mut failing = FastMap::default();
        for reach in report.reach {
            failing.insert(reach.target.into(), Micros::from_millis(reach.failing_ms.into()));
        }
        let reach = EntryReach { address: report.address.into(), seen: now, failing };
        let targets = reach.failing.len();
        let before = self.lock().insert(report.entry.into(), reach);
        if before.map_or(0, |before| before.failing.len()) != targets {
            self.news.notify_one();
        }
    }

    /// Waits until an entry reports a target that it did not report before, or no longer does.
    pub(crate) async fn news(&self) {
        self.news.notified().await;
    }

    /// Forgets an entry whose connection ended.
    pub(crate) fn remove(&self, host: &SharedName) {
        self.lock().remove(host);
    }

    /// Returns all entries as they are passed on to the leader.
    pub(crate) fn reports(&self) -> Vec<v1::EntryReach> {
        let mut reports = Vec::new();
        for (host, reach) in &*self.lock() {
            let mut report = v1::EntryReach {
                entry: host.to_string(),
                address: reach.address.to_string(),
                reach: Vec::new(),
            };
            for (target, failing) in &reach.failing {
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

    /// Adds what the entries see of a target to the evidence.
    pub(crate) fn add_evidence(
        &self,
        target: &SharedName,
        now: Micros,
        evidence: &mut PrimaryEvidence,
    ) {
        let mut shortest: Option<Micros> = None;
        for reach in self.lock().values() {
            let age = now.since(reach.seen);
            if age >= ENTRY_LIFE {
                let reached = !reach.failing.contains_key(target);
                evidence.entries_vanished += u32::from(reached && age < VANISHED_ENTRY_TTL);
                continue;
            }
            evidence.entries += 1;
            let Some(failing) = reach.failing.get(target) else { continue };
            let failing = *failing + age;
            if failing >= ENTRY_FAILURE_TIMEOUT {
                evidence.entries_failing += 1;
                shortest = Some(shortest.map_or(failing, |known| known.min(failing)));
            }
        }
        evidence.entries_failing_for = shortest.unwrap_or_default();
    }

    /// Returns host and address of the entries that were heard of within `life`.
    pub(crate) fn heard_within(
        &self,
        life: Micros,
        now: Micros,
    ) -> FastMap<SharedName, SharedName> {
        let mut heard = FastMap::default();
        for (host, reach) in &*self.lock() {
            if now.since(reach.seen) < life {
                heard.insert(host.clone(), reach.address.clone());
            }
        }
        heard
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<SharedName, EntryReach>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
