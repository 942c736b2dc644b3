//! Token buckets of all teams at the leader of control.

use {
    super::{
        FULL_RATE, PACE_LIFETIME, TOLERANCE_SPAN, TeamPace, TeamUsage, demand::ReportedDemand,
        seconds, tolerance,
    },
    crate::{
        collections::FastMap,
        directory::{TeamLimit, TeamRule},
        names::SharedName,
        time::Micros,
    },
    std::{collections::BTreeMap, mem},
};

/// Time over which the demand of a team is averaged.
const DEMAND_MEMORY: Micros = Micros::from_millis(300);

/// Time from an operation at an entry until a pace that reflects it is in force at all entries.
const FEEDBACK_DELAY: f64 = 0.25;

/// Time in which the pace brings the level of a bucket to its target; a shorter one than the delay would oscillate.
const LEVEL_HORIZON: f64 = 0.6;

/// Refill of a bucket as a part of the rate, which uses a part of the tolerance.
const REFILL_PART: f64 = 1.03;

/// Time for which the rate is credited with the first report that doesn't tell what time it covers.
const FIRST_SPAN: f64 = 0.7;

/// Longest time for which the first report credits the rate: the window of the limit.
const FIRST_SPAN_MAXIMUM: f64 = TOLERANCE_SPAN;

/// Silence after which a replica counts as cut off from the leader; two of its rounds are missing then.
const REPLICA_SILENCE: Micros = Micros::from_millis(500);

/// Time after which the followers of a replica that is cut off have moved, or rely on no keys any more.
const REPLICA_SILENCE_MAXIMUM: Micros = Micros::from_millis(4_500);

/// Part of the tolerance by which a team may be in debt before it is paced, so that small teams may vary.
const PACED_DEBT: f64 = 0.25;

/// Part of the tolerance that paced teams may use for long; the rest is for entries that are cut off and for what entries
/// admit until they learn of a change.
const TARGET_DEBT: f64 = 0.05;

/// Seconds of the rate by which the level of a paced team varies, since entries report every 200 ms. A burst that is
/// smaller leaves no room above the target, and a level that reaches the burst loses what it would gain.
const REPORT_SWING: f64 = 0.2;

/// Smallest part of its rate that a team in debt is admitted, so that a debt never stops a team.
const RATE_FLOOR: f64 = 0.1;

/// Share from which a team counts as far from its limit.
const LIFTED_SHARE: f64 = 1.0;

/// Usage of the followers of one replica since its last report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsageReport {
    /// Host of the replica.
    pub replica: SharedName,
    /// Operations of each team.
    pub usage: Vec<TeamUsage>,
    /// Time that the usage covers, if the replica knows it.
    pub span: Option<Micros>,
    /// Number of entries that follow the replica.
    pub followers: usize,
    /// Paces at which the replica bounded its followers since it last had a leader.
    pub paces: Vec<TeamPace>,
}

/// Processes that report usage to the leader, directly or through a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ControlMembers {
    /// Number of entries in the directory.
    pub entries: usize,
    /// Number of control replicas in the directory.
    pub replicas: usize,
}

/// Newest report of a replica.
#[derive(Clone, Copy, Debug)]
struct ReplicaState {
    reported: Micros,
    followers: usize,
}

/// Times that a report covers, in seconds.
#[derive(Clone, Copy, Debug)]
struct ReportSpans {
    /// Time since the replica's last report to any leader.
    span: f64,
    /// Time for which a bucket without earlier reports is credited.
    first_span: f64,
    /// Whether the replica could not reach this leader before.
    was_cut_off: bool,
}

/// Bucket of one team.
#[derive(Clone, Debug)]
struct TeamBucket {
    limit: TeamLimit,
    /// Part of the limit that this bucket stands for.
    part: f64,
    /// Operations that may run at once; a debt if negative.
    level: f64,
    /// Time of `level`; `None` before the first report to this leader.
    updated: Option<Micros>,
    /// Time of the first report to this leader.
    opened: Micros,
    /// Whether the team was near its limit before this leader's time, so that it has no burst left.
    paced_before: bool,
    /// Operations for replicas that are cut off, which report later what they used.
    withheld: f64,
    demand: ReportedDemand,
    /// Admitted part of the demand.
    share: f64,
    /// When the share became 1 last.
    lifted: Option<Micros>,
}

impl TeamBucket {
    fn new(limit: TeamLimit, part: f64) -> Self {
        Self {
            limit,
            part,
            level: 0.0,
            updated: None,
            opened: Micros::ZERO,
            paced_before: false,
            withheld: 0.0,
            demand: ReportedDemand::default(),
            share: 1.0,
            lifted: None,
        }
    }

    const fn rate(&self) -> f64 {
        self.limit.rate as f64 / 1_000.0 * self.part
    }

    const fn burst(&self) -> f64 {
        self.limit.burst as f64 * self.part
    }

    fn tolerance(&self) -> f64 {
        tolerance(self.limit) * self.part
    }

