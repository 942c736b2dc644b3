//! Stand-in for one database service, and for the platform that promotes its servers.
//!
//! The servers follow PROTOCOL.md: replicas receive commits after a delay, a promote takes 600 ms, the promoted server leads
//! the next term with what it had received, and the old primary loses its lead at that moment. With `sync_replicas` 1 a commit
//! is acknowledged once one replica has received it, and a paused replica receives nothing.

use {
    crate::{http, process::Deployment, record::Record},
    std::{
        collections::{HashMap, HashSet},
        io::{BufRead, BufReader, Write},
        net::{TcpListener, TcpStream},
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

const REPLICATION_LAG: Duration = Duration::from_millis(8);
const PROMOTE_TIME: Duration = Duration::from_millis(600);
const HANDSHAKE_TIME: Duration = Duration::from_millis(12);
const WORK_TIME: Duration = Duration::from_millis(5);
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Servers that may run at a time: three, and two that take the place of others.
const MAX_SERVERS: usize = 5;

/// Commit in the log.
#[derive(Clone)]
struct Entry {
    term: u64,
    at: Instant,
    id: String,
}

/// Read that a server ran.
#[derive(Clone)]
pub struct ReadRun {
    pub server: usize,
    /// Identifiers of the commits that the server's log lacked.
    pub missing: Vec<String>,
}

struct State {
    log: Vec<Entry>,
    term: u64,
    leader: usize,
    have: [usize; MAX_SERVERS],
    running: [bool; MAX_SERVERS],
    paused: [bool; MAX_SERVERS],
    draining: [bool; MAX_SERVERS],
    sync_replicas: usize,
    /// Commits that the last promote rolled back.
    rolled_back: Vec<String>,
    promoting: Option<(usize, Instant)>,
    fence: u64,
    /// Server that is partitioned, from its replicas and from the hosts in `cut_hosts`.
    cut: Option<usize>,
    cut_hosts: HashSet<String>,
    reads: HashMap<String, ReadRun>,
}

impl State {
    fn position(&self, server: usize) -> (u64, usize) {
        let have = self.have[server];
        (have.checked_sub(1).map_or(1, |last| self.log[last].term), have)
    }

    fn is_cut(&self, server: usize, host: &str) -> bool {
        self.cut == Some(server) && self.cut_hosts.contains(host)
    }

    /// Returns whether enough replicas have the log up to `count` entries.
    fn is_replicated(&self, count: usize) -> bool {
        let replicas = (0..MAX_SERVERS).filter(|server| *server != self.leader);
        let holders = replicas.filter(|server| self.running[*server] && self.have[*server] >= count);
        holders.count() >= self.sync_replicas
    }

    fn advance(&mut self) {
        let now = Instant::now();
        if let Some((server, due)) = self.promoting
            && now >= due
        {
            self.promoting = None;
            self.term += 1;
            self.leader = server;
            let kept = self.have[server];
            // What only other servers had is rolled back.
            self.rolled_back.extend(self.log.drain(kept..).map(|entry| entry.id));
            self.paused = [false; MAX_SERVERS];
            for have in &mut self.have {
                *have = (*have).min(kept);
            }
        }
        let received = self.log.iter().take_while(|entry| entry.at + REPLICATION_LAG <= now).count();
        for server in 0..MAX_SERVERS {
            if server == self.leader {
                self.have[server] = self.log.len();
            } else if self.running[server]
                && !self.paused[server]
                && self.cut != Some(server) && self.cut != Some(self.leader) {
                self.have[server] = self.have[server].max(received);
            }
        }
    }
}

struct Shared {
    record: Record,
    service: String,
    addresses: Vec<String>,
    controls: Vec<String>,
    state: Mutex<State>,
}

/// The service.
#[derive(Clone)]
pub struct Group {
    shared: Arc<Shared>,
}

impl Group {
    /// Starts the servers and the platform.
    pub fn open(record: &Record, deployment: &Deployment, service: &str) -> Self {
        Self::open_with(record, deployment, service, 0)
    }

    /// Starts three servers and the platform, with this number of replicas that acknowledge a commit.
    pub fn open_with(
        record: &Record,
        deployment: &Deployment,
        service: &str,
        sync_replicas: usize,
    ) -> Self {
        let prefix = &deployment.prefix;
        let address = |index: usize| format!("{prefix}.3{}:{}", index + 1, deployment.server_port);
        let log = (0..100).map(|number| Entry { term: 3, at: Instant::now(), id: format!("old{number}") });
        let state = State {
            log: log.collect(),
            term: 3,
            leader: 0,
            have: [100, 100, 100, 0, 0],
            running: [true, true, true, false, false],
            paused: [false; MAX_SERVERS],
            draining: [false; MAX_SERVERS],
            sync_replicas,
            rolled_back: Vec::new(),
            promoting: None,
            fence: 0,
            cut: None,
            cut_hosts: HashSet::new(),
            reads: HashMap::new(),
        };
        let shared = Arc::new(Shared {
            record: record.clone(),
            service: service.to_owned(),
            addresses: (0..MAX_SERVERS).map(address).collect(),
            controls: (0..5).map(|index| deployment.operator(index)).collect(),
            state: Mutex::new(state),
        });
        for server in 0..3 {
            Self::run_server(&shared, server);
        }
        let ticking = Arc::clone(&shared);
        thread::spawn(move || {
            loop {
                ticking.state.lock().unwrap().advance();
                thread::sleep(Duration::from_millis(2));
            }
        });
        let promoting = Arc::clone(&shared);
        http::serve(&deployment.platform, move |request| promote(&promoting, request));
        Self { shared }
    }

    fn run_server(shared: &Arc<Shared>, server: usize) {
        let listener = TcpListener::bind(&shared.addresses[server]).expect("the address is free");
        let accepting = Arc::clone(shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&accepting);
                thread::spawn(move || Connection::serve(&shared, server, stream));
            }
        });
        let reporting = Arc::clone(shared);
        thread::spawn(move || report(&reporting, server));
    }

    /// Starts a further server, a replica.
    pub fn start_server(&self, server: usize) {
        self.shared.state.lock().unwrap().running[server] = true;
        Self::run_server(&self.shared, server);
    }

    /// Lets a server report that it leaves; it goes on serving for `drain_ms` and longer.
    pub fn drain(&self, server: usize) {
        self.shared.state.lock().unwrap().draining[server] = true;
    }

    /// Returns the commits that promotes rolled back.
    pub fn rolled_back(&self) -> Vec<String> {
        self.shared.state.lock().unwrap().rolled_back.clone()
    }

    /// Waits until control knows all servers.
    pub fn wait_until_known(&self, deployment: &Deployment) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_secs(15);
        while deployment.gauge(None, "targets") != Some(3) {
            if Instant::now() > deadline {
                return Err("control does not know all servers".to_owned());
            }
            thread::sleep(Duration::from_millis(200));
        }
        thread::sleep(Duration::from_millis(1_500));
        Ok(())
    }

    /// Partitions the primary from its replicas and from the hosts.
    pub fn cut_primary(&self, hosts: &[String]) {
        let mut state = self.shared.state.lock().unwrap();
        state.cut = Some(state.leader);
        state.cut_hosts = hosts.iter().cloned().collect();
    }

    pub fn heal(&self) {
        self.shared.state.lock().unwrap().cut = None;
    }

    pub fn leader(&self) -> usize {
        self.shared.state.lock().unwrap().leader
    }

    pub fn read_run(&self, id: &str) -> Option<ReadRun> {
        self.shared.state.lock().unwrap().reads.get(id).cloned()
    }
}

