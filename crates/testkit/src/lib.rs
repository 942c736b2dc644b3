//! Tools of the integration tests: processes, a fault-injecting TCP proxy and a history checker.

pub mod cluster;
pub mod history;
pub mod inspect;
pub mod process;
pub mod proxy;
pub mod transactions;
pub mod usage;
pub mod workload;
