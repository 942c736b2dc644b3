//! Prints what a committed change costs, and how long a restart takes.
//!
//! `cargo run --release -p banyansill-control --example log_cost`

use {
    banyansill_control::{
        command_log::CommandLog,
        replica::{InitialMember, ReplicaHandle, ReplicaSettings, server_builder},
        storage::StorageSettings,
    },
    banyansill_core::{
        names::SharedName,
        state_machine::{SnapshotError, StateMachine},
    },
    banyansill_runtime::events::EventSink,
    std::{
        error::Error,
        fs,
        path::Path,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        task::{Context, Poll},
        time::{Duration, Instant},
    },
    tokio::{
        io::{self, AsyncRead, AsyncWrite, ReadBuf},
        net::{TcpListener, TcpStream},
        task::{JoinHandle, JoinSet},
        time,
    },
    tokio_stream::{StreamExt, wrappers::TcpListenerStream},
    tonic::transport::server::Connected,
};

type AnyError = Box<dyn Error + Send + Sync>;

#[derive(Default)]
struct CountMachine(u64);

impl StateMachine for CountMachine {
    type Response = ();

    fn apply(&mut self, _index: u64, _command: &[u8]) {
        self.0 += 1;
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.to_le_bytes().to_vec()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), SnapshotError> {
        let bytes = snapshot.try_into().map_err(|_| SnapshotError("length".to_owned()))?;
        self.0 = u64::from_le_bytes(bytes);
        Ok(())
    }
}

/// Connection that counts the bytes of both directions.
struct CountedStream {
    stream: TcpStream,
    bytes: Arc<AtomicU64>,
}

impl Connected for CountedStream {
    type ConnectInfo = ();

    fn connect_info(&self) {}
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.bytes.fetch_add((buffer.filled().len() - before) as u64, Ordering::Relaxed);
        result
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, buffer);
        if let Poll::Ready(Ok(count)) = &result {
            self.bytes.fetch_add(*count as u64, Ordering::Relaxed);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

struct Cluster {
    handles: Vec<ReplicaHandle<CountMachine>>,
    servers: Vec<JoinHandle<()>>,
    network: Arc<AtomicU64>,
}

impl Cluster {
    async fn start(size: usize, folder: &Path) -> Result<Self, AnyError> {
        let network = Arc::new(AtomicU64::new(0));
        let mut members = Vec::new();
        let mut listeners = Vec::new();
        for number in 0..size {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let address = SharedName::from(listener.local_addr()?.to_string());
            members.push(InitialMember { host: format!("host-{number}").into(), address });
            listeners.push(listener);
        }
        let (mut handles, mut servers) = (Vec::new(), Vec::new());
        for (member, listener) in members.iter().zip(listeners) {
            let settings = settings(member, &members, folder);
            let sink = EventSink::new(member.host.clone());
            let handle = ReplicaHandle::spawn(settings, CountMachine::default(), sink)?;
            let service = handle.service().into_server();
            let bytes = network.clone();
            let incoming = TcpListenerStream::new(listener).map(move |stream| {
                let stream = stream?;
                stream.set_nodelay(true)?;
                Ok::<_, io::Error>(CountedStream { stream, bytes: bytes.clone() })
            });
            servers.push(tokio::spawn(async move {
                let router = server_builder().add_service(service);
                if let Err(error) = router.serve_with_incoming(incoming).await {
                    eprintln!("server: {error}");
                }
            }));
            handles.push(handle);
        }
        Ok(Self { handles, servers, network })
    }

    async fn leader(&self) -> ReplicaHandle<CountMachine> {
        loop {
            for handle in &self.handles {
                if handle.status().borrow().leading && handle.confirm().await.is_ok() {
                    return handle.clone();
                }
            }
            time::sleep(Duration::from_millis(5)).await;
        }
    }

    async fn stop(self) {
        for handle in &self.handles {
            handle.stop().await;
        }
        for server in self.servers {
            server.abort();
        }
    }
}

/// Settings that keep the whole log, so that its files show what was written.
fn settings(member: &InitialMember, members: &[InitialMember], folder: &Path) -> ReplicaSettings {
    let (host, address) = (member.host.clone(), member.address.clone());
    let own = folder.join(&*host);
    ReplicaSettings {
        initial_members: members.to_vec(),
        snapshot_entries: u64::MAX / 2,
        storage: StorageSettings { segment_bytes: 16 * 1024 * 1024 },
        ..ReplicaSettings::single(host, address, own)
    }
}

/// Processor time of the process's threads in nanoseconds.
fn processor_time() -> Result<u64, AnyError> {
    let mut total = 0;
    for task in fs::read_dir("/proc/self/task")? {
        let text = fs::read_to_string(task?.path().join("schedstat")).unwrap_or_default();
        total += text.split(' ').next().unwrap_or_default().parse::<u64>().unwrap_or(0);
    }
    Ok(total)
}

fn folder_bytes(folder: &Path) -> Result<u64, AnyError> {
    let mut total = 0;
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        let length = entry.metadata()?.len();
        total += if entry.metadata()?.is_dir() { folder_bytes(&entry.path())? } else { length };
    }
    Ok(total)
}

