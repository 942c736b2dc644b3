//! The clock that leases and ages are counted on.

use {banyansill_core::time::Micros, banyansill_runtime::clock::MonotonicClock};

// Guards against ages that are cut off at the start of a process: a mark of another process that is ten seconds
// old then looks as young as this process.
#[test]
fn times_before_the_start_can_be_told() {
    let clock = MonotonicClock::start_at(Micros::from_secs(3_600));
    let age = Micros::from_secs(600);
    let now = clock.now();
    assert_eq!(now.since(age) + age, now, "the age is not cut off");
}
