//! Bootstrap of a cluster with several members.
//!
//! Only one initial member bootstraps the cluster: the first in the order of host names or, if only
//! addresses are known, of addresses. It does so only after every other one has replied that its disk is
//! empty. If that member loses its disk and returns, the others reply that their disks are not empty, so it
//! waits to be added like any new replica instead of bootstrapping a second cluster.

use {
    super::{peers, settings::ReplicaSettings},
    banyansill_core::{
        consensus::{MemberRecord, MemberSet, ReplicaIdentity},
        names::SharedName,
    },
    std::time::Duration,
    tokio::time,
};

/// Delay before a member that has not identified itself is contacted again.
const IDENTIFY_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Other initial member, with the host name that it is expected to report if that is known.
struct OtherMember {
    host: Option<SharedName>,
    address: SharedName,
}

/// Returns whether this replica is the one that bootstraps the cluster.
pub(super) fn bootstraps_cluster(settings: &ReplicaSettings) -> bool {
    if settings.join {
        return false;
    }
    if !settings.seeds.is_empty() {
        return settings.seeds.iter().min() == Some(&settings.address);
    }
    let first = settings.initial_members.iter().map(|member| &member.host).min();
    first == Some(&settings.host)
}

fn other_members(settings: &ReplicaSettings) -> Vec<OtherMember> {
    let mut others = Vec::new();
    for address in &settings.seeds {
        if *address != settings.address {
            others.push(OtherMember { host: None, address: address.clone() });
        }
    }
    if !settings.seeds.is_empty() {
        return others;
    }
    for member in &settings.initial_members {
        if member.host != settings.host {
            let host = Some(member.host.clone());
            others.push(OtherMember { host, address: member.address.clone() });
        }
    }
    others
}

/// Returns the members once all of them have replied, or `None` if one already belongs to a cluster.
pub(super) async fn collect_members(
    settings: &ReplicaSettings,
    identity: ReplicaIdentity,
    cluster: u64,
) -> Option<MemberSet> {
    let mut records = vec![MemberRecord {
        host: settings.host.clone(),
        address: settings.address.clone(),
        identity,
        voter: true,
    }];
    for member in other_members(settings) {
        let reply = loop {
            match peers::identify(&member.address).await {
                Ok(reply) => match &member.host {
                    Some(host) if *reply.host != **host => {
                        log::error!(
                            "replica at {} reports host name {}, expected {host}",
                            member.address,
                            reply.host
                        );
                    }
                    _ => break reply,
                },
                Err(status) => log::debug!("replica at {} unavailable: {status}", member.address),
            }
            time::sleep(IDENTIFY_RETRY_DELAY).await;
        };
        if !reply.blank {
            log::warn!(
                "host {} already belongs to a cluster; waiting to be added to it",
                reply.host
            );
            return None;
        }
        records.push(MemberRecord {
            host: reply.host.into(),
            address: member.address,
            identity: ReplicaIdentity(reply.identity),
            voter: true,
        });
    }
    Some(MemberSet::new(cluster, records))
}
