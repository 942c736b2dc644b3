//! Forwarding of announcements to the leader in batches.
//!
//! At design size 54,000 servers announce themselves twice a second; one message each would cost the
//! leader more than all its other work.

use {
    crate::{
        command_log::{CommandLog, LogError},
        members::MemberControl,
        node::{ControlNode, NodeError},
    },
    banyansill_core::cluster::ClusterState,
    banyansill_wire::v1::{self, control_client::ControlClient},
    std::time::Duration,
    tokio::{sync::mpsc, time},
    tonic::transport::{Channel, Endpoint},
};

/// Timeout of one message to the leader; shorter than the 500 ms after which targets announce again.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which announcements are collected into a batch before it is forwarded.
const BATCH_DELAY: Duration = Duration::from_millis(20);

/// Most announcements in one message.
const MAX_BATCH_ANNOUNCEMENTS: usize = 2_048;

/// Most announcements that wait to be forwarded; further ones are rejected and sent again by their
/// targets.
const QUEUE_CAPACITY: usize = 8_192;

/// Forwards announcements to the leader; clones share the queue.
#[derive(Clone, Debug)]
pub struct LeaderClient {
    queue: mpsc::Sender<v1::Announcement>,
}

impl LeaderClient {
    /// Starts the task that forwards announcements; it ends when every clone is dropped.
    #[must_use]
    pub fn spawn<L, M>(node: ControlNode<L, M>) -> Self
    where
        L: CommandLog<Machine = ClusterState>,
        M: MemberControl,
    {
        let (queue, receiver) = mpsc::channel(QUEUE_CAPACITY);
        tokio::spawn(run(node, receiver));
        Self { queue }
    }

    /// Records an announcement if this replica leads, otherwise queues it for the leader.
    ///
    /// A replica that does not lead replies from its own applied state.
    ///
    /// # Errors
    ///
    /// Returns an error if no leader is known, or the announcement is malformed or outdated, or
    /// the queue to the leader is full.
    pub async fn announce<L, M>(
        &self,
        node: &ControlNode<L, M>,
        announcement: v1::Announcement,
    ) -> Result<v1::AnnounceReply, NodeError>
    where
        L: CommandLog<Machine = ClusterState>,
        M: MemberControl,
    {
        match node.check_leading() {
            Ok(()) => return node.announce(&announcement).await,
            Err(NodeError::Log(LogError::NotLeader { leader: Some(_) })) => {}
            Err(error) => return Err(error),
        }
        let reply = node.check_announcement(&announcement).await?;
        let queued = self.queue.try_send(announcement);
        queued.map_err(|_| NodeError::Busy("the announcement queue is full".to_owned()))?;
        Ok(reply)
    }
}

async fn run<L, M>(node: ControlNode<L, M>, mut queue: mpsc::Receiver<v1::Announcement>)
where
    L: CommandLog<Machine = ClusterState>,
    M: MemberControl,
{
    let mut batch = Vec::new();
    let mut connection: Option<(String, Channel)> = None;
    while queue.recv_many(&mut batch, MAX_BATCH_ANNOUNCEMENTS).await > 0 {
        time::sleep(BATCH_DELAY).await;
        while batch.len() < MAX_BATCH_ANNOUNCEMENTS {
            let Ok(announcement) = queue.try_recv() else { break };
            batch.push(announcement);
        }
        let announcements = std::mem::take(&mut batch);
        match node.check_leading() {
            Ok(()) => {
                let _ = node.announce_all(&announcements).await;
            }
            Err(NodeError::Log(LogError::NotLeader { leader: Some(leader) })) => {
                send(&mut connection, leader, announcements).await;
            }
            Err(_) => {}
        }
    }
}

async fn send(
    connection: &mut Option<(String, Channel)>,
    leader: String,
    announcements: Vec<v1::Announcement>,
) {
    let channel = match connection {
        Some((address, channel)) if *address == leader => channel.clone(),
        _ => match connect_lazy(&leader) {
            Ok(channel) => {
                *connection = Some((leader.clone(), channel.clone()));
                channel
            }
            Err(error) => {
                log::warn!("invalid address of leader {leader}: {error}");
                return;
            }
        },
    };
    let request = v1::AnnounceRequest { announcement: None, forwarded: true, more: announcements };
    if let Err(status) = ControlClient::new(channel).announce(request).await {
        log::debug!("cannot forward announcements to leader {leader}: {status}");
    }
}

fn connect_lazy(leader: &str) -> Result<Channel, tonic::transport::Error> {
    let endpoint = Endpoint::from_shared(format!("http://{leader}"))?;
    let endpoint = endpoint.connect_timeout(FORWARD_TIMEOUT).timeout(FORWARD_TIMEOUT);
    Ok(endpoint.tcp_nodelay(true).connect_lazy())
}
