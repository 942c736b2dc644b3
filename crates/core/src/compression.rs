//! Compression of large payloads between processes and in the replicated log.
//!
//! Routes and their document are highly repetitive JSON of tens of kilobytes, which is replicated
//! to other regions.

use {
    flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder},
    std::io::{Read, Write},
};

/// Size up to which a payload is stored uncompressed, in bytes.
const COMPRESSION_THRESHOLD: usize = 512;

/// Maximum decompressed size of a command or a document, in bytes; routes are limited to 4 MiB.
pub const MAX_COMMAND_BYTES: u64 = 32 << 20;

/// Maximum decompressed size of a snapshot, in bytes: the largest message between replicas.
pub const MAX_SNAPSHOT_BYTES: u64 = 512 << 20;

/// First byte of an uncompressed payload.
const PLAIN: u8 = 0;

/// First byte of a payload in the DEFLATE format.
const DEFLATED: u8 = 1;

/// Encodes the bytes for [`decompress`], compressed if they are more than 512 bytes.
#[must_use]
pub fn compress(bytes: &[u8]) -> Vec<u8> {
    if bytes.len() > COMPRESSION_THRESHOLD {
        let mut encoder = DeflateEncoder::new(vec![DEFLATED], Compression::fast());
        if encoder.write_all(bytes).is_ok()
            && let Ok(encoded) = encoder.finish()
        {
            return encoded;
        }
    }
    let mut encoded = vec![PLAIN];
    encoded.extend_from_slice(bytes);
    encoded
}

/// Decodes the output of [`compress`]; returns `None` for malformed input, or more than `limit` bytes.
#[must_use]
pub fn decompress(encoded: &[u8], limit: u64) -> Option<Vec<u8>> {
    let decompressed = match encoded.split_first()? {
        (&PLAIN, bytes) => bytes.to_vec(),
        (&DEFLATED, bytes) => {
            let mut decompressed = Vec::new();
            let mut decoder = DeflateDecoder::new(bytes).take(limit.saturating_add(1));
            decoder.read_to_end(&mut decompressed).ok()?;
            decompressed
        }
        _ => return None,
    };
    (decompressed.len() as u64 <= limit).then_some(decompressed)
}
