//! Which entry is the broker of which target.

use {
    crate::{
        cluster::{BrokerRef, ClusterCommand, ClusterState, EntryRecord, TargetInfo, TargetRecord},
        detector::LivenessTable,
        names::SharedName,
        time::Micros,
    },
    foldhash::fast::FixedState,
    std::hash::BuildHasher,
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

struct AssignmentPlan<'a> {
    state: &'a ClusterState,
    table: &'a LivenessTable,
    now: Micros,
    eligible: Vec<&'a EntryRecord>,
    /// Handovers that may still begin.
    moves_left: usize,
}

pub(super) fn assignments(
    state: &ClusterState,
    table: &LivenessTable,
    now: Micros,
    commands: &mut Vec<ClusterCommand>,
) {
    let mut eligible = Vec::new();
    for entry in state.entries().values() {
        if entry.is_eligible() && table.holds_lease(&reference(entry), now) {
            eligible.push(entry);
        }
    }
    let mut releasing = 0;
    for group in state.databases().values() {
        releasing += group.targets.values().filter(|target| target.releasing.is_some()).count();
    }
    let settled = now.since(table.lead_since()) >= REBALANCE_DELAY
        && table.entries_stable_for(state, now) >= REBALANCE_DELAY;
    let moves_left = if settled { REBALANCE_LIMIT.saturating_sub(releasing) } else { 0 };
    let mut plan = AssignmentPlan { state, table, now, eligible, moves_left };
    for (database, group) in state.databases() {
        for (server, target) in &group.targets {
            let Some(broker) = plan.next_broker(database, server, target, group.closed) else {
                continue;
            };
            commands.push(ClusterCommand::AssignBroker {
                database: database.clone(),
                server: server.clone(),
                expected_epoch: target.epoch,
                broker,
            });
        }
    }
}

impl AssignmentPlan<'_> {
    /// Returns the next assignment of a target: `Some(None)` revokes, `None` changes nothing.
    fn next_broker(
        &mut self,
        database: &SharedName,
        server: &SharedName,
        target: &TargetRecord,
        closed: bool,
    ) -> Option<Option<BrokerRef>> {
        if target.info.address.is_empty() {
            return None;
        }
        let best = preferred_entry(self.eligible.iter().copied(), database, server, &target.info)?;
        let best = reference(best);
        if let Some(broker) = &target.broker {
            if self.table.is_gone(self.state, broker, self.now) {
                return Some(Some(best));
            }
            let holder = self.state.entries().get(&broker.host)?;
            if holder.info.incarnation != broker.incarnation || *broker == best {
                return None;
            }
            if holder.live && !holder.is_eligible() {
                return Some(None);
            }
            if closed || self.moves_left == 0 {
                return None;
            }
            self.moves_left -= 1;
            return Some(None);
        }
        if let Some(releasing) = &target.releasing {
            let released = self.table.is_gone(self.state, releasing, self.now)
                || self.table.is_released(releasing, database, server, target.assigned_version);
            return released.then_some(Some(best));
        }
        if target.epoch == 0 {
            let key = (database.clone(), server.clone());
            let heard = self.table.first_heard(&key).unwrap_or(self.table.lead_since());
            if self.now.since(heard) < FIRST_ASSIGNMENT_DELAY {
                return None;
            }
        }
        Some(Some(best))
    }
}

fn reference(entry: &EntryRecord) -> BrokerRef {
    BrokerRef { host: entry.info.host.clone(), incarnation: entry.info.incarnation }
}