async fn measure_changes(size: usize, bytes: usize, callers: usize) -> Result<(), AnyError> {
    let folder = tempfile::tempdir()?;
    let cluster = Cluster::start(size, folder.path()).await?;
    let leader = cluster.leader().await;
    let each = 4_000 / callers;
    let count = (each * callers) as f64;
    let disk = folder_bytes(folder.path())?;
    let network = cluster.network.load(Ordering::Relaxed);
    let processor = processor_time()?;
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    for _ in 0..callers {
        let leader = leader.clone();
        tasks.spawn(async move {
            for _ in 0..each {
                leader.propose(vec![7; bytes]).await?;
            }
            Ok::<_, AnyError>(())
        });
    }
    while let Some(result) = tasks.join_next().await {
        result??;
    }
    let elapsed = start.elapsed();
    let processor = (processor_time()? - processor) as f64 / 1_000.0 / count;
    let disk = (folder_bytes(folder.path())? - disk) as f64 / count / size as f64;
    let network = (cluster.network.load(Ordering::Relaxed) - network) as f64 / count;
    println!(
        "{size:>8} {bytes:>8} {callers:>8} {:>10.0} {:>10.0} {disk:>14.0} {network:>14.0} {processor:>14.1}",
        count / elapsed.as_secs_f64(),
        elapsed.as_secs_f64() * 1e6 / each as f64,
    );
    cluster.stop().await;
    Ok(())
}

async fn measure_idle(size: usize) -> Result<(), AnyError> {
    let folder = tempfile::tempdir()?;
    let cluster = Cluster::start(size, folder.path()).await?;
    cluster.leader().await;
    let network = cluster.network.load(Ordering::Relaxed);
    let processor = processor_time()?;
    let start = Instant::now();
    time::sleep(Duration::from_secs(5)).await;
    let seconds = start.elapsed().as_secs_f64();
    let busy = (processor_time()? - processor) as f64 / 1e9 / seconds / size as f64;
    let bytes = (cluster.network.load(Ordering::Relaxed) - network) as f64 / seconds;
    println!("{size:>8} {:>16.3} {bytes:>16.0}", busy * 100.0);
    cluster.stop().await;
    Ok(())
}

async fn measure_restart(entries: usize) -> Result<(), AnyError> {
    let folder = tempfile::tempdir()?;
    let cluster = Cluster::start(1, folder.path()).await?;
    let leader = cluster.leader().await;
    let mut left = entries;
    while left > 0 {
        let count = left.min(1_000);
        let mut tasks = JoinSet::new();
        for _ in 0..count {
            let leader = leader.clone();
            tasks.spawn(async move { leader.propose(vec![7; 100]).await.map(|_| ()) });
        }
        while let Some(result) = tasks.join_next().await {
            result??;
        }
        left -= count;
    }
    cluster.stop().await;
    let bytes = folder_bytes(folder.path())?;
    let processor = processor_time()?;
    let start = Instant::now();
    let cluster = Cluster::start(1, folder.path()).await?;
    let opened = start.elapsed();
    cluster.leader().await;
    let served = start.elapsed();
    let processor = (processor_time()? - processor) as f64 / 1e6;
    println!(
        "{entries:>8} {bytes:>12} {:>12.2} {:>12.2} {processor:>14.2}",
        opened.as_secs_f64() * 1e3,
        served.as_secs_f64() * 1e3
    );
    cluster.stop().await;
    Ok(())
}

#[tokio::main]
async fn main() -> Result<(), AnyError> {
    println!("cost of a committed change; all replicas share this process and disk");
    println!(
        "{:>8} {:>8} {:>8} {:>10} {:>10} {:>14} {:>14} {:>14}",
        "replicas",
        "bytes",
        "callers",
        "changes/s",
        "us/change",
        "disk B/replica",
        "network B",
        "processor us"
    );
    for size in [1, 3] {
        for bytes in [100, 1_000] {
            for callers in [1, 16, 256] {
                measure_changes(size, bytes, callers).await?;
            }
        }
    }
    println!("\ncost without changes");
    println!("{:>8} {:>16} {:>16}", "replicas", "% core/replica", "network B/s");
    for size in [1, 3] {
        measure_idle(size).await?;
    }
    println!("\nrestart of a single replica without a snapshot, entries of 100 bytes");
    println!(
        "{:>8} {:>12} {:>12} {:>12} {:>14}",
        "entries", "log bytes", "open ms", "serving ms", "processor ms"
    );
    for entries in [10, 100, 1_000, 10_000, 100_000] {
        measure_restart(entries).await?;
    }
    Ok(())
}
