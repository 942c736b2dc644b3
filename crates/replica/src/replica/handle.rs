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
        machine::StateMachine,
        names::SharedName,
    },
    banyansill_runtime::events::EventSink,
    bytes::Bytes,
    std::time::Duration,
    tokio::{
        sync::{mpsc, oneshot, watch},
        time,
    },
};

/// Requests of handles that wait for the replica's task.
const REQUEST_QUEUE: usize = 1_024;

/// Messages of other replicas that wait for the replica's task.
const DELIVERY_QUEUE: usize = 1_024;

/// How long `add_member` waits for the new replica to become a voter.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(60);

const CATCH_UP_POLL: Duration = Duration::from_millis(50);

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
    /// `machine` is a machine without any command applied. Call this within a tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the data folder or its snapshot cannot be read.
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
    /// Returns an error if the data folder or its snapshot cannot be read.
    pub fn spawn_on<D>(
        disk: D,
        settings: ReplicaSettings,
        machine: M,
        events: EventSink,
    ) -> Result<Self, ReplicaError>
    where
        D: DiskAccess,
    {
        // 0 stands for no identity in the protocol.
        let fresh = ReplicaIdentity(rand::random_range(1..=u64::MAX));
        let (storage, restored) =
            LogStorage::open(&settings.folder, disk, settings.storage, fresh)?;
        if restored.torn_bytes > 0 {
            let bytes = restored.torn_bytes;
            log::warn!("{}: removed {bytes} bytes of an unfinished write", settings.host);
        }
        let disk_thread = DiskThread::spawn(storage)?;
        let (requests, request_queue) = mpsc::channel(REQUEST_QUEUE);
        let (delivered, delivery_queue) = mpsc::channel(DELIVERY_QUEUE);
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
        if blank && bootstrap::is_founder(&settings) {
            let founder = requests.downgrade();
            let cluster = rand::random_range(1..=u64::MAX);
            tokio::spawn(async move {
                let members = bootstrap::collect_members(&settings, identity, cluster).await;
                if let (Some(members), Some(founder)) = (members, founder.upgrade()) {
                    let _ = founder.send(ReplicaRequest::Found(members)).await;
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
        let (reply, answer) = oneshot::channel();
        if self.requests.send(ReplicaRequest::Stop { reply }).await.is_ok() {
            let _ = answer.await;
        }
    }

    /// Returns the members.
    ///
    /// # Errors
    ///
    /// Returns an error if the replica has stopped.
    pub async fn members(&self) -> Result<Vec<MemberStatus>, LogError> {
        let (reply, answer) = oneshot::channel();
        self.ask(ReplicaRequest::Members { reply }, answer).await
    }

    /// Adds the replica at an address as a learner and waits until it is a voter.
    ///
    /// A member with the same host name and another identity, which has lost its disk, is removed
    /// first. The call can be repeated after any error.
    ///
    /// # Errors
    ///
    /// Returns an error if the new replica does not answer or belongs to another cluster, or if
    /// the log refuses the change.
    pub async fn add_member(&self, host: &str, address: &str) -> Result<(), MemberError> {
        self.require_leader()?;
        let unreachable =
            |reason: String| MemberError::Unreachable { address: address.to_owned(), reason };
        let reply =
            peers::identify(address).await.map_err(|status| unreachable(status.to_string()))?;
        if reply.host != host {
            return Err(unreachable(format!("it is host {}", reply.host)));
        }
        let identity = ReplicaIdentity(reply.identity);
        let (cluster, members) = self.cluster_members().await?;
        if reply.cluster != 0 && reply.cluster != cluster {
            let text = format!("the data folder of host {host} belongs to another cluster");
            return Err(MemberError::Invalid(text));
        }
        let mut known = false;
        for member in members {
            known |= member.record.identity == identity;
            if *member.record.host == *host && member.record.identity != identity {
                self.change(MemberChange::Remove { identity: member.record.identity }).await?;
            }
        }
        if !known {
            let (host, address) = (SharedName::from(host), SharedName::from(address));
            self.change(MemberChange::Add { host, address, identity }).await?;
        }
        let limit = time::Instant::now() + CATCH_UP_LIMIT;
        while time::Instant::now() < limit {
            self.require_leader()?;
            let members = self.members().await?;
            if members
                .iter()
                .any(|member| member.record.identity == identity && member.record.voter)
            {
                return Ok(());
            }
            time::sleep(CATCH_UP_POLL).await;
        }
        Err(MemberError::CatchingUp)
    }

    /// Returns the identity of this replica's data folder.
    ///
    /// # Errors
    ///
    /// Returns an error if the replica has stopped.
    pub async fn identity(&self) -> Result<ReplicaIdentity, LogError> {
        let (reply, answer) = oneshot::channel();
        let own = self.ask(ReplicaRequest::Identify { reply }, answer).await?;
        Ok(ReplicaIdentity(own.identity))
    }

    /// Removes the member with an identity.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such member or the log refuses the change.
    pub async fn remove_identity(&self, identity: ReplicaIdentity) -> Result<(), MemberError> {
        self.require_leader()?;
        self.change(MemberChange::Remove { identity }).await
    }

    /// Removes the member with a host name.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such member or the log refuses the change.
    pub async fn remove_member(&self, host: &str) -> Result<(), MemberError> {
        self.require_leader()?;
        for member in self.members().await? {
            if *member.record.host == *host {
                return self
                    .change(MemberChange::Remove { identity: member.record.identity })
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
        let (reply, answer) = oneshot::channel();
        let own = self.ask(ReplicaRequest::Identify { reply }, answer).await?;
        Ok((own.cluster, self.members().await?))
    }

    async fn change(&self, change: MemberChange) -> Result<(), MemberError> {
        let limit = time::Instant::now() + CATCH_UP_LIMIT;
        loop {
            let (reply, answer) = oneshot::channel();
            let request = ReplicaRequest::ChangeMember { change: change.clone(), reply };
            let result = self.ask(request, answer).await?;
            // A learner may be on its way to become a voter, which is a change of its own.
            if result != Err(MemberError::Pending) || time::Instant::now() >= limit {
                return result;
            }
            time::sleep(CATCH_UP_POLL).await;
        }
    }

    async fn ask<T>(
        &self,
        request: ReplicaRequest<M>,
        answer: oneshot::Receiver<T>,
    ) -> Result<T, LogError> {
        let stopped = || LogError::Stopped("the replica has stopped".to_owned());
        self.requests.send(request).await.map_err(|_| stopped())?;
        answer.await.map_err(|_| stopped())
    }
}

impl<M> CommandLog for ReplicaHandle<M>
where
    M: StateMachine,
{
    type Machine = M;

    async fn propose(&self, command: Vec<u8>) -> Result<(u64, M::Response), LogError> {
        let (reply, answer) = oneshot::channel();
        let command = Bytes::from(command);
        self.ask(ReplicaRequest::Propose { command, reply }, answer).await?
    }

    async fn confirm(&self) -> Result<u64, LogError> {
        let (reply, answer) = oneshot::channel();
        self.ask(ReplicaRequest::Confirm { reply }, answer).await?
    }

    async fn inspect<T, F>(&self, function: F) -> Result<T, LogError>
    where
        T: Send + 'static,
        F: FnOnce(&Self::Machine) -> T + Send + 'static,
    {
        let (reply, answer) = oneshot::channel();
        let run = move |machine: &M| {
            let _ = reply.send(function(machine));
        };
        self.ask(ReplicaRequest::Inspect(Box::new(run)), answer).await
    }

    fn status(&self) -> watch::Receiver<LogStatus> {
        self.status.clone()
    }
}
