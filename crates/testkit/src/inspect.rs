//! What a running cluster reports: log lines and events, control's status, each server's own status.

use {
    crate::cluster::{DATABASE, TestCluster, connect},
    banyansill_wire::v1::{
        DatabaseView, StatusReply, StatusRequest, control_client::ControlClient,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        fs::{self, File},
        io::{self, Read, Seek, SeekFrom},
        net::SocketAddr,
        path::{Path, PathBuf},
        time::{Duration, Instant},
    },
    tokio::time::{sleep, timeout},
};

/// Interval at which log files are read; a fault is injected this soon after the line it waits for.
const READ_INTERVAL: Duration = Duration::from_millis(2);

/// Interval at which a status is asked for.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time that a process gets to answer; a paused one accepts connections and never answers.
const ANSWER_LIMIT: Duration = Duration::from_secs(2);

/// Line of a log file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// Name of the host or server that wrote it.
    pub source: String,
    /// The line.
    pub text: String,
}

impl LogLine {
    /// Returns whether the line is the event with this number.
    #[must_use]
    pub fn is_event(&self, number: u16) -> bool {
        self.text.contains(&format!(" BS{number:03} "))
    }

    /// Returns the value of an event's field.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut words = self.text.split_whitespace();
        words.find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
    }

    /// Returns the term of which a stand-in server says that it is primary.
    #[must_use]
    pub fn promoted_term(&self) -> Option<u64> {
        let (_, rest) = self.text.split_once(": primary of term ")?;
        rest.split(' ').next()?.parse().ok()
    }
}

/// Reader of all log files of a cluster; files outlive their processes.
#[derive(Debug)]
pub struct LogWatch {
    folder: PathBuf,
    offsets: BTreeMap<PathBuf, u64>,
    lines: Vec<LogLine>,
}

impl LogWatch {
    /// Creates a reader for the log files in a cluster's folder.
    #[must_use]
    pub fn new(folder: &Path) -> Self {
        Self { folder: folder.to_owned(), offsets: BTreeMap::new(), lines: Vec::new() }
    }

    /// Reads what was written since the last call and returns the number of lines read so far.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be read.
    pub fn read(&mut self) -> io::Result<usize> {
        for file in fs::read_dir(&self.folder)? {
            let path = file?.path();
            if path.extension().is_none_or(|extension| extension != "log") {
                continue;
            }
            let offset = self.offsets.entry(path.clone()).or_default();
            let mut file = File::open(&path)?;
            file.seek(SeekFrom::Start(*offset))?;
            let mut bytes = Vec::new();
            file.read_to_end(&mut bytes)?;
            // The rest of a line that is still being written is read next time.
            let Some(end) = bytes.iter().rposition(|byte| *byte == b'\n') else { continue };
            *offset += u64::try_from(end + 1).unwrap_or_default();
            let source = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
            for line in String::from_utf8_lossy(&bytes[..end]).lines() {
                self.lines.push(LogLine { source: source.clone(), text: line.to_owned() });
            }
        }
        Ok(self.lines.len())
    }

    /// Returns the lines read so far, in the order of reading.
    #[must_use]
    pub fn lines(&self) -> &[LogLine] {
        &self.lines
    }

    /// Waits for a line after the first `since` ones that `wanted` accepts.
    ///
    /// # Errors
    ///
    /// Returns an error if there is none within `limit` or a file cannot be read.
    pub async fn wait<F>(&mut self, since: usize, limit: Duration, wanted: F) -> io::Result<LogLine>
    where
        F: Fn(&LogLine) -> bool,
    {
        let end = Instant::now() + limit;
        let mut seen = since;
        loop {
            let count = self.read()?;
            if let Some(line) = self.lines[seen..].iter().find(|line| wanted(line)) {
                return Ok(line.clone());
            }
            seen = count;
            if Instant::now() > end {
                return Err(io::Error::new(io::ErrorKind::TimedOut, "the line was not logged"));
            }
            sleep(READ_INTERVAL).await;
        }
    }

    /// Returns the servers that acknowledged writes, became primary or were put in force, by term.
    #[must_use]
    pub fn servers_by_term(&self) -> BTreeMap<u64, BTreeSet<String>> {
        let mut terms: BTreeMap<u64, BTreeSet<String>> = BTreeMap::new();
        for line in &self.lines {
            if let Some(term) = line.promoted_term() {
                terms.entry(term).or_default().insert(line.source.clone());
            }
            if !line.is_event(406) && !line.is_event(407) {
                continue;
            }
            let term = line.field("term").and_then(|term| term.parse().ok());
            let (Some(term), Some(server)) = (term, line.field("server")) else { continue };
            terms.entry(term).or_default().insert(server.to_owned());
        }
        terms
    }
}

