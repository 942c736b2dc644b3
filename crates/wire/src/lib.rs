//! Generated protobuf and tonic code of the protocol between processes, and conversions to core types.
//!
//! `cargo run -p xtask` regenerates `src/generated` from the files in `proto`.

pub mod announcement;
mod convert;
mod directory;

#[allow(missing_docs, clippy::all, clippy::pedantic, clippy::must_use_candidate)]
#[allow(clippy::missing_const_for_fn, clippy::missing_errors_doc, unreachable_pub)]
#[rustfmt::skip]
#[path = "generated/banyansill.v1.rs"]
pub mod v1;

#[allow(missing_docs, clippy::all, clippy::pedantic, clippy::must_use_candidate)]
#[allow(clippy::missing_const_for_fn, clippy::missing_errors_doc, unreachable_pub)]
#[rustfmt::skip]
#[path = "generated/banyansill.directory.v1.rs"]
pub mod directory_v1;
