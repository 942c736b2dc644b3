//! Renewal of node leases, release of brokerships and fencing of closed terms.

use {
    super::{EntrySignal, LivenessTable, TargetKey},
    crate::{
        cluster::{BrokerRef, ClusterState, DatabaseRecord, TargetRecord},
        names::SharedName,
        time::{Micros, NODE_LEASE, SHEET_GRACE, grantor_expiry},
    },
    thiserror::Error,
};

/// Grace before the broker of a closed term loses its renewals until it confirms the fence.
///
/// Without it, a live broker whose watch hangs would block the promotion for good.
pub const FENCE_GRACE: Micros = Micros::from_secs(1);

/// Why a node lease was not renewed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RenewalRefusal {
    /// The process is not a live member.
    #[error("not a live member")]
    NotMember,
    /// The leader is about to record that the lease ran out.
    #[error("the lease is being ended")]
    Expiring,
    /// The process has not applied the version at which it joined.
    #[error("applies version {applied}, joined at {joined}")]
    JoinNotApplied {
        /// Version that the process applies.
        applied: u64,
        /// Version at which it joined.
        joined: u64,
    },
    /// The process is behind an accepted sheet.
    #[error("applies sheet {applied}, sheet {accepted} was accepted too long ago")]
    SheetNotApplied {
        /// Sheet that the process applies.
        applied: u64,
        /// Oldest known sheet that it misses.
        accepted: u64,
    },
    /// The process has not confirmed that it stopped acknowledging under a closed term.
    #[error("term {term} of {database} is closed and not fenced")]
    TermNotFenced {
        /// Database group.
        database: SharedName,
        /// Closed term.
        term: u64,
    },
}

impl LivenessTable {
    /// Renews the lease of an entry process from the reception of its heartbeat.
    ///
    /// Call it after leadership was confirmed by a round that began after the reception.
    ///
    /// # Errors
    ///
    /// Returns why the lease may not be renewed; the earlier expiry then stays.
    pub fn renew(
        &mut self,
        state: &ClusterState,
        entry: &BrokerRef,
        received: Micros,
        now: Micros,
    ) -> Result<(), RenewalRefusal> {
        self.note_sheet(state, now);
        let Some(record) = state.entries().get(&entry.host) else {
            return Err(RenewalRefusal::NotMember);
        };
        if !record.live || record.info.incarnation != entry.incarnation {
            return Err(RenewalRefusal::NotMember);
        }
        if self.expiring.contains(entry) {
            return Err(RenewalRefusal::Expiring);
        }
        let Some(signal) = self.entries.get(entry) else { return Err(RenewalRefusal::NotMember) };
        if signal.applied_version < record.joined_version {
            return Err(RenewalRefusal::JoinNotApplied {
                applied: signal.applied_version,
                joined: record.joined_version,
            });
        }
        let mut missed =
            self.sheets_seen.iter().filter(|(number, _)| signal.sheet_number < *number);
        if let Some((number, seen)) = missed.next()
            && now > *seen + SHEET_GRACE
        {
            return Err(RenewalRefusal::SheetNotApplied {
                applied: signal.sheet_number,
                accepted: *number,
            });
        }
        self.check_fences(state, entry, signal, now)?;
        if let Some(signal) = self.entries.get_mut(entry) {
            signal.lease_expiry = signal.lease_expiry.max(grantor_expiry(received, NODE_LEASE));
        }
        Ok(())
    }

    fn check_fences(
        &self,
        state: &ClusterState,
        entry: &BrokerRef,
        signal: &EntrySignal,
        now: Micros,
    ) -> Result<(), RenewalRefusal> {
        for (name, server) in state.held_by(entry) {
            let Some(fence) = self.fences.get(name).filter(|fence| fence.fenced.is_none()) else {
                continue;
            };
            let Some(group) = state.databases().get(name) else { continue };
            if group.planned || now <= fence.closed_seen + FENCE_GRACE {
                continue;
            }
            if group.primary.as_ref() != Some(server) {
                continue;
            }
            let key = (name.clone(), server.clone());
            let confirmed =
                signal.reports.get(&key).is_some_and(|report| report.fenced_term >= fence.term);
            if !confirmed {
                return Err(RenewalRefusal::TermNotFenced {
                    database: name.clone(),
                    term: fence.term,
                });
            }
        }
        Ok(())
    }

