//! Hash collections with a fast hasher.
//!
//! Their iteration order is arbitrary. Use ordered collections wherever order reaches an output.

use {
    foldhash::fast::RandomState,
    std::collections::{HashMap, HashSet},
};

/// Hash map with a fast hasher.
pub type FastMap<K, V> = HashMap<K, V, RandomState>;

/// Hash set with a fast hasher.
pub type FastSet<K> = HashSet<K, RandomState>;
