//! Bounded cache of classifications, since parsing each statement is costly.

use {
    super::StatementProfile,
    crate::collections::FastMap,
    std::{mem, sync::Arc},
};

/// Longest text that is cached, in bytes; it bounds the memory of a full cache.
const TEXT_LIMIT: usize = 4_096;

/// Classifications by text, in two generations.
///
/// A full generation becomes the old one and the former old one is dropped, so texts that are in
/// use survive and insertion takes constant time.
#[derive(Debug)]
pub struct ProfileCache {
    capacity: usize,
    young: FastMap<Arc<str>, Arc<StatementProfile>>,
    old: FastMap<Arc<str>, Arc<StatementProfile>>,
}

impl ProfileCache {
    /// Creates a cache that holds up to twice `capacity` texts.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { capacity: capacity.max(1), young: FastMap::default(), old: FastMap::default() }
    }

    /// Returns the classification of a text and classifies it if it is not cached.
    pub fn classify(&mut self, text: &str) -> Arc<StatementProfile> {
        if let Some(profile) = self.young.get(text) {
            return profile.clone();
        }
        if let Some((text, profile)) = self.old.remove_entry(text) {
            self.insert(text, profile.clone());
            return profile;
        }
        let profile = Arc::new(StatementProfile::classify(text));
        if text.len() <= TEXT_LIMIT {
            self.insert(Arc::from(text), profile.clone());
        }
        profile
    }

    /// Returns the number of cached texts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Returns whether nothing is cached.
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
