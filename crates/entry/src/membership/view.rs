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
}

impl ClusterView {
    pub(super) const fn version(&self) -> u64 {
        self.table.version
    }

    /// Returns a snapshot of the routes.
    pub(super) fn table(&self) -> RouteTable {
        self.table.clone()
    }

    /// Applies a reply; returns false if the replica behind it is not usable.
    ///
    /// A reply that is older than the view comes from a replica that is behind. Applying it would
    /// take back a sheet or a term.
    pub(super) fn apply(&mut self, reply: &v1::WatchReply) -> bool {
        if reply.version < self.table.version {
            return false;
        }
        let sheet = match &reply.sheet {
            Some(sheet) if sheet.number > self.table.sheet_number => {
                match RuleSheet::parse(&sheet.content) {
                    Ok(parsed) => Some((sheet.number, Arc::new(parsed))),
                    Err(faults) => {
                        log::error!("sheet {} has {} faults", sheet.number, faults.len());
                        return false;
                    }
                }
            }
            _ => None,
        };
        if reply.reset {
            self.table.databases = FastMap::default();
        }
        for database in &reply.databases {
            let name = SharedName::from(database.database.as_str());
            self.table.databases.insert(name, Arc::new(route(database)));
        }
        if let Some((number, rules)) = sheet {
            self.table.sheet_number = number;
            self.table.sheet = Some(rules);
        }
        self.table.version = reply.version;
        true
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
        candidate: optional(&view.candidate),
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
