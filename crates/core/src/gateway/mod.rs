//! Decisions of an entry that connects to targets which fence themselves.
//!
//! A target refuses writes and plain transactions once it has lost the lead, and refuses reads below a
//! position that its log lacks. So an entry needs no lease: the freshness of a read follows from the
//! position that it is sent with, and a write runs at the primary or not at all.

mod attempt;
mod freshness;
mod health;
mod lender;
mod limit;
mod mark_source;
mod placement;
mod share;
mod table;

pub use {
    attempt::{AttemptEnd, NextStep, StatementWork, TargetError, next_step},
    freshness::{FreshnessLog, FreshnessMark},
    health::{HealthChange, TargetHealth},
    lender::{LenderBook, LenderRound, LenderTurn},
    limit::AdaptiveLimit,
    mark_source::{MarkSource, mark_is_due, mark_source},
    placement::{Distance, ReadCandidate, order_candidates},
    share::{ConnectionShare, connection_share, detour_entries, rendezvous_weight},
    table::{GroupRoute, RoutingTable},
};
