//! Settings, logs, metrics, events and clocks of banyansill's processes.

pub mod clock;
pub mod events;
pub mod http;
pub mod logs;
pub mod metrics;
pub mod server;
pub mod settings;
pub mod tls;
pub mod tokens;
