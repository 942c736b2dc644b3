//! Announcements that a replica passes on to the leader.

use {
    crate::{
        command_log::{CommandLog, LogError},
        members::MemberControl,
        node::{ControlNode, NodeError},
    },
    banyansill_core::cluster::ClusterState,
    banyansill_wire::v1::{self, control_client::ControlClient},
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
    tonic::{Code, Status, transport::Channel, transport::Endpoint},
};

/// Limit of one forwarded request; announcements repeat every 500 ms.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(400);

/// Connection to the present leader; clones share it.
#[derive(Clone, Debug, Default)]
pub struct LeaderClient {
    channel: Arc<Mutex<Option<(String, Channel)>>>,
}

impl LeaderClient {
    /// Takes an announcement here if this replica leads, else passes it on.
    ///
    /// # Errors
    ///
    /// Returns an error if no leader is known, it does not answer or it rejects the announcement.
    pub async fn announce<L, M>(
        &self,
        node: &ControlNode<L, M>,
        announcement: v1::Announcement,
    ) -> Result<v1::AnnounceReply, NodeError>
    where
        L: CommandLog<Machine = ClusterState>,
        M: MemberControl,
    {
        let leader = match node.check_leading() {
            Err(NodeError::Log(LogError::NotLeader { leader: Some(leader) })) => leader,
            Err(error) => return Err(error),
            Ok(()) => return node.announce(announcement).await,
        };
        let mut client = ControlClient::new(self.channel(&leader)?);
        let request = v1::AnnounceRequest { announcement: Some(announcement), forwarded: true };
        match client.announce(request).await {
            Ok(reply) => Ok(reply.into_inner()),
            Err(status) => Err(forwarded_error(&leader, &status)),
        }
    }

    fn channel(&self, leader: &str) -> Result<Channel, NodeError> {
        let mut slot = crate::node::lock(&self.channel);
        if let Some((address, channel)) = slot.as_ref()
            && address == leader
        {
            return Ok(channel.clone());
        }
        let endpoint = Endpoint::from_shared(format!("http://{leader}"))
            .map_err(|error| NodeError::Invalid(error.to_string()))?;
        let channel = endpoint
            .connect_timeout(FORWARD_TIMEOUT)
            .timeout(FORWARD_TIMEOUT)
            .tcp_nodelay(true)
            .connect_lazy();
        *slot = Some((leader.to_owned(), channel.clone()));
        Ok(channel)
    }
}

fn forwarded_error(leader: &str, status: &Status) -> NodeError {
    match status.code() {
        Code::InvalidArgument | Code::FailedPrecondition => {
            NodeError::Invalid(status.message().to_owned())
        }
        _ => {
            log::debug!("leader {leader}: {status}");
            NodeError::Log(LogError::NoMajority)
        }
    }
}
