//! Assignment of brokers to targets.

use {
    super::assignment,
    crate::{
        cluster::{BrokerRef, ClusterCommand, ClusterState, EntryRecord, TargetInfo, TargetRecord},
        collections::FastMap,
        detector::{LivenessTable, TargetKey},
        names::SharedName,
        time::Micros,
    },
    foldhash::fast::FixedState,
    std::{cell::OnceCell, hash::BuildHasher, ops::Bound},
};

/// Delay of a target's first assignment, so that entries that start together share the targets.
pub const FIRST_ASSIGNMENT_DELAY: Micros = Micros::from_secs(1);

/// Maximum number of concurrent handovers for better placement; each interrupts one target for about
/// one heartbeat interval.
pub const REBALANCE_LIMIT: usize = 2;

/// Time for which the set of entries must be stable before brokerships move for better placement.
const REBALANCE_DELAY: Micros = Micros::from_secs(10);

/// Returns the entry that should be the broker of a target, or `None` if there are no entries.
///
/// Uses rendezvous hashing among the entries of the target's zone, else of its region, else of all, so
/// that only the targets of an entry move when it leaves. The caller passes eligible entries only.
#[must_use]
pub fn preferred_entry<'a, I>(
    entries: I,
    database: &SharedName,
    server: &SharedName,
    info: &TargetInfo,
) -> Option<&'a EntryRecord>
where
    I: Iterator<Item = &'a EntryRecord>,
{
    let mut best: Option<((u8, u64), &EntryRecord)> = None;
    for entry in entries {
        let locality = match &entry.info {
            host if host.region == info.region && host.zone == info.zone => 2,
            host if host.region == info.region => 1,
            _ => 0,
        };
        let names = (entry.info.host.as_str(), database.as_str(), server.as_str());
        let score = (locality, FixedState::with_seed(0).hash_one(names));
        if best.is_none_or(|(highest, _)| score > highest) {
            best = Some((score, entry));
        }
    }
    best.map(|(_, entry)| entry)
}

/// Maximum number of pairs of a target and an entry that one search for better placement compares.
const MAX_PLACEMENT_PAIRS: usize = 50_000;

/// Number of passes between two searches for better placement.
const PLACEMENT_INTERVAL_PASSES: u64 = 10;

/// Maximum number of brokers that one pass chooses; each choice hashes up to one name per entry of the
/// target's region.
const MAX_CHOICES_PER_PASS: usize = 512;

/// Entries that may become brokers, by zone and by region.
#[derive(Default)]
struct EligibleEntries<'a> {
    zones: FastMap<(SharedName, SharedName), Vec<&'a EntryRecord>>,
    regions: FastMap<SharedName, Vec<&'a EntryRecord>>,
    all: Vec<&'a EntryRecord>,
}

impl<'a> EligibleEntries<'a> {
    fn collect(state: &'a ClusterState, table: &LivenessTable, now: Micros) -> Self {
        let mut entries = Self::default();
        for entry in state.entries().values() {
            if !entry.is_eligible() || !table.holds_lease(&broker_ref(entry), now) {
                continue;
            }
            let (region, zone) = (entry.info.region.clone(), entry.info.zone.clone());
            entries.zones.entry((region.clone(), zone)).or_default().push(entry);
            entries.regions.entry(region).or_default().push(entry);
            entries.all.push(entry);
        }
        entries
    }

    /// Returns the nearest entries, among which `preferred_entry` finds the same one as among all.
    fn nearest(&self, info: &TargetInfo) -> &[&'a EntryRecord] {
        let zone = self.zones.get(&(info.region.clone(), info.zone.clone()));
        zone.or_else(|| self.regions.get(&info.region)).unwrap_or(&self.all)
    }
}

/// State of one pass that assigns and hands over brokerships.
pub(super) struct AssignmentPlan<'a> {
    pub(super) state: &'a ClusterState,
    pub(super) table: &'a LivenessTable,
    pub(super) now: Micros,
    eligible: OnceCell<EligibleEntries<'a>>,
    choices_left: usize,
}

impl<'a> AssignmentPlan<'a> {
    pub(super) const fn new(
        state: &'a ClusterState,
        table: &'a LivenessTable,
        now: Micros,
    ) -> Self {
        Self { state, table, now, eligible: OnceCell::new(), choices_left: MAX_CHOICES_PER_PASS }
    }

