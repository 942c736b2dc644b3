//! Settings, logs, metrics, events and clocks of banyansill's processes.

pub mod clock;
pub mod events;
pub mod http;
mod json_log;
pub mod logs;
pub mod metric_registry;
pub mod metrics;
pub mod panics;
pub mod server;
pub mod settings;
pub mod status;
pub mod stop;
#[cfg(feature = "tls")]
pub mod tls;
pub mod tokens;
