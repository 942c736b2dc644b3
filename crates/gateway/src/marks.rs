//! Refreshes the freshness marks of groups while reads need them.

use {
    crate::gateway::Gateway,
    banyansill_core::{
        collections::{FastMap, FastSet},
        directory::ProcessHost,
        gateway::{MarkNeed, MarkRole, MarkSource, mark_need},
        names::SharedName,
        time::Micros,
    },
    banyansill_target::StatementProtocol,
    std::{rc::Rc, time::Duration},
    tokio::{task::JoinHandle, time::timeout},
};

/// Time for which a group's marks are refreshed after the last read or request that needed one.
const DEMAND_TTL: Micros = Micros::from_secs(3);

/// Interval at which groups are checked for marks that are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout for a request to a primary or to another entry.
const REFRESH_TIMEOUT: Micros = Micros::from_millis(400);

/// Running refresh tasks, by the group or the entry that they request marks of.
type RunningRefreshes = FastMap<SharedName, JoinHandle<()>>;

/// Request for the marks that another entry knows.
struct EntryRefresh {
    entry: ProcessHost,
    groups: Vec<SharedName>,
    /// Greatest need among the groups.
    need: MarkNeed,
}

impl EntryRefresh {
    const fn new(entry: ProcessHost) -> Self {
        Self { entry, groups: Vec::new(), need: MarkNeed::None }
    }
}

/// Refreshes the marks of all groups until the process ends.
pub(crate) async fn run<P>(gateway: Rc<Gateway<P>>)
where
    P: StatementProtocol,
{
    let mut running = RunningRefreshes::default();
    loop {
        // A read that has no mark to use ends the wait early.
        let _ = timeout(CHECK_INTERVAL, gateway.mark_needed.notified()).await;
        running.retain(|_, task| !task.is_finished());
        start_refreshes(&gateway, &mut running);
    }
}

/// Starts the refreshes that are due and not running yet.
fn start_refreshes<P>(gateway: &Rc<Gateway<P>>, running: &mut RunningRefreshes)
where
    P: StatementProtocol,
{
    let now = gateway.now();
    let mut by_entry: FastMap<SharedName, EntryRefresh> = FastMap::default();
    let mut primaries = FastSet::default();
    for (group, route) in &gateway.table().groups {
        let freshness = gateway.core.freshness(group);
        let demand = freshness.demand(now, DEMAND_TTL);
        if route.staleness == Micros::ZERO || !(demand.own || demand.shared) {
            continue;
        }
        let source = gateway.mark_source(group);
        let role = MarkRole::new(&source, demand.shared);
        let need = mark_need(freshness.age(now), route.staleness, role);
        if need == MarkNeed::None {
            continue;
        }
        match source {
            MarkSource::Primary => {
                if need == MarkNeed::Due {
                    primaries.insert(group.clone());
                }
            }
            MarkSource::Entry(entry) => {
                let host = entry.host.clone();
                let refresh = by_entry.entry(host).or_insert_with(|| EntryRefresh::new(entry));
                refresh.groups.push(group.clone());
                refresh.need = refresh.need.max(need);
            }
        }
    }
    for group in primaries {
        if running.contains_key(&group) {
            continue;
        }
        let (gateway, name) = (Rc::clone(gateway), group.clone());
        let task = tokio::task::spawn_local(async move {
            // The pool records the failure; the next check tries again.
            if let Err(kind) = gateway.refresh_mark(&name, REFRESH_TIMEOUT).await {
                log::debug!(
                    "group {name}: failed to refresh the position of the primary: {}",
                    kind.name()
                );
            }
        });
        running.insert(group, task);
    }
    for (host, EntryRefresh { entry, groups, need }) in by_entry {
        if need < MarkNeed::Due || running.contains_key(&host) {
            continue;
        }
        let gateway = Rc::clone(gateway);
        let task = tokio::task::spawn_local(async move {
            gateway.core.relay.request_marks(&gateway.core, &entry, &groups, REFRESH_TIMEOUT).await;
        });
        running.insert(host, task);
    }
}
