//! Bounded cache of classifications, because parsing every statement is expensive.

use {
    super::StatementProfile,
    crate::collections::FastMap,
    std::{mem, sync::Arc},
};

/// Maximum length of a cached text, in bytes; it bounds the memory of a full cache.
const CACHED_TEXT_LIMIT: usize = 4_096;

/// Cache of classifications by text, with two generations.
///
/// When the young generation is full, it replaces the old one, which is dropped. A hit in the old
/// generation moves the text to the young one. Texts in use therefore stay cached, and
/// insertion takes constant time.
#[derive(Debug)]
pub struct ProfileCache {
    capacity: usize,
    young: FastMap<Arc<str>, Arc<StatementProfile>>,
    old: FastMap<Arc<str>, Arc<StatementProfile>>,
}

impl ProfileCache {
    /// Creates a cache with generations of up to `capacity` texts, so twice as many in total.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { capacity: capacity.max(1), young: FastMap::default(), old: FastMap::default() }
    }

    /// Returns the classification of a text, computing it if it is not cached.
    pub fn classify(&mut self, text: &str) -> Arc<StatementProfile> {
        if let Some(profile) = self.young.get(text) {
            return profile.clone();
        }
        if let Some((text, profile)) = self.old.remove_entry(text) {
            self.insert(text, profile.clone());
            return profile;
        }
        let profile = Arc::new(StatementProfile::classify(text));
        if text.len() <= CACHED_TEXT_LIMIT {
            self.insert(Arc::from(text), profile.clone());
        }
        profile
    }

    /// Returns the number of cached texts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Returns whether the cache holds no texts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn insert(&mut self, text: Arc<str>, profile: Arc<StatementProfile>) {
        if self.young.len() >= self.capacity {
            self.old = mem::take(&mut self.young);
        }
        self.young.insert(text, profile);
    }
}
