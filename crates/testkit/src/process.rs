//! Processes that a test starts and ends.

use {
    nix::{
        sys::signal::{Signal, kill},
        unistd::Pid,
    },
    std::{
        fs::File,
        io,
        net::{Ipv4Addr, SocketAddr, TcpListener},
        path::{Path, PathBuf},
        process::{Child, Command, ExitStatus, Stdio},
        sync::{Mutex, PoisonError},
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Interval at which a wait looks again.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Process started by a test; dropping it kills the process.
#[derive(Debug)]
#[must_use]
pub struct TestProcess {
    child: Child,
    log: PathBuf,
}

impl TestProcess {
    /// Starts one of the workspace's binaries; its output goes to a log file in `folder`.
    ///
    /// # Errors
    ///
    /// Returns an error if the binary is not built or cannot be started.
    pub fn spawn(binary: &str, name: &str, folder: &Path, arguments: &[&str]) -> io::Result<Self> {
        let log = folder.join(format!("{name}.log"));
        let output = File::options().create(true).append(true).open(&log)?;
        let child = Command::new(binary_path(binary)?)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        Ok(Self { child, log })
    }

    /// Returns the path of the log file.
    #[must_use]
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Ends the process at once, as a host failure does.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks the process to stop.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Suspends the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn pause(&self) -> io::Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// Lets a suspended process go on.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn resume(&self) -> io::Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Waits for the process to end.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not end within `limit`.
    pub async fn wait(&mut self, limit: Duration) -> io::Result<ExitStatus> {
        let end = Instant::now() + limit;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if Instant::now() > end {
                return Err(io::Error::new(io::ErrorKind::TimedOut, "process still runs"));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        let id = i32::try_from(self.child.id()).map_err(io::Error::other)?;
        kill(Pid::from_raw(id), signal).map_err(io::Error::from)
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        let _ = self.resume();
        self.kill();
    }
}

/// Returns the path of a binary that the same build made.
///
/// # Errors
///
/// Returns an error if the binary is not built.
pub fn binary_path(binary: &str) -> io::Result<PathBuf> {
    let test = std::env::current_exe()?;
    for folder in test.ancestors().skip(1).take(2) {
        let path = folder.join(binary);
        if path.is_file() {
            return Ok(path);
        }
    }
    let message = format!("{binary} is not built; run the tests with cargo test --workspace");
    Err(io::Error::new(io::ErrorKind::NotFound, message))
}

/// First port that is handed out, and their number.
///
/// They lie below the range from which the system takes ports of outgoing connections; a port from
/// that range could be taken again before the process that it is meant for binds it.
const PORTS: (u16, u16) = (20_000, 12_000);

/// Ports of one block.
///
/// A test program claims whole blocks, because the port of a process that it has killed is free until the
/// process starts again, and another program's cluster could take it meanwhile.
const BLOCK_PORTS: u16 = 120;

/// Blocks of ports that this process has claimed.
static PORT_BLOCKS: Mutex<PortBlocks> = Mutex::new(PortBlocks { claims: Vec::new(), next: 0 });

#[derive(Debug)]
struct PortBlocks {
    /// Listeners on the first port of each claimed block, kept until the process ends.
    claims: Vec<TcpListener>,
    /// Next port within the block claimed last.
    next: u16,
}

impl PortBlocks {
    fn claim(&mut self) -> io::Result<()> {
        let (first, count) = PORTS;
        for block in 0..count / BLOCK_PORTS {
            let port = first + block * BLOCK_PORTS;
            let Ok(listener) = TcpListener::bind((Ipv4Addr::LOCALHOST, port)) else { continue };
            self.claims.push(listener);
            self.next = 1;
            return Ok(());
        }
        Err(io::Error::new(io::ErrorKind::AddrInUse, "no port is free"))
    }

    fn next_address(&mut self) -> io::Result<SocketAddr> {
        loop {
            if self.claims.is_empty() || self.next == BLOCK_PORTS {
                self.claim()?;
            }
            let Some(claim) = self.claims.last() else { continue };
            let port = claim.local_addr()?.port() + self.next;
            self.next += 1;
            if let Ok(listener) = TcpListener::bind((Ipv4Addr::LOCALHOST, port)) {
                return listener.local_addr();
            }
        }
    }
}

/// Returns a loopback address whose port is free and is handed out to no other test program.
///
/// # Errors
///
/// Returns an error if no port is free.
pub fn free_address() -> io::Result<SocketAddr> {
    PORT_BLOCKS.lock().unwrap_or_else(PoisonError::into_inner).next_address()
}

/// Returns the lines of the system's table of TCP sockets whose local or remote port is `port`; the fourth field is the
/// state, `0A` for a listener.
#[must_use]
pub fn port_holders(port: u16) -> String {
    let suffix = format!(":{port:04X}");
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let mut holders = Vec::new();
    for line in table.lines() {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let [_, local, remote, state, ..] = fields[..] else { continue };
        let has_port = local.ends_with(&suffix) || remote.ends_with(&suffix);
        // A connection that has ended (TIME_WAIT) holds no port back.
        if has_port && state != "06" {
            holders.push(line.trim());
        }
    }
    holders.join("\n")
}
