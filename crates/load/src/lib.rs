//! Load and experiment tool: open-loop request mixes, the overhead benchmark and the naive proxy.

pub mod driver;
pub mod mix;
pub mod naive;
pub mod overhead;
pub mod report;
pub mod sweep;
