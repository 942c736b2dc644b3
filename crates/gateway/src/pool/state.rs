//! Mutable state of a target's pool.

use {
    super::connection::PooledConnection,
    banyansill_core::{
        collections::{FastMap, FastSet},
        directory::ProcessHost,
        gateway::{
            AdaptiveLimit, ConnectAdmission, ConnectionShare, HealthChange, TargetHealth,
            team_holders,
        },
        names::SharedName,
        position::LogPosition,
        queue::{SlotQueue, SlotTicket},
        time::Micros,
    },
    std::rc::Rc,
    tokio::sync::oneshot,
};

/// Maximum number of relayed connections that an entry uses at a time; the relaying entries have queues of
/// their own.
const MAX_RELAYED_CONNECTIONS: u32 = 8;

/// Queue, idle connections and last known condition of one target.
#[derive(Debug)]
pub(super) struct PoolState<P> {
    /// Statements that run on the target or wait for a slot.
    pub(super) queue: SlotQueue,
    /// Notifies waiting requests that they were granted a slot.
    pub(super) granted: FastMap<SlotTicket, oneshot::Sender<()>>,
    /// Granted slots whose requests have not taken or begun to open a connection yet; one connection is reserved
    /// for each.
    pub(super) reservations: FastSet<SlotTicket>,
    /// Connections not in use, the most recently used one last.
    pub(super) idle: Vec<PooledConnection<P>>,
    /// Number of own connections that are idle, leased or being opened.
    pub(super) open: u32,
    /// Number of connections of other entries that are in use or being opened.
    pub(super) relayed: u32,
    pub(super) limit: AdaptiveLimit,
    pub(super) health: TargetHealth,
    /// Last known position of the target's log, and the time at which it was received.
    pub(super) position: Option<(LogPosition, Micros)>,
    pub(super) share: ConnectionShare,
    /// Entries that connect to the target directly, if its connections serve one team each.
    pub(super) team_relays: Vec<ProcessHost>,
    /// Holders of the teams' connections, by team.
    pub(super) holders: FastMap<SharedName, Rc<[ProcessHost]>>,
    pub(super) address: SharedName,
    /// Time from which the target accepts no new work; `None` while it stays in service.
    pub(super) closes_at: Option<Micros>,
    /// Number of own connections that are being opened.
    pub(super) opening: u32,
    /// When the target accepts further connections.
    pub(super) admission: ConnectAdmission,
    /// Whether a probe is in progress.
    pub(super) probing: bool,
    /// Whether the directory names the target as the primary of its group.
    pub(super) is_primary: bool,
    /// Time of the last contact with the target over a connection of this entry.
    pub(super) last_contact: Micros,
    /// Entries whose connections are used while this entry cannot reach the target.
    pub(super) detour: Vec<ProcessHost>,
    /// End of the back-off after none of these entries could reach the target either.
    pub(super) detour_backoff_until: Micros,
}

/// Paths to a target, as they follow from the directory.
#[derive(Clone, Debug)]
pub(crate) struct TargetPaths {
    /// This entry's share of the target's connections.
    pub(crate) share: ConnectionShare,
    /// Entries that connect to the target directly, if its connections serve one team each.
    pub(crate) team_relays: Vec<ProcessHost>,
    /// Entries whose connections are used while this entry cannot reach the target.
    pub(crate) detour: Vec<ProcessHost>,
}

/// Path over which a connection reaches the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TargetPath {
    /// The path defined by this entry's connection share.
    Usual,
    /// Through other entries, because this one cannot reach the target.
    Detour,
}

impl<P> PoolState<P> {
    /// Returns the path for a new connection, or `None` during the back-off of every path.
    pub(super) fn path(&self, now: Micros, detour: bool) -> Option<TargetPath> {
        let failing = self.health.is_failing();
        let refused = self.is_refused(now) && self.idle.is_empty();
        if !failing && !refused {
            return Some(TargetPath::Usual);
        }
        if detour && self.is_detour_available(now) {
            return Some(TargetPath::Detour);
        }
        let usual = if failing { self.health.can_attempt(now) } else { self.open > 0 };
        usual.then_some(TargetPath::Usual)
    }

    fn is_detour_available(&self, now: Micros) -> bool {
        !self.detour.is_empty() && now >= self.detour_backoff_until
    }

    pub(super) fn is_closing(&self, now: Micros) -> bool {
        self.closes_at.is_some_and(|closes_at| closes_at <= now)
    }

    /// Returns whether a connection is available to one more session.
    ///
    /// When entries restart after a power loss, the target still counts their old connections and refuses new
    /// ones. Entries that got no connection then use those of other entries.
    pub(super) fn has_available_connection(&self, now: Micros) -> bool {
        let relayed_spare = MAX_RELAYED_CONNECTIONS.saturating_sub(self.relayed);
        let own_spare = match &self.share {
            ConnectionShare::Direct(connections) => {
                let openable = self.admission.max_opening().saturating_sub(self.opening);
                connections.saturating_sub(self.open).min(openable)
            }
            ConnectionShare::Relayed(_) => relayed_spare,
        };
        let mut spare = if !self.is_refused(now) {
            own_spare
        } else if self.is_detour_available(now) {
            relayed_spare
        } else {
            0
        };
        if !self.team_relays.is_empty() && matches!(self.share, ConnectionShare::Direct(_)) {
            // The work of most teams runs on connections of other entries.
            spare = spare.saturating_add(relayed_spare);
        }
        self.idle.len() + spare as usize > self.reservations.len()
    }

    /// Returns the entries that hold a team's connections, in order of preference.
    pub(super) fn holders(&mut self, team: &SharedName) -> Rc<[ProcessHost]> {
        if let Some(holders) = self.holders.get(team) {
            return Rc::clone(holders);
        }
        let holders: Rc<[ProcessHost]> = team_holders(team, &self.team_relays).into();
        self.holders.insert(team.clone(), Rc::clone(&holders));
        holders
    }

    /// Removes the connection that was idle longest among those of other teams.
    pub(super) fn evict_idle(&mut self, team: &SharedName) -> Option<PooledConnection<P>> {
        let mut oldest: Option<(usize, Micros)> = None;
        for (index, pooled) in self.idle.iter().enumerate() {
            if pooled.team == *team || oldest.is_some_and(|(_, used)| used <= pooled.last_used) {
                continue;
            }
            oldest = Some((index, pooled.last_used));
        }
        let (index, _) = oldest?;
        self.open = self.open.saturating_sub(1);
        Some(self.idle.remove(index))
    }

    /// Subtracts a connection of another entry that is no longer in use.
    pub(super) const fn record_returned(&mut self) {
        self.relayed = self.relayed.saturating_sub(1);
    }

    /// Records a contact with the target over a connection of this entry.
    pub(super) const fn record_contact(&mut self, now: Micros) -> HealthChange {
        self.last_contact = now;
        self.health.record_contact()
    }

    /// Returns whether the back-off after a refused connection is still running.
    pub(super) fn is_refused(&self, now: Micros) -> bool {
        self.admission.is_refused(now)
    }

    /// Subtracts closed connections from the number of open ones.
    pub(super) const fn record_closed(&mut self, count: usize) {
        self.open = self.open.saturating_sub(count as u32);
    }
}

/// Returns the maximum number of connections that a share allows.
pub(super) const fn max_connections(share: &ConnectionShare) -> u32 {
    match share {
        ConnectionShare::Direct(connections) => *connections,
        ConnectionShare::Relayed(_) => MAX_RELAYED_CONNECTIONS,
    }
}
