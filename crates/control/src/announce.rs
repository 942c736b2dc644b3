//! Announcements of targets: recorded by the leader, forwarded to it by the other replicas.

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

/// Validated announcement of a target on its way into the log and the leader's table.
struct ReceivedAnnouncement {
    key: TargetKey,
    info: TargetInfo,
    announcement: TargetAnnouncement,
    /// Whether the server announces a new incarnation whose log lacks entries that it had confirmed.
    lost_log: bool,
}

impl ReceivedAnnouncement {
    fn parse(announcement: &v1::Announcement) -> Result<Self, NodeError> {
        check(announcement)?;
        let key = (announcement.database.as_str().into(), announcement.server.as_str().into());
        let info = view::target_info(announcement);
        Ok(Self {
            key,
            info,
            announcement: view::target_announcement(announcement),
            lost_log: false,
        })
    }
}

impl<L, M> ControlNode<L, M>
where
    L: CommandLog<Machine = ClusterState>,
    M: MemberControl,
{
    /// Records an announcement on the leader and returns the current term and primary.
    ///
    /// # Errors
    ///
    /// Returns an error if this replica does not lead, or the announcement is malformed or outdated.
    pub async fn announce(
        &self,
        announcement: &v1::Announcement,
    ) -> Result<v1::AnnounceReply, NodeError> {
        self.check_leading()?;
        let received = ReceivedAnnouncement::parse(announcement)?;
        let key = received.key.clone();
        self.accept(vec![received]).await?;
        self.current_group(key).await
    }

    /// Records announcements that another replica or a broker forwarded.
    ///
    /// Malformed or outdated ones are dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if this replica does not lead or has stopped.
    pub async fn announce_all(&self, announcements: &[v1::Announcement]) -> Result<(), NodeError> {
        self.check_leading()?;
        let mut batch = Vec::new();
        for announcement in announcements {
            match ReceivedAnnouncement::parse(announcement) {
                Ok(received) => batch.push(received),
                Err(error) => log::debug!("rejected a forwarded announcement: {error}"),
            }
        }
        match self.accept(batch).await {
            Err(error @ NodeError::Log(_)) => Err(error),
            Err(error) => {
                log::debug!("rejected a forwarded announcement: {error}");
                Ok(())
            }
            Ok(()) => Ok(()),
        }
    }

    /// Records the announcements that a broker forwards with its heartbeat, if it holds a lease.
    ///
    /// A broker whose process was paused may forward one of a target that has died since.
    ///
    /// # Errors
    ///
    /// Returns an error if they may not have been recorded; the broker then sends them again.
    pub(crate) async fn accept_reported(
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

    /// Checks an announcement against this replica's applied state, before it is forwarded.
    ///
    /// # Errors
    ///
    /// Returns an error if the announcement is malformed or outdated.
    pub async fn check_announcement(
        &self,
        announcement: &v1::Announcement,
    ) -> Result<v1::AnnounceReply, NodeError> {
        let received = ReceivedAnnouncement::parse(announcement)?;
        let key = received.key.clone();
        let checked = self
            .log
            .inspect(move |state| {
                state.check_announcement(&received.key.0, &received.key.1, &received.info)
            })
            .await?;
        checked.map_err(NodeError::Rejected)?;
        self.current_group(key).await
    }

    /// Proposes the announcements whose recorded data has changed and adds all accepted ones to the
    /// leader's table; returns the last rejection, if any.
    async fn accept(&self, batch: Vec<ReceivedAnnouncement>) -> Result<(), NodeError> {
        let now = self.clock.now();
        let leader = Arc::clone(&self.leader);
        let looked_up = self
            .log
            .inspect(move |state| {
                let mut known = Vec::new();
                let mut new = Vec::new();
                let leader = lock(&leader);
                for mut received in batch {
                    let record = state.target(&received.key.0, &received.key.1);
                    if record.is_some_and(|record| record.info == received.info) {
                        known.push(received);
                    } else {
                        received.lost_log = leader.as_ref().is_some_and(|leader| {
                            leader.table.has_lost_log(state, &received.key, &received.announcement)
                        });
                        new.push(received);
                    }
                }
                (known, new)
            })
            .await?;
        let (mut accepted, new) = looked_up;
        let changed = !new.is_empty();
        let mut refusal = Ok(());
        let proposals = new.into_iter().map(|received| self.record(received));
        for result in join_all(proposals).await {
            match result {
                Ok(received) => accepted.push(received),
                Err(error) => refusal = Err(error),
            }
        }
        self.with_table(|table| {
            for received in accepted {
                table.announce(now, received.key, received.announcement);
            }
        })?;
        if changed {
            self.wake.notify_one();
        }
        refusal
    }

    async fn record(
        &self,
        received: ReceivedAnnouncement,
    ) -> Result<ReceivedAnnouncement, NodeError> {
        let (database, server) = received.key.clone();
        let info = received.info.clone();
        if received.lost_log {
            // Committed first, so that between the two commands the server is not counted when a
            // candidate is chosen.
            self.propose(ClusterCommand::SetRejoining {
                database: database.clone(),
                server: server.clone(),
                incarnation: info.incarnation,
                rejoining: true,
            })
            .await?;
        }
        self.propose(ClusterCommand::RecordTarget { database, server, info }).await?;
        Ok(received)
    }

    async fn current_group(&self, key: TargetKey) -> Result<v1::AnnounceReply, NodeError> {
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
