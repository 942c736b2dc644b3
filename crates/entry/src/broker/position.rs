//! Confirms commits by waiting until a replica has received a position.

use {
    super::{
        shared::{HubShared, micros},
        target::TargetShared,
    },
    banyansill_core::{
        broker::{FloorCoverage, compare_floor},
        names::SharedName,
        position::LogPosition,
        route::{DatabaseRoute, RouteTable, TargetRole, TargetRoute},
        time::Micros,
    },
    futures::{StreamExt, stream::FuturesUnordered},
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::{oneshot, watch},
        time::{Instant, sleep, timeout_at},
    },
};

/// Interval between polls of a target that has not confirmed the position.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

impl TargetShared {
    /// Waits until the target, as a replica, has received `position`; returns whether it has.
    ///
    /// Receipt is enough for an acknowledgement, since a promotion keeps what was received. Waiting
    /// for replay would hold each commit for the whole replication lag.
    pub(super) async fn await_position(&self, position: LogPosition, span: Micros) -> bool {
        let until = Instant::now() + span.as_duration();
        let mut status = self.status.subscribe();
        loop {
            let known = *status.borrow_and_update();
            let gate = self.gate.borrow().clone();
            if !gate.open || !self.lease.is_valid() {
                return false;
            }
            if let Some(known) = known
                && known.role == TargetRole::Replica
                && compare_floor(&gate.route.history, known.received, position)
                    == FloorCoverage::Covered
            {
                return true;
            }
            self.poll_fast(Micros::from_millis(20));
            let pause = Instant::now() + Duration::from_millis(10);
            if Instant::now() >= until {
                return false;
            }
            let _ = timeout_at(until.min(pause), status.changed()).await;
        }
    }
}

impl HubShared {
    /// Polls the brokers of the group's other targets until one reports the position.
    ///
    /// The receiver yields true when a second server has the position, and false once `span` has
    /// passed.
    pub(super) fn confirm(
        self: &Arc<Self>,
        shared: &Arc<TargetShared>,
        position: LogPosition,
        span: Micros,
    ) -> oneshot::Receiver<bool> {
        let (mut sender, confirmation) = oneshot::channel();
        let hub = Arc::clone(self);
        let shared = Arc::clone(shared);
        tokio::spawn(async move {
            let confirmed = tokio::select! {
                confirmed = hub.confirm_any(&shared, position, span) => confirmed,
                () = sender.closed() => false,
            };
            let _ = sender.send(confirmed);
        });
        confirmation
    }

    async fn confirm_any(
        &self,
        shared: &TargetShared,
        position: LogPosition,
        span: Micros,
    ) -> bool {
        let until = Instant::now() + span.as_duration();
        let mut routes = self.routes.clone();
        loop {
            let route = routes.borrow_and_update().databases.get(&shared.database).cloned();
            let Some(route) = route else { return false };
            // The group is polled anew when its route changes: the broker known at the commit may
            // never respond for its target, and the caller would wait until the deadline.
            tokio::select! {
                confirmed = self.poll_group(shared, &route, position, until) => return confirmed,
                () = route_changed(&mut routes, &shared.database, &route) => {}
            }
        }
    }

    async fn poll_group(
        &self,
        shared: &TargetShared,
        route: &DatabaseRoute,
        position: LogPosition,
        until: Instant,
    ) -> bool {
        let mut requests = FuturesUnordered::new();
        for target in &route.targets {
            if target.server == shared.server {
                continue;
            }
            requests.push(self.poll_target(shared, target, position, until));
        }
        while let Some(reached) = requests.next().await {
            if reached {
                return true;
            }
        }
        false
    }

    async fn poll_target(
        &self,
        shared: &TargetShared,
        target: &TargetRoute,
        position: LogPosition,
        until: Instant,
    ) -> bool {
        loop {
            let left = micros(until.saturating_duration_since(Instant::now()));
            if left == Micros::ZERO {
                return false;
            }
            let reached = if target.broker == self.settings.host {
                match self.local_target(&shared.database, &target.server) {
                    Some(local) => local.await_position(position, left).await,
                    None => false,
                }
            } else if target.broker.is_empty() {
                false
            } else {
                let request = self.peers.await_position(
                    &target.broker_address,
                    &shared.database,
                    &target.server,
                    position,
                    left,
                );
                timeout_at(until, request).await.unwrap_or(false)
            };
            if reached {
                return true;
            }
            sleep(RETRY_INTERVAL.min(until.saturating_duration_since(Instant::now()))).await;
        }
    }
}

/// Waits until the route of a database differs from `known`; never returns if the route channel
/// closes.
async fn route_changed(
    routes: &mut watch::Receiver<Arc<RouteTable>>,
    database: &SharedName,
    known: &Arc<DatabaseRoute>,
) {
    let differs = |table: &Arc<RouteTable>| {
        table.databases.get(database).is_none_or(|route| !Arc::ptr_eq(route, known))
    };
    if routes.wait_for(differs).await.is_err() {
        std::future::pending::<()>().await;
    }
}
