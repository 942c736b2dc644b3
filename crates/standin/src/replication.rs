//! Replication over TCP: frames of a four-byte length and JSON.

use {
    crate::{
        group::{GroupImage, GroupRole, GroupState, LogEntry, LogHistory},
        shared::SharedServer,
    },
    banyansill_runtime::clock::wall_millis,
    bytes::{Buf, BufMut, BytesMut},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::watch,
        time::{sleep, timeout},
    },
};

/// Changes after which a frame ends; a transaction is never split.
const BATCH_CHANGES: usize = 1_000;

/// Interval of the marks that tell an idle replica how fresh it is.
const MARK_INTERVAL: Duration = Duration::from_millis(50);

/// Silence of the primary after which a replica connects again; several marks fit into it.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_000);

/// Pause before a replica connects again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Largest frame; a larger transaction or image cannot be replicated.
const FRAME_LIMIT: usize = 256 * 1024 * 1024;

/// First message of a replica.
#[derive(Debug, Serialize, Deserialize)]
struct ReplicaHello {
    term: u64,
    history: LogHistory,
    /// Whether the log cannot be continued and everything has to be sent.
    needs_image: bool,
}

/// Message of a primary.
#[derive(Debug, Serialize, Deserialize)]
enum PrimaryMessage {
    /// The replica continues after the offset.
    Start { term: u64, common: u64 },
    /// The replica replaces everything and continues after the image.
    Image(Box<GroupImage>),
    /// The server cannot be followed.
    Refused { reason: String },
    /// Next entries.
    Entries(Vec<Arc<LogEntry>>),
    /// The log ends at the offset at the primary's time.
    Mark { now_ms: u64, end: u64 },
}

/// Serves replicas until the server ends.
pub async fn serve(shared: Arc<SharedServer>, listener: TcpListener) {
    let mut ended = shared.ended.subscribe();
    loop {
        tokio::select! {
            _ = ended.wait_for(|ended| *ended) => return,
            accepted = listener.accept() => {
                let Ok((stream, peer)) = accepted else { continue };
                let shared = shared.clone();
                tokio::spawn(async move {
                    let mut ended = shared.ended.subscribe();
                    tokio::select! {
                        _ = ended.wait_for(|ended| *ended) => {}
                        result = feed(&shared, stream) => {
                            if let Err(error) = result {
                                log::debug!("{}: replica {peer}: {error}", shared.settings.server);
                            }
                        }
                    }
                });
            }
        }
    }
}

async fn feed(shared: &SharedServer, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = BytesMut::new();
    let mut isolated = shared.faults.isolated.subscribe();
    let mut changed = shared.changed.subscribe();
    let hello: ReplicaHello = receive(&mut stream, &mut buffer).await?;
    let (start, epoch) = {
        let state = shared.read();
        (start_message(&state, &hello), state.epoch)
    };
    isolated.wait_for(|isolated| !*isolated).await.map_err(io::Error::other)?;
    send(&mut stream, &start).await?;
    let mut sent = match start {
        PrimaryMessage::Start { common, .. } => common,
        PrimaryMessage::Image(image) => image.position.offset,
        _ => return Ok(()),
    };
    loop {
        isolated.wait_for(|isolated| !*isolated).await.map_err(io::Error::other)?;
        changed.mark_unchanged();
        let (entries, end) = {
            let state = shared.read();
            if state.epoch != epoch {
                return Ok(());
            }
            let Some(entries) = state.entries_after(sent, BATCH_CHANGES) else {
                return Err(io::Error::other("the entries are not kept any more"));
            };
            (entries, state.log_end())
        };
        sent += entries.len() as u64;
        if !entries.is_empty() {
            send(&mut stream, &PrimaryMessage::Entries(entries)).await?;
        }
        if sent < end {
            continue;
        }
        // Read before the log's end, so that every commit up to this time has been sent.
        send(&mut stream, &mark(shared, sent)).await?;
        tokio::select! {
            _ = changed.changed() => {}
            () = sleep(MARK_INTERVAL) => {}
            // A replica sends nothing more, so this ends when it closes the connection.
            _ = stream.read_buf(&mut buffer) => return Ok(()),
        }
    }
}

fn mark(shared: &SharedServer, sent: u64) -> PrimaryMessage {
    let state = shared.read();
    // Commits take the write lock and read their time in it, so none is before this one.
    let now_ms = if state.log_end() == sent { wall_millis().saturating_sub(1) } else { 0 };
    PrimaryMessage::Mark { now_ms, end: sent }
}

fn start_message(state: &GroupState, hello: &ReplicaHello) -> PrimaryMessage {
    let refuse = |reason: String| PrimaryMessage::Refused { reason };
    if state.role != GroupRole::Primary {
        return refuse("not a primary".to_owned());
    }
    if hello.term > state.term {
        return refuse(format!("the replica knows the later term {}", hello.term));
    }
    let own = state.history();
    let common = own.common_end(&hello.history);
    // Only a later term may replace entries; otherwise this server has lost its memory.
    let last = hello.history.spans.last().map_or(0, |span| span.start.term.0);
    if hello.history.end > common && last >= state.term {
        return refuse(format!("the replica has entries of term {last} that are unknown here"));
    }
    if hello.needs_image || state.entries_after(common, 0).is_none() {
        return PrimaryMessage::Image(Box::new(state.image()));
    }
    PrimaryMessage::Start { term: state.term, common }
}

