//! Targets of a group that serve reads worse than the others, as judged by their answers.
//!
//! A health check answers well on a target that fails or delays part of its statements, and a target that goes down
//! and up again passes it half of the time. Only the answers to statements show it.

use {
    super::placement::ReadCandidate,
    crate::{collections::FastMap, names::SharedName, time::Micros},
};

/// Consecutive bad answers after which a target is left out. A single lost answer occurs on sound targets as well.
const MAX_BAD_ANSWERS: u32 = 2;

/// Share of bad answers from which a target is left out, in thousandths, if the others are better by as much.
const MAX_BAD_SHARE: u32 = 250;

/// Answers before the share counts.
const MIN_ANSWERS: u32 = 6;

/// Weight of an answer in the share of bad ones, as a divisor.
const SHARE_WEIGHT: u32 = 8;

/// Multiple of the usual latency from which an answer counts as bad. The usual latency is the target's own average, or
/// that of the best other target if it is higher: a target that is only overloaded answers late, but not later than usual,
/// and its cost moves reads away from it.
const SLOW_FACTOR: u64 = 4;

/// Latency below which no answer counts as slow: half of the 600 ms within which callers want theirs.
const MIN_SLOW_LATENCY: Micros = Micros::from_millis(300);

/// Time for which a target is left out for the first time; a server that flaps changes within two seconds.
const FIRST_PAUSE: Micros = Micros::from_millis(1_000);

/// Longest time for which a target is left out before it is tried again.
const MAX_PAUSE: Micros = Micros::from_secs(4);

/// Good answers after which a target that was tried again is in service.
const GOOD_PROBES: u32 = 2;

/// Answers, the last ones all good, after which earlier failures no longer lengthen the time for which a target is left
/// out.
const SETTLED_ANSWERS: u32 = 100;

/// Time after which a read that tries a target again counts as lost, so that another one may.
const PROBE_TIMEOUT: Micros = Micros::from_millis(1_000);

/// Share of a group's replicas that may be left out, as a divisor: the others have to bear the load of all.
const MAX_LEFT_OUT_DIVISOR: usize = 2;

/// Change in the use of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutlierChange {
    /// No change.
    None,
    /// The target is left out for this time.
    LeftOut {
        /// Time until it is tried again.
        pause: Micros,
        /// Share of bad answers, in thousandths.
        bad_share: u32,
    },
    /// The target is in service again.
    Returned,
}

/// Use of a target for reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetUse {
    /// Used as its cost says.
    Normal,
    /// Due to be tried with one read.
    Probe,
    /// Used only if no other target can serve the read.
    LastResort,
}

/// Answers of one target.
#[derive(Clone, Copy, Debug, Default)]
struct AnswerRecord {
    answers: u32,
    /// Moving average of bad answers, in thousandths.
    bad_share: u32,
    /// Bad answers since the last good one.
    consecutive: u32,
    /// Moving average of the latency of answers.
    latency: Option<Micros>,
    /// End of the time for which the target is left out.
    until: Option<Micros>,
    pause: Micros,
    good_probes: u32,
    /// Start of the read that tries the target again.
    probed_at: Option<Micros>,
}

impl AnswerRecord {
    const fn record(&mut self, bad: bool) {
        self.answers = self.answers.saturating_add(1);
        let sample = if bad { 1_000 } else { 0 };
        self.bad_share = (self.bad_share * (SHARE_WEIGHT - 1) + sample) / SHARE_WEIGHT;
        self.consecutive = if bad { self.consecutive + 1 } else { 0 };
        if self.answers >= SETTLED_ANSWERS && self.bad_share == 0 {
            self.pause = Micros::ZERO;
        }
    }

    fn leave_out(&mut self, now: Micros) -> OutlierChange {
        let doubled = Micros(self.pause.0 * 2).clamp(FIRST_PAUSE, MAX_PAUSE);
        self.pause = doubled;
        self.until = Some(now + doubled);
        self.good_probes = 0;
        self.probed_at = None;
        OutlierChange::LeftOut { pause: doubled, bad_share: self.bad_share }
    }

    fn record_probe(&mut self, bad: bool, now: Micros) -> OutlierChange {
        self.probed_at = None;
        if self.until.is_some_and(|until| until > now) {
            // A read that was sent before the target was left out, or one without another choice.
            return OutlierChange::None;
        }
        if bad {
            return self.leave_out(now);
        }
        self.good_probes += 1;
        if self.good_probes < GOOD_PROBES {
            return OutlierChange::None;
        }
        *self = Self { pause: self.pause, latency: self.latency, ..Self::default() };
        OutlierChange::Returned
    }
}