    /// Notes when the leader saw a sheet first, and which sheets must be applied by now.
    ///
    /// Each sheet has its own grace, so that a later one does not extend that of an earlier one. A sheet
    /// that was accepted before this leadership has no grace: its acceptance time is unknown.
    pub(super) fn note_sheet(&mut self, state: &ClusterState, now: Micros) {
        let number = state.sheet().map_or(0, |record| record.number);
        match self.sheets_seen.back() {
            None => self.sheets_seen.push_back((number, Micros::ZERO)),
            Some((seen, _)) if *seen < number => self.sheets_seen.push_back((number, now)),
            Some(_) => {}
        }
        // Of the sheets that are overdue, the newest one decides alone.
        while self.sheets_seen.get(1).is_some_and(|(_, seen)| now > *seen + SHEET_GRACE) {
            self.sheets_seen.pop_front();
        }
    }

    /// Returns the live entries whose lease has run out, and refuses them renewals until
    /// `finish_expiry` is called.
    pub fn begin_expiry(&mut self, state: &ClusterState, now: Micros) -> Vec<BrokerRef> {
        let mut expired = Vec::new();
        for (host, record) in state.entries() {
            let entry = BrokerRef { host: host.clone(), incarnation: record.info.incarnation };
            if !record.live || !self.lease_expired(&entry, now) {
                continue;
            }
            // A process that has just joined has no lease yet and nothing to lose.
            let waiting = self.entries.get(&entry).is_some_and(|signal| {
                signal.lease_expiry == Micros::ZERO
                    && now < grantor_expiry(signal.heard, NODE_LEASE)
            });
            if waiting && state.held_by(&entry).next().is_none() {
                continue;
            }
            self.expiring.insert(entry.clone());
            expired.push(entry);
        }
        expired
    }

    /// Ends the refusal of `begin_expiry` once the command was answered for certain.
    pub fn finish_expiry(&mut self, entry: &BrokerRef) {
        self.expiring.remove(entry);
        if let Some(signal) = self.entries.get_mut(entry) {
            signal.lease_expiry = Micros::ZERO;
        }
    }

    /// Returns whether a process holds no connections of a target whose brokership was revoked.
    ///
    /// A heartbeat confirms this if the process has applied the revocation and reports no open
    /// connection; it must report the target for as long as it holds one.
    #[must_use]
    pub fn is_released(&self, entry: &BrokerRef, key: &TargetKey, revoked_version: u64) -> bool {
        let Some(signal) = self.entries.get(entry) else { return false };
        if signal.applied_version < revoked_version {
            return false;
        }
        let report = signal.reports.get(key);
        report.is_none_or(|report| report.open_connections == 0)
    }

    /// Returns whether nobody can acknowledge a write under the closed term of a group.
    pub(super) fn is_fenced(
        &self,
        state: &ClusterState,
        name: &SharedName,
        group: &DatabaseRecord,
        now: Micros,
    ) -> bool {
        let Some(primary) = group.primary.as_ref() else { return true };
        let Some(target) = group.targets.get(primary) else { return true };
        if target.assigned_version > group.closed_version && target.releasing.is_none() {
            // The broker took over after the term was closed and never acknowledged under it.
            return true;
        }
        let holders = target.broker.iter().chain(target.releasing.iter());
        for holder in holders {
            if !self.holder_fenced(state, holder, (name, primary), (group, target), now) {
                return false;
            }
        }
        true
    }

    fn holder_fenced(
        &self,
        state: &ClusterState,
        holder: &BrokerRef,
        (name, server): (&SharedName, &SharedName),
        (group, target): (&DatabaseRecord, &TargetRecord),
        now: Micros,
    ) -> bool {
        if self.is_gone(state, holder, now) {
            return true;
        }
        let Some(signal) = self.entries.get(holder) else { return false };
        let key = (name.clone(), server.clone());
        if signal.reports.get(&key).is_some_and(|report| report.fenced_term >= group.term) {
            return true;
        }
        target.releasing.as_ref() == Some(holder)
            && self.is_released(holder, &key, target.assigned_version)
            && signal.applied_version >= group.closed_version
    }
}
