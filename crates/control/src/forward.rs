//! Announcements that a replica passes on to the leader, many in one message.
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

/// Limit of one message to the leader; announcements repeat every 500 ms.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which announcements are gathered before they are passed on.
const GATHER_TIME: Duration = Duration::from_millis(20);

/// Announcements in one message.
const BATCH_LIMIT: usize = 2_048;

/// Announcements that wait to be passed on; more are dropped and repeated by their senders.
const QUEUE_LIMIT: usize = 8_192;

/// Way of announcements to the leader; clones share the queue.
#[derive(Clone, Debug)]
pub struct LeaderClient {
    queue: mpsc::Sender<v1::Announcement>,
}

impl LeaderClient {
    /// Starts the task that passes announcements on; it ends when every clone is dropped.
    #[must_use]
    pub fn spawn<L, M>(node: ControlNode<L, M>) -> Self
    where
        L: CommandLog<Machine = ClusterState>,
        M: MemberControl,
    {
        let (queue, waiting) = mpsc::channel(QUEUE_LIMIT);
        tokio::spawn(run(node, waiting));
        Self { queue }
    }

    /// Takes an announcement here if this replica leads, else passes it on.
    ///
    /// A replica that passes it on answers from its own applied state.
    ///
    /// # Errors
    ///
    /// Returns an error if no leader is known, or the announcement is malformed or outdated.
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
        queued.map_err(|_| NodeError::Busy("too many announcements wait".to_owned()))?;
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
    while queue.recv_many(&mut batch, BATCH_LIMIT).await > 0 {
        time::sleep(GATHER_TIME).await;
        while batch.len() < BATCH_LIMIT {
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
        _ => match open(&leader) {
            Ok(channel) => {
                *connection = Some((leader.clone(), channel.clone()));
                channel
            }
            Err(error) => {
                log::warn!("leader {leader}: {error}");
                return;
            }
        },
    };
    let request = v1::AnnounceRequest { announcement: None, forwarded: true, more: announcements };
    if let Err(status) = ControlClient::new(channel).announce(request).await {
        log::debug!("leader {leader}: {status}");
    }
}

fn open(leader: &str) -> Result<Channel, tonic::transport::Error> {
    let endpoint = Endpoint::from_shared(format!("http://{leader}"))?;
    let endpoint = endpoint.connect_timeout(FORWARD_TIMEOUT).timeout(FORWARD_TIMEOUT);
    Ok(endpoint.tcp_nodelay(true).connect_lazy())
}
