//! Compact encoding of large texts between processes and in the replicated log.
//!
//! Routes and their document are JSON of tens of kilobytes that repeats itself, and every byte of them
//! goes to replicas in other regions.

use {
    flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder},
    std::io::{Read, Write},
};

/// Size below which bytes are kept as they are.
const PACK_ABOVE: usize = 512;

/// Largest size after unpacking; routes are limited to 4 MiB.
const UNPACKED_LIMIT: u64 = 32 << 20;

const PLAIN: u8 = 0;
const DEFLATED: u8 = 1;

/// Returns the bytes in a form that [`unpack`] reads.
#[must_use]
pub fn pack(bytes: &[u8]) -> Vec<u8> {
    if bytes.len() > PACK_ABOVE {
        let mut encoder = DeflateEncoder::new(vec![DEFLATED], Compression::fast());
        if encoder.write_all(bytes).is_ok()
            && let Ok(packed) = encoder.finish()
        {
            return packed;
        }
    }
    let mut packed = vec![PLAIN];
    packed.extend_from_slice(bytes);
    packed
}

/// Returns the bytes that were packed, or `None` if they are not what [`pack`] returned.
#[must_use]
pub fn unpack(packed: &[u8]) -> Option<Vec<u8>> {
    match packed.split_first()? {
        (&PLAIN, bytes) => Some(bytes.to_vec()),
        (&DEFLATED, bytes) => {
            let mut unpacked = Vec::new();
            let mut decoder = DeflateDecoder::new(bytes).take(UNPACKED_LIMIT);
            decoder.read_to_end(&mut unpacked).ok()?;
            Some(unpacked)
        }
        _ => None,
    }
}