/// Answers of the targets of one group, and which of them are left out.
///
/// Designed for reads of a group while one of its targets fails or delays part of its statements, hangs or goes down
/// and up. Writes have no choice of target and are not affected.
#[derive(Clone, Debug, Default)]
pub struct OutlierDetector {
    records: FastMap<SharedName, AnswerRecord>,
}

impl OutlierDetector {
    /// Records the outcome of a read on a target of a group with this number of replicas in service; `latency` is that
    /// of an answer, `None` if the target failed or did not answer.
    pub fn record(
        &mut self,
        target: &SharedName,
        latency: Option<Micros>,
        replicas: usize,
        now: Micros,
    ) -> OutlierChange {
        let slow_latency = self.slow_latency(target);
        let others = self.best_share_of_others(target);
        let left_out = self.left_out(now, target);
        let record = self.records.entry(target.clone()).or_default();
        let bad = latency.is_none_or(|latency| latency > slow_latency);
        record.record(bad);
        if let Some(latency) = latency {
            let average = record.latency.map_or(latency.0, |known| (known.0 * 7 + latency.0) / 8);
            record.latency = Some(Micros(average));
        }
        if record.until.is_some() {
            return record.record_probe(bad, now);
        }
        let repeated = record.consecutive >= MAX_BAD_ANSWERS;
        let frequent = record.answers >= MIN_ANSWERS
            && record.bad_share >= MAX_BAD_SHARE
            && record.bad_share >= others + MAX_BAD_SHARE;
        // While all targets are bad, none of them is worse than the others.
        let others_are_better = others < MAX_BAD_SHARE;
        let room = left_out < replicas / MAX_LEFT_OUT_DIVISOR;
        if bad && (repeated || frequent) && others_are_better && room {
            return record.leave_out(now);
        }
        OutlierChange::None
    }

    /// Returns how a target may be used for a read now.
    #[must_use]
    pub fn target_use(&self, target: &str, now: Micros) -> TargetUse {
        let Some(record) = self.records.get(target) else { return TargetUse::Normal };
        match record.until {
            None => TargetUse::Normal,
            Some(until) if until > now => TargetUse::LastResort,
            Some(_) => match record.probed_at {
                Some(probed_at) if now.since(probed_at) < PROBE_TIMEOUT => TargetUse::LastResort,
                _ => TargetUse::Probe,
            },
        }
    }

    /// Records that a read is sent to a target to try it again.
    pub fn record_probe_sent(&mut self, target: &str, now: Micros) {
        if let Some(record) = self.records.get_mut(target) {
            record.probed_at = Some(now);
        }
    }

    /// Drops the records of targets that are no longer in the group.
    pub fn retain<F>(&mut self, mut is_member: F)
    where
        F: FnMut(&str) -> bool,
    {
        self.records.retain(|name, _| is_member(name));
    }

    /// Returns the latency above which an answer of a target counts as bad.
    #[must_use]
    pub fn slow_latency(&self, target: &SharedName) -> Micros {
        let (mut own, mut best) = (Micros::ZERO, None::<Micros>);
        for (name, record) in &self.records {
            let Some(latency) = record.latency else { continue };
            if name == target {
                own = latency;
                continue;
            }
            best = Some(best.map_or(latency, |best| best.min(latency)));
        }
        // Without another target to compare with, no answer is slow.
        let Some(best) = best else { return Micros(u64::MAX) };
        Micros(best.max(own).0 * SLOW_FACTOR).max(MIN_SLOW_LATENCY)
    }

    fn best_share_of_others(&self, target: &SharedName) -> u32 {
        let mut best = None::<u32>;
        for (name, record) in &self.records {
            if name == target || record.answers == 0 {
                continue;
            }
            best = Some(best.map_or(record.bad_share, |best| best.min(record.bad_share)));
        }
        best.unwrap_or(0)
    }

    fn left_out(&self, now: Micros, except: &SharedName) -> usize {
        let mut count = 0;
        for (name, record) in &self.records {
            let stale = record.until.is_none_or(|until| now.since(until) > MAX_PAUSE);
            count += usize::from(name != except && !stale);
        }
        count
    }
}

/// Moves the candidates that are left out behind the others, and one that is to be tried again to the front.
///
/// The candidates may all serve the read, and are sorted by cost. Returns the index of the one that is tried again.
pub fn apply_target_use<F>(candidates: &mut [ReadCandidate], target_use: F) -> Option<usize>
where
    F: Fn(usize) -> TargetUse,
{
    candidates.sort_by_key(|candidate| match target_use(candidate.index) {
        TargetUse::Probe => 0,
        TargetUse::Normal => 1,
        TargetUse::LastResort => 2,
    });
    let first = candidates.first()?;
    (target_use(first.index) == TargetUse::Probe).then_some(first.index)
}
