//! The entry's copy of the cluster state, built from watch replies.

use {
    banyansill_core::{
        collections::FastMap,
        names::SharedName,
        position::{LogPosition, LogTerm},
        route::{DatabaseRoute, RouteTable, TargetRole, TargetRoute, TermStart},
        sheet::RuleSheet,
    },
    banyansill_wire::v1,
    std::sync::Arc,
};

#[derive(Debug, Default)]
pub(super) struct ClusterView {
    table: RouteTable,
    /// Version that has been received only in part.
    staged: Option<RouteTable>,
}

/// Result of applying a reply to the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ViewChange {
    /// The reply completed a version, which the view now shows.
    Complete,
    /// More replies for the version follow.
    Partial,
    /// The reply is older than the view or has an invalid sheet; the view is unchanged.
    Refused,
}

impl ClusterView {
    pub(super) const fn version(&self) -> u64 {
        self.table.version
    }

    /// Returns a snapshot of the routes.
    pub(super) fn table(&self) -> RouteTable {
        self.table.clone()
    }

    /// Discards the parts of an incomplete version, since a new stream sends the version from its start.
    pub(super) fn restart(&mut self) {
        self.staged = None;
    }

    /// Applies a reply.
    ///
    /// A reply that is older than the view comes from a replica that lags behind. It is refused, since
    /// applying it would revert a sheet or a term.
    pub(super) fn apply(&mut self, reply: &v1::WatchReply) -> ViewChange {
        if reply.version < self.table.version {
            return ViewChange::Refused;
        }
        let sheet = match &reply.sheet {
            Some(sheet) if sheet.number > self.table.sheet_number => {
                match RuleSheet::parse(&sheet.content) {
                    Ok(parsed) => Some((sheet.number, Arc::new(parsed))),
                    Err(faults) => {
                        log::error!(
                            "sheet {} is refused: it has {} faults",
                            sheet.number,
                            faults.len()
                        );
                        return ViewChange::Refused;
                    }
                }
            }
            _ => None,
        };
        let mut table = self.staged.take().unwrap_or_else(|| self.table.clone());
        if reply.reset {
            table.databases = FastMap::default();
        }
        for database in &reply.databases {
            let name = SharedName::from(database.database.as_str());
            table.databases.insert(name, Arc::new(route(database)));
        }
        if let Some((number, rules)) = sheet {
            table.sheet_number = number;
            table.sheet = Some(rules);
        }
        if reply.partial {
            self.staged = Some(table);
            return ViewChange::Partial;
        }
        table.version = reply.version;
        self.table = table;
        ViewChange::Complete
    }
}

fn name(text: &str) -> SharedName {
    SharedName::from(text)
}

fn optional(text: &str) -> Option<SharedName> {
    (!text.is_empty()).then(|| name(text))
}

fn route(view: &v1::DatabaseView) -> DatabaseRoute {
    let mut targets = Vec::new();
    for server in &view.servers {
        let Some(target) = target(server, &view.primary) else { continue };
        targets.push(target);
    }
    targets.sort_by(|left, right| left.server.cmp(&right.server));
    let mut history = Vec::new();
    for start in &view.history {
        let position = start.start.map_or(LogPosition::ZERO, LogPosition::from);
        history.push(TermStart { term: LogTerm(start.term), start: position });
    }
    DatabaseRoute {
        term: LogTerm(view.term),
        primary: optional(&view.primary),
        closed: view.closed,
        planned: view.planned,
        candidate: optional(&view.candidate),
        candidate_term: LogTerm(view.candidate_term),
        history,
        targets,
    }
}

fn target(server: &v1::ServerView, primary: &str) -> Option<TargetRoute> {
    let announcement = server.announcement.as_ref()?;
    let role = if announcement.server == primary && !primary.is_empty() {
        TargetRole::Primary
    } else {
        TargetRole::Replica
    };
    Some(TargetRoute {
        server: name(&announcement.server),
        address: name(&announcement.address),
        replication_address: name(&announcement.replication_address),
        region: name(&announcement.region),
        zone: name(&announcement.zone),
        role,
        broker: name(&server.broker),
        broker_address: name(&server.broker_address),
        epoch: server.epoch,
        slots: announcement.slots,
        connections: announcement.connections,
        live: server.live,
        draining: server.draining || announcement.leaving,
    })
}
