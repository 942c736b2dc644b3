//! Teams: callers that identify themselves with keys, and the limits of their operations.

use {
    crate::names::SharedName,
    serde::{Deserialize, Deserializer, Serialize, Serializer, de},
    sha2::{Digest, Sha256},
    std::fmt,
};

/// Length of a digest in bytes; 128 bits make collisions of a few thousand keys practically impossible.
const DIGEST_BYTES: usize = 16;

/// Digest of a team's key.
///
/// Keys are only compared, so no process keeps their text except in the operator's document.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Returns the digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        let digest = Sha256::digest(key);
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&digest[..DIGEST_BYTES]);
        Self(bytes)
    }

    /// Returns the digest with the given bytes, or `None` if their number is wrong.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Returns the bytes of the digest.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

impl Serialize for KeyDigest {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(&format!("{:032x}", u128::from_be_bytes(self.0)))
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        let number = u128::from_str_radix(&text, 16).map_err(de::Error::custom)?;
        Ok(Self(number.to_be_bytes()))
    }
}

/// Limit of the operations of one team, over all entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamLimit {
    /// Sustained rate, in thousandths of an operation per second.
    pub rate: u64,
    /// Operations that may exceed the sustained rate at once.
    pub burst: u64,
}

/// Team whose callers identify themselves with its keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamRule {
    /// Name of the team, as targets are told it.
    pub team: SharedName,
    /// Digests of the keys.
    pub keys: Vec<KeyDigest>,
    /// Limit of the operations; `None` for no limit.
    pub limit: Option<TeamLimit>,
}
