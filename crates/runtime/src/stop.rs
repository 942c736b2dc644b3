//! Whether the process was told to stop, known before the task that stops it runs.

use {
    nix::sys::signal::{SigSet, Signal},
    std::{
        io,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
    },
};

/// Flag that SIGTERM sets; clones share it.
#[derive(Clone, Debug)]
pub struct StopFlag(Arc<AtomicBool>);

impl StopFlag {
    /// Registers the flag and keeps the signal from the calling thread and from those that it starts later.
    ///
    /// One thread calls [`StopFlag::receive_here`]. What that thread does after the signal was sent sees the
    /// flag, since the system interrupts it first. Call this before any other thread is started.
    ///
    /// # Errors
    ///
    /// Returns an error if the handler cannot be set.
    pub fn register() -> io::Result<Self> {
        let flag = Arc::new(AtomicBool::new(false));
        signal_hook::flag::register(Signal::SIGTERM as i32, Arc::clone(&flag))?;
        SigSet::from(Signal::SIGTERM).thread_block()?;
        Ok(Self(flag))
    }

    /// Lets the calling thread take the signal.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread's signal mask cannot be changed.
    pub fn receive_here(&self) -> io::Result<()> {
        Ok(SigSet::from(Signal::SIGTERM).thread_unblock()?)
    }

    /// Returns whether the process was told to stop.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}
