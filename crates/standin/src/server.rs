//! Running server and the control over it.

use {
    crate::{
        announce,
        group::GroupRole,
        replication, session,
        settings::StandinSettings,
        shared::{ServerAddresses, SharedServer, SilentRange},
        sql::plan::AdminAction,
    },
    banyansill_core::position::LogPosition,
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        task::JoinHandle,
        time::{Instant, sleep},
    },
};

/// Interval at which a leaving server looks whether it is still needed.
const LEAVE_POLL: Duration = Duration::from_millis(50);

/// Running server; dropping the handle ends it at once.
#[derive(Debug)]
#[must_use]
pub struct ServerHandle {
    shared: Arc<SharedServer>,
    tasks: Vec<JoinHandle<()>>,
}

async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|error| {
        io::Error::new(error.kind(), format!("cannot listen on {address}: {error}"))
    })
}

/// Binds the addresses of a server and starts it.
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
pub async fn spawn(settings: StandinSettings) -> io::Result<ServerHandle> {
    let callers = bind(settings.listen).await?;
    let replicas = bind(settings.replication_listen).await?;
    let addresses =
        ServerAddresses { callers: callers.local_addr()?, replication: replicas.local_addr()? };
    let shared = Arc::new(SharedServer::new(settings, addresses));
    let server = &shared.settings.server;
    log::info!(
        "{server}: serving on {}, replication on {}",
        addresses.callers,
        addresses.replication
    );
    let tasks = vec![
        tokio::spawn(session::accept(shared.clone(), callers)),
        tokio::spawn(replication::serve(shared.clone(), replicas)),
        tokio::spawn(replication::follow(shared.clone())),
        tokio::spawn(replication::apply(shared.clone())),
        tokio::spawn(announce::announce(shared.clone())),
    ];
    Ok(ServerHandle { shared, tasks })
}

impl ServerHandle {
    /// Returns the address for PostgreSQL connections.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.addresses.callers
    }

    /// Returns the address for the replication of other servers.
    #[must_use]
    pub fn replication_address(&self) -> SocketAddr {
        self.shared.addresses.replication
    }

    /// Returns the position of the last applied log entry.
    #[must_use]
    pub fn position(&self) -> LogPosition {
        self.shared.read().position()
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> u64 {
        self.shared.open_sessions()
    }

    /// Changes the delay between a commit and its visibility here.
    pub fn set_lag(&self, lag: Duration) {
        let lag_ms = u64::try_from(lag.as_millis()).unwrap_or(u64::MAX / 2);
        // Only promotions and changes of primary can be refused.
        let _ = self.shared.administer(AdminAction::SetLag(lag_ms));
    }

    /// Changes the time that a new connection takes.
    pub fn set_connection_cost(&self, cost: Duration) {
        let cost_ms = u64::try_from(cost.as_millis()).unwrap_or(u64::MAX);
        self.shared.connection_cost_ms.store(cost_ms, Ordering::Relaxed);
    }

    /// Changes the time that each statement takes besides its own work.
    pub fn set_statement_cost(&self, cost: Duration) {
        let cost_us = u64::try_from(cost.as_micros()).unwrap_or(u64::MAX);
        self.shared.statement_cost_us.store(cost_us, Ordering::Relaxed);
    }

    /// Interrupts replication from and to this server.
    pub fn set_isolated(&self, isolated: bool) {
        self.shared.faults.isolated.send_replace(isolated);
    }

    /// Makes the server close new connections without an answer.
    pub fn set_refusing(&self, refusing: bool) {
        self.shared.faults.refuse.store(refusing, Ordering::Relaxed);
    }

    /// Leaves announcements out.
    pub fn set_mute(&self, mute: bool) {
        self.shared.faults.mute.store(mute, Ordering::Relaxed);
    }

    /// Makes every connection silent, also those opened later, or lets all go on.
    pub fn set_silent(&self, silent: bool) {
        self.shared.faults.silent.send_replace(SilentRange { up_to: 0, all: silent });
    }

    /// Makes the open connections silent for good while new ones work.
    pub fn silence_connections(&self) {
        let up_to = self.shared.last_pid.load(Ordering::Relaxed);
        self.shared.faults.silent.send_replace(SilentRange { up_to, all: false });
    }

    /// Interrupts everything that the server sends, as a process does that is paused.
    pub fn set_frozen(&self, frozen: bool) {
        self.set_silent(frozen);
        self.set_isolated(frozen);
        self.set_mute(frozen);
    }

    /// Closes the open connections.
    pub fn cut_connections(&self) {
        let up_to = self.shared.last_pid.load(Ordering::Relaxed);
        self.shared.faults.cut.send_replace(up_to);
    }

    /// Announces that the server is leaving, waits as its settings say and ends it.
    pub async fn stop(self) {
        let settings = &self.shared.settings;
        let limit = Instant::now() + Duration::from_millis(settings.leave_limit_ms);
        self.shared.leaving.send_replace(true);
        sleep(Duration::from_millis(settings.leave_ms)).await;
        while self.is_needed() && Instant::now() < limit {
            sleep(LEAVE_POLL).await;
        }
        self.kill().await;
    }

    /// Returns whether an end now would cut off statements or leave the group without a primary.
    fn is_needed(&self) -> bool {
        let controlled = !self.shared.settings.control.is_empty();
        let primary = self.shared.read().role == GroupRole::Primary;
        (controlled && primary) || self.shared.gate.running() > 0
    }

    /// Ends the server at once, as a crash does.
    pub async fn kill(mut self) {
        self.shared.ended.send_replace(true);
        for task in std::mem::take(&mut self.tasks) {
            if let Err(error) = task.await {
                log::warn!("{}: {error}", self.shared.settings.server);
            }
        }
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.shared.ended.send_replace(true);
    }
}
