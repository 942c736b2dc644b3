//! What a pool knows of its target.

use {
    super::connection::PooledConnection,
    banyansill_core::{
        collections::{FastMap, FastSet},
        directory::ProcessHost,
        gateway::{AdaptiveLimit, ConnectionShare, HealthChange, TargetHealth},
        names::SharedName,
        position::LogPosition,
        queue::{SlotQueue, SlotTicket},
        time::Micros,
    },
    tokio::sync::oneshot,
};

/// Connections that an entry asks of other entries at a time; those queue by their own.
const RELAYED_CONNECTIONS: u32 = 8;

/// What a pool knows of its target, and the connections that nobody uses.
#[derive(Debug)]
pub(super) struct PoolState<P> {
    /// Statements that run on the target or wait for it.
    pub(super) queue: SlotQueue,
    pub(super) granted: FastMap<SlotTicket, oneshot::Sender<()>>,
    /// Slots that were given with a claim to a connection which is not taken yet.
    pub(super) claims: FastSet<SlotTicket>,
    pub(super) idle: Vec<PooledConnection<P>>,
    /// Connections that are idle, leased or being opened.
    pub(super) open: u32,
    pub(super) limit: AdaptiveLimit,
    pub(super) health: TargetHealth,
    /// Last known position of the target's log and when it was learnt.
    pub(super) position: Option<(LogPosition, Micros)>,
    pub(super) share: ConnectionShare,
    pub(super) address: SharedName,
    /// When the target takes no new work any more.
    pub(super) closes_at: Option<Micros>,
    pub(super) refused_until: Micros,
    pub(super) probing: bool,
    /// Whether the target leads its group.
    pub(super) leads: bool,
    /// When this entry last heard of the target on a path of its own.
    pub(super) heard: Micros,
    /// Entries to ask while this one cannot reach the target.
    pub(super) detour: Vec<ProcessHost>,
    /// Until when asking them is not worth a try.
    pub(super) detour_closed_until: Micros,
}

/// Way to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TargetPath {
    /// The share's own.
    Usual,
    /// Other entries, since this one cannot reach the target.
    Detour,
}

impl<P> PoolState<P> {
    /// Returns the way that a new connection takes, or `None` while no way is worth a try.
    pub(super) fn path(&self, now: Micros, detour: bool) -> Option<TargetPath> {
        if !self.health.is_failing() {
            return Some(TargetPath::Usual);
        }
        if detour && !self.detour.is_empty() && now >= self.detour_closed_until {
            return Some(TargetPath::Detour);
        }
        self.health.may_try(now).then_some(TargetPath::Usual)
    }

    pub(super) fn is_closing(&self, now: Micros) -> bool {
        self.closes_at.is_some_and(|closes_at| closes_at <= now)
    }

    /// Returns whether one more session can have a connection.
    pub(super) fn has_connection(&self, now: Micros) -> bool {
        let most = if self.is_refused(now) { 0 } else { connections_of(&self.share) };
        let spare = most.saturating_sub(self.open) as usize;
        self.idle.len() + spare > self.claims.len()
    }

    /// Records a sign of life on a path of this entry.
    pub(super) const fn reached(&mut self, now: Micros) -> HealthChange {
        self.heard = now;
        self.health.reached()
    }

    /// Returns whether the target refused a connection a moment ago.
    pub(super) fn is_refused(&self, now: Micros) -> bool {
        now < self.refused_until
    }

    /// Forgets connections that are closed.
    pub(super) const fn forget(&mut self, count: usize) {
        self.open = self.open.saturating_sub(count as u32);
    }
}

/// Returns the most connections that a share allows.
pub(super) const fn connections_of(share: &ConnectionShare) -> u32 {
    match share {
        ConnectionShare::Direct(connections) => *connections,
        ConnectionShare::Relayed(_) => RELAYED_CONNECTIONS,
    }
}
