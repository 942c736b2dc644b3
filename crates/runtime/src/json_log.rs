//! Log lines as JSON on standard output, written by a dedicated thread.
//!
//! If the thread falls behind, lines are dropped and counted, so that logging never delays a request.

use {
    crate::clock::wall_millis,
    banyansill_core::event::EventNumber,
    flexi_logger::{DeferredNow, writers::LogWriter},
    log::{
        Record,
        kv::{Error, Key, Value, VisitSource},
    },
    serde_json::{Map, Value as JsonValue},
    std::{
        io::{self, Write},
        sync::{
            Mutex, PoisonError,
            atomic::{AtomicU64, Ordering},
            mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel},
        },
        thread::{self, JoinHandle},
        time::Duration,
    },
};

/// Maximum number of lines queued for the thread; at 500 bytes each they take 2 MB.
const LINE_QUEUE_CAPACITY: usize = 4_096;

/// Time for which lines are collected before they are written with one system call.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout for the last lines to be written when the process stops.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

enum Job {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// Writer of JSON lines.
#[derive(Debug)]
pub(crate) struct JsonWriter {
    host: String,
    jobs: SyncSender<Job>,
    dropped: AtomicU64,
    thread: Mutex<Option<JoinHandle<()>>>,
}

impl JsonWriter {
    /// Starts the thread that writes to standard output.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub(crate) fn spawn(host: &str) -> io::Result<Self> {
        let (jobs, queue) = sync_channel(LINE_QUEUE_CAPACITY);
        let thread = thread::Builder::new().name("log".to_owned()).spawn(move || run(&queue))?;
        Ok(Self {
            host: host.to_owned(),
            jobs,
            dropped: AtomicU64::new(0),
            thread: Mutex::new(Some(thread)),
        })
    }

    fn enqueue(&self, line: Vec<u8>) {
        if matches!(self.jobs.try_send(Job::Line(line)), Err(TrySendError::Full(_))) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Logs the number of lines dropped since the last such report, if any.
    fn report_dropped(&self) {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped == 0 {
            return;
        }
        let mut line = Map::new();
        line.insert("time_ms".to_owned(), wall_millis().into());
        line.insert("level".to_owned(), "WARN".into());
        line.insert("host".to_owned(), self.host.as_str().into());
        line.insert("event".to_owned(), EventNumber::LinesDropped.to_string().into());
        line.insert("lines".to_owned(), dropped.into());
        self.enqueue(encode(&line));
    }

    fn flush_queue(&self) {
        let (done, written) = sync_channel(1);
        if self.jobs.try_send(Job::Flush(done)).is_ok() {
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

impl LogWriter for JsonWriter {
    fn write(&self, _now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        self.report_dropped();
        let mut line = Map::new();
        line.insert("time_ms".to_owned(), wall_millis().into());
        line.insert("level".to_owned(), record.level().as_str().into());
        line.insert("host".to_owned(), self.host.as_str().into());
        line.insert("target".to_owned(), record.target().into());
        let text = record.args().to_string();
        if !text.is_empty() {
            line.insert("text".to_owned(), text.into());
        }
        let _ = record.key_values().visit(&mut FieldVisitor(&mut line));
        self.enqueue(encode(&line));
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        self.flush_queue();
        Ok(())
    }

    fn shutdown(&self) {
        self.flush_queue();
        drop(self.thread.lock().unwrap_or_else(PoisonError::into_inner).take());
    }
}

struct FieldVisitor<'a>(&'a mut Map<String, JsonValue>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(flag) = value.to_bool() {
            flag.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

fn encode(line: &Map<String, JsonValue>) -> Vec<u8> {
    let mut bytes = serde_json::to_vec(line).unwrap_or_default();
    bytes.push(b'\n');
    bytes
}

fn run(queue: &Receiver<Job>) {
    let mut output = Vec::new();
    let mut flush_replies = Vec::new();
    loop {
        let wait = if output.is_empty() { Duration::MAX } else { BATCH_INTERVAL };
        match queue.recv_timeout(wait) {
            Ok(Job::Line(line)) => {
                let first = output.is_empty();
                output.extend_from_slice(&line);
                if first {
                    thread::sleep(BATCH_INTERVAL);
                }
                while let Ok(job) = queue.try_recv() {
                    match job {
                        Job::Line(line) => output.extend_from_slice(&line),
                        Job::Flush(done) => flush_replies.push(done),
                    }
                }
            }
            Ok(Job::Flush(done)) => flush_replies.push(done),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        // Errors are ignored, since there is nowhere to report that standard output is closed.
        let _ = io::stdout().lock().write_all(&output);
        let _ = io::stdout().lock().flush();
        output.clear();
        for done in flush_replies.drain(..) {
            let _ = done.try_send(());
        }
    }
}
