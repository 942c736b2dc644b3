//! Maintains the connection pool of one target: opens connections and verifies idle ones.

use {
    super::{
        connection::{ConnectionError, TargetConnection},
        shared::HubShared,
        target::{TargetShared, gate_closed},
    },
    banyansill_core::{failure::FailureKind, time::Micros},
    std::{sync::Arc, time::Duration},
    tokio::{
        task::JoinSet,
        time::{Instant, interval, sleep_until},
    },
};

/// Interval between verifications; each verifies one connection.
const VERIFY_INTERVAL: Duration = Duration::from_millis(100);

/// Time since the last response after which an idle connection is verified.
const VERIFY_AGE: Micros = Micros::from_secs(1);

/// Timeout for the reply of an idle connection to a Sync.
const VERIFY_TIMEOUT: Duration = Duration::from_millis(500);

/// Minimum and maximum back-off after a connection could not be opened.
const OPEN_BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));

/// Opens connections for one target until the broker is retired.
pub(super) async fn run(shared: Arc<TargetShared>, hub: Arc<HubShared>) {
    let mut maintainer = PoolMaintainer {
        shared,
        hub,
        opening: JoinSet::new(),
        backoff_until: Instant::now(),
        backoff: OPEN_BACKOFF.0,
    };
    maintainer.maintain().await;
}

struct PoolMaintainer {
    shared: Arc<TargetShared>,
    hub: Arc<HubShared>,
    opening: JoinSet<Result<TargetConnection, ConnectionError>>,
    backoff_until: Instant,
    backoff: Duration,
}

impl PoolMaintainer {
    async fn maintain(&mut self) {
        let shared = Arc::clone(&self.shared);
        let mut gate = shared.gate.subscribe();
        let mut verify = interval(VERIFY_INTERVAL);
        loop {
            let (open, closing) = {
                let gate = gate.borrow_and_update();
                (gate.open && gate.reachable, gate.closing)
            };
            if !open || closing {
                self.opening.abort_all();
            } else if Instant::now() >= self.backoff_until {
                self.open_missing();
            }
            let open_connections = shared.pooled.open() + shared.probing.open();
            if shared.retired() && self.opening.is_empty() && open_connections == 0 {
                self.hub.publish(&shared);
                return;
            }
            tokio::select! {
                _ = gate.changed() => {}
                () = shared.refill.notified() => {}
                () = shared.pooled.closed() => {
                    if !open || closing {
                        self.hub.publish(&shared);
                    }
                }
                // The connection of the probe may be the last one; control waits for a report that none is open.
                () = shared.probing.closed() => {
                    if !open || closing {
                        self.hub.publish(&shared);
                    }
                }
                Some(opened) = self.opening.join_next(), if !self.opening.is_empty() => {
                    self.handle_opened(opened.ok());
                }
                () = sleep_until(self.backoff_until), if self.backoff_until > Instant::now() => {}
                _ = verify.tick() => {
                    if open {
                        shared.trim_idle();
                        self.verify_oldest();
                    }
                }
            }
        }
    }

    fn open_missing(&mut self) {
        for counted in self.shared.begin_opening() {
            let shared = Arc::clone(&self.shared);
            self.opening.spawn(async move {
                let (address, database) = (&shared.address, &shared.database);
                TargetConnection::open(address, database, &shared.settings, counted).await
            });
        }
    }

    fn handle_opened(&mut self, opened: Option<Result<TargetConnection, ConnectionError>>) {
        match opened {
            Some(Ok(connection)) => {
                self.backoff = OPEN_BACKOFF.0;
                self.shared.end_opening(Some(connection));
            }
            Some(Err(error)) => {
                self.shared.end_opening(None);
                log::warn!("target {}/{}: {error}", self.shared.database, self.shared.server);
                self.backoff_until = Instant::now() + self.backoff;
                self.backoff = (self.backoff * 2).min(OPEN_BACKOFF.1);
                if self.shared.pooled.open() == 0 {
                    let kind = match error {
                        ConnectionError::Refused { .. } => FailureKind::TargetRefused,
                        _ => FailureKind::Unreachable,
                    };
                    self.shared.refuse_waiting(kind, "no connection to the target");
                }
            }
            None => self.shared.end_opening(None),
        }
    }

    // One network path may go silent while others work, so each idle connection is verified.
    fn verify_oldest(&self) {
        let now = self.shared.clock.now();
        let Some(connection) = self.shared.take_unverified(now.since(VERIFY_AGE)) else {
            return;
        };
        // A dropped connection is replaced in the next iteration of `maintain`.
        let Ok(mut connection) = connection.register_here() else { return };
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            let mut gate = shared.gate.subscribe();
            let verified = tokio::select! {
                verified = connection.synchronize(VERIFY_TIMEOUT) => verified,
                () = gate_closed(&mut gate) => return,
            };
            match verified {
                Ok(()) => shared.put_back(connection),
                Err(error) => {
                    log::warn!(
                        "target {}/{}: idle connection failed: {error}",
                        shared.database,
                        shared.server
                    );
                }
            }
        });
    }
}
