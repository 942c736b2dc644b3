//! Database server: the statement protocol on top of a [`Group`], and the reports to control.

use {
    crate::{group::Group, http, record::Record},
    std::{
        collections::BTreeMap,
        io::{self, BufRead, BufReader, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Condvar, Mutex, PoisonError,
            atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Time between two reports to control.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);

/// Time for the answer to a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which a reporter looks for changes of its state, which it reports at once.
const CHANGE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which a listener looks for new connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);

/// Statements that a server executes at a time.
const SLOTS: usize = 5;

/// Statements that wait for a slot; further ones are refused.
const QUEUE: usize = 40;

/// Connections that a server accepts.
const MAX_CONNECTIONS: usize = 71;

/// Where a server runs.
#[derive(Clone, Debug)]
pub struct Place {
    pub address: SocketAddr,
    pub zone: &'static str,
}

#[derive(Debug)]
struct Slots {
    state: Mutex<(usize, usize)>,
    freed: Condvar,
}

impl Slots {
    /// Takes a slot; returns false if too many statements wait.
    fn take(&self) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.0 >= SLOTS && state.1 >= QUEUE {
            return false;
        }
        state.1 += 1;
        while state.0 >= SLOTS {
            state = self.freed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        state.1 -= 1;
        state.0 += 1;
        true
    }

    fn free(&self) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).0 -= 1;
        self.freed.notify_one();
    }
}

#[derive(Debug)]
struct Shared {
    id: String,
    number: usize,
    group: Arc<Group>,
    place: Place,
    born: u64,
    /// Time of one read, write or commit.
    work: Duration,
    controls: Vec<SocketAddr>,
    slots: Slots,
    ended: AtomicBool,
    draining: AtomicBool,
    /// Whether control has acknowledged the report of the draining state.
    drain_acknowledged: AtomicBool,
    /// Whether the server is partitioned from control.
    cut: AtomicBool,
    connections: AtomicUsize,
    streams: Mutex<Vec<TcpStream>>,
    sequence: AtomicU64,
    runs: Arc<Runs>,
    record: Record,
}

/// Statements that the servers ran: identifier and server.
#[derive(Debug, Default)]
pub struct Runs {
    runs: Mutex<Vec<(String, String)>>,
}

impl Runs {
    fn add(&self, id: &str, server: &str) {
        let run = (id.to_owned(), server.to_owned());
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).push(run);
    }

    /// Returns all runs.
    #[must_use]
    pub fn all(&self) -> Vec<(String, String)> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Running server.
#[derive(Clone, Debug)]
pub struct Server {
    shared: Arc<Shared>,
}

/// What all servers of a deployment share.
#[derive(Clone, Debug)]
pub struct ServerContext {
    pub controls: Vec<SocketAddr>,
    pub runs: Arc<Runs>,
    pub work: Duration,
    pub record: Record,
}

