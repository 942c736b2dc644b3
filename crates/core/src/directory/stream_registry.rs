//! Which stream of an entry is its newest one.

use crate::{collections::FastMap, names::SharedName};

/// Number of a stream, in the order in which a replica accepted them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamNumber(u64);

/// Newest stream of each entry that follows a replica.
///
/// Designed for entries that lose power and come back to the same replica: the replica notices the end of the old
/// stream up to 4 s after it accepted the new one.
#[derive(Clone, Debug, Default)]
pub struct StreamRegistry {
    last: u64,
    newest: FastMap<SharedName, StreamNumber>,
}

impl StreamRegistry {
    /// Registers a new stream of the entry on `host`, which takes the place of earlier ones.
    pub fn open(&mut self, host: SharedName) -> StreamNumber {
        self.last += 1;
        let number = StreamNumber(self.last);
        self.newest.insert(host, number);
        number
    }

    /// Returns whether a stream is the newest one of its entry.
    #[must_use]
    pub fn is_newest(&self, host: &str, number: StreamNumber) -> bool {
        self.newest.get(host) == Some(&number)
    }

    /// Registers the end of a stream; returns whether the entry follows this replica no longer.
    pub fn close(&mut self, host: &str, number: StreamNumber) -> bool {
        let gone = self.is_newest(host, number);
        if gone {
            self.newest.remove(host);
        }
        gone
    }
}
