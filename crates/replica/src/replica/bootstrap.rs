//! Foundation of a cluster with several members.
//!
//! Only one initial member founds the cluster, the first in the order of host names or, where only
//! addresses are known, of addresses; and only after every other one has answered that its disk is empty.
//! A founder that comes back with an empty disk meets members that are not empty, and then waits to be
//! added like any new replica.

use {
    super::{peers, settings::ReplicaSettings},
    banyansill_core::{
        consensus::{MemberRecord, MemberSet, ReplicaIdentity},
        names::SharedName,
    },
    std::time::Duration,
    tokio::time,
};

const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Member to be asked, with the host that is expected to answer if it is known.
struct OtherMember {
    host: Option<SharedName>,
    address: SharedName,
}

/// Returns whether this replica is the one that founds the cluster.
pub(super) fn is_founder(settings: &ReplicaSettings) -> bool {
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
    for member in other_members(settings) {
        let reply = loop {
            match peers::identify(&member.address).await {
                Ok(reply) => match &member.host {
                    Some(host) if *reply.host != **host => {
                        log::error!(
                            "{} is the address of host {} instead of {host}",
                            member.address,
                            reply.host
                        );
                    }
                    _ => break reply,
                },
                Err(status) => log::debug!("replica at {}: {status}", member.address),
            }
            time::sleep(RETRY_DELAY).await;
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