    /// Returns the next assignment of a target: `Some(None)` revokes the brokership, `None` changes
    /// nothing.
    pub(super) fn next_broker(
        &mut self,
        key: &TargetKey,
        target: &TargetRecord,
    ) -> Option<Option<BrokerRef>> {
        if target.info.address.is_empty() {
            return None;
        }
        if let Some(broker) = &target.broker {
            return self.replace_broker(key, target, broker);
        }
        if let Some(releasing) = &target.releasing {
            let released = self.table.is_gone(self.state, releasing, self.now)
                || self.table.is_released(releasing, key, target.assigned_version);
            if !released {
                return None;
            }
        } else if target.epoch == 0 {
            let first_seen = self.table.first_seen(key).unwrap_or(self.table.leader_since());
            if self.now.since(first_seen) < FIRST_ASSIGNMENT_DELAY {
                return None;
            }
        }
        Some(Some(self.choose_broker(key, target)?))
    }

    fn replace_broker(
        &mut self,
        key: &TargetKey,
        target: &TargetRecord,
        broker: &BrokerRef,
    ) -> Option<Option<BrokerRef>> {
        if self.table.is_gone(self.state, broker, self.now) {
            return Some(Some(self.choose_broker(key, target)?));
        }
        let holder = self.state.entries().get(&broker.host)?;
        if holder.info.incarnation != broker.incarnation {
            // The lease of the previous process may still be valid.
            return None;
        }
        if holder.live && !holder.is_eligible() {
            // A draining entry keeps its targets while no other entry can take them.
            return self.choose_broker(key, target).map(|_| None);
        }
        None
    }

    /// Revokes brokerships that another entry should have, a few at a time.
    ///
    /// Returns the group after which the next search continues, or `None` if this pass did not search.
    pub(super) fn improve_placement(
        &mut self,
        commands: &mut Vec<ClusterCommand>,
    ) -> Option<Option<SharedName>> {
        let settled = self.now.since(self.table.leader_since()) >= REBALANCE_DELAY
            && self.table.entries_stable_for(self.now) >= REBALANCE_DELAY;
        if !settled || !self.table.ticks().is_multiple_of(PLACEMENT_INTERVAL_PASSES) {
            return None;
        }
        let mut moves_left = REBALANCE_LIMIT.saturating_sub(self.state.releasing_count());
        let mut pairs_left = MAX_PLACEMENT_PAIRS;
        let from = match self.table.placement_cursor() {
            Some(cursor) => Bound::Excluded(cursor.clone()),
            None => Bound::Unbounded,
        };
        let mut cursor = None;
        for (name, group) in self.state.databases().range((from, Bound::Unbounded)) {
            if moves_left == 0 || pairs_left == 0 {
                return Some(cursor.or_else(|| self.table.placement_cursor().cloned()));
            }
            cursor = Some(name.clone());
            if group.closed {
                continue;
            }
            for (server, target) in &group.targets {
                let holder = self.state.live_broker(target);
                let Some(holder) = holder.filter(|holder| holder.is_eligible()) else { continue };
                let key = (name.clone(), server.clone());
                let count = self.eligible().nearest(&target.info).len();
                pairs_left = pairs_left.saturating_sub(count.max(1));
                let best = self.preferred_broker(&key, target);
                if moves_left == 0 || best.is_none_or(|best| best == broker_ref(holder)) {
                    continue;
                }
                moves_left -= 1;
                commands.push(assignment(&key, target, None));
            }
        }
        Some(None)
    }

    fn eligible(&self) -> &EligibleEntries<'a> {
        let (state, table, now) = (self.state, self.table, self.now);
        self.eligible.get_or_init(|| EligibleEntries::collect(state, table, now))
    }

    /// Returns the best broker of a target, or `None` if there is none or the pass has reached its limit
    /// of choices; a target without a broker is evaluated again after 100 ms.
    fn choose_broker(&mut self, key: &TargetKey, target: &TargetRecord) -> Option<BrokerRef> {
        self.choices_left = self.choices_left.checked_sub(1)?;
        self.preferred_broker(key, target)
    }

    fn preferred_broker(&self, key: &TargetKey, target: &TargetRecord) -> Option<BrokerRef> {
        let entries = self.eligible().nearest(&target.info).iter().copied();
        preferred_entry(entries, &key.0, &key.1, &target.info).map(broker_ref)
    }
}

fn broker_ref(entry: &EntryRecord) -> BrokerRef {
    BrokerRef { host: entry.info.host.clone(), incarnation: entry.info.incarnation }
}
