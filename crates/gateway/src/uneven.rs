//! Use of targets that serve reads worse than the others of their group, and waits for a group without a leader.

use {
    crate::{
        attempt::{AttemptResult, FailedAttempt},
        gateway::Gateway,
        pool::TargetPool,
    },
    banyansill_core::{
        collections::FastMap,
        event::EventNumber,
        gateway::{
            AttemptEnd, LeaderOutage, OutageStep, OutlierChange, OutlierDetector, ReadCandidate,
            TargetError, TargetUse, apply_target_use,
        },
        names::SharedName,
        time::Micros,
    },
    banyansill_target::StatementProtocol,
    std::rc::Rc,
};

/// Detectors by group.
pub(crate) type GroupOutliers = FastMap<SharedName, OutlierDetector>;

/// Outages by group.
pub(crate) type GroupOutages = FastMap<SharedName, LeaderOutage>;

/// Returns whether a failed read shows a fault of its target; a refusal does not, whether by an entry or
/// by a target that is full.
const fn is_fault(failed: &FailedAttempt) -> bool {
    matches!(
        failed.end,
        AttemptEnd::Lost
            | AttemptEnd::Reported(
                TargetError::Failed | TargetError::TimedOut | TargetError::InDoubt
            )
    )
}

impl<P> Gateway<P>
where
    P: StatementProtocol,
{
    /// Returns the time after which a read that a target has not answered counts against the target.
    pub(crate) fn silence_limit(&self, pool: &TargetPool<P>) -> Micros {
        let outliers = self.outliers.borrow();
        outliers
            .get(&pool.group)
            .map_or(Micros(u64::MAX), |detector| detector.slow_latency(&pool.target))
    }

    /// Records how a read on a target ended, `elapsed` after it began.
    pub(crate) fn record_read(
        &self,
        pool: &TargetPool<P>,
        result: &AttemptResult,
        elapsed: Micros,
    ) {
        match result {
            Ok(_) => self.record_read_outcome(pool, Some(elapsed)),
            Err(failed) if is_fault(failed) => self.record_read_outcome(pool, None),
            Err(_) => {}
        }
    }

    /// Records the latency of a read's answer, or that the target failed or is silent.
    pub(crate) fn record_read_outcome(&self, pool: &TargetPool<P>, latency: Option<Micros>) {
        let table = self.table();
        let Some(route) = table.groups.get(&pool.group) else { return };
        let primary = route.primary.as_ref();
        let replicas = route.readable().filter(|report| primary != Some(&report.target)).count();
        let mut outliers = self.outliers.borrow_mut();
        let detector = outliers.entry(pool.group.clone()).or_default();
        let change = detector.record(&pool.target, latency, replicas, self.now());
        if change != OutlierChange::None {
            detector.retain(|target| route.target(target).is_some());
        }
        drop(outliers);
        match change {
            OutlierChange::None => {}
            OutlierChange::LeftOut { pause, bad_share } => {
                self.core.count("outliers.left_out");
                log::info!(
                target: "event",
                event:display = EventNumber::TargetLeftOut,
                group:display = pool.group,
                server:display = pool.target,
                bad_per_mille = bad_share,
                latency_us = latency.map_or(0, |latency| latency.0),
                answered = latency.is_some(),
                pause_us = pause.0;
                ""
                );
            }
            OutlierChange::Returned => {
                self.core.count("outliers.returned");
                log::info!(
                target: "event",
                event:display = EventNumber::TargetReturned,
                group:display = pool.group,
                server:display = pool.target;
                ""
                );
            }
        }
    }

    /// Moves targets that serve reads badly behind the others; with `probe`, one that is due comes first.
    pub(crate) fn apply_outliers(
        &self,
        group: &SharedName,
        pools: &[Rc<TargetPool<P>>],
        candidates: &mut [ReadCandidate],
        probe: bool,
    ) {
        let mut outliers = self.outliers.borrow_mut();
        let Some(detector) = outliers.get_mut(group) else { return };
        let now = self.now();
        let tried = apply_target_use(candidates, |index| {
            match detector.target_use(&pools[index].target, now) {
                TargetUse::Probe if !probe => TargetUse::LastResort,
                target_use => target_use,
            }
        });
        if let Some(index) = tried {
            self.core.count("outliers.tried");
            detector.record_probe_sent(&pools[index].target, now);
        }
    }

    /// Waits briefly for a leader of a group that has no reachable one.
    ///
    /// # Errors
    ///
    /// Returns the time after which a retry may succeed if none is expected before `deadline`.
    pub(crate) async fn wait_for_leader(
        &self,
        group: &SharedName,
        deadline: Micros,
        priority: u32,
    ) -> Result<(), Micros> {
        let now = self.now();
        let proved_at = self.core.freshness(group).newest_proof();
        let outage = {
            let mut outages = self.outages.borrow_mut();
            let outage = outages.entry(group.clone()).or_insert_with(|| LeaderOutage::new(now));
            if outage.is_over(proved_at) {
                *outage = LeaderOutage::new(now);
            }
            *outage
        };
        match outage.step(deadline, priority, now.0, now) {
            OutageStep::Wait => {
                self.wait_for_change(deadline).await;
                Ok(())
            }
            OutageStep::Refuse { retry_after } => {
                self.core.count("outages.refused");
                Err(retry_after)
            }
        }
    }
}
