//! Routing decisions of an entry in front of targets that fence themselves.
//!
//! A target refuses writes and read-write transactions once it is no longer the primary, and refuses reads that
//! require a position that its log has not reached. So an entry needs no lease: the position sent with a read
//! guarantees its freshness, and a write runs at the primary or not at all.

mod attempt;
mod connect_admission;
mod contact;
mod freshness;
mod health;
mod key_lease;
mod leader_outage;
mod limit;
mod mark_source;
mod outlier;
mod placement;
mod relay;
mod return_plan;
mod share;
mod table;

pub use {
    attempt::{AttemptEnd, NextStep, StatementEffect, TargetError, next_step},
    connect_admission::ConnectAdmission,
    contact::{
        ContactPace, ContactPlan, ContactStep, FollowPatience, ReplicaHistory, is_nearest,
        nearest_replicas,
    },
    freshness::{FreshnessLog, FreshnessMark},
    health::{HealthChange, TargetHealth},
    key_lease::KeyLease,
    leader_outage::{LeaderOutage, OutageStep},
    limit::AdaptiveLimit,
    mark_source::{MarkNeed, MarkRole, MarkSource, mark_need, mark_source},
    outlier::{OutlierChange, OutlierDetector, TargetUse, apply_target_use},
    placement::{Distance, ReadCandidate, order_candidates},
    relay::{RelayAttempt, RelayHealth, RelaySelection},
    return_plan::ReturnPlan,
    share::{
        ConnectionRule, ConnectionShare, DirectEntries, connection_share, detour_entries,
        direct_entries, rendezvous_weight, team_holders,
    },
    table::{GroupRoute, RoutingTable},
};