/// Follows the primary that the server has been told, until the server ends.
pub async fn follow(shared: Arc<SharedServer>) {
    let mut ended = shared.ended.subscribe();
    let mut changed = shared.changed.subscribe();
    let mut heard = shared.heard.subscribe();
    tokio::select! {
        _ = ended.wait_for(|ended| *ended) => return,
        _ = heard.wait_for(|heard| *heard) => {}
    }
    loop {
        changed.mark_unchanged();
        let (target, epoch) = {
            let state = shared.read();
            (state.role, state.epoch)
        };
        let GroupRole::Replica(Some(primary)) = target else {
            tokio::select! {
                _ = ended.wait_for(|ended| *ended) => return,
                _ = changed.changed() => continue,
            }
        };
        tokio::select! {
            _ = ended.wait_for(|ended| *ended) => return,
            () = epoch_end(&shared, epoch) => continue,
            result = pull(&shared, primary, epoch) => {
                if let Err(error) = result {
                    log::debug!("{}: primary {primary}: {error}", shared.settings.server);
                }
            }
        }
        sleep(RETRY_PAUSE).await;
    }
}

async fn epoch_end(shared: &SharedServer, epoch: u64) {
    let mut changed = shared.changed.subscribe();
    while shared.read().epoch == epoch {
        if changed.changed().await.is_err() {
            return;
        }
    }
}

async fn pull(shared: &SharedServer, primary: SocketAddr, epoch: u64) -> io::Result<()> {
    let mut isolated = shared.faults.isolated.subscribe();
    wait_connected(&mut isolated).await?;
    let mut stream = timeout(SILENCE_LIMIT, TcpStream::connect(primary)).await??;
    stream.set_nodelay(true)?;
    let hello = {
        let state = shared.read();
        ReplicaHello { term: state.term, history: state.history(), needs_image: state.needs_image }
    };
    send(&mut stream, &hello).await?;
    let mut buffer = BytesMut::new();
    loop {
        wait_connected(&mut isolated).await?;
        let message = receive(&mut stream, &mut buffer).await?;
        wait_connected(&mut isolated).await?;
        if let PrimaryMessage::Image(image) = &message {
            wait_due(shared, image).await;
        }
        let mut state = shared.write();
        if state.epoch != epoch {
            return Ok(());
        }
        match message {
            PrimaryMessage::Refused { reason } => return Err(io::Error::other(reason)),
            PrimaryMessage::Start { term, common } => {
                if term < state.term {
                    return Err(io::Error::other("the primary has an older term"));
                }
                state.adopt_term(term);
                let server = &shared.settings.server;
                let surplus = state.log_end().saturating_sub(common);
                if surplus > 0 {
                    log::info!("{server}: {surplus} entries after {common} are not the primary's");
                }
                if !state.truncate(common) {
                    state.needs_image = true;
                    return Err(io::Error::other("the log cannot be cut, an image is needed"));
                }
            }
            PrimaryMessage::Image(image) => {
                if image.position.term.0 < state.term {
                    return Err(io::Error::other("the primary has an older term"));
                }
                state.adopt_term(image.position.term.0);
                state.install(*image);
            }
            PrimaryMessage::Entries(entries) => {
                for entry in entries {
                    if !state.receive(entry) {
                        return Err(io::Error::other("entries are missing"));
                    }
                }
            }
            PrimaryMessage::Mark { now_ms, end } => state.receive_mark(now_ms, end),
        }
        drop(state);
        shared.notify();
    }
}

/// Applies entries when their lag has passed, until the server ends.
pub async fn apply(shared: Arc<SharedServer>) {
    let mut ended = shared.ended.subscribe();
    let mut changed = shared.changed.subscribe();
    loop {
        changed.mark_unchanged();
        let next = shared.write().apply_due(wall_millis());
        let wait = async {
            match next {
                Some(due) => sleep(Duration::from_millis(due.saturating_sub(wall_millis()))).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            _ = ended.wait_for(|ended| *ended) => return,
            _ = changed.changed() => {}
            () = wait => {}
        }
    }
}

/// Waits until an image may become visible; the lag may change meanwhile.
async fn wait_due(shared: &SharedServer, image: &GroupImage) {
    let mut changed = shared.changed.subscribe();
    loop {
        changed.mark_unchanged();
        let due = shared.read().image_due(image);
        let left = due.saturating_sub(wall_millis());
        if left == 0 {
            return;
        }
        tokio::select! {
            () = sleep(Duration::from_millis(left)) => {}
            _ = changed.changed() => {}
        }
    }
}

async fn wait_connected(isolated: &mut watch::Receiver<bool>) -> io::Result<()> {
    isolated.wait_for(|isolated| !*isolated).await.map_err(io::Error::other)?;
    Ok(())
}

async fn send<T>(stream: &mut TcpStream, message: &T) -> io::Result<()>
where
    T: Serialize,
{
    let body = serde_json::to_vec(message)?;
    if body.len() > FRAME_LIMIT {
        log::warn!("a replication message of {} bytes cannot be sent", body.len());
        return Err(io::Error::other("frame is too long"));
    }
    let length = u32::try_from(body.len()).map_err(io::Error::other)?;
    let mut frame = BytesMut::with_capacity(body.len() + 4);
    frame.put_u32(length);
    frame.put_slice(&body);
    stream.write_all(&frame).await
}

async fn receive<T>(stream: &mut TcpStream, buffer: &mut BytesMut) -> io::Result<T>
where
    T: DeserializeOwned,
{
    loop {
        if let Some(header) = buffer.first_chunk::<4>() {
            let length = u32::from_be_bytes(*header) as usize;
            if length > FRAME_LIMIT {
                return Err(io::Error::other("frame is too long"));
            }
            if buffer.len() >= length + 4 {
                buffer.advance(4);
                let body = buffer.split_to(length);
                return Ok(serde_json::from_slice(&body)?);
            }
        }
        // The limit is on each read, since an image takes longer as a whole.
        if timeout(SILENCE_LIMIT, stream.read_buf(buffer)).await?? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}
