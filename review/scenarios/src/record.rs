//! Record of a run: what was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::{self, BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

/// Record file; clones share it.
#[derive(Clone, Debug)]
pub struct Record {
    begun: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    /// Creates the file, or empties it.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be created.
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = BufWriter::new(File::create(path)?);
        Ok(Self { begun: Instant::now(), file: Arc::new(Mutex::new(file)) })
    }

    /// Appends a line; its time is in seconds.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let seconds = self.begun.elapsed().as_secs_f64();
        // A record that cannot be written does not change the result of the run.
        let _ = writeln!(file, "{seconds:9.4} {text}");
    }

    /// Appends a line and prints it.
    pub fn say(&self, text: &str) {
        println!("{:8.3} {text}", self.begun.elapsed().as_secs_f64());
        self.line(text);
    }

    /// Writes everything to the disk.
    pub fn flush(&self) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = file.flush();
    }
}
