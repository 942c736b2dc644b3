//! Values that never show in logs and errors.

use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Value whose debug text hides it, such as a key or a document that contains keys.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Hidden<Value>(Value);

impl<Value> Hidden<Value> {
    /// Hides a value.
    #[must_use]
    pub const fn new(value: Value) -> Self {
        Self(value)
    }

    /// Returns the value.
    #[must_use]
    pub const fn reveal(&self) -> &Value {
        &self.0
    }
}

impl From<&str> for Hidden<String> {
    fn from(text: &str) -> Self {
        Self(text.to_owned())
    }
}

impl From<String> for Hidden<String> {
    fn from(text: String) -> Self {
        Self(text)
    }
}

impl<Value> fmt::Debug for Hidden<Value> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("(hidden)")
    }
}