/// What a server says about itself, asked past the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetStatus {
    /// Whether it acts as a primary.
    pub primary: bool,
    /// Its term.
    pub term: u64,
    /// Last entry in its log: term and offset.
    pub received: (u64, u64),
    /// Most connections that were open at a time.
    pub max_connections: u64,
    /// When the last statement that takes a slot began, in milliseconds since the epoch.
    pub last_statement_ms: u64,
    /// Connections that it refused because its limit was reached.
    pub refused_connections: u64,
}

/// Asks a server for its status.
///
/// # Errors
///
/// Returns an error if it does not answer in time.
pub async fn target_status(address: SocketAddr) -> io::Result<TargetStatus> {
    let query = "SELECT role, term, received, max_connections, last_statement_ms, \
                 refused_connections FROM group_status()";
    let answer = timeout(ANSWER_LIMIT, async {
        let client = connect(address, "test").await?;
        client.query_one(query, &[]).await
    });
    let row = answer.await.map_err(io::Error::other)?.map_err(io::Error::other)?;
    let whole = |column: usize| u64::try_from(row.get::<_, i64>(column)).unwrap_or_default();
    let received: String = row.get(2);
    let (term, offset) = received.split_once(':').unwrap_or_default();
    Ok(TargetStatus {
        primary: row.get::<_, String>(0) == "primary",
        term: whole(1),
        received: (term.parse().unwrap_or_default(), offset.parse().unwrap_or_default()),
        max_connections: whole(3),
        last_statement_ms: whole(4),
        refused_connections: whole(5),
    })
}

impl TestCluster {
    /// Asks the control replicas until the leader answers with a confirmed status.
    ///
    /// # Errors
    ///
    /// Returns an error if none does within `limit`.
    pub async fn status(&self, limit: Duration) -> io::Result<StatusReply> {
        let end = Instant::now() + limit;
        loop {
            for control in &self.controls {
                let request = StatusRequest { confirmed: true, outlook_of: String::new() };
                let answer = timeout(ANSWER_LIMIT, async {
                    let url = format!("http://{}", control.address);
                    let mut client = ControlClient::connect(url).await.ok()?;
                    client.status(request).await.ok()
                });
                if let Ok(Some(reply)) = answer.await {
                    return Ok(reply.into_inner());
                }
            }
            if Instant::now() > end {
                return Err(io::Error::new(io::ErrorKind::TimedOut, "no control leader answers"));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns control's view of the cluster's one group.
    ///
    /// # Errors
    ///
    /// Returns an error if no control leader answers within `limit` or it knows no group.
    pub async fn group(&self, limit: Duration) -> io::Result<DatabaseView> {
        let status = self.status(limit).await?;
        let mut groups = status.databases.into_iter();
        let group = groups.find(|group| group.database == DATABASE);
        group.ok_or_else(|| io::Error::other("the group is unknown"))
    }

    /// Waits until a primary is in force, every server is live, has a broker and holds at least what
    /// the primary held, and every entry serves callers.
    ///
    /// # Errors
    ///
    /// Returns an error if this does not happen within `limit`.
    pub async fn wait_settled(&self, limit: Duration) -> io::Result<()> {
        let end = Instant::now() + limit;
        loop {
            let group = self.group(limit).await?;
            let unsettled = match self.unsettled(&group).await {
                None => break,
                Some(reason) => reason,
            };
            if Instant::now() > end {
                return Err(io::Error::new(io::ErrorKind::TimedOut, unsettled));
            }
            sleep(POLL_INTERVAL).await;
        }
        for entry in 0..self.entries.len() {
            self.wait_serving(entry).await?;
        }
        Ok(())
    }

    async fn unsettled(&self, group: &DatabaseView) -> Option<String> {
        if group.closed || group.primary.is_empty() {
            return Some(format!("no primary is in force: {group:?}"));
        }
        for server in &group.servers {
            if !server.live || server.broker.is_empty() {
                return Some(format!("a server is not live or has no broker: {server:?}"));
            }
        }
        let primary = self.targets.iter().find(|target| target.name == group.primary)?;
        let Ok(primary) = target_status(primary.address).await else {
            return Some("the primary does not answer".to_owned());
        };
        for target in &self.targets {
            let Ok(status) = target_status(target.address).await else {
                return Some(format!("{} does not answer", target.name));
            };
            if status.term != group.term || status.received < primary.received {
                return Some(format!("{} lags behind: {status:?} {primary:?}", target.name));
            }
        }
        None
    }
}