fn promote(shared: &Shared, request: &http::Request) -> u16 {
    let id = http::text_field(&request.body, "id").unwrap_or_default();
    let fence: u64 = request.header("fencing-token").parse().unwrap_or(0);
    let mut state = shared.state.lock().unwrap();
    let server = (0..MAX_SERVERS).find(|server| id == server_id(*server));
    let status = match server.filter(|server| state.running[*server]) {
        _ if fence < state.fence => 409,
        None => 409,
        Some(server) => {
            state.fence = fence;
            if server != state.leader && state.promoting.is_none() {
                state.promoting = Some((server, Instant::now() + PROMOTE_TIME));
            }
            200
        }
    };
    drop(state);
    shared.record.line(&format!(
        "platform: POST /promote {id}, fencing token {fence}, holder {} -> {status}",
        request.header("lease-holder")
    ));
    status
}

fn server_id(server: usize) -> String {
    format!("i-{}a{}", server + 1, server + 7)
}

/// Sends the heartbeats of a server, at once when its role changes.
fn report(shared: &Shared, server: usize) {
    let born = 1_700_000_000_000u64 + server as u64;
    let (mut sequence, mut control, mut said) = (0u64, server, None);
    let mut due = Instant::now();
    loop {
        let (role, condition, cut) = {
            let state = shared.state.lock().unwrap();
            let role = if state.leader == server { "primary" } else { "replica" };
            let condition = if state.draining[server] { "draining" } else { "ready" };
            (role, condition, state.is_cut(server, "core-1"))
        };
        if cut || (Instant::now() < due && said == Some((role, condition))) {
            thread::sleep(Duration::from_millis(20));
            continue;
        }
        sequence += 1;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"z{}\",\"version\":\"v1\",\"slots\":5,\"state\":\"{condition}\",\
             \"cold_remaining_ms\":0,\"db_role\":\"{role}\",\"born\":{born},\"seq\":{sequence}}}",
            shared.service,
            shared.addresses[server],
            server + 1
        );
        let path = format!("/-/instances/{}", server_id(server));
        let address = &shared.controls[control % 5];
        let response = http::call(address, "PUT", &path, &[], &body, Duration::from_secs(1));
        if response.is_some_and(|response| response.status == 200) {
            if said != Some((role, condition)) {
                let id = server_id(server);
                shared.record.line(&format!("server {id}: heartbeat {condition} {role} acknowledged"));
            }
            said = Some((role, condition));
            due = Instant::now() + HEARTBEAT;
        } else {
            control += 1;
            thread::sleep(Duration::from_millis(50));
        }
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Transaction {
    None,
    Plain,
    ReadOnly,
    Failed,
}

/// Connection to a server.
struct Connection<'a> {
    shared: &'a Shared,
    server: usize,
    host: String,
    transaction: Transaction,
    writes: Vec<String>,
    prepared: HashMap<String, String>,
    /// Length of the log with the commit that waits for replicas.
    committed: Option<usize>,
}

