//! Keeps the positions of primaries young while reads need them.

use {
    crate::gateway::Gateway,
    banyansill_core::{
        collections::{FastMap, FastSet},
        directory::ProcessHost,
        gateway::MarkSource,
        names::SharedName,
        time::Micros,
    },
    banyansill_target::StatementProtocol,
    std::{rc::Rc, time::Duration},
    tokio::{task::JoinHandle, time::timeout},
};

/// Time after a read for which marks are kept young.
const DEMAND_LIFE: Micros = Micros::from_secs(3);

/// Interval between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Time for one question to a primary or to another entry.
const REFRESH_LIMIT: Micros = Micros::from_millis(400);

/// Questions on their way, by the group or the entry that they go to.
type OpenQuestions = FastMap<SharedName, JoinHandle<()>>;

/// Refreshes the marks of all groups until the process ends.
pub(crate) async fn run<P>(gateway: Rc<Gateway<P>>)
where
    P: StatementProtocol,
{
    let mut open = OpenQuestions::default();
    loop {
        // A read without any mark waits for this look.
        let _ = timeout(LOOK_INTERVAL, gateway.mark_needed.notified()).await;
        open.retain(|_, task| !task.is_finished());
        look(&gateway, &mut open);
    }
}

fn look<P>(gateway: &Rc<Gateway<P>>, open: &mut OpenQuestions)
where
    P: StatementProtocol,
{
    let now = gateway.now();
    let mut asked: FastMap<SharedName, (ProcessHost, Vec<SharedName>)> = FastMap::default();
    let mut primaries = FastSet::default();
    for group in gateway.table().groups.keys() {
        if !gateway.core.freshness(group).is_due(now, DEMAND_LIFE) {
            continue;
        }
        match gateway.mark_source(group) {
            MarkSource::Primary => {
                primaries.insert(group.clone());
            }
            MarkSource::Entry(entry) => {
                let host = entry.host.clone();
                let (_, groups) = asked.entry(host).or_insert_with(|| (entry, Vec::new()));
                groups.push(group.clone());
            }
        }
    }
    for group in primaries {
        if open.contains_key(&group) {
            continue;
        }
        let (gateway, name) = (Rc::clone(gateway), group.clone());
        let task = tokio::task::spawn_local(async move {
            // A failure is seen by the pool; the next look tries again.
            if let Err(kind) = gateway.refresh_mark(&name, REFRESH_LIMIT).await {
                log::debug!("group {name}: no position of the primary: {}", kind.name());
            }
        });
        open.insert(group, task);
    }
    for (host, (entry, groups)) in asked {
        if open.contains_key(&host) {
            continue;
        }
        let gateway = Rc::clone(gateway);
        let task = tokio::task::spawn_local(async move {
            gateway.core.relay.ask_marks(&gateway.core, &entry, &groups, REFRESH_LIMIT).await;
        });
        open.insert(host, task);
    }
}
