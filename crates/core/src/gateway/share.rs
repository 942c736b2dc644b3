//! Which entries connect to a target and how many connections each of them opens.

use {
    crate::{
        collections::FastSet,
        directory::{ProcessHost, TargetReport},
        names::SharedName,
    },
    std::hash::{BuildHasher, Hasher},
};

/// Share of a replica's connections that entries use, in percent. The rest is left for control, for
/// entries that have not yet received the record of a new entry, and for entries that restart after a power loss:
/// a target drops the connections of a lost host only after 3 s.
const REPLICA_USED_PERCENT: u32 = 65;

/// Share of a primary's connections that entries use, in percent. Transactions hold these connections while their
/// callers are idle.
const PRIMARY_USED_PERCENT: u32 = 85;

/// Minimum number of connections that makes a direct path useful: one may be held by a transaction.
const MIN_DIRECT_CONNECTIONS: u32 = 2;

/// Connections planned for an entry that relays for others; bounds the number of relays of a target.
const CONNECTIONS_PER_RELAY: u32 = 3;

/// Share of a target's connections that entries use where each serves one team, in percent. They stay open while idle,
/// so that the entries that restart after a power loss need as many again until the target drops the lost ones.
const TEAM_USED_PERCENT: u32 = 50;

/// The same where connections serve one team each: with more of them in one place, fewer are exchanged.
const TEAM_CONNECTIONS_PER_RELAY: u32 = 8;

/// Maximum number of connections of one entry to one target; more would only move the queue into the target.
const MAX_DIRECT_CONNECTIONS: u32 = 8;

/// Share of a target's connections that one entry may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConnectionShare {
    /// The entry connects directly, with at most this many connections.
    Direct(u32),
    /// The entry uses connections of these other entries, in order of preference.
    Relayed(Vec<ProcessHost>),
}

/// How the connections of a target are shared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionRule {
    /// Connections that the target accepts from all callers together.
    pub connections: u32,
    /// Whether each connection serves one team.
    pub by_team: bool,
}

/// Which entries connect to a target directly.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectEntries<'a> {
    /// Every entry does, with this many connections each.
    All(u32),
    /// Only these do, and relay for the others.
    Relays(Vec<&'a ProcessHost>),
}

impl DirectEntries<'_> {
    /// Returns whether the entry on `host` connects directly.
    #[must_use]
    pub fn contains(&self, host: &str) -> bool {
        match self {
            Self::All(_) => true,
            Self::Relays(relays) => relays.iter().any(|entry| *entry.host == *host),
        }
    }
}

/// Returns the entries that connect to a target directly; all processes find the same ones.
///
/// With enough connections for all, every entry does. Otherwise only entries in the target's zone do: 127 entries in
/// front of targets that accept 84 connections would have 0.6 connections apiece. Connections that serve one team each
/// are always concentrated in the target's zone.
#[must_use]
pub fn direct_entries<'a>(
    report: &TargetReport,
    is_primary: bool,
    rule: ConnectionRule,
    entries: &'a [ProcessHost],
) -> DirectEntries<'a> {
    let TargetReport { target, zone, .. } = report;
    let usable = usable_connections(is_primary, rule);
    let count = u32::try_from(entries.len().max(1)).unwrap_or(u32::MAX);
    let per_entry = usable / count;
    if per_entry >= MIN_DIRECT_CONNECTIONS && !rule.by_team {
        return DirectEntries::All(per_entry.min(MAX_DIRECT_CONNECTIONS));
    }
    let mut relays: Vec<&ProcessHost> =
        entries.iter().filter(|entry| entry.zone == *zone).collect();
    if relays.is_empty() {
        relays = entries.iter().collect();
    }
    // The relays of teams are the same for all targets of a zone, so that entries keep connections to few of them.
    let (place, per_relay) = if rule.by_team {
        (zone, TEAM_CONNECTIONS_PER_RELAY)
    } else {
        (target, CONNECTIONS_PER_RELAY)
    };
    relays.sort_by_cached_key(|entry| rendezvous_weight(&entry.host, place));
    let max_relays = usize::try_from((usable / per_relay).max(1)).unwrap_or(usize::MAX);
    relays.truncate(max_relays);
    DirectEntries::Relays(relays)
}

const fn usable_connections(is_primary: bool, rule: ConnectionRule) -> u32 {
    let percent = match (rule.by_team, is_primary) {
        (true, _) => TEAM_USED_PERCENT,
        (false, true) => PRIMARY_USED_PERCENT,
        (false, false) => REPLICA_USED_PERCENT,
    };
    rule.connections / 100 * percent + rule.connections % 100 * percent / 100
}

/// Returns the share of the entry `own` in a target's connections.
///
/// Each entry that does not connect directly orders the relays differently, so that the load spreads.
#[must_use]
pub fn connection_share(
    own: &ProcessHost,
    report: &TargetReport,
    is_primary: bool,
    rule: ConnectionRule,
    entries: &[ProcessHost],
) -> ConnectionShare {
    let mut relays = match direct_entries(report, is_primary, rule, entries) {
        DirectEntries::All(per_entry) => return ConnectionShare::Direct(per_entry),
        DirectEntries::Relays(relays) => relays,
    };
    let count = u32::try_from(relays.len().max(1)).unwrap_or(u32::MAX);
    let per_relay = usable_connections(is_primary, rule) / count;
    if relays.is_empty() || relays.iter().any(|entry| entry.host == own.host) {
        return ConnectionShare::Direct(per_relay.clamp(1, MAX_DIRECT_CONNECTIONS));
    }
    let mut seen = FastSet::default();
    let mut order = Vec::new();
    // The order depends on the hosts and not on the target, so that an entry keeps few connections to other entries.
    relays.sort_by_cached_key(|entry| rendezvous_weight(&entry.host, &own.host));
    for entry in relays {
        if seen.insert(&entry.host) {
            order.push(entry.clone());
        }
    }
    ConnectionShare::Relayed(order)
}

/// Returns the entries that hold a team's connections to a target, in order of preference; `relays` are the entries
/// that connect to it directly.
///
/// All entries send a team's work to the same few holders, because a connection serves one team and there are hardly
/// more connections than pairs of team and target.
#[must_use]
pub fn team_holders(team: &str, relays: &[ProcessHost]) -> Vec<ProcessHost> {
    let mut holders = relays.to_vec();
    holders.sort_by_cached_key(|entry| rendezvous_weight(&entry.host, team));
    holders
}

/// Returns the entries through which `own` tries to reach a target that it cannot reach directly, in order of
/// preference.
///
/// Entries in the target's zone come first, since they share the fewest links with the path that failed.
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

/// Returns the weight of a pair of names for rendezvous hashing; it is the same in all processes.
#[must_use]
pub fn rendezvous_weight(left: &str, right: &str) -> u64 {
    let mut hasher = foldhash::quality::FixedState::with_seed(0).build_hasher();
    hasher.write(left.as_bytes());
    hasher.write_u8(0);
    hasher.write(right.as_bytes());
    hasher.finish()
}