impl Server {
    /// Starts the server with a number in the group, and its reports.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(
        context: &ServerContext,
        group: &Arc<Group>,
        id: &str,
        place: Place,
    ) -> io::Result<Self> {
        let number = group.find(id).ok_or(io::ErrorKind::NotFound)?;
        let listener = bind(place.address)?;
        listener.set_nonblocking(true)?;
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            number,
            group: Arc::clone(group),
            place,
            born: u64::try_from(since_epoch.as_millis()).unwrap_or(0),
            work: context.work,
            controls: context.controls.clone(),
            slots: Slots { state: Mutex::new((0, 0)), freed: Condvar::new() },
            ended: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            drain_acknowledged: AtomicBool::new(false),
            cut: AtomicBool::new(false),
            connections: AtomicUsize::new(0),
            streams: Mutex::default(),
            sequence: AtomicU64::new(0),
            runs: Arc::clone(&context.runs),
            record: context.record.clone(),
        });
        group.set_running(number, true);
        context.record.say(&format!("server {id} starts at {}", shared.place.address));
        let accepting = Arc::clone(&shared);
        thread::spawn(move || accept(&listener, &accepting));
        let reporting = Arc::clone(&shared);
        thread::spawn(move || report(&reporting));
        Ok(Self { shared })
    }

    /// Stops reports for a time in which the server is partitioned from control.
    pub fn set_cut(&self, cut: bool) {
        self.shared.cut.store(cut, Ordering::Release);
    }

    /// Ends the process: open connections are closed, and nothing is reported any more.
    pub fn crash(&self) {
        self.shared.record.say(&format!("server {} crashes", self.shared.id));
        self.end();
    }

    /// Ends two processes at the same moment.
    pub fn crash_with(&self, other: &Self) {
        self.halt();
        other.halt();
        let (id, other_id) = (&self.shared.id, &other.shared.id);
        self.shared.record.say(&format!("servers {id} and {other_id} crash"));
        self.end();
        other.end();
    }

    fn end(&self) {
        self.halt();
        // The listener closes within its interval; then the address can be used again.
        thread::sleep(10 * ACCEPT_INTERVAL);
    }

    fn halt(&self) {
        let Shared { group, number, ended, streams, .. } = &*self.shared;
        group.set_running(*number, false);
        ended.store(true, Ordering::Release);
        for stream in streams.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Reports that the server leaves, and waits until control has acknowledged that.
    pub fn begin_drain(&self) {
        self.shared.record.say(&format!("server {} reports draining", self.shared.id));
        self.shared.draining.store(true, Ordering::Release);
        while !self.shared.drain_acknowledged.load(Ordering::Acquire) {
            thread::sleep(CHANGE_CHECK_INTERVAL);
        }
        self.shared.record.say(&format!("server {}: draining acknowledged", self.shared.id));
    }

    /// Tells control that the server has left, and ends it; after as many calls without an acknowledgement as there are
    /// addresses in `controls`, it ends anyway.
    pub fn leave(&self, controls: &[SocketAddr]) {
        let Shared { id, record, .. } = &*self.shared;
        let path = format!("/-/instances/{id}");
        for control in controls {
            let reply = http::call(*control, "DELETE", &path, "", REPORT_TIMEOUT);
            if matches!(reply, Ok((status, _)) if (200..300).contains(&status)) {
                record.say(&format!("server {id}: DELETE acknowledged by {control}"));
                break;
            }
            record.say(&format!("server {id}: DELETE to {control} not acknowledged"));
        }
        record.say(&format!("server {id} exits"));
        self.end();
    }
}

/// Binds an address that another server may have used a moment ago.
fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let begun = Instant::now();
    loop {
        match TcpListener::bind(address) {
            Err(error)
                if error.kind() == io::ErrorKind::AddrInUse
                    && begun.elapsed() < Duration::from_secs(2) =>
            {
                thread::sleep(10 * ACCEPT_INTERVAL);
            }
            result => return result,
        }
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    while !shared.ended.load(Ordering::Acquire) {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(ACCEPT_INTERVAL);
            continue;
        };
        let prepared = stream.set_nonblocking(false).and_then(|()| stream.set_nodelay(true));
        let (Ok(()), Ok(copy)) = (prepared, stream.try_clone()) else { continue };
        shared.streams.lock().unwrap_or_else(PoisonError::into_inner).push(copy);
        let shared = Arc::clone(shared);
        thread::spawn(move || {
            let open = shared.connections.fetch_add(1, Ordering::AcqRel);
            // A broken connection ends the session; its transaction is rolled back with it.
            let _ = serve(&stream, &shared, open >= MAX_CONNECTIONS);
            let _ = stream.shutdown(Shutdown::Both);
            shared.connections.fetch_sub(1, Ordering::AcqRel);
        });
    }
}

fn report(shared: &Shared) {
    let mut reported = None;
    let mut reported_at: Option<Instant> = None;
    let mut next_control = shared.number;
    while !shared.ended.load(Ordering::Acquire) {
        let primary = shared.group.view(shared.number).primary;
        let draining = shared.draining.load(Ordering::Acquire);
        let state = (primary, draining);
        let due = reported_at.is_none_or(|at| at.elapsed() >= HEARTBEAT_INTERVAL);
        if shared.cut.load(Ordering::Acquire) || (!due && reported == Some(state)) {
            thread::sleep(CHANGE_CHECK_INTERVAL);
            continue;
        }
        let sequence = shared.sequence.fetch_add(1, Ordering::AcqRel) + 1;
        let role = if primary { "primary" } else { "replica" };
        let word = if draining { "draining" } else { "ready" };
        let Shared { id, group, place, born, .. } = shared;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{SLOTS},\
             \"state\":\"{word}\",\"cold_remaining_ms\":0,\"db_role\":\"{role}\",\"seq\":{sequence},\"born\":{born}}}",
            group.name, place.address, place.zone
        );
        let control = shared.controls[next_control % shared.controls.len()];
        let path = format!("/-/instances/{id}");
        match http::call(control, "PUT", &path, &body, REPORT_TIMEOUT) {
            Ok((status, _)) if (200..300).contains(&status) => {
                if reported != Some(state) {
                    shared.record.line(&format!("report of {id}: {word} {role}, acknowledged"));
                }
                reported = Some(state);
                reported_at = Some(Instant::now());
                if draining {
                    shared.drain_acknowledged.store(true, Ordering::Release);
                }
            }
            _ => {
                next_control += 1;
                thread::sleep(CHANGE_CHECK_INTERVAL);
            }
        }
    }
}

