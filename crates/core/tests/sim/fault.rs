//! Injection and repair of faults in the simulation.

use {
    super::World,
    banyansill_core::{cluster::ClusterCommand, time::Micros},
    proptest::prelude::*,
};

/// A fault or an operator's action.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    KillEntry(usize),
    RestartEntry(usize),
    PauseEntry(usize, u64),
    PartitionEntry(usize),
    /// The entry's heartbeats arrive but its watch delivers no new state.
    StallWatch(usize),
    DrainEntry(usize),
    KillTarget(usize),
    RestartTarget(usize),
    /// The server comes back without its log.
    ReplaceTarget(usize),
    LeaveTarget(usize),
    SlowTarget(usize),
    LoseAnnouncements(usize),
    /// The network path from an entry to a target drops everything.
    CutPath(usize, usize),
    ChangeLeader(u64),
    ApplySheet,
    HealAll,
}

/// Generates faults, each with the time in milliseconds until the next one.
pub fn fault_plan() -> impl Strategy<Value = Vec<(u64, Fault)>> {
    let entry = 0..3_usize;
    let target = 0..3_usize;
    let fault = prop_oneof![
        entry.clone().prop_map(Fault::KillEntry),
        entry.clone().prop_map(Fault::RestartEntry),
        (entry.clone(), 100..6_000_u64).prop_map(|(number, span)| Fault::PauseEntry(number, span)),
        entry.clone().prop_map(Fault::PartitionEntry),
        entry.clone().prop_map(Fault::StallWatch),
        entry.clone().prop_map(Fault::DrainEntry),
        target.clone().prop_map(Fault::KillTarget),
        target.clone().prop_map(Fault::RestartTarget),
        target.clone().prop_map(Fault::LeaveTarget),
        target.clone().prop_map(Fault::SlowTarget),
        target.clone().prop_map(Fault::LoseAnnouncements),
        (entry, target).prop_map(|(entry, target)| Fault::CutPath(entry, target)),
        (0..3_000_u64).prop_map(Fault::ChangeLeader),
        Just(Fault::ApplySheet),
        Just(Fault::HealAll),
    ];
    prop::collection::vec((0..4_000_u64, fault), 1..14)
}

impl World {
    pub fn inject(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::KillEntry(number) => self.entries[number].alive = false,
            Fault::RestartEntry(number) => self.entries[number].restart(),
            Fault::PauseEntry(number, span) => {
                self.entries[number].paused_until = now + Micros::from_millis(span);
            }
            Fault::PartitionEntry(number) => self.entries[number].partitioned = true,
            Fault::StallWatch(number) => self.entries[number].watch_stalled = true,
            Fault::DrainEntry(number) => self.drain_entry(number, true),
            Fault::KillTarget(number) => self.targets[number].alive = false,
            Fault::RestartTarget(number) => {
                let target = &mut self.targets[number];
                target.alive = true;
                target.incarnation += 1;
                target.reset_process();
                target.leaving = false;
            }
            Fault::ReplaceTarget(number) => {
                self.inject(Fault::RestartTarget(number));
                self.targets[number].log.clear();
            }
            Fault::LeaveTarget(number) => self.targets[number].leaving = true,
            Fault::SlowTarget(number) => self.targets[number].lagging = true,
            Fault::LoseAnnouncements(number) => self.targets[number].announcements_lost = true,
            Fault::CutPath(entry, target) => {
                let server = self.targets[target].name.clone();
                self.entries[entry].unreachable.insert(server);
            }
            Fault::ChangeLeader(span) => self.elect(Micros::from_millis(span)),
            Fault::ApplySheet => self.apply_sheet(),
            Fault::HealAll => self.heal(),
        }
    }

    fn apply_sheet(&mut self) {
        let number = self.state.sheet().map_or(1, |record| record.number + 1);
        self.commit(&ClusterCommand::ApplySheet {
            number,
            content: format!("sheet {number}"),
            operator: String::new(),
            request_id: String::new(),
        });
        self.sheets.push((number, self.now));
    }

    /// Ends every fault and restarts the processes that died.
    pub fn heal(&mut self) {
        for number in 0..self.entries.len() {
            let entry = &mut self.entries[number];
            entry.partitioned = false;
            entry.watch_stalled = false;
            entry.unreachable.clear();
            if !entry.alive {
                entry.restart();
            }
            self.drain_entry(number, false);
        }
        for target in &mut self.targets {
            if !target.alive {
                target.alive = true;
                target.incarnation += 1;
                target.reset_process();
            }
            target.leaving = false;
            target.announcements_lost = false;
            target.lagging = false;
        }
    }

    fn drain_entry(&mut self, number: usize, drain: bool) {
        let host = self.entries[number].host.clone();
        self.commit(&ClusterCommand::DrainEntry { host, drain, request_id: String::new() });
    }
}
