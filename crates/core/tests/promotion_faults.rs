//! Changes of primary under combined faults, on virtual time.

#![allow(clippy::unwrap_used)]

mod sim;

use {
    banyansill_core::time::Micros,
    proptest::prelude::*,
    sim::{Fault, World, fault_plan},
};

fn settled(seed: u64) -> World {
    let mut world = World::new(seed, 3, 3);
    world.run_until("the first write", Micros::from_secs(20), |world| !world.acked.is_empty());
    world
}

/// Runs until a new term has acknowledged a write, and returns how long that took.
fn failover(world: &mut World, limit: Micros) -> Micros {
    let term = world.group().unwrap().term;
    let begin = world.now;
    world.run_until("a write in a new term", limit, |world| {
        world.acked.last().is_some_and(|position| position.term.0 > term)
    });
    world.now.since(begin)
}

/// Runs until every target announces itself to its broker, and returns the number of the primary and of
/// the entry that is its broker.
fn announced_to_brokers(seed: u64) -> (World, usize, usize) {
    let mut world = settled(seed);
    world.run_until("announcements to brokers", Micros::from_secs(10), |world| {
        world.targets.iter().all(|target| target.announce_to.is_some())
    });
    world.run(Micros::from_secs(2));
    assert!(world.broker_announcements > 0);
    let primary = world.targets.iter().position(|target| target.role_is_primary()).unwrap();
    let record = &world.group().unwrap().targets[&world.targets[primary].name];
    let broker = record.broker.clone().unwrap().host;
    let entry = world.entries.iter().position(|entry| entry.host == broker).unwrap();
    (world, primary, entry)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against two brokers that hold connections of one target, an acknowledgement in a replaced
    /// term, a promotion that loses an acknowledged write, an entry that acts under an old sheet for more
    /// than 4 s, and a group that stays without a primary after the faults have ended.
    #[test]
    fn faults_lose_no_acknowledged_write(seed in any::<u64>(), plan in fault_plan()) {
        let mut world = settled(seed);
        for (wait, fault) in plan {
            world.inject(fault);
            world.run(Micros::from_millis(wait));
        }
        world.heal();
        world.run(Micros::from_secs(10));
        let count = world.acked.len();
        world.run_until("a write after the repair", Micros::from_secs(40), |world| {
            world.primary().is_some_and(|primary| primary.alive) && world.acked.len() > count
        });
    }

    /// Guards against a failover that takes longer than the bound of 6 s when the primary and the entry
    /// that brokers it die at the same moment.
    #[test]
    fn primary_and_its_broker_die_together(seed in any::<u64>()) {
        let mut world = settled(seed);
        let primary = world.primary().unwrap().name.clone();
        let record = &world.group().unwrap().targets[&primary];
        let broker = record.broker.clone().unwrap().host;
        let entry = world.entries.iter().position(|entry| entry.host == broker).unwrap();
        let target = world.targets.iter().position(|target| target.name == primary).unwrap();
        world.inject(Fault::KillEntry(entry));
        world.inject(Fault::KillTarget(target));
        failover(&mut world, Micros::from_secs(6));
    }

    /// Guards against a returning former primary that accepts writes, and against a second failover that
    /// stalls because of state that the first one left behind.
    #[test]
    fn old_primary_returns_during_a_second_failover(seed in any::<u64>(), wait in 0..4_000_u64) {
        let mut world = settled(seed);
        let first = world.targets.iter().position(|target| target.role_is_primary()).unwrap();
        world.inject(Fault::KillTarget(first));
        failover(&mut world, Micros::from_secs(6));
        world.run(Micros::from_millis(wait));
        let second = world.primary().unwrap().name.clone();
        let second = world.targets.iter().position(|target| target.name == second).unwrap();
        world.inject(Fault::RestartTarget(first));
        world.inject(Fault::KillTarget(second));
        failover(&mut world, Micros::from_secs(10));
    }

    /// Guards against a server that came back without its log and counts as an answer: its empty log
    /// and that of a server far behind would suffice to choose a candidate without the lost writes.
    #[test]
    fn server_without_its_log_does_not_count(seed in any::<u64>(), gap in 0..700_u64, elect in any::<bool>()) {
        let mut world = settled(seed);
        let first = world.targets.iter().position(|target| target.role_is_primary()).unwrap();
        let (second, third) = ((first + 1) % 3, (first + 2) % 3);
        world.inject(Fault::SlowTarget(third));
        world.run(Micros::from_secs(2));
        world.inject(Fault::ReplaceTarget(second));
        if elect {
            world.inject(Fault::ChangeLeader(100));
        }
        world.run(Micros::from_millis(gap));
        world.inject(Fault::KillTarget(first));
        world.run(Micros::from_secs(10));
        world.inject(Fault::RestartTarget(first));
        let count = world.acked.len();
        world.run_until("a write after the repair", Micros::from_secs(40), |world| {
            world.acked.len() > count
        });
    }

    /// Guards against a planned change that never completes or loses a write that was only on the primary.
    #[test]
    fn leaving_primary_hands_over(seed in any::<u64>()) {
        let mut world = settled(seed);
        let first = world.targets.iter().position(|target| target.role_is_primary()).unwrap();
        world.inject(Fault::LeaveTarget(first));
        failover(&mut world, Micros::from_secs(6));
        let written = world.targets[first].position();
        prop_assert!(world.primary().unwrap().contains(written));
    }

    /// Guards against a fence that is assumed without confirmation: a broker whose watch hangs keeps
    /// acknowledging until its lease ends, and must not resume afterwards with its old state.
    #[test]
    fn broker_with_a_hanging_watch_is_fenced_by_its_lease(seed in any::<u64>(), gap in 0..4_000_u64) {
        let mut world = settled(seed);
        let primary = world.primary().unwrap().name.clone();
        let record = &world.group().unwrap().targets[&primary];
        let broker = record.broker.clone().unwrap().host;
        let entry = world.entries.iter().position(|entry| entry.host == broker).unwrap();
        let target = world.targets.iter().position(|target| target.name == primary).unwrap();
        world.inject(Fault::StallWatch(entry));
        world.inject(Fault::LeaveTarget(target));
        failover(&mut world, Micros::from_secs(20));
        world.inject(Fault::PartitionEntry(entry));
        world.run(Micros::from_millis(gap));
        world.entries[entry].partitioned = false;
        world.run(Micros::from_secs(5));
    }

    /// Guards against an entry that returns from a partition with an old state and takes its targets
    /// back from the brokers that replaced it.
    #[test]
    fn returning_entry_does_not_take_its_targets_back(seed in any::<u64>(), gap in 1_500..4_000_u64) {
        let mut world = settled(seed);
        for entry in 0..3 {
            world.inject(Fault::StallWatch(entry));
            world.inject(Fault::PartitionEntry(entry));
            world.run(Micros::from_millis(gap));
            world.entries[entry].partitioned = false;
            world.run(Micros::from_secs(3));
            world.heal();
            world.run(Micros::from_secs(3));
        }
    }

    /// Guards against a promotion on one signal alone: missing announcements must not end a term while
    /// the broker reaches the primary, and failed probes of brokers must not end it at once.
    #[test]
    fn single_signals_do_not_end_a_term(seed in any::<u64>(), announcements_lost in any::<bool>()) {
        let mut world = settled(seed);
        let first = world.targets.iter().position(|target| target.role_is_primary()).unwrap();
        if announcements_lost {
            world.inject(Fault::LoseAnnouncements(first));
            world.run(Micros::from_secs(15));
        } else {
            for entry in 0..3 {
                world.inject(Fault::CutPath(entry, first));
            }
            world.run(Micros::from_millis(2_500));
        }
        prop_assert_eq!(world.promotions, 0);
        prop_assert!(!world.group().unwrap().closed);
    }

    /// Guards against a change of primary after the death of the entry to which the primary announced
    /// itself: its announcements must reach control before the brokership has moved.
    #[test]
    fn death_of_the_broker_does_not_end_a_term(seed in any::<u64>()) {
        let (mut world, primary, entry) = announced_to_brokers(seed);
        let host = world.entries[entry].host.clone();
        world.inject(Fault::KillEntry(entry));
        world.run(Micros::from_secs(10));
        prop_assert_eq!(world.promotions, 0);
        prop_assert!(!world.group().unwrap().closed);
        let count = world.acked.len();
        world.run(Micros::from_secs(2));
        prop_assert!(world.acked.len() > count, "no broker took over");
        let announce_to = world.targets[primary].announce_to.clone();
        prop_assert!(announce_to.is_some_and(|announce_to| announce_to != host));
    }

    /// Guards against two signals that fail together: when only the path between broker and target is
    /// cut, the announcements must reach control, so that the broker's report alone needs 3 s to end the
    /// term.
    #[test]
    fn cut_between_broker_and_target_waits_for_the_longer_limit(seed in any::<u64>()) {
        let (mut world, primary, entry) = announced_to_brokers(seed);
        world.inject(Fault::CutPath(entry, primary));
        let begin = world.now;
        while world.now.since(begin) < Micros::from_millis(3_000) {
            world.step();
            prop_assert!(!world.group().unwrap().closed, "closed after {:?}", world.now.since(begin));
        }
        let term = world.group().unwrap().term;
        world.run_until("a new term", Micros::from_secs(10), |world| {
            world.group().unwrap().term > term
        });
    }

    /// Guards against a restarted target whose new incarnation only its broker learns of: control would
    /// attribute the reports on the new process to the old one.
    #[test]
    fn new_incarnation_reaches_control_through_the_broker(seed in any::<u64>()) {
        let (mut world, primary, _) = announced_to_brokers(seed);
        let replica = (primary + 1) % 3;
        let name = world.targets[replica].name.clone();
        world.inject(Fault::RestartTarget(replica));
        let incarnation = world.targets[replica].incarnation;
        world.run_until("the new incarnation", Micros::from_secs(2), |world| {
            world.group().unwrap().targets[&name].info.incarnation == incarnation
        });
        world.run(Micros::from_secs(5));
        prop_assert!(world.group().unwrap().targets[&name].live);
        prop_assert_eq!(world.promotions, 0);
    }

    /// Guards against a leaving target that still gets requests after 3 s, because its broker does not
    /// forward the announcement.
    #[test]
    fn leaving_target_reaches_control_through_the_broker(seed in any::<u64>()) {
        let (mut world, primary, _) = announced_to_brokers(seed);
        let replica = (primary + 1) % 3;
        let name = world.targets[replica].name.clone();
        world.inject(Fault::LeaveTarget(replica));
        world.run_until("the mark as draining", Micros::from_secs(3), |world| {
            world.group().unwrap().targets[&name].is_draining()
        });
    }

    /// Guards against announcements that are accepted by an entry without a lease, whose reports are
    /// ignored.
    #[test]
    fn entry_without_a_lease_accepts_no_announcements(seed in any::<u64>()) {
        let (mut world, primary, entry) = announced_to_brokers(seed);
        let host = world.entries[entry].host.clone();
        world.inject(Fault::PartitionEntry(entry));
        world.run_until("an announcement elsewhere", Micros::from_secs(4), |world| {
            world.targets[primary].announce_to.as_ref() != Some(&host)
        });
        world.run(Micros::from_secs(6));
        prop_assert_eq!(world.promotions, 0);
        prop_assert!(!world.group().unwrap().closed);
    }
}
