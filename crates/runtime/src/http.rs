//! Request and body handling shared by the HTTP interfaces of the processes.

use {
    ntex::{http::error::PayloadError, util::BytesMut, web::types::Payload},
    serde::{Deserialize, Serialize},
};

/// Maximum size in bytes of the body of any operation except those on sheets.
pub const MAX_OPERATION_BYTES: usize = 8 * 1024;

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// Returns `Overflow` for a larger body, or the error of the connection.
pub async fn read_body(mut payload: Payload, limit: usize) -> Result<BytesMut, PayloadError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.recv().await {
        let chunk = chunk?;
        if body.len() + chunk.len() > limit {
            return Err(PayloadError::Overflow);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}

/// Body of the requests and replies of `/v1/log-level`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LevelsBody {
    /// Levels such as `info` or `info,event=warn`.
    pub levels: String,
}
