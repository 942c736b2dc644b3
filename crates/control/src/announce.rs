//! Announcements of targets: taken on the leader, passed on by the other replicas.

use {
    crate::{
        command_log::{CommandLog, LogError},
        members::MemberControl,
        node::{ControlNode, NodeError, check_names, lock},
        view,
    },
    banyansill_core::{
        cluster::{BrokerRef, ClusterCommand, ClusterState, TargetInfo},
        detector::{TargetAnnouncement, TargetKey},
    },
    banyansill_wire::v1,
    futures::future::join_all,
    std::{net::SocketAddr, sync::Arc},
};

struct Arrival {
    key: TargetKey,
    info: TargetInfo,
    heard: TargetAnnouncement,
    /// Whether the server came back without what it had confirmed.
    lost_log: bool,
}

impl Arrival {
    fn read(announcement: &v1::Announcement) -> Result<Self, NodeError> {
        check(announcement)?;
        let key = (announcement.database.as_str().into(), announcement.server.as_str().into());
        let info = view::target_info(announcement);
        Ok(Self { key, info, heard: view::target_announcement(announcement), lost_log: false })
    }
}

impl<L, M> ControlNode<L, M>
where
    L: CommandLog<Machine = ClusterState>,
    M: MemberControl,
{
    /// Takes an announcement on the leader and returns the term and primary in force.
    ///
    /// # Errors
    ///
    /// Returns an error if this replica does not lead, or the announcement is malformed or outdated.
    pub async fn announce(
        &self,
        announcement: &v1::Announcement,
    ) -> Result<v1::AnnounceReply, NodeError> {
        self.check_leading()?;
        let arrival = Arrival::read(announcement)?;
        let key = arrival.key.clone();
        self.take(vec![arrival]).await?;
        self.group_in_force(key).await
    }

    /// Takes announcements that another replica passed on; those that are outdated are dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if this replica does not lead or has stopped.
    pub async fn announce_all(&self, announcements: &[v1::Announcement]) -> Result<(), NodeError> {
        self.check_leading()?;
        let mut arrivals = Vec::new();
        for announcement in announcements {
            match Arrival::read(announcement) {
                Ok(arrival) => arrivals.push(arrival),
                Err(error) => log::debug!("announcement passed on: {error}"),
            }
        }
        match self.take(arrivals).await {
            Err(error @ NodeError::Log(_)) => Err(error),
            Err(error) => {
                log::debug!("announcement passed on: {error}");
                Ok(())
            }
            Ok(()) => Ok(()),
        }
    }

    /// Takes the announcements that a broker passes on with its heartbeat, if it holds a lease; a
    /// process that was paused may pass on one of a target that has died since.
    ///
    /// # Errors
    ///
    /// Returns an error if they may not be recorded; the broker then sends them again.
    pub(crate) async fn take_reported(
        &self,
        holder: &BrokerRef,
        reports: &[v1::TargetReport],
    ) -> Result<(), NodeError> {
        let mut announcements = Vec::new();
        for report in reports {
            announcements.extend(report.announcement.clone());
        }
        if announcements.is_empty() {
            return Ok(());
        }
        let now = self.clock.now();
        if !self.with_table(|table| table.holds_lease(holder, now))? {
            return Ok(());
        }
        self.announce_all(&announcements).await
    }

    /// Checks an announcement against this replica's applied state, before it is passed on.
    ///
    /// # Errors
    ///
    /// Returns an error if the announcement is malformed or outdated.
    pub async fn check_announcement(
        &self,
        announcement: &v1::Announcement,
    ) -> Result<v1::AnnounceReply, NodeError> {
        let arrival = Arrival::read(announcement)?;
        let key = arrival.key.clone();
        let checked = self
            .log
            .inspect(move |state| {
                state.check_announcement(&arrival.key.0, &arrival.key.1, &arrival.info)
            })
            .await?;
        checked.map_err(NodeError::Rejected)?;
        self.group_in_force(key).await
    }

    /// Records what is new in the log and notes the rest; returns the last rejection, if any.
    async fn take(&self, arrivals: Vec<Arrival>) -> Result<(), NodeError> {
        let now = self.clock.now();
        let leader = Arc::clone(&self.leader);
        let looked_up = self
            .log
            .inspect(move |state| {
                let mut known = Vec::new();
                let mut new = Vec::new();
                let leader = lock(&leader);
                for mut arrival in arrivals {
                    let record = state.target(&arrival.key.0, &arrival.key.1);
                    if record.is_some_and(|record| record.info == arrival.info) {
                        known.push(arrival);
                    } else {
                        arrival.lost_log = leader.as_ref().is_some_and(|leader| {
                            leader.table.has_lost_log(state, &arrival.key, &arrival.heard)
                        });
                        new.push(arrival);
                    }
                }
                (known, new)
            })
            .await?;
        let (mut accepted, new) = looked_up;
        let changed = !new.is_empty();
        let mut refusal = Ok(());
        let proposals = new.into_iter().map(|arrival| self.record(arrival));
        for result in join_all(proposals).await {
            match result {
                Ok(arrival) => accepted.push(arrival),
                Err(error) => refusal = Err(error),
            }
        }
        self.with_table(|table| {
            for arrival in accepted {
                table.announce(now, arrival.key, arrival.heard);
            }
        })?;
        if changed {
            self.wake.notify_one();
        }
        refusal
    }

    async fn record(&self, arrival: Arrival) -> Result<Arrival, NodeError> {
        let (database, server) = arrival.key.clone();
        let info = arrival.info.clone();
        if arrival.lost_log {
            // Logged first, so that the server counts for no choice of a candidate in between.
            self.propose(ClusterCommand::SetRejoining {
                database: database.clone(),
                server: server.clone(),
                incarnation: info.incarnation,
                rejoining: true,
            })
            .await?;
        }
        self.propose(ClusterCommand::RecordTarget { database, server, info }).await?;
        Ok(arrival)
    }

    async fn group_in_force(&self, key: TargetKey) -> Result<v1::AnnounceReply, NodeError> {
        let found = self
            .log
            .inspect(move |state| {
                let group = state.databases().get(&key.0)?;
                let primary = group.primary.as_ref().map(ToString::to_string);
                let announce_to = state.announce_to(&key.0, &key.1).map(ToString::to_string);
                Some(v1::AnnounceReply {
                    term: group.term,
                    primary: primary.unwrap_or_default(),
                    announce_to: announce_to.unwrap_or_default(),
                })
            })
            .await;
        Ok(found.map_err(|error: LogError| NodeError::Log(error))?.unwrap_or_default())
    }
}

fn check(announcement: &v1::Announcement) -> Result<(), NodeError> {
    let names = [&announcement.database, &announcement.server, &announcement.address];
    if names.iter().any(|name| name.is_empty()) {
        let message = "database, server and address must not be empty";
        return Err(NodeError::Invalid(message.to_owned()));
    }
    check_names(&names)?;
    check_names(&[&announcement.replication_address, &announcement.region, &announcement.zone])?;
    for address in [&announcement.address, &announcement.replication_address] {
        if !address.is_empty() && address.parse::<SocketAddr>().is_err() {
            return Err(NodeError::Invalid(format!("{address:?} is not an IP address and port")));
        }
    }
    Ok(())
}
