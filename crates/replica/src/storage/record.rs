//! Records of the storage's files: length, kind, checksum, payload.

/// Bytes before a record's payload: length (4), kind (1), checksum (4), little-endian.
pub(super) const RECORD_HEADER: usize = 9;

/// Kind of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RecordKind {
    /// First record of a segment.
    Segment = 1,
    /// Changes that were synced together.
    Batch = 2,
    /// Snapshot.
    Snapshot = 3,
    /// Identity of the data folder.
    Identity = 4,
}

impl RecordKind {
    const fn from_byte(byte: u8) -> Option<Self> {
        match byte {
            1 => Some(Self::Segment),
            2 => Some(Self::Batch),
            3 => Some(Self::Snapshot),
            4 => Some(Self::Identity),
            _ => None,
        }
    }
}

/// Record found in a file.
#[derive(Clone, Copy, Debug)]
pub(super) struct FoundRecord<'a> {
    pub(super) kind: RecordKind,
    pub(super) payload: &'a [u8],
    /// Offset after the record.
    pub(super) end: usize,
}

/// Checksum over the record and its place, so that the copy of a record elsewhere is not valid.
fn checksum(file: u64, offset: usize, kind: u8, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&file.to_le_bytes());
    hasher.update(&(offset as u64).to_le_bytes());
    hasher.update(&(payload.len() as u64).to_le_bytes());
    hasher.update(&[kind]);
    hasher.update(payload);
    hasher.finalize()
}

/// Encodes a record for an offset of the file with a number.
pub(super) fn encode(file: u64, offset: usize, kind: RecordKind, payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(RECORD_HEADER + payload.len());
    // Batches are limited far below 4 GiB and a larger snapshot could not be sent either.
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.push(kind as u8);
    bytes.extend_from_slice(&checksum(file, offset, kind as u8, payload).to_le_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

/// Returns the intact record at an offset.
pub(super) fn decode(file: u64, bytes: &[u8], offset: usize) -> Option<FoundRecord<'_>> {
    let header = bytes.get(offset..offset + RECORD_HEADER)?;
    let kind = RecordKind::from_byte(header[4])?;
    let length = usize::try_from(u32::from_le_bytes(header[..4].try_into().ok()?)).ok()?;
    let expected = u32::from_le_bytes(header[5..].try_into().ok()?);
    let start = offset + RECORD_HEADER;
    let end = start.checked_add(length)?;
    let payload = bytes.get(start..end)?;
    (checksum(file, offset, header[4], payload) == expected).then_some(FoundRecord {
        kind,
        payload,
        end,
    })
}

/// Returns the offset of the first intact record at or after an offset.
pub(super) fn find_intact(file: u64, bytes: &[u8], from: usize) -> Option<usize> {
    (from..bytes.len()).find(|offset| decode(file, bytes, *offset).is_some())
}
