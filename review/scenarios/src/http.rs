//! Small HTTP/1.1 client and server side for the calls of the operator, the servers and the platform.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Maximum size of a response that a server or the operator accepts, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Request as a server side reads it.
#[derive(Debug, Default)]
pub struct Request {
    pub head: String,
    pub body: String,
}

impl Request {
    /// Returns the value of a header; empty if it is missing.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        for line in self.head.lines() {
            if let Some((key, value)) = line.split_once(':')
                && key.eq_ignore_ascii_case(name)
            {
                return value.trim();
            }
        }
        ""
    }
}

/// Sends a request and returns status and body.
///
/// # Errors
///
/// Returns an error if there is no complete response within `limit`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Connection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes())?;
    let mut reply = Vec::new();
    let mut chunk = [0; 8192];
    loop {
        let count = stream.read(&mut chunk)?;
        reply.extend_from_slice(&chunk[..count]);
        let complete = split(&reply).is_some_and(|(head, body)| {
            content_length(&head).is_some_and(|length| body.len() >= length)
        });
        if count == 0 || complete || reply.len() > MAX_RESPONSE_BYTES {
            break;
        }
    }
    let (head, body) = split(&reply).ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    Ok((status, body))
}

/// Reads one request.
///
/// # Errors
///
/// Returns an error if the connection ends before a whole request has arrived.
pub fn read_request(stream: &mut TcpStream) -> io::Result<Request> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        bytes.extend_from_slice(&chunk[..count]);
        let Some((head, body)) = split(&bytes) else { continue };
        if body.len() < content_length(&head).unwrap_or(0) {
            continue;
        }
        return Ok(Request { head, body });
    }
}

/// Sends a response without a body.
///
/// # Errors
///
/// Returns an error if the connection broke.
pub fn respond(stream: &mut TcpStream, status: u16) -> io::Result<()> {
    let text = format!("HTTP/1.1 {status} x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    stream.write_all(text.as_bytes())
}

fn split(bytes: &[u8]) -> Option<(String, String)> {
    let text = String::from_utf8_lossy(bytes);
    let (head, body) = text.split_once("\r\n\r\n")?;
    Some((head.to_owned(), body.to_owned()))
}

fn content_length(head: &str) -> Option<usize> {
    for line in head.lines() {
        if let Some((key, value)) = line.split_once(':')
            && key.eq_ignore_ascii_case("content-length")
        {
            return value.trim().parse().ok();
        }
    }
    None
}

/// Returns the text of a field in a flat JSON object.
#[must_use]
pub fn json_text(body: &str, field: &str) -> String {
    let name = format!("\"{field}\"");
    let Some(at) = body.find(&name) else { return String::new() };
    let rest = &body[at + name.len()..];
    let Some(rest) = rest.trim_start().strip_prefix(':') else { return String::new() };
    let Some(rest) = rest.trim_start().strip_prefix('"') else { return String::new() };
    rest.split('"').next().unwrap_or_default().to_owned()
}
