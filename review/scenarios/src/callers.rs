//! Callers with long sessions that send one write after the other, each with an identifier of its own.

use {
    crate::{cluster::StopFlag, record::Record},
    std::{
        io::{self, BufRead, BufReader, Write},
        net::{SocketAddr, TcpStream},
        sync::{Arc, Mutex, PoisonError},
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

/// Time for the answer to the start message.
const START_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for the answer to a statement; the route's time limit is shorter.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause after a failure.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// How a statement ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// Success with a server's signature.
    Acknowledged,
    /// Success without one, of a statement that the system answers itself.
    Completed,
    /// A failure with its code.
    Refused(String),
    /// The connection ended or no answer came.
    Unanswered,
}

/// Statement of a caller.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    /// Time at which the statement was sent.
    pub at: Instant,
    pub end: End,
}

/// Statements of all callers; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Ledger(Arc<Mutex<Vec<Sent>>>);

impl Ledger {
    fn add(&self, sent: Sent) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(sent);
    }

    /// Returns all statements that have ended.
    #[must_use]
    pub fn all(&self) -> Vec<Sent> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// What one caller does.
#[derive(Clone, Debug)]
pub struct CallerPlan {
    pub name: String,
    pub database: String,
    /// Gateways that the caller connects to, one after the other.
    pub fronts: Vec<SocketAddr>,
    /// Pause between two statements.
    pub pause: Duration,
}

/// Session of a caller with a gateway.
#[derive(Debug)]
pub struct Session {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

impl Session {
    /// Connects to a gateway and starts the session.
    ///
    /// # Errors
    ///
    /// Returns an error if the session is refused or there is no answer.
    pub fn open(front: SocketAddr, database: &str, name: &str) -> io::Result<Self> {
        let writer = TcpStream::connect_timeout(&front, START_TIMEOUT)?;
        writer.set_nodelay(true)?;
        writer.set_read_timeout(Some(START_TIMEOUT))?;
        let mut session = Self { reader: BufReader::new(writer.try_clone()?), writer };
        let start = format!("STARTUP {database} {name}\r\n");
        session.writer.write_all(start.as_bytes())?;
        let reply = session.line()?;
        if !reply.starts_with("READY I") {
            return Err(io::Error::other(reply));
        }
        session.writer.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        Ok(session)
    }

    fn line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end().to_owned())
    }

    /// Sends a statement and returns how it ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the session ended.
    pub fn run(&mut self, id: &str, text: &str) -> io::Result<End> {
        self.writer.write_all(format!("QUERY {id} {text}\r\n").as_bytes())?;
        let mut end = End::Unanswered;
        loop {
            let line = self.line()?;
            let (keyword, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match keyword {
                "DATAROW" => {}
                "COMPLETE" if rest == "-" => end = End::Completed,
                "COMPLETE" => end = End::Acknowledged,
                "ERROR" => {
                    let code = rest.split(' ').next().unwrap_or_default();
                    end = End::Refused(code.to_owned());
                }
                "READY" => return Ok(end),
                _ => return Err(io::Error::other(line)),
            }
        }
    }
}

/// Starts a caller, which runs until the flag is set.
pub fn spawn(plan: CallerPlan, ledger: Ledger, record: Record, stop: StopFlag) -> JoinHandle<()> {
    thread::spawn(move || {
        let mut session: Option<Session> = None;
        let mut number = 0_u64;
        let mut front = 0;
        while !stop.is_set() {
            number += 1;
            let id = format!("{}-{number}", plan.name);
            let at = Instant::now();
            if session.is_none() {
                session = Session::open(
                    plan.fronts[front % plan.fronts.len()],
                    &plan.database,
                    &plan.name,
                )
                .ok();
            }
            let end = match &mut session {
                None => End::Unanswered,
                Some(open) => {
                    open.run(&id, &format!("WRITE {} {id}", number % 50)).unwrap_or(End::Unanswered)
                }
            };
            let failed = end != End::Acknowledged;
            record.line(&format!(
                "caller: write {id} after {} ms: {end:?}",
                at.elapsed().as_millis()
            ));
            if end == End::Unanswered {
                session = None;
                front += 1;
            }
            ledger.add(Sent { id, at, end });
            thread::sleep(if failed { FAILURE_PAUSE } else { plan.pause });
        }
    })
}
