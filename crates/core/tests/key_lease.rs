//! Lease of an entry on its table of keys, on virtual time: nothing sent with a withdrawn key runs too late.

use banyansill_core::{gateway::KeyLease, time::Micros};

const WITHDRAWAL: Micros = Micros::from_secs(5);

/// Part of the withdrawal time for which a confirmation holds.
const LEASE: Micros = Micros::from_secs(4);

const START: Micros = Micros::from_secs(3_600);

fn ms(millis: u64) -> Micros {
    START + Micros::from_millis(millis)
}

fn confirmed_at(probe: Micros, version: u64) -> KeyLease {
    let mut lease = KeyLease::new(Some(WITHDRAWAL));
    lease.record_confirmation(probe, version, version);
    lease
}

/// Guards against an entry that refuses its first callers though its keys are about to be confirmed, or holds callers up
/// because of a confirmation that it has lost.
#[test]
fn only_a_new_lease_awaits_its_first_confirmation() {
    let mut lease = KeyLease::new(Some(Micros::from_secs(5)));
    assert!(lease.is_new());
    lease.record_confirmation(Micros::from_secs(10), 3, 2);
    assert!(lease.is_new(), "the table lacks the version");
    lease.record_version(3);
    assert!(!lease.is_new());
    assert!(!lease.is_valid(Micros::from_secs(15)));
    assert!(!lease.is_new(), "a lost confirmation is not a first one");
    assert!(!KeyLease::new(None).is_new());
}

/// Guards against a restarted entry that uses keys before control has confirmed anything.
#[test]
fn a_new_lease_has_expired() {
    let lease = KeyLease::new(Some(WITHDRAWAL));
    assert!(!lease.is_valid(Micros::ZERO));
    assert!(!lease.is_valid(START));
}

/// Guards against refusals in deployments without strict withdrawal.
#[test]
fn without_a_withdrawal_time_keys_are_always_valid() {
    let mut lease = KeyLease::new(None);
    assert!(lease.is_valid(START));
    lease.record_confirmation(ms(0), 7, 3);
    lease.record_version(7);
    assert!(lease.is_valid(Micros(u64::MAX)));
}

/// Guards against a lease that counts from the receipt of the confirmation instead of the probe.
#[test]
fn the_lease_counts_from_the_probe() {
    let lease = confirmed_at(ms(0), 4);
    assert!(lease.is_valid(ms(3_999)));
    assert!(!lease.is_valid(ms(4_000)));
}

/// Guards against a delayed, buffered or repeated confirmation that extends or shortens the lease.
#[test]
fn late_confirmations_change_nothing_beyond_their_probe() {
    let mut lease = confirmed_at(ms(2_000), 4);
    for probe in [0, 500, 1_999, 2_000] {
        lease.record_confirmation(ms(probe), 4, 4);
    }
    assert!(lease.is_valid(ms(2_000) + LEASE - Micros(1)));
    assert!(!lease.is_valid(ms(2_000) + LEASE));

    // Read only after the lease has expired.
    lease.record_confirmation(ms(2_500), 4, 4);
    assert!(!lease.is_valid(ms(6_500)));
    lease.record_confirmation(ms(6_400), 4, 4);
    assert!(lease.is_valid(ms(6_500)));
}

/// Guards against a process that is suspended between its probe and the confirmation, or after it, and goes on with the
/// keys that it had.
#[test]
fn a_suspension_ends_the_lease() {
    let mut lease = KeyLease::new(Some(WITHDRAWAL));
    let (probe, resumed) = (ms(0), ms(9_000));
    lease.record_confirmation(probe, 4, 4);
    assert!(!lease.is_valid(resumed));

    let mut lease = confirmed_at(ms(9_100), 4);
    assert!(lease.is_valid(ms(9_200)));
    // Answers to probes from before the second suspension arrive after it.
    for probe in [9_300, 9_500, 9_700] {
        lease.record_confirmation(ms(probe), 4, 4);
    }
    assert!(!lease.is_valid(ms(20_000)));
}

/// Guards against a lease on a table that still has a key which the confirmed version withdraws.
#[test]
fn a_confirmation_waits_for_its_version() {
    let mut lease = confirmed_at(ms(0), 4);
    lease.record_confirmation(ms(3_000), 6, 4);
    assert!(!lease.is_valid(ms(4_500)));
    lease.record_version(5);
    assert!(!lease.is_valid(ms(4_500)));
    lease.record_version(6);
    assert!(lease.is_valid(ms(4_500)));
    assert!(!lease.is_valid(ms(7_000)));
}

/// Guards against newer confirmations that displace waiting ones, so that a table that is always a little behind is
/// never confirmed.
#[test]
fn each_confirmation_waits_for_its_own_version() {
    let mut lease = KeyLease::new(Some(WITHDRAWAL));
    for number in 1..=5 {
        lease.record_confirmation(ms(number * 200), number, 0);
    }
    lease.record_version(3);
    assert!(lease.is_valid(ms(600) + LEASE - Micros(1)));
    assert!(!lease.is_valid(ms(600) + LEASE));
}

/// Guards against confirmations without bound in memory while the table never reaches their versions.
#[test]
fn the_newest_of_many_waiting_confirmations_are_kept() {
    let mut lease = KeyLease::new(Some(WITHDRAWAL));
    for number in 1..=10_000 {
        lease.record_confirmation(ms(number), number, 0);
    }
    lease.record_version(9_000);
    assert!(!lease.is_valid(ms(9_000)));
    lease.record_version(10_000);
    assert!(lease.is_valid(ms(13_999)));
}

/// Guards against any order of probes, changes, updates, delays and suspensions in which a key is used later than 0.8
/// of the withdrawal time after the withdrawal was acknowledged.
#[test]
fn a_withdrawn_key_is_not_used_later_than_the_lease() {
    let mut random = 0x9E37_79B9_7F4A_7C15_u64;
    let mut below = |bound: u64| {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        random % bound
    };
    for _ in 0..200 {
        let mut lease = KeyLease::new(Some(WITHDRAWAL));
        let (mut now, mut newest, mut table) = (0_u64, 1_u64, 1_u64);
        // Times of the acknowledgements: `versions[v]` is when version v was stored.
        let mut versions = vec![0, 0];
        let mut waiting = Vec::new();
        for _ in 0..400 {
            now += if below(40) == 0 { 3_000 + below(5_000) } else { below(120) };
            match below(6) {
                0 => {
                    newest += 1;
                    versions.push(now);
                }
                // The probe is confirmed with the newest version at some time after it was sent, here at once.
                1 | 2 => waiting.push((now, newest)),
                3 if !waiting.is_empty() => {
                    let index = usize::try_from(below(waiting.len() as u64)).unwrap_or(0);
                    let (probe, version) = waiting[index];
                    lease.record_confirmation(ms(probe), version, table);
                }
                4 if table < newest => {
                    table += 1 + below(newest - table);
                    lease.record_version(table);
                }
                _ => {}
            }
            if lease.is_valid(ms(now)) && table < newest {
                // The first version that the table lacks may have withdrawn the key that is used now.
                let acknowledged = versions[usize::try_from(table + 1).unwrap_or(0)];
                assert!(now - acknowledged < LEASE.as_millis(), "used at {now}: {acknowledged}");
            }
        }
    }
}
