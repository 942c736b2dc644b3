//! Numbered events and the hybrid logical clock that orders them across processes.

use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Timestamp of a hybrid logical clock.
///
/// Timestamps stay close to wall time, and a cause always has a smaller timestamp than its effect.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HybridStamp {
    /// Wall time in milliseconds since the Unix epoch.
    pub millis: u64,
    /// Orders timestamps with equal `millis`.
    pub counter: u32,
}

impl HybridStamp {
    /// Returns the timestamp of a local event at wall time `now_ms`.
    #[must_use]
    pub const fn next(self, now_ms: u64) -> Self {
        if now_ms > self.millis {
            Self { millis: now_ms, counter: 0 }
        } else {
            Self { millis: self.millis, counter: self.counter + 1 }
        }
    }

    /// Returns the timestamp of the receipt, at wall time `now_ms`, of a message with the timestamp `remote`.
    #[must_use]
    pub fn merge(self, remote: Self, now_ms: u64) -> Self {
        self.max(remote).next(now_ms)
    }
}

macro_rules! events {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $text:literal;)*) => {
        /// Number of an event; `docs/events.md` lists all events.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[repr(u16)]
        pub enum EventNumber {
            $($(#[$doc])* $name = $number,)*
        }

        impl EventNumber {
            /// Every event, in ascending order.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the event's short text.
            #[must_use]
            pub const fn text(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }
        }
    };
}

events! {
    /// A process is ready to serve.
    ProcessReady = 1, "process ready";
    /// A process received a stop signal.
    ProcessStopping = 2, "process stopping";
    /// A process stopped after finishing its work.
    ProcessStopped = 3, "process stopped";
    /// An operator changed the log levels of a process.
    LevelsChanged = 4, "log levels changed";
    /// A changed certificate serves new connections.
    CertificateReloaded = 5, "certificate reloaded";
    /// Changed key or certificate files are not valid; the active pair stays in use.
    CertificateInvalid = 6, "certificate invalid";
    /// Log lines were dropped because the writer fell behind.
    LinesDropped = 7, "log lines dropped";
    /// A process reloaded its settings.
    SettingsReloaded = 8, "settings reloaded";
    /// A process ended because it could not start or continue.
    ProcessFailed = 9, "process failed";
    /// A task of a process panicked; the others go on.
    TaskPanicked = 10, "task panicked";
    /// A control replica became leader.
    LeaderElected = 101, "control leader elected";
    /// A control leader stepped down.
    LeaderLost = 102, "control leader stepped down";
    /// A control replica stopped voting because its disk failed.
    DiskFailed = 103, "control disk failed";
    /// A control replica installed a snapshot.
    SnapshotInstalled = 104, "snapshot installed";
    /// The set of control replicas changed.
    MembersChanged = 105, "control members changed";
    /// A replica requested to join the set of control replicas.
    JoinRequested = 106, "control replica asks to join";
    /// The leader decided to change the set of control replicas.
    RepairDecided = 107, "control members repaired";
    /// The disk of a control replica is full; the replica acknowledges nothing until there is room.
    DiskFull = 108, "control disk full";
    /// The disk of a control replica has room again.
    DiskHasRoom = 109, "control disk has room";
    /// A sheet was accepted.
    SheetAccepted = 201, "sheet accepted";
    /// A sheet was refused because its number is taken by other content.
    SheetConflict = 202, "sheet conflict";
    /// An entry applied a sheet.
    SheetApplied = 203, "sheet applied";
    /// A sheet was refused because it changes rows that are not in the operator's scope.
    SheetOutOfScope = 204, "sheet out of scope";
    /// A set of routes was accepted.
    RoutesAccepted = 205, "routes accepted";
    /// A set of routes changed nothing, since its version is not higher than the active one.
    RoutesOutdated = 206, "routes not newer";
    /// A set of routes was refused as invalid.
    RoutesInvalid = 207, "routes invalid";
    /// An entry applied routes, targets or primaries of the directory.
    DirectoryApplied = 208, "directory applied";
    /// The directory could not answer a request of an operator or a target with certainty.
    DirectoryUnavailable = 209, "directory unavailable";
    /// A team came near its limit; entries admit its operations at a pace.
    TeamPaced = 210, "team near its limit";
    /// A team is no longer near its limit.
    TeamUnpaced = 211, "team no longer near its limit";
    /// A control replica bounds the teams of its followers by itself, since no leader answers.
    StandbyBegan = 212, "limits held without a leader";
    /// A leader bounds the teams again.
    StandbyEnded = 213, "limits held by the leader again";
    /// An entry that is out of touch with control asks other entries to count operations.
    PeersAsked = 214, "operations counted by other entries";
    /// An entry joined.
    EntryJoined = 301, "entry joined";
    /// An entry's node lease expired.
    EntryExpired = 302, "entry expired";
    /// A target announced itself for the first time or with a new incarnation.
    TargetJoined = 303, "target joined";
    /// A target is leaving or was drained.
    TargetLeaving = 304, "target leaving";
    /// A broker was assigned to a target.
    BrokerAssigned = 305, "broker assigned";
    /// A report changed the directory's record of a target.
    TargetRecorded = 306, "target recorded";
    /// A target was removed from the directory.
    TargetRemoved = 307, "target removed";
    /// A report of a target was skipped as malformed or outdated.
    ReportSkipped = 308, "target report skipped";
    /// A target became unreachable for its broker.
    TargetUnreachable = 401, "target unreachable";
    /// A target became reachable again.
    TargetReachable = 402, "target reachable";
    /// A term was closed; writes of its primary are no longer acknowledged.
    TermClosed = 403, "term closed";
    /// The old broker confirmed that it stopped acknowledging.
    TermFenced = 404, "term fenced";
    /// A candidate for promotion was chosen.
    CandidateChosen = 405, "promotion candidate chosen";
    /// A target was promoted and its term is active.
    PrimaryPromoted = 406, "primary promoted";
    /// A broker acknowledged the first write of a term.
    FirstWrite = 407, "first write of the term acknowledged";
    /// The leader decided that a primary is lost, leaving or still serving.
    PrimaryJudged = 408, "primary judged";
    /// A promotion of a group began.
    PromotionBegun = 409, "promotion begun";
    /// The platform responded to a promotion order.
    PromotionOrdered = 410, "promotion ordered";
    /// A promotion ended.
    PromotionEnded = 411, "promotion ended";
    /// A primary that is being replaced was asked to stop acknowledging commits.
    PrimaryDemoted = 412, "primary demoted";
    /// A target that joined or restarted during a promotion was paused.
    JoinedTargetPaused = 413, "joined target paused";
    /// The remaining replicas of a group have what departed ones had received.
    HoldersConfirmed = 414, "departed holders confirmed";
    /// A replica whose process had ended was removed; the remaining ones have its commits.
    EndedReplicaRemoved = 415, "ended replica removed";
    /// An entry holds a node lease.
    LeaseGained = 501, "node lease gained";
    /// An entry lost its node lease.
    LeaseLost = 502, "node lease lost";
    /// A broker opened its target connections.
    BrokerOpened = 503, "broker opened";
    /// A broker closed its target connections.
    BrokerClosed = 504, "broker closed";
    /// A connection in an unknown protocol state was closed.
    ConnectionDiscarded = 505, "connection discarded";
    /// An entry follows a control replica.
    ControlFollowed = 506, "control followed";
    /// An entry lost the control replica that it followed.
    ControlLost = 507, "control lost";
    /// An entry may rely on its table of keys.
    KeysConfirmed = 508, "keys confirmed";
    /// An entry may not rely on its table of keys any more; it refuses operations with a key.
    KeysUnconfirmed = 509, "keys unconfirmed";
    /// A statement of a caller ended.
    StatementEnded = 601, "statement ended";
    /// An attempt to run a statement failed and another one follows.
    AttemptFailed = 602, "attempt failed";
    /// A transaction ended.
    TransactionEnded = 603, "transaction ended";
    /// A session was refused.
    SessionRefused = 604, "session refused";
    /// A session was ended by something other than its caller.
    SessionEnded = 605, "session ended";
    /// A read was sent to a second target because the first one did not respond.
    ReadHedged = 606, "read hedged";
    /// A statement was refused at once because it would have waited past its deadline.
    SlotRefused = 607, "slot refused";
    /// A target is left out of reads because it serves them worse than the others of its group.
    TargetLeftOut = 608, "target left out";
    /// A target that was left out serves reads again.
    TargetReturned = 609, "target returned";
    /// A target's success was not passed on because a promotion may roll the commit back.
    CommitDoubted = 610, "commit doubted";
}

impl EventNumber {
    /// Returns the number.
    #[must_use]
    pub const fn number(self) -> u16 {
        self as u16
    }
}

impl fmt::Display for EventNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "BS{:03} {}", self.number(), self.text())
    }
}
