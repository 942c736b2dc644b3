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
    /// Connections that were leased from them and are in use.
    pub(super) detoured: u32,
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
        let failing = self.health.is_failing();
        let refused = self.is_refused(now) && self.idle.is_empty();
        if !failing && !refused {
            return Some(TargetPath::Usual);
        }
        if detour && self.is_detour_open(now) {
            return Some(TargetPath::Detour);
        }
        let usual = if failing { self.health.can_attempt(now) } else { self.open > 0 };
        usual.then_some(TargetPath::Usual)
    }

    fn is_detour_open(&self, now: Micros) -> bool {
        !self.detour.is_empty() && now >= self.detour_closed_until
    }

    pub(super) fn is_closing(&self, now: Micros) -> bool {
        self.closes_at.is_some_and(|closes_at| closes_at <= now)
    }

    /// Returns whether one more session can have a connection.
    ///
    /// Load: entries that lost power come back while the target still counts their old connections and
    /// refuses new ones; those that got none use the connections of the others.
    pub(super) fn has_connection(&self, now: Micros) -> bool {
        let spare = if !self.is_refused(now) {
            connections_of(&self.share).saturating_sub(self.open)
        } else if self.is_detour_open(now) {
            RELAYED_CONNECTIONS.saturating_sub(self.detoured)
        } else {
            0
        };
        self.idle.len() + spare as usize > self.claims.len()
    }

    /// Records a sign of life on a path of this entry.
    pub(super) const fn reached(&mut self, now: Micros) -> HealthChange {
        self.heard = now;
        self.health.record_contact()
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
