//! Which entry is the broker of which target.

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

/// Delay of a target's first assignment, so that entries that start at the same time share the targets.
pub const FIRST_ASSIGNMENT_DELAY: Micros = Micros::from_secs(1);

/// Handovers for better placement that may be in progress at a time; each interrupts one target for
/// about a heartbeat.
pub const REBALANCE_LIMIT: usize = 2;

/// Time for which an entry set must be stable before brokerships move for better placement.
const REBALANCE_DELAY: Micros = Micros::from_secs(10);

/// Returns the entry that should be the broker of a target.
///
/// Rendezvous hashing among the eligible entries of the target's zone, else of its region, else of all:
/// when an entry leaves, only its own targets move.
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
            place if place.region == info.region && place.zone == info.zone => 2,
            place if place.region == info.region => 1,
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

/// Bound of the work on better placement in one search, in pairs of a target and an entry.
const PLACEMENT_PAIRS: usize = 50_000;

/// Better placement is looked for in one of this many passes.
const PLACEMENT_EVERY: u64 = 10;

/// Brokers that one pass chooses; each choice hashes up to one name per entry of the target's region.
const CHOICES_PER_PASS: usize = 512;

/// The entries that may become brokers, by place.
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
            if !entry.is_eligible() || !table.holds_lease(&reference(entry), now) {
                continue;
            }
            let (region, zone) = (entry.info.region.clone(), entry.info.zone.clone());
            entries.zones.entry((region.clone(), zone)).or_default().push(entry);
            entries.regions.entry(region).or_default().push(entry);
            entries.all.push(entry);
        }
        entries
    }

    /// Returns the entries among which `preferred_entry` finds the same one as among all.
    fn nearest(&self, info: &TargetInfo) -> &[&'a EntryRecord] {
        let zone = self.zones.get(&(info.region.clone(), info.zone.clone()));
        zone.or_else(|| self.regions.get(&info.region)).unwrap_or(&self.all)
    }
}

/// Assignments and handovers of one pass.
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
        Self { state, table, now, eligible: OnceCell::new(), choices_left: CHOICES_PER_PASS }
    }

    /// Returns the next assignment of a target: `Some(None)` revokes, `None` changes nothing.
    pub(super) fn next_broker(
        &mut self,
        key: &TargetKey,
        target: &TargetRecord,
    ) -> Option<Option<BrokerRef>> {
        if target.info.address.is_empty() {
            return None;
        }
        if let Some(broker) = &target.broker {
            return self.next_of_held(key, target, broker);
        }
        if let Some(releasing) = &target.releasing {
            let released = self.table.is_gone(self.state, releasing, self.now)
                || self.table.is_released(releasing, key, target.assigned_version);
            if !released {
                return None;
            }
        } else if target.epoch == 0 {
            let heard = self.table.first_received(key).unwrap_or(self.table.leader_since());
            if self.now.since(heard) < FIRST_ASSIGNMENT_DELAY {
                return None;
            }
        }
        Some(Some(self.best(key, target)?))
    }

    fn next_of_held(
        &mut self,
        key: &TargetKey,
        target: &TargetRecord,
        broker: &BrokerRef,
    ) -> Option<Option<BrokerRef>> {
        if self.table.is_gone(self.state, broker, self.now) {
            return Some(Some(self.best(key, target)?));
        }
        let holder = self.state.entries().get(&broker.host)?;
        if holder.info.incarnation != broker.incarnation {
            // The predecessor's lease is still running.
            return None;
        }
        if holder.live && !holder.is_eligible() {
            // Without a successor the draining entry keeps its targets.
            return self.best(key, target).map(|_| None);
        }
        None
    }

    /// Revokes brokerships that another entry should have, a few at a time, and returns the group after
    /// which the next search continues, if this pass searched.
    pub(super) fn improve_placement(
        &mut self,
        commands: &mut Vec<ClusterCommand>,
    ) -> Option<Option<SharedName>> {
        let settled = self.now.since(self.table.leader_since()) >= REBALANCE_DELAY
            && self.table.entries_stable_for(self.now) >= REBALANCE_DELAY;
        if !settled || !self.table.ticks().is_multiple_of(PLACEMENT_EVERY) {
            return None;
        }
        let mut moves_left = REBALANCE_LIMIT.saturating_sub(self.state.releasing_count());
        let mut pairs_left = PLACEMENT_PAIRS;
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
                let best = self.preferred(&key, target);
                if moves_left == 0 || best.is_none_or(|best| best == reference(holder)) {
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

    /// Returns the best broker of a target, or `None` if there is none or the pass has chosen enough;
    /// a target without a broker is looked at again soon.
    fn best(&mut self, key: &TargetKey, target: &TargetRecord) -> Option<BrokerRef> {
        self.choices_left = self.choices_left.checked_sub(1)?;
        self.preferred(key, target)
    }

    fn preferred(&self, key: &TargetKey, target: &TargetRecord) -> Option<BrokerRef> {
        let entries = self.eligible().nearest(&target.info).iter().copied();
        preferred_entry(entries, &key.0, &key.1, &target.info).map(reference)
    }
}

fn reference(entry: &EntryRecord) -> BrokerRef {
    BrokerRef { host: entry.info.host.clone(), incarnation: entry.info.incarnation }
}