impl<'a> Connection<'a> {
    fn serve(shared: &'a Shared, server: usize, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let fields: Vec<&str> = line.trim_end().split(' ').collect();
        let host = fields.get(2).unwrap_or(&"").to_string();
        let mut connection = Self {
            shared,
            server,
            host,
            transaction: Transaction::None,
            writes: Vec::new(),
            prepared: HashMap::new(),
            committed: None,
        };
        thread::sleep(HANDSHAKE_TIME);
        let right = fields.get(1) == Some(&&*shared.service)
            && fields.get(3).is_none_or(|id| *id == server_id(server));
        if connection.is_cut() {
            return connection.discard(&mut reader);
        }
        if !right {
            let _ = writer.write_all(format!("ERROR MISROUTED {}\r\n", server_id(server)).as_bytes());
            return None;
        }
        let ready = connection.ready(&shared.state.lock().unwrap());
        writer.write_all(ready.as_bytes()).ok()?;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim_end_matches(['\r', '\n']);
            let mut fields = line.splitn(3, ' ');
            let (word, id) = (fields.next()?, fields.next());
            if word == "TERMINATE" {
                return None;
            }
            if connection.is_cut() {
                return connection.discard(&mut reader);
            }
            let reply = connection.run(id?, fields.next()?)?;
            if connection.is_cut() {
                return connection.discard(&mut reader);
            }
            writer.write_all(reply.as_bytes()).ok()?;
        }
    }

    fn is_cut(&self) -> bool {
        self.shared.state.lock().unwrap().is_cut(self.server, &self.host)
    }

    /// Behaves like a path that has gone silent.
    fn discard(&self, reader: &mut BufReader<TcpStream>) -> Option<()> {
        let mut line = Vec::new();
        while reader.read_until(b'\n', &mut line).ok()? > 0 {
            line.clear();
        }
        None
    }

    fn ready(&self, state: &State) -> String {
        let status = match self.transaction {
            Transaction::None => "I",
            Transaction::Plain | Transaction::ReadOnly => "T",
            Transaction::Failed => "E",
        };
        let (term, number) = state.position(self.server);
        format!("READY {status} {term}.{number}\r\n")
    }

    /// Waits until the replicas have the commit; returns whether it may be acknowledged.
    fn wait_for_replicas(&self, count: usize, term: u64) -> bool {
        loop {
            let mut state = self.shared.state.lock().unwrap();
            state.advance();
            if state.term != term {
                return false;
            }
            if state.is_replicated(count) {
                return true;
            }
            drop(state);
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Returns the answer, or nothing if the server lost its lead before it could acknowledge a commit.
    fn run(&mut self, id: &str, text: &str) -> Option<String> {
        let shared = self.shared;
        let works = ["READ", "WRITE", "EXECUTE", "COMMIT", "WAITLSN"];
        if works.iter().any(|word| text.starts_with(word)) {
            thread::sleep(WORK_TIME);
        }
        let mut state = shared.state.lock().unwrap();
        state.advance();
        let outcome = self.execute(&mut state, id, text);
        let (lines, success) = match outcome {
            Ok(lines) => (lines, true),
            Err(code) => (format!("ERROR {code} {}\r\n", server_id(self.server)), false),
        };
        let ready = self.ready(&state);
        let term = state.term;
        drop(state);
        if let Some(count) = self.committed.take()
            && !self.wait_for_replicas(count, term)
        {
            shared.record.line(&format!("server {} ran {id}; no answer", server_id(self.server)));
            return None;
        }
        if id != "-" {
            shared.record.line(&format!(
                "server {} ran {id} {text} -> {} {}",
                server_id(self.server),
                if success { "success" } else { lines.trim_end() },
                ready.trim_end()
            ));
        }
        Some(lines + &ready)
    }

    /// Returns the lines of a success, or the code of the failure.
    fn execute(&mut self, state: &mut State, id: &str, text: &str) -> Result<String, String> {
        let leads = state.leader == self.server;
        let success = format!("COMPLETE {}.{id}\r\n", server_id(self.server));
        let own = "COMPLETE -\r\n".to_owned();
        let (text, wanted) = match text.strip_prefix("WAITLSN ") {
            Some(rest) => {
                let (position, rest) = rest.split_once(' ').ok_or("MALFORMED")?;
                let (term, number) = position.split_once('.').ok_or("MALFORMED")?;
                let number = number.parse().map_err(|_| "MALFORMED")?;
                (rest, Some((term.parse::<u64>().map_err(|_| "MALFORMED")?, number)))
            }
            None => (text, None),
        };
        if wanted.is_some_and(|wanted| state.position(self.server) < wanted) {
            return Err("LAGGING".to_owned());
        }
        let mut fields = text.splitn(3, ' ');
        let word = fields.next().unwrap_or_default();
        let mut rest = (fields.next().unwrap_or_default(), fields.next().unwrap_or_default());
        let mut access = word.to_owned();
        if word == "EXECUTE" {
            access = self.prepared.get(rest.0).cloned().ok_or("NOSTMT")?;
            rest = rest.1.split_once(' ').unwrap_or((rest.1, ""));
        }
        let lost_lead = self.transaction == Transaction::Plain && !leads;
        match access.as_str() {
            "RESET" => {
                self.prepared.clear();
                Ok(own)
            }
            "SET" => Ok(own),
            "PREPARE" => {
                let access = rest.1.split(' ').next().unwrap_or_default();
                self.prepared.insert(rest.0.to_owned(), access.to_owned());
                Ok(own)
            }
            "CLOSE" => Ok(own),
            "STATUS" | "PAUSE" | "RESUME" => {
                let term: u64 = rest.0.parse().unwrap_or(0);
                if word == "PAUSE" && !leads && term > state.term {
                    state.paused[self.server] = true;
                } else if word == "RESUME" {
                    state.paused[self.server] = false;
                }
                if word != "STATUS" {
                    let id = server_id(self.server);
                    shared_line(self.shared, &format!("server {id}: {text} from {}", self.host));
                }
                let role = if leads { "primary" } else { "replica" };
                let ((term, number), held) = (state.position(self.server), state.term);
                Ok(format!("DATAROW {role} {held} {term}.{number} 0 0 0 1\r\nCOMPLETE -\r\n"))
            }
            "ROLLBACK" => {
                self.transaction = Transaction::None;
                self.writes.clear();
                Ok(own)
            }
            "COMMIT" => {
                let failed = self.transaction == Transaction::Failed;
                self.transaction = Transaction::None;
                let writes = std::mem::take(&mut self.writes);
                if failed || (lost_lead && !writes.is_empty()) {
                    return Err(if failed { "ABORTED" } else { "READONLY" }.to_owned());
                }
                if !writes.is_empty() {
                    self.commit(state, id);
                }
                Ok(success)
            }
            _ if self.transaction == Transaction::Failed => Err("MALFORMED".to_owned()),
            _ if lost_lead => {
                self.transaction = Transaction::Failed;
                Err("READONLY".to_owned())
            }
            "BEGIN" if rest.0 == "READ" => {
                self.transaction = Transaction::ReadOnly;
                Ok(own)
            }
            "BEGIN" if !leads => Err("READONLY".to_owned()),
            "BEGIN" => {
                self.transaction = Transaction::Plain;
                Ok(own)
            }
            "READ" => {
                let missing = state.log[state.have[self.server]..].iter();
                let missing = missing.map(|entry| entry.id.clone()).collect();
                state.reads.insert(id.to_owned(), ReadRun { server: self.server, missing });
                Ok(format!("DATAROW d{}\r\n{success}", state.have[self.server]))
            }
            "WRITE" if !leads || self.transaction == Transaction::ReadOnly => {
                Err("READONLY".to_owned())
            }
            "WRITE" if self.transaction == Transaction::Plain => {
                self.writes.push(id.to_owned());
                Ok(success)
            }
            "WRITE" => {
                self.commit(state, id);
                Ok(success)
            }
            _ => Err("MALFORMED".to_owned()),
        }
    }

    fn commit(&mut self, state: &mut State, id: &str) {
        let entry = Entry { term: state.term, at: Instant::now(), id: id.to_owned() };
        state.log.push(entry);
        state.have[self.server] = state.log.len();
        self.committed = Some(state.log.len());
    }
}

fn shared_line(shared: &Shared, text: &str) {
    shared.record.line(text);
}
