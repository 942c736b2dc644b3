//! Format of the records in storage files: length, kind, checksum, payload.

/// Size of a record's header in bytes: length (4), kind (1) and checksum (4), little-endian.
pub(super) const RECORD_HEADER_BYTES: usize = 9;

/// Kind of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RecordKind {
    /// First record of a segment.
    Segment = 1,
    /// Changes to the log that were synced together.
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

/// Intact record in a file.
#[derive(Clone, Copy, Debug)]
pub(super) struct DecodedRecord<'a> {
    pub(super) kind: RecordKind,
    pub(super) payload: &'a [u8],
    /// Offset of the byte after the record.
    pub(super) end: usize,
}

/// Returns the checksum of a record, its file number and its offset.
///
/// A copy of the record in another file or at another offset is therefore not valid.
fn checksum(file_number: u64, offset: usize, kind: u8, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&file_number.to_le_bytes());
    hasher.update(&(offset as u64).to_le_bytes());
    hasher.update(&(payload.len() as u64).to_le_bytes());
    hasher.update(&[kind]);
    hasher.update(payload);
    hasher.finalize()
}

/// Encodes a record for the given file number and offset.
pub(super) fn encode(file_number: u64, offset: usize, kind: RecordKind, payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(RECORD_HEADER_BYTES + payload.len());
    // Batches are limited far below 4 GiB, and a larger snapshot could not be sent to other replicas.
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.push(kind as u8);
    bytes.extend_from_slice(&checksum(file_number, offset, kind as u8, payload).to_le_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

/// Returns the record at an offset, or `None` if it is not intact.
pub(super) fn decode(file_number: u64, bytes: &[u8], offset: usize) -> Option<DecodedRecord<'_>> {
    let header = bytes.get(offset..offset + RECORD_HEADER_BYTES)?;
    let kind = RecordKind::from_byte(header[4])?;
    let length = usize::try_from(u32::from_le_bytes(header[..4].try_into().ok()?)).ok()?;
    let expected = u32::from_le_bytes(header[5..].try_into().ok()?);
    let start = offset + RECORD_HEADER_BYTES;
    let end = start.checked_add(length)?;
    let payload = bytes.get(start..end)?;
    (checksum(file_number, offset, header[4], payload) == expected).then_some(DecodedRecord {
        kind,
        payload,
        end,
    })
}

/// Returns the offset of the first intact record at or after `from`.
pub(super) fn find_intact(file_number: u64, bytes: &[u8], from: usize) -> Option<usize> {
    (from..bytes.len()).find(|offset| decode(file_number, bytes, *offset).is_some())
}
