//! Routes: which group serves a database, how fresh its reads are and how long statements may take.

use {
    crate::{collections::FastSet, names::SharedName, time::Micros},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
    thiserror::Error,
};

/// Freshness that the reads of a route need.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReadRule {
    /// Reads see every commit that was acknowledged before they began.
    Latest,
    /// Reads may lack commits that are younger than the limit.
    Bounded {
        /// Greatest age of a commit that a read may lack.
        max_age: Micros,
    },
    /// As `Bounded`, but reads also see every commit of their own session.
    Session {
        /// Greatest age of another session's commit that a read may lack.
        max_age: Micros,
    },
}

impl ReadRule {
    /// Returns the greatest age of a commit that a read may lack.
    #[must_use]
    pub const fn max_age(self) -> Micros {
        match self {
            Self::Latest => Micros::ZERO,
            Self::Bounded { max_age } | Self::Session { max_age } => max_age,
        }
    }
}

/// Rule for the callers of one database.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Database that callers name when they connect.
    pub database: SharedName,
    /// Part of the database that the route covers; statement protocols have no use for it.
    pub path: SharedName,
    /// Group that serves the database.
    pub group: SharedName,
    /// Freshness of reads.
    pub reads: ReadRule,
    /// Longest time that one statement may take.
    pub statement_timeout: Micros,
    /// Time within which an operation is worth most to its caller.
    pub latency_goal: Micros,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
}

/// Rule for one database group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRule {
    /// Name of the group.
    pub group: SharedName,
    /// Connections that each server of the group accepts from all callers together.
    pub connections: u32,
    /// Replicas that have received a commit before it is acknowledged.
    pub sync_replicas: u32,
}

/// Limits that hold for all routes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteLimits {
    /// Time after which an idle transaction may be ended; zero sets no limit.
    pub idle_transaction: Micros,
}

/// Complete set of routes under one version, as an operator sends it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteDraft {
    /// Version; the highest one is in force.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RouteRule>,
    /// Groups.
    pub groups: Vec<GroupRule>,
    /// Limits.
    pub limits: RouteLimits,
}

/// Why a draft cannot come into force.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RouteFault {
    /// A route names a group that the draft does not list.
    #[error("route to database {database:?} names the unknown group {group:?}")]
    UnknownGroup {
        /// Database of the route.
        database: SharedName,
        /// The name.
        group: SharedName,
    },
    /// Two routes have the same database and path.
    #[error("two routes have the database {database:?} and the path {path:?}")]
    DuplicateRoute {
        /// Database of both.
        database: SharedName,
        /// Path of both.
        path: SharedName,
    },
    /// Two groups have the same name.
    #[error("two groups have the name {group:?}")]
    DuplicateGroup {
        /// The name.
        group: SharedName,
    },
    /// Statements of a route would have no time.
    #[error("the statement timeout of database {database:?} is zero")]
    ZeroTimeout {
        /// Database of the route.
        database: SharedName,
    },
}

impl RouteDraft {
    /// Checks that the draft can come into force.
    ///
    /// # Errors
    ///
    /// Returns every fault.
    pub fn check(&self) -> Result<(), Vec<RouteFault>> {
        let mut faults = Vec::new();
        let mut groups = FastSet::default();
        for rule in &self.groups {
            if !groups.insert(&rule.group) {
                faults.push(RouteFault::DuplicateGroup { group: rule.group.clone() });
            }
        }
        let mut places = FastSet::default();
        for rule in &self.routes {
            let database = rule.database.clone();
            if !groups.contains(&rule.group) {
                let group = rule.group.clone();
                faults.push(RouteFault::UnknownGroup { database: database.clone(), group });
            }
            if rule.statement_timeout == Micros::ZERO {
                faults.push(RouteFault::ZeroTimeout { database: database.clone() });
            }
            if !places.insert((&rule.database, &rule.path)) {
                faults.push(RouteFault::DuplicateRoute { database, path: rule.path.clone() });
            }
        }
        if faults.is_empty() { Ok(()) } else { Err(faults) }
    }
}

/// Routes in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteBook {
    /// Version; 0 before the first.
    pub version: u64,
    /// Routes by database; of several with the same database, the one with the shortest path.
    pub routes: BTreeMap<SharedName, RouteRule>,
    /// Groups by name.
    pub groups: BTreeMap<SharedName, GroupRule>,
    /// Limits.
    pub limits: RouteLimits,
    /// Text that the operator sent, returned unchanged when it is read back.
    pub document: String,
}

impl RouteBook {
    /// Creates the book of a draft that was checked.
    #[must_use]
    pub fn new(draft: RouteDraft, document: String) -> Self {
        let mut routes: BTreeMap<SharedName, RouteRule> = BTreeMap::new();
        for rule in draft.routes {
            let known = routes.get(&rule.database);
            if known.is_some_and(|known| known.path.len() <= rule.path.len()) {
                continue;
            }
            routes.insert(rule.database.clone(), rule);
        }
        let mut groups = BTreeMap::new();
        for rule in draft.groups {
            groups.insert(rule.group.clone(), rule);
        }
        Self { version: draft.version, routes, groups, limits: draft.limits, document }
    }
}
