//! Shared immutable strings for names.

use {
    serde::{Deserialize, Serialize},
    std::{borrow::Borrow, fmt, ops::Deref, sync::Arc},
};

/// Name of a host, zone, region, database, server, application or kind.
///
/// Clones share the text, so cloning copies no bytes.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SharedName(Arc<str>);

impl SharedName {
    /// Returns the text of the name.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Default for SharedName {
    fn default() -> Self {
        Self(Arc::from(""))
    }
}

impl From<&str> for SharedName {
    fn from(text: &str) -> Self {
        Self(Arc::from(text))
    }
}

impl From<String> for SharedName {
    fn from(text: String) -> Self {
        Self(Arc::from(text))
    }
}

impl Deref for SharedName {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

impl Borrow<str> for SharedName {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for SharedName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl fmt::Debug for SharedName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&*self.0, formatter)
    }
}
