//! Changes of the set of control replicas.

use {
    crate::command_log::LogError, banyansill_core::names::SharedName, banyansill_wire::v1,
    std::future::Future,
};

/// Handle that changes and describes the set of control replicas.
pub trait MemberControl: Clone + Send + Sync + 'static {
    /// Adds or removes a replica and returns a sentence for the operator.
    ///
    /// # Errors
    ///
    /// Returns an error if this replica does not lead, a change is in progress or no majority answers.
    fn change_member(
        &self,
        host: SharedName,
        address: String,
        add: bool,
    ) -> impl Future<Output = Result<String, LogError>> + Send;

    /// Returns the replicas as this one knows them.
    fn replicas(&self) -> impl Future<Output = Vec<v1::ReplicaStatus>> + Send;
}

/// Member control of a single replica, whose set cannot change.
#[derive(Clone, Debug)]
pub struct SoloMembers {
    /// Host name of the replica.
    pub host: SharedName,
    /// Its tonic address.
    pub address: String,
}

impl MemberControl for SoloMembers {
    async fn change_member(
        &self,
        _host: SharedName,
        _address: String,
        _add: bool,
    ) -> Result<String, LogError> {
        Err(LogError::Stopped("a single replica in memory has no member changes".to_owned()))
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
