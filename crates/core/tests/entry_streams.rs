//! Entries that come back to a replica which has not noticed the end of their old stream, on virtual time.

use {
    banyansill_core::{
        collections::{FastMap, FastSet},
        directory::{StreamNumber, StreamRegistry},
        names::SharedName,
        time::Micros,
    },
    std::collections::BTreeMap,
};

/// Step of the virtual time.
const STEP: Micros = Micros::from_millis(100);

/// Interval at which a replica checks the record of each of its followers.
const RECORD_CHECK_STEPS: u64 = 20;

/// Interval at which the leader removes entries that no replica reports.
const EXPIRY_STEPS: u64 = 10;

/// Time without a report after which an entry is removed.
const ENTRY_EXPIRY: Micros = Micros::from_secs(5);

/// Time after the loss of power at which a replica notices the end of an old stream.
const NOTICE_TIME: Micros = Micros::from_secs(4);

/// How a replica treats the end of a stream.
#[derive(Clone, Copy, PartialEq, Eq)]
enum EndRule {
    /// The report of the entry is removed with any of its streams.
    AnyStream,
    /// The report is removed with the newest stream only.
    NewestStream,
}

/// Plays `count` entries at one replica, half of which lose power after 10 s and are back 1.6 s later; returns the
/// changes of the directory in each second.
fn play(count: usize, rule: EndRule) -> BTreeMap<u64, usize> {
    let mut registry = StreamRegistry::default();
    let mut reported: FastSet<SharedName> = FastSet::default();
    let mut reported_at: FastMap<SharedName, Micros> = FastMap::default();
    let mut recorded: FastSet<SharedName> = FastSet::default();
    let mut ends: Vec<(Micros, SharedName, StreamNumber)> = Vec::new();
    let mut changes: BTreeMap<u64, usize> = BTreeMap::new();
    let mut numbers: FastMap<SharedName, StreamNumber> = FastMap::default();
    let names: Vec<SharedName> =
        (0..count).map(|number| format!("entry-{number}").into()).collect();
    for name in &names {
        numbers.insert(name.clone(), registry.open(name.clone()));
        reported.insert(name.clone());
        recorded.insert(name.clone());
    }
    let power_loss = Micros::from_secs(10);
    let back_at = power_loss + Micros::from_millis(1_600);
    for step in 0..400_u64 {
        let now = Micros(STEP.0 * step);
        for name in names.iter().step_by(2) {
            if now == power_loss {
                ends.push((now + NOTICE_TIME, name.clone(), numbers[name]));
            }
            if now == back_at {
                registry.open(name.clone());
                reported.insert(name.clone());
            }
        }
        for (at, name, number) in &ends {
            if *at != now {
                continue;
            }
            let gone = registry.close(name, *number);
            if gone || rule == EndRule::AnyStream {
                reported.remove(name);
            }
        }
        for name in &reported {
            reported_at.insert(name.clone(), now);
        }
        let mut changed = 0;
        for (index, name) in names.iter().enumerate() {
            let is_checked = (step + index as u64).is_multiple_of(RECORD_CHECK_STEPS);
            if is_checked && recorded.insert(name.clone()) {
                changed += 1;
            }
            let is_late = now.since(reported_at[name]) >= ENTRY_EXPIRY;
            if is_late && step.is_multiple_of(EXPIRY_STEPS) && recorded.remove(name) {
                changed += 1;
            }
        }
        *changes.entry(now.0 / 1_000_000).or_default() += changed;
    }
    changes
}

fn changes_from(changes: &BTreeMap<u64, usize>, second: u64) -> usize {
    changes.range(second..).map(|(_, changed)| changed).sum()
}

// Guards against entries that are removed and recorded again for ever: with 76 of 300 entries, each entry applied 22
// changes of the directory a second, and the load grew with the square of their number.
#[test]
fn entries_that_come_back_stay_recorded() {
    for count in [300, 1_000, 2_700] {
        let changes = play(count, EndRule::NewestStream);
        assert_eq!(changes_from(&changes, 0), 0, "{count} entries: {changes:?}");
        // With the rule of any stream, the changes never end.
        let changes = play(count, EndRule::AnyStream);
        let last_second = changes.get(&38).copied().unwrap_or_default();
        assert!(last_second + changes[&37] > count / 4, "{count} entries: {changes:?}");
    }
}

// Guards against entries that stay recorded after they left, which would keep their share of the connections.
#[test]
fn the_end_of_the_newest_stream_counts() {
    let mut registry = StreamRegistry::default();
    let host = SharedName::from("entry-1");
    let first = registry.open(host.clone());
    let second = registry.open(host.clone());
    assert!(!registry.close(&host, first));
    assert!(registry.is_newest(&host, second));
    assert!(registry.close(&host, second));
    assert!(!registry.close(&host, second));
}
