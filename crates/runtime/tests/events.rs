//! Stamps of events, which order causes before their effects.

use {
    banyansill_core::event::{EventNumber, HybridStamp},
    banyansill_runtime::{clock::wall_millis, events::EventSink},
};

/// Guards against an effect that is ordered before its cause when the receiver's clock is behind.
#[test]
fn received_stamp_advances_the_clock() {
    let sink = EventSink::new("selkirk-1".into());
    let remote = HybridStamp { millis: wall_millis() + 60_000, counter: 7 };
    let merged = sink.observe(remote);
    assert!(merged > remote);
    sink.record(EventNumber::TermClosed, &[("database", "hamper-db-1".to_owned())]);
    let records = sink.since(remote);
    assert_eq!(records.len(), 1);
    assert!(records[0].stamp > merged);
    assert_eq!(records[0].fields["database"], "hamper-db-1");
    assert!(sink.since(records[0].stamp).is_empty());
}
