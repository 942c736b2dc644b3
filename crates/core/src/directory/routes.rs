//! Routes: the group that serves a database, the freshness of its reads and the time limit of its statements.

use {
    super::teams::TeamRule,
    crate::{
        collections::{FastMap, FastSet},
        hidden::Hidden,
        names::SharedName,
        time::Micros,
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
    thiserror::Error,
};

/// Freshness that the reads of a route require.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReadRule {
    /// Reads see every commit that was acknowledged before they began.
    Latest,
    /// Reads may miss commits that are more recent than the limit.
    Bounded {
        /// Maximum age of a commit that a read may miss.
        max_age: Micros,
    },
    /// As `Bounded`, but reads also see every commit of their own session.
    Session {
        /// Maximum age of another session's commit that a read may miss.
        max_age: Micros,
    },
}

impl ReadRule {
    /// Returns the maximum age of a commit that a read may miss.
    #[must_use]
    pub const fn max_age(self) -> Micros {
        match self {
            Self::Latest => Micros::ZERO,
            Self::Bounded { max_age } | Self::Session { max_age } => max_age,
        }
    }
}

/// Routing rule for the callers of one database.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Database that callers name when they connect.
    pub database: SharedName,
    /// Part of the database that the route covers; statement protocols do not use it.
    pub path: SharedName,
    /// Group that serves the database.
    pub group: SharedName,
    /// Freshness of reads.
    pub reads: ReadRule,
    /// Maximum time that one statement may take.
    pub statement_timeout: Micros,
    /// Target latency: an operation is most valuable to its caller within this time.
    pub latency_goal: Micros,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Whether callers need no key.
    #[serde(default = "default_public")]
    pub public: bool,
}

/// Routes written before teams existed need no key.
const fn default_public() -> bool {
    true
}

/// Rule for one database group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRule {
    /// Name of the group.
    pub group: SharedName,
    /// Connections that each server of the group accepts from all callers together.
    pub connections: u32,
    /// Number of replicas that must have received a commit before it is acknowledged.
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
    /// Version; the highest one is active.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RouteRule>,
    /// Groups.
    pub groups: Vec<GroupRule>,
    /// Limits.
    pub limits: RouteLimits,
    /// Teams; without any, callers need no key.
    #[serde(default)]
    pub teams: Vec<TeamRule>,
}

/// Reason why a draft cannot be activated.
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
    /// Two teams have the same name.
    #[error("two teams have the name {team:?}")]
    DuplicateTeam {
        /// The name.
        team: SharedName,
    },
    /// Two teams have a key in common.
    #[error("the teams {first:?} and {second:?} share a key")]
    SharedKey {
        /// Team that lists the key first.
        first: SharedName,
        /// The other team.
        second: SharedName,
    },
    /// The statement timeout of a route is zero.
    #[error("the statement timeout of database {database:?} is zero")]
    ZeroTimeout {
        /// Database of the route.
        database: SharedName,
    },
}

impl RouteDraft {
    /// Checks whether the draft can be activated.
    ///
    /// # Errors
    ///
    /// Returns every fault that the draft has.
    pub fn check(&self) -> Result<(), Vec<RouteFault>> {
        let mut faults = Vec::new();
        let mut groups = FastSet::default();
        for rule in &self.groups {
            if !groups.insert(&rule.group) {
                faults.push(RouteFault::DuplicateGroup { group: rule.group.clone() });
            }
        }
        let mut paths = FastSet::default();
        for rule in &self.routes {
            let database = rule.database.clone();
            if !groups.contains(&rule.group) {
                let group = rule.group.clone();
                faults.push(RouteFault::UnknownGroup { database: database.clone(), group });
            }
            if rule.statement_timeout == Micros::ZERO {
                faults.push(RouteFault::ZeroTimeout { database: database.clone() });
            }
            if !paths.insert((&rule.database, &rule.path)) {
                faults.push(RouteFault::DuplicateRoute { database, path: rule.path.clone() });
            }
        }
        self.check_teams(&mut faults);
        if faults.is_empty() { Ok(()) } else { Err(faults) }
    }

    fn check_teams(&self, faults: &mut Vec<RouteFault>) {
        let mut teams = FastSet::default();
        let mut owners = FastMap::default();
        for rule in &self.teams {
            if !teams.insert(&rule.team) {
                faults.push(RouteFault::DuplicateTeam { team: rule.team.clone() });
                continue;
            }
            for key in &rule.keys {
                let owner = owners.entry(*key).or_insert(&rule.team);
                if *owner != &rule.team {
                    let (first, second) = ((*owner).clone(), rule.team.clone());
                    faults.push(RouteFault::SharedKey { first, second });
                }
            }
        }
    }
}

/// Active routes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveRoutes {
    /// Version; 0 before the first routes are applied.
    pub version: u64,
    /// Routes by database; if several name the same database, the one with the shortest path.
    pub routes: BTreeMap<SharedName, RouteRule>,
    /// Groups by name.
    pub groups: BTreeMap<SharedName, GroupRule>,
    /// Limits.
    pub limits: RouteLimits,
    /// Teams by name.
    #[serde(default)]
    pub teams: BTreeMap<SharedName, TeamRule>,
    /// Text that the operator sent, returned unchanged when it is read back.
    pub document: Hidden<String>,
}

impl ActiveRoutes {
    /// Creates the active routes from a draft that passed `check`.
    #[must_use]
    pub fn new(draft: RouteDraft, document: Hidden<String>) -> Self {
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
        let mut teams = BTreeMap::new();
        for rule in draft.teams {
            teams.insert(rule.team.clone(), rule);
        }
        Self { version: draft.version, routes, groups, limits: draft.limits, teams, document }
    }
}
