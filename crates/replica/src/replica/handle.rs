//! Handle of a running replica.

use {
    super::{
        bootstrap,
        disk_thread::DiskThread,
        driver::ReplicaDriver,
        members::{MemberError, MemberStatus},
        peers,
        requests::{Delivered, ReplicaRequest},
        service::ReplicaService,
        settings::{ReplicaError, ReplicaSettings},
    },
    crate::{
        command_log::{CommandLog, LogError, LogStatus},
        storage::{DiskAccess, LogStorage, SystemDisk},
    },
    banyansill_core::{
        consensus::{MemberChange, ReplicaIdentity},
        names::SharedName,
        state_machine::StateMachine,
    },
    banyansill_runtime::events::EventSink,
    bytes::Bytes,
    std::time::Duration,
    tokio::{
        sync::{mpsc, oneshot, watch},
        time,
    },
};

/// Maximum number of requests queued for the replica's task.
const REQUEST_QUEUE_CAPACITY: usize = 1_024;

/// Maximum number of messages from other replicas queued for the replica's task.
const MESSAGE_QUEUE_CAPACITY: usize = 1_024;

/// Timeout for a new replica to become a voter, and for a pending member change to finish.
const MEMBER_CHANGE_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval at which the progress of a member change is polled.
const MEMBER_CHANGE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Handle of a running replica; clones share it.
///
/// The replica stops when [`ReplicaHandle::stop`] is called or every handle and service is dropped.
#[derive(Debug)]
pub struct ReplicaHandle<M>
where
    M: StateMachine,
{
    requests: mpsc::Sender<ReplicaRequest<M>>,
    delivered: mpsc::Sender<Delivered>,
    status: watch::Receiver<LogStatus>,
}

impl<M> Clone for ReplicaHandle<M>
where
    M: StateMachine,
{
    fn clone(&self) -> Self {
        Self {
            requests: self.requests.clone(),
            delivered: self.delivered.clone(),
            status: self.status.clone(),
        }
    }
}

