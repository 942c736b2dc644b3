//! Replay of the segment files at startup.

use {
    super::{
        StorageError,
        codec::{BatchRecord, HardStateRecord, LogChange, SegmentRecord, entry_from_wire},
        record::{self, RecordKind},
    },
    banyansill_core::consensus::{HardState, LogEntry},
    prost::Message,
    std::path::{Path, PathBuf},
};

/// Segment file and the entries that it contains.
#[derive(Clone, Debug)]
pub(super) struct SegmentFile {
    pub(super) number: u64,
    pub(super) path: PathBuf,
    /// Highest index of an entry in the file.
    pub(super) last_index: u64,
}

/// Log as reconstructed from the records read so far.
#[derive(Clone, Debug, Default)]
pub(super) struct ReplayedLog {
    pub(super) hard_state: HardState,
    pub(super) base_index: u64,
    pub(super) base_term: u64,
    pub(super) entries: Vec<LogEntry>,
    /// Whether the header of the first segment has been read.
    started: bool,
}

/// How the records of a segment end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SegmentEnd {
    /// Every record is intact.
    Intact {
        /// Length of the file.
        length: usize,
    },
    /// The last write is incomplete; the file is intact up to an offset.
    Torn {
        /// Offset of the record that is not intact.
        offset: usize,
    },
}

impl ReplayedLog {
    pub(super) const fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    pub(super) fn last_term(&self) -> u64 {
        self.entries.last().map_or(self.base_term, |entry| entry.term)
    }

    pub(super) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        let offset = usize::try_from(index.checked_sub(self.base_index + 1)?).ok()?;
        self.entries.get(offset).map(|entry| entry.term)
    }

    pub(super) fn restart(&mut self, index: u64, term: u64) {
        self.entries.clear();
        self.base_index = index;
        self.base_term = term;
    }

    /// Applies the records of one segment; only the `last` one may end in an incomplete write.
    pub(super) fn read_segment(
        &mut self,
        segment: &mut SegmentFile,
        bytes: &[u8],
        last: bool,
    ) -> Result<SegmentEnd, StorageError> {
        let path = segment.path.clone();
        let mut offset = 0;
        while offset < bytes.len() {
            let corrupt = |reason: &str| StorageError::Corrupt {
                path: path.clone(),
                offset: offset as u64,
                reason: reason.to_owned(),
            };
            let Some(decoded) = record::decode(segment.number, bytes, offset) else {
                if !last {
                    return Err(corrupt("a record before the end of the log is corrupt"));
                }
                if let Some(next) = record::find_intact(segment.number, bytes, offset + 1) {
                    let reason =
                        format!("a record is corrupt and an intact one follows at offset {next}");
                    return Err(corrupt(&reason));
                }
                return Ok(SegmentEnd::Torn { offset });
            };
            match decoded.kind {
                RecordKind::Segment if offset == 0 => {
                    let header = SegmentRecord::decode(decoded.payload)
                        .map_err(|error| corrupt(&error.to_string()))?;
                    self.read_header(&header).map_err(|reason| corrupt(&reason))?;
                }
                RecordKind::Batch if offset > 0 => {
                    let batch = BatchRecord::decode(decoded.payload)
                        .map_err(|error| corrupt(&error.to_string()))?;
                    self.read_batch(segment, batch).map_err(|reason| corrupt(&reason))?;
                }
                _ => return Err(corrupt("a record of this kind is not allowed here")),
            }
            offset = decoded.end;
        }
        Ok(SegmentEnd::Intact { length: bytes.len() })
    }

    fn read_header(&mut self, header: &SegmentRecord) -> Result<(), String> {
        if self.started {
            if (header.last_index, header.last_term) != (self.last_index(), self.last_term()) {
                return Err(format!(
                    "the segment starts after index {} but the previous one ends at {}",
                    header.last_index,
                    self.last_index()
                ));
            }
        } else {
            self.started = true;
            self.restart(header.last_index, header.last_term);
        }
        let hard_state: HardStateRecord = header.hard_state.unwrap_or_default();
        self.hard_state = hard_state.into();
        Ok(())
    }

    fn read_batch(&mut self, segment: &mut SegmentFile, batch: BatchRecord) -> Result<(), String> {
        for record in batch.changes {
            match record.change {
                Some(LogChange::HardState(state)) => self.hard_state = state.into(),
                Some(LogChange::Entry(entry)) => {
                    let expected = self.last_index() + 1;
                    if entry.index != expected {
                        return Err(format!(
                            "entry has index {}, expected {expected}",
                            entry.index
                        ));
                    }
                    segment.last_index = segment.last_index.max(entry.index);
                    self.entries.push(entry_from_wire(entry));
                }
                Some(LogChange::Truncate(from)) => {
                    if from > 0 && from <= self.base_index {
                        // The segments with the entries before `from` were removed after a snapshot with a
                        // higher index.
                        self.restart(from - 1, 0);
                    }
                    let keep = from.saturating_sub(self.base_index + 1);
                    self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
                }
                Some(LogChange::Restart(restart)) => self.restart(restart.index, restart.term),
                None => return Err("unknown kind of change".to_owned()),
            }
        }
        Ok(())
    }
}

/// Returns the number in a file name such as `segment-000000000000000a`.
pub(super) fn file_number(name: &str, prefix: &str) -> Option<u64> {
    let digits = name.strip_prefix(prefix)?;
    (digits.len() == 16).then(|| u64::from_str_radix(digits, 16).ok()).flatten()
}

/// Returns the path of a file_number file.
pub(super) fn numbered_path(folder: &Path, prefix: &str, number: u64) -> PathBuf {
    folder.join(format!("{prefix}{number:016x}"))
}