#[derive(Default)]
struct Transaction {
    read_only: bool,
    failed: bool,
    ids: Vec<String>,
}

struct Session<'a> {
    shared: &'a Shared,
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, bool>,
    transaction: Option<Transaction>,
}

/// Result of a statement.
enum Outcome {
    Done(Option<String>),
    Failed(&'static str),
    /// The server ended or lost the lead before it could answer.
    Silent,
}

fn serve(stream: &TcpStream, shared: &Shared, at_limit: bool) -> io::Result<()> {
    let mut lines = BufReader::new(stream.try_clone()?).lines();
    let mut writer = stream.try_clone()?;
    let Some(startup) = lines.next().transpose()? else { return Ok(()) };
    let fields: Vec<&str> = startup.split(' ').collect();
    let addressed = fields.first() == Some(&"STARTUP")
        && fields.get(1) == Some(&shared.group.name.as_str())
        && fields.get(3).is_none_or(|id| *id == shared.id);
    if !addressed {
        return writer.write_all(format!("ERROR MISROUTED {}\r\n", shared.id).as_bytes());
    }
    if at_limit {
        return writer.write_all(format!("ERROR TOOMANY {}\r\n", shared.id).as_bytes());
    }
    let mut session =
        Session { shared, values: BTreeMap::new(), prepared: BTreeMap::new(), transaction: None };
    writer.write_all(session.ready().as_bytes())?;
    for line in lines {
        let line = line?;
        if line == "TERMINATE" {
            return Ok(());
        }
        let Some((id, text)) = line.strip_prefix("QUERY ").and_then(|rest| rest.split_once(' '))
        else {
            writer.write_all(b"ERROR MALFORMED line\r\nREADY I -\r\n")?;
            continue;
        };
        let mut output = String::new();
        match session.execute(id, text) {
            Outcome::Done(row) => {
                if let Some(row) = row {
                    output.push_str(&format!("DATAROW {row}\r\n"));
                }
                let signature =
                    if id == "-" { "-".to_owned() } else { format!("{}.{id}", shared.id) };
                output.push_str(&format!("COMPLETE {signature}\r\n"));
            }
            Outcome::Failed(code) => {
                if let Some(transaction) = &mut session.transaction {
                    transaction.failed = true;
                }
                output.push_str(&format!("ERROR {code} {}\r\n", shared.id));
            }
            Outcome::Silent => return Ok(()),
        }
        output.push_str(&session.ready());
        writer.write_all(output.as_bytes())?;
    }
    Ok(())
}

impl Session<'_> {
    fn ready(&self) -> String {
        let position = self.shared.group.view(self.shared.number).position;
        let state = match &self.transaction {
            None => "I",
            Some(transaction) if transaction.failed => "E",
            Some(_) => "T",
        };
        format!("READY {state} {}.{}\r\n", position.0, position.1)
    }

