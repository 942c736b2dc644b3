//! Passes backend messages on to the caller and leaves out those that it did not ask for.

use super::{frame::split_text, prepared::StatementStore};

/// Name of the parameter by which targets report positions; it is not for callers.
const POSITION_PARAMETER: &[u8] = b"group_position";

/// Bytes of a message's type and length.
const HEADER_SIZE: usize = 5;

/// What the passed messages say about the state of the exchange.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FilterReport {
    /// The target waits for data of a COPY.
    pub copy_in: bool,
    /// The target reported an error.
    pub error: bool,
    /// The bytes are not whole messages.
    pub malformed: bool,
}

/// Walks over whole backend messages by their headers and hands on runs that stay as they are.
///
/// # Errors
///
/// Returns the error of `put`.
pub fn pass<E>(
    data: &[u8],
    store: &mut StatementStore,
    mut put: impl FnMut(&[u8]) -> Result<(), E>,
) -> Result<FilterReport, E> {
    let mut report = FilterReport::default();
    let mut run = 0;
    let mut at = 0;
    while at < data.len() {
        let Some(size) = message_size(&data[at..]) else {
            report.malformed = true;
            break;
        };
        let message = &data[at..at + size];
        let keep = match message[0] {
            b'1' => store.confirm(),
            b'S' => split_text(&message[HEADER_SIZE..])
                .is_none_or(|(name, _)| name != POSITION_PARAMETER),
            b'G' | b'W' => {
                report.copy_in = true;
                true
            }
            b'E' => {
                report.error = true;
                report.copy_in = false;
                store.drop_in_flight();
                true
            }
            _ => true,
        };
        if !keep {
            if run < at {
                put(&data[run..at])?;
            }
            run = at + size;
        }
        at += size;
    }
    if run < at {
        put(&data[run..at])?;
    }
    Ok(report)
}

fn message_size(data: &[u8]) -> Option<usize> {
    let field = data.get(1..HEADER_SIZE)?;
    let length = i32::from_be_bytes([field[0], field[1], field[2], field[3]]);
    let size = usize::try_from(length).ok()?.checked_add(1)?;
    (size >= HEADER_SIZE && size <= data.len()).then_some(size)
}
