//! Hash collections with a fast hasher.
//!
//! Their iteration order is arbitrary. Use ordered collections wherever the order affects an
//! output.

use {
    foldhash::fast::RandomState,
    std::collections::{HashMap, HashSet},
};

/// `HashMap` with the randomly seeded hasher of `foldhash`.
pub type FastMap<K, V> = HashMap<K, V, RandomState>;

/// `HashSet` with the randomly seeded hasher of `foldhash`.
pub type FastSet<K> = HashSet<K, RandomState>;
