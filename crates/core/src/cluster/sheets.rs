//! Accepted sheets and the table of replies to requests with an idempotency key.

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

/// Number of accepted sheets whose records are kept; about ten years at one sheet a day.
pub const MAX_SHEET_RECORDS: usize = 4_096;

/// Number of requests whose replies are kept for retries; half a day at 28,000 changes a day.
pub const MAX_STORED_REPLIES: usize = 16_384;

/// Returns the digest of a sheet's content: the first 16 bytes of its SHA-256 in hexadecimal.
#[must_use]
pub fn sheet_digest(content: &[u8]) -> String {
    let mut text = String::new();
    for byte in Sha256::digest(content).iter().take(16) {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// The content of the current sheet and the records of accepted sheets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct AcceptedSheets {
    content: String,
    records: VecDeque<SheetRecord>,
}

impl AcceptedSheets {
    pub(super) fn current(&self) -> Option<&SheetRecord> {
        self.records.back()
    }

    pub(super) fn content(&self) -> &str {
        &self.content
    }

    pub(super) fn history(&self) -> Vec<SheetRecord> {
        self.records.iter().cloned().collect()
    }

    /// Accepts a sheet whose number is greater than all accepted ones.
    ///
    /// A sheet with the number and the content of an accepted one is a retry; the reply has the
    /// version of the first acceptance.
    pub(super) fn accept(&mut self, record: SheetRecord, content: String) -> ClusterReply {
        let Some(current) = self.current() else {
            return self.make_current(record, content);
        };
        if record.number > current.number {
            return self.make_current(record, content);
        }
        let preferred = self
            .records
            .iter()
            .find(|accepted| accepted.number == record.number)
            .unwrap_or(current);
        if preferred.number == record.number && preferred.digest == record.digest {
            return ClusterReply::Done { version: preferred.version, changed: false };
        }
        ClusterReply::Rejected(ClusterRejection::SheetConflict {
            number: preferred.number,
            digest: preferred.digest.clone(),
            operator: preferred.operator.clone(),
        })
    }

    fn make_current(&mut self, record: SheetRecord, content: String) -> ClusterReply {
        let version = record.version;
        self.content = content;
        self.records.push_back(record);
        if self.records.len() > MAX_SHEET_RECORDS {
            self.records.pop_front();
        }
        ClusterReply::Done { version, changed: true }
    }
}

/// Replies to requests with an idempotency key.
///
/// The table holds the last `MAX_STORED_REPLIES` requests; the oldest is evicted first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct RequestTable {
    answers: BTreeMap<String, ClusterReply>,
    order: VecDeque<String>,
}

impl RequestTable {
    /// Returns the stored reply to a request.
    pub(super) fn find(&self, request_id: &str) -> Option<ClusterReply> {
        self.answers.get(request_id).cloned()
    }

    /// Stores the reply to the first attempt of a request.
    ///
    /// Does nothing if the key is empty or already has a reply.
    pub(super) fn store(&mut self, request_id: String, reply: ClusterReply) {
        if request_id.is_empty() || self.answers.contains_key(&request_id) {
            return;
        }
        self.order.push_back(request_id.clone());
        self.answers.insert(request_id, reply);
        if self.order.len() > MAX_STORED_REPLIES
            && let Some(oldest) = self.order.pop_front()
        {
            self.answers.remove(&oldest);
        }
    }
}
