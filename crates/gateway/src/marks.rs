//! Keeps the positions of primaries young while reads need them.

use {
    crate::gateway::Gateway,
    banyansill_core::{names::SharedName, time::Micros},
    banyansill_target::StatementProtocol,
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// Age of the newest mark at which the primary is asked; commits usually bring younger ones.
///
/// The shortest limit of a route is 1,500 ms: with a mark of 600 ms, reads go on for 900 ms after the
/// primary is lost.
const REFRESH_AGE: Micros = Micros::from_millis(600);

/// Time after a read for which marks are kept young.
const DEMAND_LIFE: Micros = Micros::from_secs(3);

/// Interval between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Time for one question to a primary.
const REFRESH_LIMIT: Micros = Micros::from_millis(400);

/// Refreshes the marks of all groups until the process ends.
pub(crate) async fn run<P>(gateway: Rc<Gateway<P>>)
where
    P: StatementProtocol,
{
    let mut running: Vec<(SharedName, tokio::task::JoinHandle<()>)> = Vec::new();
    loop {
        sleep(LOOK_INTERVAL).await;
        running.retain(|(_, task)| !task.is_finished());
        for group in gateway.table().groups.keys() {
            if !is_due(&gateway, group) || running.iter().any(|(name, _)| name == group) {
                continue;
            }
            let (gateway, name) = (Rc::clone(&gateway), group.clone());
            let task = tokio::task::spawn_local(async move {
                // A failure is seen by the pool; the next look tries again.
                if let Err(kind) = gateway.refresh_mark(&name, REFRESH_LIMIT).await {
                    log::debug!("group {name}: no position of the primary: {}", kind.name());
                }
            });
            running.push((group.clone(), task));
        }
    }
}

fn is_due<P>(gateway: &Gateway<P>, group: &SharedName) -> bool
where
    P: StatementProtocol,
{
    let now = gateway.now();
    let (newest, wanted) = gateway.core.freshness(group).ages();
    wanted > Micros::ZERO
        && now.since(wanted) < DEMAND_LIFE
        && newest.is_none_or(|newest| now.since(newest) >= REFRESH_AGE)
}
