//! Caller of the statement protocol.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Answer to a message.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub rows: Vec<String>,
    /// `COMPLETE` with its signature or `ERROR` with its code and text; empty for a start.
    pub outcome: String,
    /// State and position of `READY`; empty if the connection ended before.
    pub ready: String,
}

impl Answer {
    pub fn is_success(&self) -> bool {
        self.outcome.starts_with("COMPLETE") && !self.ready.is_empty()
    }
}

/// Open session.
pub struct Session {
    writer: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Session {
    /// Connects and sends the start message; returns the answer with the session if it was accepted.
    pub fn open(address: &str, database: &str, limit: Duration) -> (Option<Self>, Answer) {
        let lost = Answer { outcome: "no answer".to_owned(), ..Answer::default() };
        let Ok(target) = address.parse::<SocketAddr>() else { return (None, lost) };
        let Ok(stream) = TcpStream::connect_timeout(&target, limit) else { return (None, lost) };
        let _ = stream.set_read_timeout(Some(limit));
        let _ = stream.set_nodelay(true);
        let Ok(writer) = stream.try_clone() else { return (None, lost) };
        let mut session = Self { writer, reader: BufReader::new(stream) };
        if session.send(&format!("STARTUP {database} u1")).is_none() {
            return (None, lost);
        }
        let mut line = String::new();
        match session.reader.read_line(&mut line) {
            Ok(count) if count > 0 => {
                let line = line.trim_end();
                if let Some(ready) = line.strip_prefix("READY ") {
                    let answer = Answer { ready: ready.to_owned(), ..Answer::default() };
                    return (Some(session), answer);
                }
                (None, Answer { outcome: line.to_owned(), ..Answer::default() })
            }
            _ => (None, lost),
        }
    }

    fn send(&mut self, line: &str) -> Option<()> {
        self.writer.write_all(format!("{line}\r\n").as_bytes()).ok()
    }

    /// Sends a statement and waits for its answer.
    pub fn query(&mut self, id: &str, text: &str) -> Answer {
        let mut answer = Answer { outcome: "no answer".to_owned(), ..Answer::default() };
        if self.send(&format!("QUERY {id} {text}")).is_none() {
            return answer;
        }
        loop {
            let mut line = String::new();
            match self.reader.read_line(&mut line) {
                Ok(count) if count > 0 => {}
                _ => return answer,
            }
            let line = line.trim_end();
            match line.split_once(' ').unwrap_or((line, "")) {
                ("DATAROW", row) => answer.rows.push(row.to_owned()),
                ("READY", ready) => {
                    answer.ready = ready.to_owned();
                    return answer;
                }
                _ => answer.outcome = line.to_owned(),
            }
        }
    }
}
