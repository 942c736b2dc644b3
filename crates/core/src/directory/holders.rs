//! Processes of targets that have left and may be the only replicas that had received an acknowledged commit.

use {
    super::targets::{TargetReport, TargetState},
    crate::{
        collections::FastMap,
        names::SharedName,
        position::{LogPosition, LogTerm},
        time::Micros,
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, VecDeque},
};

/// Maximum number of departed holders of a group that are kept until their commits are known to be elsewhere.
const MAX_HOLDERS: usize = 256;

/// Time for which a process may go on confirming commits after its departure was recorded: it ends once that is
/// acknowledged.
const EXIT_TIMEOUT: Micros = Micros::from_secs(1);

/// Interval at which a leader confirms the logs of a group without a known departure. Replicas that have read a snapshot of
/// an earlier version do not know who has left.
const RENEWAL_INTERVAL: Micros = Micros::from_secs(30);

/// Process of a target that receives no more commits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartedHolder {
    /// Name of the target; empty if an earlier version did not record it.
    pub target: SharedName,
    /// Address of the target.
    pub address: SharedName,
    /// Start time of the process.
    pub incarnation: u64,
    /// Whether the process was leaving: its log passes to the next target of the group at its address.
    pub was_leaving: bool,
    /// Log index of the command that recorded the departure.
    pub since: u64,
}

impl DepartedHolder {
    /// Creates the record of a process that leaves, or is replaced, at a log index.
    #[must_use]
    pub fn of(report: &TargetReport, since: u64) -> Self {
        Self {
            target: report.target.clone(),
            address: report.address.clone(),
            incarnation: report.order.incarnation,
            was_leaving: report.state == TargetState::Draining,
            since,
        }
    }

    /// Creates the record of departures before a log index that an earlier version may have dropped.
    #[must_use]
    pub fn unrecorded(since: u64) -> Self {
        Self {
            target: SharedName::default(),
            address: SharedName::default(),
            incarnation: 0,
            was_leaving: false,
            since,
        }
    }

    /// Returns whether a target that reports itself has taken over the log.
    fn is_succeeded_by(&self, report: &TargetReport) -> bool {
        self.was_leaving
            && self.address == report.address
            && self.target != report.target
            && self.incarnation <= report.order.incarnation
    }
}

/// Departed holders by group, in the order of their departure.
///
/// A promotion counts each as a replica that does not respond. One is forgotten once the remaining replicas are known to
/// have what it had received, or its successor is recorded and is asked instead.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartedHolders {
    groups: BTreeMap<SharedName, VecDeque<DepartedHolder>>,
    /// Whether the directory comes from a snapshot of a version that did not record them.
    #[serde(skip)]
    unrecorded: bool,
}

impl DepartedHolders {
    /// Returns the value for a snapshot that does not have it.
    #[must_use]
    pub fn unrecorded() -> Self {
        Self { unrecorded: true, ..Self::default() }
    }

    /// Adds a holder to each group whose commits wait for replicas if the departures until a log index are not recorded.
    pub fn complete<G>(&mut self, groups: G, since: u64)
    where
        G: Iterator<Item = SharedName>,
    {
        if !std::mem::take(&mut self.unrecorded) {
            return;
        }
        for group in groups {
            self.push(&group, DepartedHolder::unrecorded(since));
        }
    }

    /// Returns the holders of a group.
    pub fn of(&self, group: &str) -> impl Iterator<Item = &DepartedHolder> {
        self.groups.get(group).into_iter().flatten()
    }

    /// Adds a holder, and forgets the oldest ones beyond the maximum number.
    pub fn push(&mut self, group: &SharedName, holder: DepartedHolder) {
        let holders = self.groups.entry(group.clone()).or_default();
        holders.push_back(holder);
        while holders.len() > MAX_HOLDERS {
            holders.pop_front();
        }
    }

    /// Forgets the holders whose log a reported target has taken over.
    pub fn hand_over(&mut self, report: &TargetReport) {
        self.retain(&report.group, |holder| !holder.is_succeeded_by(report));
    }

    /// Forgets the holders of a group that departed up to a log index; returns whether there were any.
    pub fn confirm(&mut self, group: &SharedName, until: u64) -> bool {
        self.retain(group, |holder| holder.since > until)
    }

    /// Forgets the holders of groups whose commits do not wait for replicas.
    pub fn retain_groups<F>(&mut self, waits: F)
    where
        F: Fn(&SharedName) -> bool,
    {
        self.groups.retain(|group, _| waits(group));
    }

    fn retain<F>(&mut self, group: &SharedName, is_kept: F) -> bool
    where
        F: Fn(&DepartedHolder) -> bool,
    {
        let Some(holders) = self.groups.get_mut(group) else { return false };
        let before = holders.len();
        holders.retain(is_kept);
        let changed = holders.len() < before;
        if holders.is_empty() {
            self.groups.remove(group);
        }
        changed
    }
}

/// Time for which the address of a replica must refuse connections until its process counts as ended for good; one that
/// restarts accepts them again within seconds.
const REPLICA_END_TIMEOUT: Micros = Micros::from_secs(4);

