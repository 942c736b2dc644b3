//! Foundation of a cluster with several members.
//!
//! Only the first initial member in the order of host names founds the cluster, and only after
//! every other one has answered that its disk is empty. A founder that comes back with an empty
//! disk meets members that are not empty, and then waits to be added like any new replica.

use {
    super::{peers, settings::ReplicaSettings},
    banyansill_core::consensus::{MemberRecord, MemberSet, ReplicaIdentity},
    std::time::Duration,
    tokio::time,
};

const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Returns whether this replica is the one that founds the cluster.
pub(super) fn is_founder(settings: &ReplicaSettings) -> bool {
    let first = settings.initial_members.iter().map(|member| &member.host).min();
    !settings.join && first == Some(&settings.host)
}

/// Returns the members once all of them have answered, or `None` if the cluster exists already.
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
    for member in &settings.initial_members {
        if member.host == settings.host {
            continue;
        }
        let reply = loop {
            match peers::identify(&member.address).await {
                Ok(reply) if *reply.host == *member.host => break reply,
                Ok(reply) => {
                    log::error!(
                        "{} is the address of host {} instead of {}",
                        member.address,
                        reply.host,
                        member.host
                    );
                }
                Err(status) => log::debug!("host {}: {status}", member.host),
            }
            time::sleep(RETRY_DELAY).await;
        };
        if !reply.blank {
            log::warn!(
                "host {} already belongs to a cluster; waiting to be added to it",
                member.host
            );
            return None;
        }
        records.push(MemberRecord {
            host: member.host.clone(),
            address: member.address.clone(),
            identity: ReplicaIdentity(reply.identity),
            voter: true,
        });
    }
    Some(MemberSet::new(cluster, records))
}
