//! Command-line arguments of the binary.
//!
//! The presence of this test makes `cargo test --workspace` build the binary, which
//! `crates/banyansill/tests/binaries.rs` runs.

#![allow(clippy::unwrap_used)]

use std::process::Command;

/// Guards against `--version` and `--help` running the code generation.
#[test]
fn version_and_help_only_print() {
    let print = |argument: &str| {
        let output = Command::new(env!("CARGO_BIN_EXE_xtask")).arg(argument).output().unwrap();
        assert!(output.status.success(), "{argument}");
        String::from_utf8(output.stdout).unwrap()
    };
    assert_eq!(print("--version"), format!("xtask {}\n", env!("CARGO_PKG_VERSION")));
    assert!(print("--help").contains("xtask"));
}
