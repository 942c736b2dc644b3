//! Where an entry learns the position of a group's primary.

use {
    super::share::{ConnectionShare, rendezvous_weight},
    crate::{directory::ProcessHost, time::Micros},
};

/// Age of the newest mark at which an entry asks for a younger one; commits usually bring them.
///
/// The shortest limit of a route is 1,500 ms: with a mark of 600 ms, reads go on for 900 ms after the
/// primary is lost.
const REFRESH_AGE: Micros = Micros::from_millis(600);

/// The same at an entry that others ask: its mark adds to the age of theirs.
const SHARED_REFRESH_AGE: Micros = Micros::from_millis(250);

/// Source of marks of one group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MarkSource {
    /// The primary itself, over a connection of this entry.
    Primary,
    /// What another entry knows.
    Entry(ProcessHost),
}

/// Returns the source of marks of a group whose primary has the share `share`.
///
/// An entry without connections asks one entry of its own zone, which asks one in the primary's zone. Load:
/// 127 entries before 8 primaries; if each asked each primary through a lent connection, this would be
/// 1,700 transactions a second, as many as callers send.
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
    let ConnectionShare::Relayed(lenders) = share else {
        return MarkSource::Primary;
    };
    let mut gatherer = own;
    for entry in entries {
        if entry.zone != own.zone || (entry.host != own.host && is_failing(entry)) {
            continue;
        }
        if weight(entry) < weight(gatherer) {
            gatherer = entry;
        }
    }
    if gatherer.host != own.host {
        return MarkSource::Entry(gatherer.clone());
    }
    let lender = lenders.iter().find(|lender| !is_failing(lender)).or_else(|| lenders.first());
    lender.cloned().map_or(MarkSource::Primary, MarkSource::Entry)
}

/// Returns whether an entry whose newest mark has an age should ask for a younger one.
#[must_use]
pub fn mark_is_due(age: Option<Micros>, shared: bool) -> bool {
    let limit = if shared { SHARED_REFRESH_AGE } else { REFRESH_AGE };
    age.is_none_or(|age| age >= limit)
}

fn weight(entry: &ProcessHost) -> u64 {
    rendezvous_weight(&entry.zone, &entry.host)
}
