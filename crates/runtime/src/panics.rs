//! Log line and count of panics.
//!
//! A panic ends its task only: the runtimes catch it, and the other tasks go on.

use {
    banyansill_core::event::EventNumber,
    std::{
        panic::{self, PanicHookInfo},
        sync::{
            Once,
            atomic::{AtomicU64, Ordering},
        },
        thread,
    },
};

static INSTALL: Once = Once::new();

static PANICS: AtomicU64 = AtomicU64::new(0);

/// Writes each panic of the process to its log from now on, in place of the standard error.
pub fn install() {
    INSTALL.call_once(|| panic::set_hook(Box::new(record)));
}

/// Returns the number of panics since [`install`].
#[must_use]
pub fn count() -> u64 {
    PANICS.load(Ordering::Relaxed)
}

fn record(info: &PanicHookInfo<'_>) {
    PANICS.fetch_add(1, Ordering::Relaxed);
    let payload = info.payload();
    let reason = match (payload.downcast_ref::<&str>(), payload.downcast_ref::<String>()) {
        (Some(text), _) => text,
        (None, Some(text)) => text.as_str(),
        (None, None) => "no message",
    };
    let place = info.location().map_or_else(|| "unknown".to_owned(), ToString::to_string);
    let thread = thread::current().name().unwrap_or("unnamed").to_owned();
    log::error!(
        target: "event",
        event:display = EventNumber::TaskPanicked,
        reason,
        place:display,
        thread:display;
        ""
    );
}
