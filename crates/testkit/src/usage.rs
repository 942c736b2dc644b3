//! Processor time, memory and network bytes of the running process, for measuring programs.

use {
    std::{
        fs, io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::JoinHandle,
    },
};

/// Size of the buffer of one direction of a counted connection.
const COPY_SIZE: usize = 16 * 1024;

/// Returns the processor time of the live threads whose name passes `chosen`.
///
/// Threads that have ended are not counted, so measured threads must outlive the measurement.
///
/// # Errors
///
/// Returns an error if `/proc/self/task` cannot be listed.
pub fn processor_time<F>(chosen: F) -> io::Result<Duration>
where
    F: Fn(&str) -> bool,
{
    let mut total = 0;
    for task in fs::read_dir("/proc/self/task")? {
        let folder = task?.path();
        let name = fs::read_to_string(folder.join("comm")).unwrap_or_default();
        if !chosen(name.trim_end()) {
            continue;
        }
        let text = fs::read_to_string(folder.join("schedstat")).unwrap_or_default();
        total += text.split(' ').next().unwrap_or_default().parse::<u64>().unwrap_or(0);
    }
    Ok(Duration::from_nanos(total))
}

/// Returns the resident memory of the process in bytes.
///
/// Reads `smaps_rollup`, because the counters behind `VmRSS` are updated in batches per thread.
///
/// # Errors
///
/// Returns an error if `/proc/self/smaps_rollup` cannot be read.
pub fn resident_bytes() -> io::Result<u64> {
    let text = fs::read_to_string("/proc/self/smaps_rollup")?;
    for line in text.lines() {
        let Some(rest) = line.strip_prefix("Rss:") else { continue };
        let kilobytes = rest.trim().trim_end_matches(" kB").parse::<u64>();
        return kilobytes.map(|value| value * 1024).map_err(io::Error::other);
    }
    Err(io::Error::other("smaps_rollup names no Rss"))
}

/// Returns the middle value; zero for an empty list.
#[must_use]
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}

/// TCP path to a server that counts the bytes of both directions.
#[derive(Debug)]
pub struct CountedPath {
    address: SocketAddr,
    bytes: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl CountedPath {
    /// Opens a listener on loopback that forwards each connection to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener cannot be opened.
    pub async fn open(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let bytes = Arc::new(AtomicU64::new(0));
        let task = tokio::spawn(accept(listener, target, Arc::clone(&bytes)));
        Ok(Self { address, bytes, task })
    }

    /// Returns the address that clients connect to.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the bytes of both directions so far.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

impl Drop for CountedPath {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, bytes: Arc<AtomicU64>) {
    while let Ok((client, _)) = listener.accept().await {
        let bytes = Arc::clone(&bytes);
        tokio::spawn(async move {
            let Ok(server) = TcpStream::connect(target).await else { return };
            let _ = (client.set_nodelay(true), server.set_nodelay(true));
            let (client_input, client_output) = client.into_split();
            let (server_input, server_output) = server.into_split();
            tokio::join!(
                copy(client_input, server_output, &bytes),
                copy(server_input, client_output, &bytes),
            );
        });
    }
}

async fn copy<R, W>(mut input: R, mut output: W, bytes: &AtomicU64)
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut buffer = vec![0; COPY_SIZE];
    while let Ok(count) = input.read(&mut buffer).await {
        if count == 0 || output.write_all(&buffer[..count]).await.is_err() {
            break;
        }
        bytes.fetch_add(count as u64, Ordering::Relaxed);
    }
    let _ = output.shutdown().await;
}
