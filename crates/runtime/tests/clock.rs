//! Monotonic clock, which measures leases and ages.

use {banyansill_core::time::Micros, banyansill_runtime::clock::MonotonicClock};

// Guards against ages that are truncated at the start of a process: a mark that another process set ten
// seconds ago would then appear to be only as old as this process.
#[test]
fn times_before_the_start_can_be_represented() {
    let clock = MonotonicClock::start_at(Micros::from_secs(3_600));
    let age = Micros::from_secs(600);
    let now = clock.now();
    assert_eq!(now.since(age) + age, now, "the age is not truncated");
}
