//! Changes to the set of control replicas.

use {
    crate::{
        node::NodeError,
        replica::{MemberError, ReplicaHandle},
    },
    banyansill_core::{cluster::ClusterState, names::SharedName},
    banyansill_wire::v1,
    std::future::Future,
};

/// Handle that changes and describes the set of control replicas.
pub trait MemberControl: Clone + Send + Sync + 'static {
    /// Adds or removes a replica and returns a description of the result for the operator.
    ///
    /// # Errors
    ///
    /// Returns an error if this replica does not lead, a change is in progress or no majority
    /// responds.
    fn change_member(
        &self,
        host: SharedName,
        address: String,
        add: bool,
    ) -> impl Future<Output = Result<String, NodeError>> + Send;

    /// Returns the control replicas that this one knows; empty if its log does not respond.
    fn replicas(&self) -> impl Future<Output = Vec<v1::ReplicaStatus>> + Send;
}

/// Member control of a single replica, whose set cannot change.
#[derive(Clone, Debug)]
pub struct SingleReplicaMembers {
    /// Host name of the replica.
    pub host: SharedName,
    /// Tonic address of the replica.
    pub address: String,
}

impl MemberControl for SingleReplicaMembers {
    async fn change_member(
        &self,
        _host: SharedName,
        _address: String,
        _add: bool,
    ) -> Result<String, NodeError> {
        Err(NodeError::Invalid("a replica in memory stands alone".to_owned()))
    }

    async fn replicas(&self) -> Vec<v1::ReplicaStatus> {
        vec![v1::ReplicaStatus {
            host: self.host.to_string(),
            address: self.address.clone(),
            leader: true,
            voter: true,
            match_index: 0,
        }]
    }
}

impl MemberControl for ReplicaHandle<ClusterState> {
    async fn change_member(
        &self,
        host: SharedName,
        address: String,
        add: bool,
    ) -> Result<String, NodeError> {
        let changed = if add {
            self.add_member(&host, &address).await
        } else {
            self.remove_member(&host).await
        };
        match changed {
            Ok(()) if add => Ok(format!("{host} is a voter")),
            Ok(()) => Ok(format!("{host} is not a member any more")),
            Err(MemberError::Log(error)) => Err(NodeError::Log(error)),
            Err(error @ (MemberError::Pending | MemberError::CatchingUp)) => {
                Err(NodeError::Busy(error.to_string()))
            }
            Err(error) => Err(NodeError::Invalid(error.to_string())),
        }
    }

    async fn replicas(&self) -> Vec<v1::ReplicaStatus> {
        let mut replicas = Vec::new();
        for member in self.members().await.unwrap_or_default() {
            replicas.push(v1::ReplicaStatus {
                host: member.record.host.to_string(),
                address: member.record.address.to_string(),
                leader: member.leader,
                voter: member.record.voter,
                match_index: member.match_index,
            });
        }
        replicas
    }
}
