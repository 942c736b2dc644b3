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

/// Grace period after which the broker of a closed term gets no renewals until it confirms the fence.
///
/// Without this refusal, a live broker whose watch hangs would block the promotion for good.
pub const FENCE_GRACE: Micros = Micros::from_secs(1);

/// Why a node lease was not renewed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RenewalRefusal {
    /// The process is not a live member.
    #[error("the process is not a live member")]
    NotMember,
    /// The leader has proposed a command that records the expiry of the lease.
    #[error("the expiry of the lease is being recorded")]
    Expiring,
    /// The process has not applied the cluster state version at which it joined.
    #[error("the process applies version {applied} but joined at version {joined}")]
    JoinNotApplied {
        /// Version that the process applies.
        applied: u64,
        /// Version at which it joined.
        joined: u64,
    },
    /// The process has not applied an accepted sheet within the grace period.
    #[error(
        "the process applies sheet {applied}, but the grace period of sheet {accepted} is over"
    )]
    SheetNotApplied {
        /// Sheet that the process applies.
        applied: u64,
        /// Oldest known sheet that the process has not applied.
        accepted: u64,
    },
    /// The process has not confirmed that it stopped acknowledging writes under a closed term.
    #[error("term {term} of {database} is closed and not fenced")]
    TermNotFenced {
        /// Database group.
        database: SharedName,
        /// Closed term.
        term: u64,
    },
}

impl LivenessTable {
    /// Renews the lease of an entry process, counted from the reception of its heartbeat.
    ///
    /// Must be called only after a consensus round that began after the reception has confirmed the
    /// leadership.
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
        self.record_sheet(state, now);
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
            self.observed_sheets.iter().filter(|(number, _)| signal.sheet_number < *number);
        if let Some((number, observed)) = missed.next()
            && now > *observed + SHEET_GRACE
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
            let Some(fence) = self.fences.get(name).filter(|fence| fence.fenced_at.is_none())
            else {
                continue;
            };
            let Some(group) = state.databases().get(name) else { continue };
            if group.planned || now <= fence.closed_observed_at + FENCE_GRACE {
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

    /// Records when the leader first observed a sheet, and which sheets must be applied by now.
    ///
    /// Each sheet has its own grace period, so that a later one does not extend that of an earlier one. A
    /// sheet that was accepted before this leadership has none, since its acceptance time is unknown.
    pub(super) fn record_sheet(&mut self, state: &ClusterState, now: Micros) {
        let number = state.sheet().map_or(0, |record| record.number);
        match self.observed_sheets.back() {
            None => self.observed_sheets.push_back((number, Micros::ZERO)),
            Some((newest, _)) if *newest < number => self.observed_sheets.push_back((number, now)),
            Some(_) => {}
        }
        // Of the overdue sheets, only the newest one has to be checked.
        while self.observed_sheets.get(1).is_some_and(|(_, observed)| now > *observed + SHEET_GRACE)
        {
            self.observed_sheets.pop_front();
        }
    }

    /// Returns the live entries whose lease has expired, and refuses them renewals until
    /// `finish_expiry` is called.
    pub fn begin_expiry(&mut self, state: &ClusterState, now: Micros) -> Vec<BrokerRef> {
        let mut expired = Vec::new();
        for (host, record) in state.entries() {
            let entry = BrokerRef { host: host.clone(), incarnation: record.info.incarnation };
            if !record.live || !self.lease_expired(&entry, now) {
                continue;
            }
            // A process that has just joined has no lease yet and no targets to
            // release.
            let newly_joined = self.entries.get(&entry).is_some_and(|signal| {
                signal.lease_expiry == Micros::ZERO
                    && now < grantor_expiry(signal.last_seen, NODE_LEASE)
            });
            if newly_joined && state.held_by(&entry).next().is_none() {
                continue;
            }
            self.expiring.insert(entry.clone());
            expired.push(entry);
        }
        expired
    }

    /// Allows renewals again once the outcome of the command after `begin_expiry` is known.
    pub fn finish_expiry(&mut self, entry: &BrokerRef) {
        self.expiring.remove(entry);
        if let Some(signal) = self.entries.get_mut(entry) {
            signal.lease_expiry = Micros::ZERO;
        }
    }

    /// Returns whether a process has closed all connections to a target whose brokership was revoked.
    ///
    /// A heartbeat confirms this if the process has applied the revocation and reports no open
    /// connection; the process must report the target for as long as it has one.
    #[must_use]
    pub fn is_released(&self, entry: &BrokerRef, key: &TargetKey, revoked_version: u64) -> bool {
        let Some(signal) = self.entries.get(entry) else { return false };
        if signal.applied_version < revoked_version {
            return false;
        }
        let report = signal.reports.get(key);
        report.is_none_or(|report| report.open_connections == 0)
    }

    /// Returns whether no process can acknowledge a write under the closed term of a group.
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
