//! Control process: durable replicated state, membership, sheet and promotion.

pub mod command_log;
pub mod replica;
pub mod storage;
