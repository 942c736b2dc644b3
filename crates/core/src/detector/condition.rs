//! Health of a target, derived from its announcements and its broker's reports.

use {
    super::{BrokerReport, LivenessTable, TargetKey},
    crate::{
        cluster::{ClusterState, TargetRecord},
        position::LogPosition,
        time::Micros,
    },
};

/// Time without announcements after which a target counts as dead if its broker does not reach it
/// either.
pub const ANNOUNCEMENT_TIMEOUT: Micros = Micros::from_secs(1);

/// Time for which a broker must have failed to reach a target that still announces itself before the
/// target counts as dead.
pub const BROKER_ONLY_TIMEOUT: Micros = Micros::from_secs(3);

/// Time without announcements and broker reports after which a target counts as dead.
pub const SILENCE_TIMEOUT: Micros = Micros::from_secs(3);

/// Age up to which a broker's report is used; heartbeats arrive every 500 ms.
pub(super) const REPORT_TTL: Micros = Micros::from_millis(1_500);

/// Health of a target as far as the control leader can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetCondition {
    /// Announcements arrive and no broker reports a fault.
    Healthy,
    /// Announcements are missing but the broker reaches the target: the network path from the target
    /// to control is cut in one direction.
    AnnouncementsMissing,
    /// Announcements arrive but the broker does not reach the target: the network path between them
    /// may drop packets.
    ProbesFailing,
    /// Announcements are missing and there is no broker report, but not for long enough to decide.
    Unknown,
    /// The target counts as dead.
    Unreachable,
}

impl LivenessTable {
    /// Derives the condition of a target from the announcements and reports received so far.
    #[must_use]
    pub fn condition(
        &self,
        state: &ClusterState,
        key: &TargetKey,
        target: &TargetRecord,
        now: Micros,
    ) -> TargetCondition {
        let last_announced = self
            .targets
            .get(key)
            .filter(|signal| signal.announcement.incarnation == target.info.incarnation)
            .map_or(Micros::ZERO, |signal| signal.last_seen);
        let silent = now.since(last_announced.max(self.observing_since));
        let Some(report) = self.report(state, key, target, now) else {
            return if silent < ANNOUNCEMENT_TIMEOUT {
                TargetCondition::Healthy
            } else if silent >= SILENCE_TIMEOUT && self.silent_for(key, now) >= SILENCE_TIMEOUT {
                TargetCondition::Unreachable
            } else {
                TargetCondition::Unknown
            };
        };
        // The broker reports exactly when the announcements stop; until then its report counts as an
        // announcement received here.
        let announced = report.announced == Some(target.info.incarnation);
        match (report.reachable, !announced && silent >= ANNOUNCEMENT_TIMEOUT) {
            (true, false) => TargetCondition::Healthy,
            (true, true) => TargetCondition::AnnouncementsMissing,
            (false, true) => TargetCondition::Unreachable,
            (false, false) if report.unreachable_for >= BROKER_ONLY_TIMEOUT => {
                TargetCondition::Unreachable
            }
            (false, false) => TargetCondition::ProbesFailing,
        }
    }

    /// Returns the current broker's report on a target if it is recent and was sent under a valid
    /// lease.
    #[must_use]
    pub fn report(
        &self,
        state: &ClusterState,
        key: &TargetKey,
        target: &TargetRecord,
        now: Micros,
    ) -> Option<BrokerReport> {
        state.live_broker(target)?;
        let signal = self.entries.get(target.broker.as_ref()?)?;
        if !signal.lease_valid || now.since(signal.last_seen) > REPORT_TTL {
            return None;
        }
        let report = signal.reports.get(key)?;
        (report.epoch == target.epoch).then_some(*report)
    }

    /// Returns the highest position that a target is known to have had at or after `since`.
    #[must_use]
    pub fn position_since(
        &self,
        state: &ClusterState,
        key: &TargetKey,
        target: &TargetRecord,
        since: Micros,
        now: Micros,
    ) -> Option<LogPosition> {
        let mut best = None;
        if let Some(signal) = self.targets.get(key)
            && signal.last_seen >= since
            && signal.announcement.incarnation == target.info.incarnation
        {
            best = Some(signal.announcement.position);
        }
        let broker = target.broker.as_ref().and_then(|broker| self.entries.get(broker));
        if let Some(report) = self.report(state, key, target, now)
            && report.reachable
            && broker.is_some_and(|signal| signal.last_seen >= since)
        {
            best = best.max(Some(report.position));
        }
        best
    }
}