/// Replicas whose addresses refuse connections, with the time since when they do.
///
/// Only that shows that a process has ended: one that does not respond may go on receiving and confirming commits.
#[derive(Clone, Debug, Default)]
pub struct EndedReplicas {
    since: FastMap<SharedName, (u64, Micros)>,
}

impl EndedReplicas {
    /// Takes a check of the replica with the given start time, and returns whether its process has ended for good.
    pub fn observe(
        &mut self,
        now: Micros,
        target: &SharedName,
        incarnation: u64,
        is_refused: bool,
    ) -> bool {
        if !is_refused {
            self.since.remove(target);
            return false;
        }
        let recorded = self.since.get(target).filter(|(known, _)| *known == incarnation);
        let (_, since) = *recorded.unwrap_or(&(incarnation, now));
        self.since.insert(target.clone(), (incarnation, since));
        now.since(since) >= REPLICA_END_TIMEOUT
    }

    /// Forgets the replicas that are not listed any more.
    pub fn retain<F>(&mut self, is_listed: F)
    where
        F: Fn(&SharedName) -> bool,
    {
        self.since.retain(|target, _| is_listed(target));
    }
}

/// Returns whether as many replicas as a commit waits for have all that the primary had.
#[must_use]
pub fn is_covered(primary: ServerLog, replicas: &[ServerLog], sync_replicas: u32) -> bool {
    let covering = replicas.iter().filter(|replica| replica.covers(primary)).count();
    u32::try_from(covering).unwrap_or(u32::MAX) >= sync_replicas
}

/// Log of one server as it reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerLog {
    /// Term of the primary that it is or follows.
    pub term: LogTerm,
    /// Last log position that it has received.
    pub received: LogPosition,
}

impl ServerLog {
    /// Returns whether a replica with this log has all that the primary had.
    ///
    /// A primary may count its position in a term in which nothing is committed yet. A replica that follows that term has
    /// given up what its primary lacks, so the numbers compare.
    #[must_use]
    pub fn covers(self, primary: Self) -> bool {
        let same_term = self.term == primary.term;
        self.received >= primary.received
            || (same_term && self.received.offset >= primary.received.offset)
    }
}

/// Next step towards the proof that the remaining replicas of a group have what departed ones had received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProofStep {
    /// Nothing is to be proven at present.
    Wait,
    /// Ask the departed processes whether they still run, then the primary for its position.
    AskPrimary,
    /// Ask the replicas for their positions.
    AskReplicas,
    /// Record that the holders which departed up to this log index are not needed any more.
    Confirm {
        /// Log index up to which the departures are covered.
        until: u64,
    },
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ProofStage {
    #[default]
    Idle,
    /// Processes that departed up to the index may still end.
    Ending { until: u64, since: Micros },
    /// The processes have ended; the primary had this log afterwards.
    Ended { until: u64, primary: ServerLog },
    /// Enough replicas have that log.
    Covered { until: u64 },
}

/// Proof that no departed process of a group is the only replica with an acknowledged commit.
///
/// Once it has ended, a departed process confirms nothing, so each commit that it confirmed is in the log that the primary
/// has then. If as many replicas as confirm a commit have received that log, a promotion finds one of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct HolderProof {
    stage: ProofStage,
    renewed_at: Option<Micros>,
}

impl HolderProof {
    /// Returns the next step; `version` is the log index of the directory that lists the departed holders, and
    /// `has_holders` whether there are any.
    pub fn next_step(&mut self, now: Micros, version: u64, has_holders: bool) -> ProofStep {
        match self.stage {
            ProofStage::Idle => {
                let is_due = self.renewed_at.is_none_or(|at| now.since(at) >= RENEWAL_INTERVAL);
                if has_holders || is_due {
                    self.stage = ProofStage::Ending { until: version, since: now };
                }
                ProofStep::Wait
            }
            ProofStage::Ending { since, .. } if now.since(since) < EXIT_TIMEOUT => ProofStep::Wait,
            ProofStage::Ending { .. } => ProofStep::AskPrimary,
            ProofStage::Ended { .. } => ProofStep::AskReplicas,
            ProofStage::Covered { until } => ProofStep::Confirm { until },
        }
    }

    /// Takes the log that the primary has after all departed processes have ended.
    pub const fn primary_answered(&mut self, primary: ServerLog) {
        if let ProofStage::Ending { until, .. } = self.stage {
            self.stage = ProofStage::Ended { until, primary };
        }
    }

    /// Takes the logs of the replicas that answered.
    pub fn replicas_answered(&mut self, replicas: &[ServerLog], sync_replicas: u32) {
        let ProofStage::Ended { until, primary } = self.stage else { return };
        if is_covered(primary, replicas, sync_replicas) {
            self.stage = ProofStage::Covered { until };
        }
    }

    /// Begins anew, as the primary changes or the proof is recorded.
    pub const fn reset(&mut self) {
        self.stage = ProofStage::Idle;
    }

    /// Notes that the proof is recorded.
    pub const fn recorded(&mut self, now: Micros) {
        self.renewed_at = Some(now);
        self.reset();
    }
}