    /// Adds what the bucket gained since the last call; `first_span` is the time in seconds that the first one covers.
    ///
    /// The first credit may exceed the burst until all replicas have reported what it pays for.
    fn refill(&mut self, first_span: f64, now: Micros) {
        let gained = self.rate() * REFILL_PART;
        let Some(updated) = self.updated else {
            self.level += gained * first_span;
            self.updated = Some(now);
            self.opened = now;
            return;
        };
        let elapsed = seconds(now.since(updated));
        let whole_rate = self.limit.rate as f64 / 1_000.0;
        let reserved = whole_rate * (1.0 - self.part);
        self.withheld = (self.withheld + reserved * elapsed).min(whole_rate * TOLERANCE_SPAN);
        let maximum = if self.is_opening(now) {
            self.burst().max(self.level)
        } else if mem::take(&mut self.paced_before) {
            0.0
        } else {
            self.burst()
        };
        self.level = (self.level + gained * elapsed).min(maximum);
        self.updated = Some(updated.max(now));
    }

    fn is_opening(&self, now: Micros) -> bool {
        now.since(self.opened) < REPLICA_SILENCE
    }

    /// Books operations; those of a replica that was cut off use what was withheld for it.
    fn book(&mut self, admitted: f64, was_cut_off: bool) {
        self.level -= admitted;
        if was_cut_off {
            let paid = self.withheld.min(admitted);
            self.withheld -= paid;
            self.level += paid;
        }
    }

    /// Computes the share that brings the level, which must be refilled, to its target.
    fn update_share(&mut self, now: Micros) {
        let demand = self.demand.at(DEMAND_MEMORY, now);
        let excess = (demand * self.share - self.rate()).max(0.0);
        let debt = if self.share < LIFTED_SHARE {
            let missing_room = self.rate() * REPORT_SWING - self.burst();
            self.tolerance() * TARGET_DEBT + missing_room.max(0.0)
        } else {
            self.tolerance() * PACED_DEBT
        };
        // A first credit beyond the burst only pays for reports that are still to come.
        let level = self.level.min(if self.paced_before { 0.0 } else { self.burst() });
        let expected = level - excess * FEEDBACK_DELAY + debt;
        let admitted = (self.rate() + expected / LEVEL_HORIZON).max(self.rate() * RATE_FLOOR);
        let share = if demand > admitted { admitted / demand } else { 1.0 };
        if share < LIFTED_SHARE {
            self.lifted = None;
        } else if self.share < LIFTED_SHARE {
            self.lifted = Some(now);
        }
        self.share = share;
    }

    /// Returns the pace to announce: `Some(None)` for a while after the team left its limit.
    fn pace(&self, now: Micros) -> Option<Option<u64>> {
        if self.share < LIFTED_SHARE {
            return Some(Some((self.share * FULL_RATE as f64) as u64));
        }
        let lifted = self.lifted?;
        (now.since(lifted) < PACE_LIFETIME).then_some(None)
    }
}

/// Token buckets of the teams with a limit.
#[derive(Debug)]
pub struct LimitLedger {
    buckets: BTreeMap<SharedName, TeamBucket>,
    replicas: BTreeMap<SharedName, ReplicaState>,
    members: ControlMembers,
    /// Time of the first report to this leader.
    began: Option<Micros>,
    /// Part of each limit that the buckets stand for.
    part: f64,
}

impl Default for LimitLedger {
    fn default() -> Self {
        Self {
            buckets: BTreeMap::new(),
            replicas: BTreeMap::new(),
            members: ControlMembers::default(),
            began: None,
            part: 1.0,
        }
    }
}

impl LimitLedger {
    /// Returns a ledger without teams.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the limits of all teams; the buckets of new ones are empty.
    pub fn set_teams(&mut self, teams: &BTreeMap<SharedName, TeamRule>, now: Micros) {
        self.buckets.retain(|team, _| teams.get(team).is_some_and(|rule| rule.limit.is_some()));
        for (team, rule) in teams {
            let Some(limit) = rule.limit else {
                continue;
            };
            let new = || TeamBucket::new(limit, self.part);
            let bucket = self.buckets.entry(team.clone()).or_insert_with(new);
            if bucket.limit != limit {
                bucket.refill(FIRST_SPAN, now);
                bucket.limit = limit;
                bucket.level = bucket.level.min(bucket.burst());
            }
        }
    }

    /// Takes the sizes of the system; some of it may be cut off from the leader.
    pub const fn set_members(&mut self, members: ControlMembers) {
        self.members = members;
    }