    fn execute(&mut self, id: &str, text: &str) -> Outcome {
        let (group, number) = (&self.shared.group, self.shared.number);
        let mut text = text;
        if let Some(rest) = text.strip_prefix("WAITLSN ") {
            let (position, rest) = rest.split_once(' ').unwrap_or((rest, ""));
            let (term, offset) = position.split_once('.').unwrap_or(("0", "0"));
            let position = (term.parse().unwrap_or(0), offset.parse().unwrap_or(0));
            if !group.has_position(number, position) {
                return Outcome::Failed("LAGGING");
            }
            text = rest;
        }
        let mut words = text.split(' ');
        let keyword = words.next().unwrap_or("");
        let rest: Vec<&str> = words.collect();
        if id == "-" {
            return self.execute_for_system(keyword, &rest);
        }
        if !self.shared.slots.take() {
            return Outcome::Failed("BUSY");
        }
        thread::sleep(self.shared.work);
        let outcome = self.execute_for_caller(id, keyword, &rest);
        self.shared.slots.free();
        if matches!(outcome, Outcome::Done(_)) {
            self.shared.runs.add(id, &self.shared.id);
        }
        outcome
    }

    fn execute_for_system(&mut self, keyword: &str, rest: &[&str]) -> Outcome {
        let (group, number) = (&self.shared.group, self.shared.number);
        match keyword {
            "BEGIN" => {
                let read_only = rest == ["READ"];
                if !read_only && !group.view(number).primary {
                    return Outcome::Failed("READONLY");
                }
                self.transaction = Some(Transaction { read_only, ..Transaction::default() });
            }
            "ROLLBACK" => self.transaction = None,
            "SET" if rest.len() >= 2 => {
                self.values.insert(rest[0].to_owned(), rest[1..].join(" "));
            }
            "PREPARE" if rest.len() >= 3 => {
                self.prepared.insert(rest[0].to_owned(), rest[1] == "WRITE");
            }
            "RESET" => {
                self.values.clear();
                self.prepared.clear();
            }
            "STATUS" | "PAUSE" | "DEMOTE" => {
                let term = rest.first().and_then(|term| term.parse().ok()).unwrap_or(0);
                match keyword {
                    "PAUSE" => group.pause(number, term),
                    "DEMOTE" => group.demote(number, term),
                    _ => {}
                }
                let view = group.view(number);
                let role = if view.primary { "primary" } else { "replica" };
                let row = format!(
                    "{role} {} {}.{} {} 0 0 {}",
                    view.term,
                    view.position.0,
                    view.position.1,
                    view.held_term,
                    self.shared.connections.load(Ordering::Acquire)
                );
                if keyword != "STATUS" {
                    self.shared.record.line(&format!(
                        "server {}: {keyword} {term}, answered with {row}",
                        self.shared.id
                    ));
                }
                return Outcome::Done(Some(row));
            }
            "RESUME" => group.resume(number),
            _ => return Outcome::Failed("MALFORMED"),
        }
        Outcome::Done(None)
    }

    fn execute_for_caller(&mut self, id: &str, keyword: &str, rest: &[&str]) -> Outcome {
        let is_primary = self.shared.group.view(self.shared.number).primary;
        if let Some(transaction) = &self.transaction
            && !transaction.read_only
            && !is_primary
            && !(keyword == "COMMIT" && transaction.ids.is_empty())
        {
            return Outcome::Failed("READONLY");
        }
        let writes = match (keyword, rest.first()) {
            ("READ", _) => false,
            ("WRITE" | "COMMIT", _) => true,
            ("EXECUTE", Some(name)) => match self.prepared.get(*name) {
                Some(writes) => *writes,
                None => return Outcome::Failed("NOSTMT"),
            },
            _ => return Outcome::Failed("MALFORMED"),
        };
        if !writes {
            return Outcome::Done(Some("value".to_owned()));
        }
        if keyword == "COMMIT" {
            let Some(transaction) = self.transaction.take() else {
                return Outcome::Failed("MALFORMED");
            };
            if transaction.ids.is_empty() {
                return Outcome::Done(None);
            }
            let mut ids = transaction.ids;
            ids.push(id.to_owned());
            return self.commit(ids);
        }
        match &mut self.transaction {
            Some(transaction) => {
                transaction.ids.push(id.to_owned());
                Outcome::Done(None)
            }
            None => self.commit(vec![id.to_owned()]),
        }
    }

    fn commit(&self, ids: Vec<String>) -> Outcome {
        let Shared { group, number, .. } = self.shared;
        let Some(position) = group.commit(*number, ids) else {
            return Outcome::Failed("READONLY");
        };
        if group.wait_acknowledged(*number, position) {
            Outcome::Done(None)
        } else if group.is_running(*number) {
            Outcome::Failed("INDOUBT")
        } else {
            Outcome::Silent
        }
    }
}
