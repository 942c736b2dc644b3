//! Minimal HTTP/1.1 client and server for the operator, the servers' heartbeats and the platform.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

/// Response to a call.
pub struct Response {
    pub status: u16,
    pub body: String,
}

/// Sends a request with a time limit; `None` without a complete response.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<Response> {
    let target: SocketAddr = address.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&target, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut request = format!("{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n");
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        request.push_str("Content-Type: application/json\r\n");
    }
    request.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let mut length = None;
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header).ok()? == 0 {
            return None;
        }
        let header = header.trim_end().to_ascii_lowercase();
        if header.is_empty() {
            break;
        }
        if let Some(value) = header.strip_prefix("content-length:") {
            length = value.trim().parse::<usize>().ok();
        }
    }
    let mut bytes = Vec::new();
    match length {
        Some(length) => {
            bytes.resize(length, 0);
            reader.read_exact(&mut bytes).ok()?;
        }
        None => {
            let _ = reader.read_to_end(&mut bytes);
        }
    }
    Some(Response { status, body: String::from_utf8_lossy(&bytes).into_owned() })
}

/// Request that a server received.
pub struct Request {
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }
}

/// Serves requests in threads until the process ends.
pub fn serve<F>(address: &str, handle: F)
where
    F: Fn(&Request) -> u16 + Send + Clone + 'static,
{
    let listener = TcpListener::bind(address).expect("the address is free");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || serve_connection(stream, handle));
        }
    });
}

fn serve_connection<F>(stream: TcpStream, handle: F) -> Option<()>
where
    F: Fn(&Request) -> u16,
{
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let mut request = Request { headers: Vec::new(), body: String::new() };
        let mut length = 0;
        loop {
            let mut header = String::new();
            reader.read_line(&mut header).ok()?;
            let Some((name, value)) = header.trim_end().split_once(':') else { break };
            let (name, value) = (name.to_ascii_lowercase(), value.trim().to_owned());
            if name == "content-length" {
                length = value.parse().ok()?;
            }
            request.headers.push((name, value));
        }
        let mut bytes = vec![0; length];
        reader.read_exact(&mut bytes).ok()?;
        request.body = String::from_utf8(bytes).ok()?;
        let status = handle(&request);
        let reply = format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n");
        writer.write_all(reply.as_bytes()).ok()?;
    }
}

/// Returns the text value of a field of a flat JSON object.
pub fn text_field(body: &str, name: &str) -> Option<String> {
    let rest = &body[body.find(&format!("\"{name}\""))? + name.len() + 2..];
    let rest = rest.trim_start().strip_prefix(':')?.trim_start().strip_prefix('"')?;
    Some(rest[..rest.find('"')?].to_owned())
}