    /// Adds the usage of a replica's followers and returns the paces of all teams near their limit.
    pub fn record(&mut self, report: &UsageReport, now: Micros) -> Vec<TeamPace> {
        let state = ReplicaState { reported: now, followers: report.followers };
        let first_span =
            report.span.map_or(FIRST_SPAN, |span| seconds(span).min(FIRST_SPAN_MAXIMUM));
        let began = *self.began.get_or_insert(now);
        let last = self.replicas.insert(report.replica.clone(), state);
        let silent_since = last.map_or(began, |last| last.reported);
        let was_cut_off = now.since(silent_since) >= REPLICA_SILENCE;
        let span = last.map_or(first_span, |last| seconds(now.since(last.reported)));
        // A leader that has led for a while knows better than a replica that returns.
        let is_new = now.since(began) < REPLICA_SILENCE;
        for pace in report.paces.iter().filter(|_| is_new) {
            let Some(bucket) = self.buckets.get_mut(&pace.team) else {
                continue;
            };
            if let Some(rate) = pace.rate {
                bucket.share = bucket.share.min(rate as f64 / FULL_RATE as f64);
                bucket.paced_before = true;
            }
        }
        let part = self.reachable_part(began, now);
        self.set_part(part);
        let paces = self.add(report, ReportSpans { span, first_span, was_cut_off }, now);
        if part >= 1.0 {
            for bucket in self.buckets.values_mut() {
                bucket.withheld = 0.0;
            }
        }
        paces
    }

    /// Returns the part of the limits that is left while replicas bound their followers alone.
    ///
    /// Followers that have moved to a replica in touch count there, so the part grows as they arrive.
    fn reachable_part(&self, began: Micros, now: Micros) -> f64 {
        let is_cut_off = |since: Micros| {
            let silence = now.since(since);
            (REPLICA_SILENCE..REPLICA_SILENCE_MAXIMUM).contains(&silence)
        };
        let mut any_cut_off = self.replicas.len() < self.members.replicas && is_cut_off(began);
        let mut reachable = 0;
        for state in self.replicas.values() {
            any_cut_off |= is_cut_off(state.reported);
            if now.since(state.reported) < REPLICA_SILENCE {
                reachable += state.followers;
            }
        }
        let entries = self.members.entries;
        if !any_cut_off || reachable == 0 || reachable >= entries {
            return 1.0;
        }
        reachable as f64 / entries as f64
    }

    /// Adds the usage of the followers of the only replica, which is granted a part of each limit.
    pub(super) fn record_alone(
        &mut self,
        report: &UsageReport,
        part: f64,
        now: Micros,
    ) -> Vec<TeamPace> {
        let state = ReplicaState { reported: now, followers: report.followers };
        let last = self.replicas.insert(report.replica.clone(), state);
        let span = last.map_or(FIRST_SPAN, |last| seconds(now.since(last.reported)));
        self.set_part(part);
        self.add(report, ReportSpans { span, first_span: FIRST_SPAN, was_cut_off: false }, now)
    }

    /// Makes the buckets stand for a part of each limit.
    fn set_part(&mut self, part: f64) {
        self.part = part;
        for bucket in self.buckets.values_mut() {
            bucket.part = part;
        }
    }

    fn add(&mut self, report: &UsageReport, spans: ReportSpans, now: Micros) -> Vec<TeamPace> {
        for bucket in self.buckets.values_mut() {
            bucket.refill(spans.first_span, now);
        }
        let mut asked = FastMap::default();
        for used in &report.usage {
            let Some(bucket) = self.buckets.get_mut(&used.team) else {
                continue;
            };
            bucket.book(f64::from(used.admitted), spans.was_cut_off);
            asked.insert(&used.team, f64::from(used.admitted) + f64::from(used.refused));
        }
        let mut paces = Vec::new();
        for (team, bucket) in &mut self.buckets {
            let operations = asked.get(team).copied().unwrap_or(0.0);
            bucket.demand.record(&report.replica, operations, spans.span, DEMAND_MEMORY, now);
            bucket.update_share(now);
            let Some(rate) = bucket.pace(now) else {
                continue;
            };
            paces.push(TeamPace { team: team.clone(), rate });
        }
        paces
    }

    /// Takes over the shares of a ledger that knows the usage of all entries.
    ///
    /// A team that it does not pace is in no debt, however unevenly its operations are spread; one that it paces has
    /// used up its burst.
    pub(super) fn align(&mut self, paces: &[TeamPace]) {
        let mut shares = FastMap::default();
        for pace in paces {
            if let Some(rate) = pace.rate {
                shares.insert(&pace.team, rate as f64 / FULL_RATE as f64);
            }
        }
        for (team, bucket) in &mut self.buckets {
            if let Some(share) = shares.get(team) {
                bucket.level = bucket.level.min(0.0);
                bucket.share = *share;
            } else {
                bucket.level = bucket.level.max(0.0);
                bucket.share = 1.0;
            }
            bucket.lifted = None;
        }
    }

    /// Forgets what all teams used, since leadership is lost; the buckets are empty when it is regained.
    pub fn clear(&mut self) {
        for bucket in self.buckets.values_mut() {
            *bucket = TeamBucket::new(bucket.limit, self.part);
        }
        self.replicas.clear();
        self.began = None;
    }
}