impl<M> ReplicaHandle<M>
where
    M: StateMachine,
{
    /// Opens the data folder and starts the replica.
    ///
    /// `machine` is a state machine to which no command has been applied. Must be called within a tokio
    /// runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the data folder or its snapshot cannot be read, or the storage thread cannot be
    /// started.
    pub fn spawn(
        settings: ReplicaSettings,
        machine: M,
        events: EventSink,
    ) -> Result<Self, ReplicaError> {
        Self::spawn_on(SystemDisk, settings, machine, events)
    }

    /// Starts the replica on a given disk.
    ///
    /// # Errors
    ///
    /// Returns an error if the data folder or its snapshot cannot be read, or the storage thread cannot be
    /// started.
    pub fn spawn_on<D>(
        disk: D,
        settings: ReplicaSettings,
        machine: M,
        events: EventSink,
    ) -> Result<Self, ReplicaError>
    where
        D: DiskAccess,
    {
        // In the protocol, 0 means no identity.
        let fresh_identity = ReplicaIdentity(rand::random_range(1..=u64::MAX));
        let (storage, restored) =
            LogStorage::open(&settings.folder, disk, settings.storage, fresh_identity)?;
        if restored.torn_bytes > 0 {
            let bytes = restored.torn_bytes;
            log::warn!(
                "{}: removed {bytes} bytes of an incomplete write from the log",
                settings.host
            );
        }
        let disk_thread = DiskThread::spawn(storage)?;
        let (requests, request_queue) = mpsc::channel(REQUEST_QUEUE_CAPACITY);
        let (delivered, delivery_queue) = mpsc::channel(MESSAGE_QUEUE_CAPACITY);
        let (publisher, status) = watch::channel(LogStatus::default());
        let identity = restored.identity;
        let driver = ReplicaDriver::new(
            settings.clone(),
            machine,
            events,
            restored,
            disk_thread,
            publisher,
        )?;
        let blank = driver.is_blank();
        tokio::spawn(driver.run(request_queue, delivery_queue));
        if blank && bootstrap::bootstraps_cluster(&settings) {
            let bootstrap_sender = requests.downgrade();
            let cluster = rand::random_range(1..=u64::MAX);
            tokio::spawn(async move {
                let members = bootstrap::collect_members(&settings, identity, cluster).await;
                if let (Some(members), Some(bootstrap_sender)) =
                    (members, bootstrap_sender.upgrade())
                {
                    let _ = bootstrap_sender.send(ReplicaRequest::Bootstrap(members)).await;
                }
            });
        }
        Ok(Self { requests, delivered, status })
    }

    /// Returns the service to be mounted on the tonic server at the replica's address.
    #[must_use]
    pub fn service(&self) -> ReplicaService<M> {
        ReplicaService { delivered: self.delivered.clone(), requests: self.requests.clone() }
    }

    /// Stops the replica and waits until its data folder is closed.
    pub async fn stop(&self) {
        let (reply, response) = oneshot::channel();
        if self.requests.send(ReplicaRequest::Stop { reply }).await.is_ok() {
            let _ = response.await;
        }
    }

    /// Returns the members with their replication state.
    ///
    /// # Errors
    ///
    /// Returns an error if the replica has stopped.
    pub async fn members(&self) -> Result<Vec<MemberStatus>, LogError> {
        let (reply, response) = oneshot::channel();
        self.send_request(ReplicaRequest::Members { reply }, response).await
    }

    /// Adds the replica at an address as a learner and waits until it becomes a voter.
    ///
    /// First removes a member with the same host name and a different identity, since its disk is lost. The
    /// call can be repeated after any error.
    ///
    /// # Errors
    ///
    /// Returns an error if the new replica does not reply, belongs to another cluster or does not catch up
    /// in time, or if the log rejects the change.
    pub async fn add_member(&self, host: &str, address: &str) -> Result<(), MemberError> {
        self.require_leader()?;
        let unreachable =
            |reason: String| MemberError::Unreachable { address: address.to_owned(), reason };
        let reply =
            peers::identify(address).await.map_err(|status| unreachable(status.to_string()))?;
        if reply.host != host {
            return Err(unreachable(format!("it reports host name {}", reply.host)));
        }
        let identity = ReplicaIdentity(reply.identity);
        let (cluster, members) = self.cluster_members().await?;
        if reply.cluster != 0 && reply.cluster != cluster {
            let text = format!("the data folder of host {host} belongs to another cluster");
            return Err(MemberError::Invalid(text));
        }
        let mut is_member = false;
        for member in members {
            is_member |= member.record.identity == identity;
            if *member.record.host == *host && member.record.identity != identity {
                self.change_member(MemberChange::Remove { identity: member.record.identity })
                    .await?;
            }
        }
        if !is_member {
            let (host, address) = (SharedName::from(host), SharedName::from(address));
            self.change_member(MemberChange::Add { host, address, identity }).await?;
        }
        let deadline = time::Instant::now() + MEMBER_CHANGE_TIMEOUT;
        while time::Instant::now() < deadline {
            self.require_leader()?;
            let members = self.members().await?;
            if members
                .iter()
                .any(|member| member.record.identity == identity && member.record.voter)
            {
                return Ok(());
            }
            time::sleep(MEMBER_CHANGE_POLL_INTERVAL).await;
        }
        Err(MemberError::CatchingUp)
    }

    /// Returns the identity of this replica's data folder.
    ///
    /// # Errors
    ///
    /// Returns an error if the replica has stopped.
    pub async fn identity(&self) -> Result<ReplicaIdentity, LogError> {
        let (reply, response) = oneshot::channel();
        let identity_reply =
            self.send_request(ReplicaRequest::Identify { reply }, response).await?;
        Ok(ReplicaIdentity(identity_reply.identity))
    }

    /// Removes the member with the given identity.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such member or the log rejects the change.
    pub async fn remove_identity(&self, identity: ReplicaIdentity) -> Result<(), MemberError> {
        self.require_leader()?;
        self.change_member(MemberChange::Remove { identity }).await
    }

    /// Removes the member with the given host name.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such member or the log rejects the change.
    pub async fn remove_member(&self, host: &str) -> Result<(), MemberError> {
        self.require_leader()?;
        for member in self.members().await? {
            if *member.record.host == *host {
                return self
                    .change_member(MemberChange::Remove { identity: member.record.identity })
                    .await;
            }
        }
        Err(MemberError::Invalid(format!("host {host} is not a member")))
    }

    fn require_leader(&self) -> Result<(), LogError> {
        let status = self.status.borrow();
        if status.leading {
            return Ok(());
        }
        Err(LogError::NotLeader { leader: status.leader.clone() })
    }

    async fn cluster_members(&self) -> Result<(u64, Vec<MemberStatus>), LogError> {
        let (reply, response) = oneshot::channel();
        let identity_reply =
            self.send_request(ReplicaRequest::Identify { reply }, response).await?;
        Ok((identity_reply.cluster, self.members().await?))
    }

    async fn change_member(&self, change: MemberChange) -> Result<(), MemberError> {
        let deadline = time::Instant::now() + MEMBER_CHANGE_TIMEOUT;
        loop {
            let (reply, response) = oneshot::channel();
            let request = ReplicaRequest::ChangeMember { change: change.clone(), reply };
            let result = self.send_request(request, response).await?;
            // The promotion of a learner to a voter, itself a member change, may be in progress.
            if result != Err(MemberError::Pending) || time::Instant::now() >= deadline {
                return result;
            }
            time::sleep(MEMBER_CHANGE_POLL_INTERVAL).await;
        }
    }

    async fn send_request<T>(
        &self,
        request: ReplicaRequest<M>,
        response: oneshot::Receiver<T>,
    ) -> Result<T, LogError> {
        let stopped = || LogError::Stopped("the replica has stopped".to_owned());
        self.requests.send(request).await.map_err(|_| stopped())?;
        response.await.map_err(|_| stopped())
    }
}

impl<M> CommandLog for ReplicaHandle<M>
where
    M: StateMachine,
{
    type Machine = M;

    async fn propose(&self, command: Vec<u8>) -> Result<(u64, M::Response), LogError> {
        let (reply, response) = oneshot::channel();
        let command = Bytes::from(command);
        self.send_request(ReplicaRequest::Propose { command, reply }, response).await?
    }

    async fn confirm(&self) -> Result<u64, LogError> {
        let (reply, response) = oneshot::channel();
        self.send_request(ReplicaRequest::Confirm { reply }, response).await?
    }

    async fn inspect<T, F>(&self, function: F) -> Result<T, LogError>
    where
        T: Send + 'static,
        F: FnOnce(&Self::Machine) -> T + Send + 'static,
    {
        let (reply, response) = oneshot::channel();
        let run = move |machine: &M| {
            let _ = reply.send(function(machine));
        };
        self.send_request(ReplicaRequest::Inspect(Box::new(run)), response).await
    }

    fn status(&self) -> watch::Receiver<LogStatus> {
        self.status.clone()
    }
}
