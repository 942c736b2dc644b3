//! Keeps the pool of one target warm and verifies its idle connections.

use {
    super::{
        connection::{ConnectionFault, TargetConnection},
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

/// Interval between verifications, one connection at a time.
const VERIFY_INTERVAL: Duration = Duration::from_millis(100);

/// Age of the last answer above which an idle connection is verified.
const VERIFY_AGE: Micros = Micros::from_secs(1);

/// Time within which an idle connection answers a Sync.
const VERIFY_LIMIT: Duration = Duration::from_millis(500);

/// Shortest and longest pause after a failed set-up.
const PAUSE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));

/// Opens connections for one target until the broker is retired.
pub(super) async fn run(shared: Arc<TargetShared>, hub: Arc<HubShared>) {
    let mut keeper = PoolKeeper {
        shared,
        hub,
        opening: JoinSet::new(),
        paused_until: Instant::now(),
        pause: PAUSE.0,
    };
    keeper.keep().await;
}

struct PoolKeeper {
    shared: Arc<TargetShared>,
    hub: Arc<HubShared>,
    opening: JoinSet<Result<TargetConnection, ConnectionFault>>,
    paused_until: Instant,
    pause: Duration,
}

impl PoolKeeper {
    async fn keep(&mut self) {
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
            } else if Instant::now() >= self.paused_until {
                self.open_wanted();
            }
            if shared.retired() && self.opening.is_empty() && shared.pooled.open() == 0 {
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
                Some(opened) = self.opening.join_next(), if !self.opening.is_empty() => {
                    self.take_opened(opened.ok());
                }
                () = sleep_until(self.paused_until), if self.paused_until > Instant::now() => {}
                _ = verify.tick() => {
                    if open {
                        shared.trim_idle();
                        self.verify_oldest();
                    }
                }
            }
        }
    }

    fn open_wanted(&mut self) {
        for counted in self.shared.begin_opening() {
            let shared = Arc::clone(&self.shared);
            self.opening.spawn(async move {
                let (address, database) = (&shared.address, &shared.database);
                TargetConnection::open(address, database, &shared.settings, counted).await
            });
        }
    }

    fn take_opened(&mut self, opened: Option<Result<TargetConnection, ConnectionFault>>) {
        match opened {
            Some(Ok(connection)) => {
                self.pause = PAUSE.0;
                self.shared.end_opening(Some(connection));
            }
            Some(Err(fault)) => {
                self.shared.end_opening(None);
                log::warn!("target {}/{}: {fault}", self.shared.database, self.shared.server);
                self.paused_until = Instant::now() + self.pause;
                self.pause = (self.pause * 2).min(PAUSE.1);
                if self.shared.pooled.open() == 0 {
                    let kind = match fault {
                        ConnectionFault::Refused { .. } => FailureKind::TargetRefused,
                        _ => FailureKind::Unreachable,
                    };
                    self.shared.refuse_waiting(kind, "no connection to the target");
                }
            }
            None => self.shared.end_opening(None),
        }
    }

    // One path may go silent while others work, so each idle connection proves itself.
    fn verify_oldest(&self) {
        let now = self.shared.clock.now();
        let Some(connection) = self.shared.take_unverified(now.since(VERIFY_AGE)) else {
            return;
        };
        // A dropped connection is opened again by the next pass.
        let Ok(mut connection) = connection.register_here() else { return };
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            let mut gate = shared.gate.subscribe();
            let verified = tokio::select! {
                verified = connection.synchronize(VERIFY_LIMIT) => verified,
                () = gate_closed(&mut gate) => return,
            };
            match verified {
                Ok(()) => shared.put_back(connection),
                Err(fault) => {
                    log::warn!("target {}/{}: idle: {fault}", shared.database, shared.server);
                }
            }
        });
    }
}
