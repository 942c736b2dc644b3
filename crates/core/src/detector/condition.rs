//! Condition of a target by announcements and broker reports together.

use {
    super::{BrokerReport, LivenessTable, TargetKey},
    crate::{
        cluster::{ClusterState, TargetRecord},
        position::LogPosition,
        time::Micros,
    },
};

/// Missing announcements that count as a death together with the broker's report.
pub const ANNOUNCEMENT_GAP: Micros = Micros::from_secs(1);

/// Time after which the broker's report counts as a death on its own.
pub const BROKER_ALONE: Micros = Micros::from_secs(3);

/// Time without any sign of a target that counts as a death when no broker reports.
pub const NO_EVIDENCE: Micros = Micros::from_secs(3);

/// Age up to which a broker's report counts; heartbeats come every 500 ms.
pub(super) const REPORT_AGE: Micros = Micros::from_millis(1_500);

/// Condition of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetCondition {
    /// Announcements arrive and no broker reports a fault.
    Healthy,
    /// Announcements are missing but the broker reaches the target: the path from the target to
    /// control is cut in one direction.
    Unheard,
    /// Announcements arrive but the broker does not reach the target: its path may have gone silent.
    PathSilent,
    /// Announcements are missing and no broker reports; too early to call.
    Unknown,
    /// Nobody reaches the target.
    Unreachable,
}

impl LivenessTable {
    /// Returns the condition of a target.
    #[must_use]
    pub fn condition(
        &self,
        state: &ClusterState,
        key: &TargetKey,
        target: &TargetRecord,
        now: Micros,
    ) -> TargetCondition {
        let heard = self
            .targets
            .get(key)
            .filter(|signal| signal.announcement.incarnation == target.info.incarnation)
            .map_or(Micros::ZERO, |signal| signal.heard);
        let silent = now.since(heard.max(self.observing_since));
        let Some(report) = self.report(state, key, target, now) else {
            return if silent < ANNOUNCEMENT_GAP {
                TargetCondition::Healthy
            } else if silent >= NO_EVIDENCE && self.silent_for(key, now) >= NO_EVIDENCE {
                TargetCondition::Unreachable
            } else {
                TargetCondition::Unknown
            };
        };
        // The broker says exactly when the gap begins; until then its report is as good as hearing the
        // target here.
        let announced = report.announced == Some(target.info.incarnation);
        match (report.reachable, !announced && silent >= ANNOUNCEMENT_GAP) {
            (true, false) => TargetCondition::Healthy,
            (true, true) => TargetCondition::Unheard,
            (false, true) => TargetCondition::Unreachable,
            (false, false) if report.unreachable_for >= BROKER_ALONE => {
                TargetCondition::Unreachable
            }
            (false, false) => TargetCondition::PathSilent,
        }
    }

    /// Returns the present broker's report on a target, if it is recent and was sent under a lease.
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
        if !signal.trusted || now.since(signal.heard) > REPORT_AGE {
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
            && signal.heard >= since
            && signal.announcement.incarnation == target.info.incarnation
        {
            best = Some(signal.announcement.position);
        }
        let heard = target.broker.as_ref().and_then(|broker| self.entries.get(broker));
        if let Some(report) = self.report(state, key, target, now)
            && report.reachable
            && heard.is_some_and(|signal| signal.heard >= since)
        {
            best = best.max(Some(report.position));
        }
        best
    }
}
