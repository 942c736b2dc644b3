//! Grants that a session holds.

use {
    crate::link::{GrantAccess, GrantLink, LinkOutput, TransactionStatus},
    banyansill_core::names::SharedName,
    std::time::Duration,
};

/// Grant that a session holds for a request, a transaction or, if pinned, until the session ends.
#[derive(Debug)]
pub(super) struct HeldGrant {
    pub(super) link: GrantLink,
    pub(super) status: TransactionStatus,
    /// Whether the session keeps the grant until it ends.
    pub(super) pinned: bool,
    pub(super) server: SharedName,
    pub(super) epoch: u64,
    pub(super) access: GrantAccess,
    pub(super) on_primary: bool,
    pub(super) tainted: bool,
    pub(super) deadline: Duration,
}

/// Waits for the broker's next output on a grant; never completes without a grant.
pub(super) async fn next_output(grant: &mut Option<HeldGrant>) -> Option<LinkOutput> {
    match grant {
        Some(grant) => grant.link.output.recv().await,
        None => std::future::pending().await,
    }
}
