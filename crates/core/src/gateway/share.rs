//! Which entries connect to a target and how many connections each of them opens.

use {
    crate::{
        collections::FastSet,
        directory::{ProcessHost, TargetReport},
        names::SharedName,
    },
    std::hash::{BuildHasher, Hasher},
};

/// Share of a target's connections that entries use, in percent. The rest is left for control, for
/// entries that have not yet heard of a newcomer, and for entries that restart after a loss of power:
/// a target drops the connections of a lost host only after 3 s.
const USED_PERCENT: u32 = 65;

/// The same for a primary, whose connections transactions hold while their callers think.
const PRIMARY_USED_PERCENT: u32 = 85;

/// Fewest connections that make a direct path useful: one may be held by a transaction.
const DIRECT_MINIMUM: u32 = 2;

/// Connections of an entry that connects on behalf of others.
const HOLDER_CONNECTIONS: u32 = 3;

/// Most connections of one entry to one target; more would only move the queue into the target.
const DIRECT_MAXIMUM: u32 = 8;

/// An entry's part of a target's connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConnectionShare {
    /// The entry connects itself, with at most this many connections.
    Direct(u32),
    /// The entry asks other entries; the first one is tried first.
    Relayed(Vec<ProcessHost>),
}

/// Returns the share of the entry `own` in a target's connections.
///
/// With enough connections for all, every entry connects itself. Otherwise the entries in the
/// target's zone do, and the others use them: 127 entries before targets that accept 84 connections
/// would have 0.6 each. Each of the others starts at a place of its own in their list, so that the
/// load spreads.
#[must_use]
pub fn connection_share(
    own: &ProcessHost,
    report: &TargetReport,
    leads: bool,
    connections: u32,
    entries: &[ProcessHost],
) -> ConnectionShare {
    let TargetReport { target, zone, .. } = report;
    let percent = if leads { PRIMARY_USED_PERCENT } else { USED_PERCENT };
    let usable = connections * percent / 100;
    let count = u32::try_from(entries.len().max(1)).unwrap_or(u32::MAX);
    let even = usable / count;
    if even >= DIRECT_MINIMUM {
        return ConnectionShare::Direct(even.min(DIRECT_MAXIMUM));
    }
    let mut holders: Vec<&ProcessHost> =
        entries.iter().filter(|entry| entry.zone == *zone).collect();
    if holders.is_empty() {
        holders = entries.iter().collect();
    }
    holders.sort_by_cached_key(|entry| rendezvous_weight(&entry.host, target));
    let most = usize::try_from((usable / HOLDER_CONNECTIONS).max(1)).unwrap_or(usize::MAX);
    holders.truncate(most);
    let each = usable / u32::try_from(holders.len().max(1)).unwrap_or(u32::MAX);
    if holders.is_empty() || holders.iter().any(|entry| entry.host == own.host) {
        return ConnectionShare::Direct(each.clamp(1, DIRECT_MAXIMUM));
    }
    let mut seen = FastSet::default();
    let mut order = Vec::new();
    // By zone rather than by target, so that an entry keeps few connections to other entries.
    holders.sort_by_cached_key(|entry| rendezvous_weight(&entry.host, &own.host));
    for entry in holders {
        if seen.insert(&entry.host) {
            order.push(entry.clone());
        }
    }
    ConnectionShare::Relayed(order)
}

/// Returns the entries that `own` asks to reach a target that it cannot reach itself, the best one first.
///
/// Those in the target's zone share fewest links with the path that failed.
#[must_use]
pub fn detour_entries(
    own: &ProcessHost,
    zone: &SharedName,
    entries: &[ProcessHost],
) -> Vec<ProcessHost> {
    let mut others: Vec<ProcessHost> =
        entries.iter().filter(|entry| entry.host != own.host).cloned().collect();
    others.sort_by_cached_key(|entry| {
        (entry.zone != *zone, rendezvous_weight(&entry.host, &own.host))
    });
    others
}

/// Returns the weight of a pair of names, equal in all processes.
#[must_use]
pub fn rendezvous_weight(left: &str, right: &str) -> u64 {
    let mut hasher = foldhash::quality::FixedState::with_seed(0).build_hasher();
    hasher.write(left.as_bytes());
    hasher.write_u8(0);
    hasher.write(right.as_bytes());
    hasher.finish()
}
