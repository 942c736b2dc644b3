//! Forwards backend messages to the caller, except those that it did not cause.

use super::{frame::split_text, prepared::StatementStore};

/// Name of the parameter in which targets report positions; it is not forwarded to callers.
const POSITION_PARAMETER: &[u8] = b"group_position";

/// Bytes of a message's type and length fields.
const HEADER_SIZE: usize = 5;

/// State of the exchange according to the forwarded messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FilterReport {
    /// The target waits for COPY data.
    pub copy_in: bool,
    /// The target reported an error.
    pub error: bool,
    /// The bytes do not consist of whole messages.
    pub malformed: bool,
}

/// Filters whole backend messages and passes the forwarded bytes to `write`, in as few slices as possible.
///
/// # Errors
///
/// Returns the error of `write`.
pub fn forward<E>(
    data: &[u8],
    store: &mut StatementStore,
    mut write: impl FnMut(&[u8]) -> Result<(), E>,
) -> Result<FilterReport, E> {
    let mut report = FilterReport::default();
    let mut run_start = 0;
    let mut offset = 0;
    while offset < data.len() {
        let Some(size) = message_size(&data[offset..]) else {
            report.malformed = true;
            break;
        };
        let message = &data[offset..offset + size];
        let forwarded = match message[0] {
            b'1' => store.complete_parse(),
            b'S' => split_text(&message[HEADER_SIZE..])
                .is_none_or(|(name, _)| name != POSITION_PARAMETER),
            b'G' | b'W' => {
                report.copy_in = true;
                true
            }
            b'E' => {
                report.error = true;
                report.copy_in = false;
                store.clear_in_flight();
                true
            }
            _ => true,
        };
        if !forwarded {
            if run_start < offset {
                write(&data[run_start..offset])?;
            }
            run_start = offset + size;
        }
        offset += size;
    }
    if run_start < offset {
        write(&data[run_start..offset])?;
    }
    Ok(report)
}

fn message_size(data: &[u8]) -> Option<usize> {
    let field = data.get(1..HEADER_SIZE)?;
    let length = i32::from_be_bytes([field[0], field[1], field[2], field[3]]);
    let size = usize::try_from(length).ok()?.checked_add(1)?;
    (size >= HEADER_SIZE && size <= data.len()).then_some(size)
}
