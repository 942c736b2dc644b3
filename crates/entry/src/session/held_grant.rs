//! A grant that a session holds between its requests.

use {
    crate::link::{GrantAccess, GrantLink, LinkOutput, TransactionStatus},
    banyansill_core::names::SharedName,
    std::time::Duration,
};

/// A grant that the session holds.
#[derive(Debug)]
pub(super) struct HeldGrant {
    pub(super) link: GrantLink,
    pub(super) status: TransactionStatus,
    /// The session keeps the grant to its end.
    pub(super) pinned: bool,
    pub(super) server: SharedName,
    pub(super) epoch: u64,
    pub(super) access: GrantAccess,
    pub(super) on_primary: bool,
    pub(super) tainted: bool,
    pub(super) deadline: Duration,
}

/// Waits for what the broker reports on a grant; never ends without one.
pub(super) async fn next_output(grant: &mut Option<HeldGrant>) -> Option<LinkOutput> {
    match grant {
        Some(grant) => grant.link.output.recv().await,
        None => std::future::pending().await,
    }
}
