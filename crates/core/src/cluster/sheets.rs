//! Accepted sheets and the table of answered requests.

use {
    super::{
        command::{ClusterRejection, ClusterReply},
        record::SheetRecord,
    },
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::{
        collections::{BTreeMap, VecDeque},
        fmt::Write,
    },
};

/// Accepted sheets that stay listed; one sheet a day gives about ten years.
pub const SHEETS_KEPT: usize = 4_096;

/// Answered requests that are kept; at 28,000 changes a day this covers half a day of resends.
pub const REQUESTS_KEPT: usize = 16_384;

/// Returns the digest of a sheet's content: the first 16 bytes of its SHA-256 in hexadecimal.
#[must_use]
pub fn sheet_digest(content: &[u8]) -> String {
    let mut text = String::new();
    for byte in Sha256::digest(content).iter().take(16) {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// The sheet in force and the list of accepted sheets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct SheetBook {
    content: String,
    records: VecDeque<SheetRecord>,
}

impl SheetBook {
    pub(super) fn current(&self) -> Option<&SheetRecord> {
        self.records.back()
    }

    pub(super) fn content(&self) -> &str {
        &self.content
    }

    pub(super) fn history(&self) -> Vec<SheetRecord> {
        self.records.iter().cloned().collect()
    }

    /// Accepts a sheet whose number is above all others; equal content under an accepted number is
    /// the same acceptance.
    pub(super) fn accept(&mut self, record: SheetRecord, content: String) -> ClusterReply {
        let Some(current) = self.current() else {
            return self.put_in_force(record, content);
        };
        if record.number > current.number {
            return self.put_in_force(record, content);
        }
        let winner =
            self.records.iter().find(|known| known.number == record.number).unwrap_or(current);
        if winner.number == record.number && winner.digest == record.digest {
            return ClusterReply::Done { version: winner.version, changed: false };
        }
        ClusterReply::Rejected(ClusterRejection::SheetConflict {
            number: winner.number,
            digest: winner.digest.clone(),
            operator: winner.operator.clone(),
        })
    }

    fn put_in_force(&mut self, record: SheetRecord, content: String) -> ClusterReply {
        let version = record.version;
        self.content = content;
        self.records.push_back(record);
        if self.records.len() > SHEETS_KEPT {
            self.records.pop_front();
        }
        ClusterReply::Done { version, changed: true }
    }
}

/// First answers to requests with an identifier, bounded in arrival order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct RequestTable {
    answers: BTreeMap<String, ClusterReply>,
    order: VecDeque<String>,
}

impl RequestTable {
    /// Returns the first answer to a request.
    pub(super) fn find(&self, request_id: &str) -> Option<ClusterReply> {
        self.answers.get(request_id).cloned()
    }

    /// Keeps the first answer to a request; an empty identifier is not kept.
    pub(super) fn keep(&mut self, request_id: String, answer: ClusterReply) {
        if request_id.is_empty() || self.answers.contains_key(&request_id) {
            return;
        }
        self.order.push_back(request_id.clone());
        self.answers.insert(request_id, answer);
        if self.order.len() > REQUESTS_KEPT
            && let Some(oldest) = self.order.pop_front()
        {
            self.answers.remove(&oldest);
        }
    }
}
