//! Parts that the HTTP interfaces of the processes share.

use {
    ntex::{http::error::PayloadError, util::BytesMut, web::types::Payload},
    serde::{Deserialize, Serialize},
};

/// Largest body of an operation other than those on sheets, in bytes.
pub const OPERATION_LIMIT: usize = 8 * 1024;

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// Returns `Overflow` for a larger body, and what the connection reports.
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

/// Body of a request and a reply of `/v1/log-level`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LevelsBody {
    /// Levels such as `info` or `info,event=warn`.
    pub levels: String,
}
