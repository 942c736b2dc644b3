//! Facade of banyansill: the crates under one name, and the whole system in one process.

pub mod solo;

pub use {
    banyansill_control as control, banyansill_core as core, banyansill_entry as entry,
    banyansill_runtime as runtime, banyansill_standin as standin, banyansill_wire as wire,
};
