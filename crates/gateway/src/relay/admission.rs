//! Operations that another entry counts while this one is out of touch with control.

use {
    super::client::RelayClients,
    crate::gateway::{Gateway, GatewayCore},
    banyansill_core::{
        directory::ProcessHost,
        event::EventNumber,
        names::SharedName,
        team_limit::{PeerRequest, PeerVerdict},
        time::Micros,
    },
    banyansill_target::StatementProtocol,
    banyansill_wire::directory_v1::{self as v1, relay_client::RelayClient},
    std::time::Duration,
    tokio::time::timeout,
};

/// Time for the answer of one entry; regions are 20 ms apart.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

impl<P> Gateway<P>
where
    P: StatementProtocol,
{
    /// Counts an operation of a team, at this entry or, while it is out of touch with control, at one that is in touch.
    ///
    /// # Errors
    ///
    /// Returns the time until the next operation of the team fits its limit.
    pub(crate) async fn admit(&self, team: &SharedName) -> Result<(), Micros> {
        let teams = &self.core.teams;
        if teams.counts_in_touch(self.now()) || !self.table().has_limit(team) {
            return teams.admit(team, self.now());
        }
        let mut request = PeerRequest::default();
        loop {
            let Some(peer) = self.next_peer(&mut request) else {
                return teams.admit(team, self.now());
            };
            let verdict = match self.core.relay.ask_to_count(&self.core, &peer, team).await {
                PeerVerdict::Admitted => Ok(()),
                PeerVerdict::OverLimit(retry_after) => Err(retry_after),
                PeerVerdict::Unknown => {
                    self.core.peers.borrow_mut().record_failure(request, &peer, self.now());
                    continue;
                }
            };
            self.core.count("limits.counted_by_peer");
            if self.core.peers.borrow_mut().record_counted(&peer.host, self.now()) {
                log::info!(
                    target: "event",
                    event:display = EventNumber::PeersAsked,
                    entry:display = peer.host;
                    ""
                );
            }
            return verdict;
        }
    }

    fn next_peer(&self, request: &mut PeerRequest) -> Option<ProcessHost> {
        let table = self.table();
        let mut peers = self.core.peers.borrow_mut();
        let distance = |zone: &SharedName| self.distance(zone);
        peers.next_peer(request, &self.core.own.host, table.entries.values(), distance, self.now())
    }
}

impl RelayClients {
    /// Asks another entry to count an operation; one that does not answer in time counts as out of touch.
    async fn ask_to_count<P>(
        &self,
        core: &GatewayCore<P>,
        entry: &ProcessHost,
        team: &SharedName,
    ) -> PeerVerdict
    where
        P: StatementProtocol,
    {
        let request = v1::AdmitRequest { team: team.to_string() };
        let asked = async {
            let channel = self.channel(&entry.address).map_err(|error| error.to_string())?;
            let reply = RelayClient::new(channel).admit(request).await;
            reply.map_err(|status| status.to_string())
        };
        let answer = timeout(ANSWER_TIMEOUT, asked).await;
        match answer.unwrap_or_else(|_| Err("no response in time".to_owned())) {
            Ok(reply) => verdict_from_wire(*reply.get_ref()),
            Err(reason) => {
                self.record_failure(entry, &reason, core.clock.now());
                PeerVerdict::Unknown
            }
        }
    }
}

pub(super) fn verdict_to_wire(verdict: PeerVerdict) -> v1::AdmitReply {
    let (outcome, retry_after) = match verdict {
        PeerVerdict::Admitted => (v1::AdmitOutcome::Admitted, Micros::ZERO),
        PeerVerdict::OverLimit(retry_after) => (v1::AdmitOutcome::OverLimit, retry_after),
        PeerVerdict::Unknown => (v1::AdmitOutcome::Unknown, Micros::ZERO),
    };
    let retry_after_ms = u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX);
    v1::AdmitReply { outcome: outcome.into(), retry_after_ms }
}

fn verdict_from_wire(reply: v1::AdmitReply) -> PeerVerdict {
    match reply.outcome() {
        v1::AdmitOutcome::Admitted => PeerVerdict::Admitted,
        v1::AdmitOutcome::OverLimit => {
            PeerVerdict::OverLimit(Micros::from_millis(reply.retry_after_ms.into()))
        }
        v1::AdmitOutcome::Unknown => PeerVerdict::Unknown,
    }
}
