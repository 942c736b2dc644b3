//! Source from which an entry obtains the log position of a group's primary.

use {
    super::share::{ConnectionShare, rendezvous_weight},
    crate::{directory::ProcessHost, time::Micros},
};

/// Age of the newest mark at which an entry with its own connections to the primary requests a new one for others, in
/// percent of the staleness limit; usually commits supply new marks earlier.
const PRIMARY_REFRESH_PERCENT: u64 = 15;

/// The same for an entry that collects the marks of its zone.
const COLLECTOR_REFRESH_PERCENT: u64 = 40;

/// The same for an entry whose marks serve its own reads only. After the loss of the primary its reads continue for the
/// rest of the limit.
const READER_REFRESH_PERCENT: u64 = 70;

/// Source of freshness marks for one group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MarkSource {
    /// The primary itself, over this entry's own connection.
    Primary,
    /// The newest mark of another entry.
    Entry(ProcessHost),
}

/// Returns the source of marks for a group; `share` is this entry's share of the connections to its primary.
///
/// An entry without direct connections polls one entry of its own zone, which polls one in the primary's zone. With
/// 127 entries and 8 primaries, polling each primary from each entry through a relayed connection would take 1,700
/// transactions a second, as many as callers send.
#[must_use]
pub fn mark_source<'a, Entries, Failing>(
    own: &'a ProcessHost,
    share: &ConnectionShare,
    entries: Entries,
    is_failing: Failing,
) -> MarkSource
where
    Entries: IntoIterator<Item = &'a ProcessHost>,
    Failing: Fn(&ProcessHost) -> bool,
{
    let ConnectionShare::Relayed(relays) = share else {
        return MarkSource::Primary;
    };
    let mut collector = own;
    for entry in entries {
        if entry.zone != own.zone || (entry.host != own.host && is_failing(entry)) {
            continue;
        }
        if weight(entry) < weight(collector) {
            collector = entry;
        }
    }
    if collector.host != own.host {
        return MarkSource::Entry(collector.clone());
    }
    let relay = relays.iter().find(|relay| !is_failing(relay)).or_else(|| relays.first());
    relay.cloned().map_or(MarkSource::Primary, MarkSource::Entry)
}

/// How much an entry needs a newer mark of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MarkNeed {
    /// The mark is new, or nobody uses it.
    None,
    /// The mark is renewed if its source is asked anyway.
    Soon,
    /// The source is asked now.
    Due,
}

/// Role of an entry on the way of a group's marks from the primary to the reads that need them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MarkRole {
    /// Asks the primary and supplies marks to other entries.
    Primary,
    /// Asks an entry and supplies marks to other entries.
    Collector,
    /// Uses the marks itself only.
    Reader,
}

impl MarkRole {
    /// Returns the role of an entry with this source; `shared` is whether other entries asked it for marks lately.
    #[must_use]
    pub const fn new(source: &MarkSource, shared: bool) -> Self {
        match (source, shared) {
            (MarkSource::Primary, true) => Self::Primary,
            (MarkSource::Entry(_), true) => Self::Collector,
            (_, false) => Self::Reader,
        }
    }

    const fn refresh_percent(self) -> u64 {
        match self {
            Self::Primary => PRIMARY_REFRESH_PERCENT,
            Self::Collector => COLLECTOR_REFRESH_PERCENT,
            Self::Reader => READER_REFRESH_PERCENT,
        }
    }
}

/// Returns the need of an entry whose newest mark is `age` old, for reads that may be `staleness` old.
///
/// Designed for entries that obtain the marks of many groups from one entry: a mark is as old as the one of its source
/// when it arrives, so each role waits longer than the one that it asks, or it would ask again at once. Marks that are
/// half as old as the limit are renewed together with one that is due, so that all groups of a source share one request.
#[must_use]
pub fn mark_need(age: Option<Micros>, staleness: Micros, role: MarkRole) -> MarkNeed {
    let limit = Micros(staleness.0 / 100 * role.refresh_percent());
    match age {
        Some(age) if age.0 < limit.0 / 2 => MarkNeed::None,
        Some(age) if age < limit => MarkNeed::Soon,
        _ => MarkNeed::Due,
    }
}

fn weight(entry: &ProcessHost) -> u64 {
    rendezvous_weight(&entry.zone, &entry.host)
}
