//! Flag for a requested stop, which is visible before the task that stops the process runs.

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
    /// Registers the flag and blocks the signal in the calling thread and in those that it starts later.
    ///
    /// One thread must call [`StopFlag::unblock_in_current_thread`]. Whatever that thread does after the signal was sent
    /// sees the flag set, since the signal handler interrupts it first. Must be called before any other
    /// thread is started.
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

    /// Unblocks the signal in the calling thread, which then receives it.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread's signal mask cannot be changed.
    pub fn unblock_in_current_thread(&self) -> io::Result<()> {
        Ok(SigSet::from(Signal::SIGTERM).thread_unblock()?)
    }

    /// Returns whether the process has received SIGTERM.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}
