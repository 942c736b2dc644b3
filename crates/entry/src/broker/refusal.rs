//! Failures that brokers report to sessions.

use {
    crate::link::LinkFailure,
    banyansill_core::{failure::FailureKind, time::Micros},
};

/// Returns a failure with its kind's default retry hint.
pub(super) fn failure(kind: FailureKind, detail: &str) -> LinkFailure {
    LinkFailure { kind, retry_after: Micros::ZERO, detail: detail.to_owned() }
}
