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
        sync::atomic::{AtomicU16, Ordering},
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

/// Ports handed out by this process.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Returns a loopback address whose port is free and is not handed out again for a long time.
///
/// # Errors
///
/// Returns an error if no port is free.
pub fn free_address() -> io::Result<SocketAddr> {
    let (first, count) = PORTS;
    // Test programs that run at the same time start in different places.
    let start = u16::try_from(std::process::id() % 97).unwrap_or_default() * 120;
    for _ in 0..count {
        let step = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = first + start.wrapping_add(step) % count;
        if let Ok(listener) = TcpListener::bind((Ipv4Addr::LOCALHOST, port)) {
            return listener.local_addr();
        }
    }
    Err(io::Error::new(io::ErrorKind::AddrInUse, "no port is free"))
}
