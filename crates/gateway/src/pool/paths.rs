//! Which entry's connections a team's work uses to reach a target.

use {
    super::{
        opening::DETOUR_BACKOFF,
        slot::SlotKind,
        state::{PoolState, TargetPath},
        target::TargetPool,
    },
    crate::{
        attempt::{AttemptResult, FailedAttempt, attempt_result},
        read::{FreshnessProof, ReadCall},
        relay::RelayList,
    },
    banyansill_core::{
        directory::ProcessHost,
        failure::FailureKind,
        gateway::{AttemptEnd, ConnectionShare},
        names::SharedName,
    },
    banyansill_target::StatementProtocol,
    std::rc::Rc,
    tokio::time::timeout,
};

impl<P> TargetPool<P>
where
    P: StatementProtocol,
{
    /// Returns the entries through which a team's read reaches the target, or `None` if this entry uses its own
    /// connections or no path is available.
    pub(crate) fn lenders(&self, team: &SharedName, detour: bool) -> Option<RelayList> {
        let mut state = self.state.borrow_mut();
        match state.path(self.now(), detour)? {
            TargetPath::Detour => Some(RelayList { entries: state.detour.clone(), detour: true }),
            TargetPath::Usual => {
                let entries = self.usual_relays(&mut state, team);
                (!entries.is_empty()).then_some(RelayList { entries, detour: false })
            }
        }
    }

    /// Returns the entries whose connections a team's work uses while no path has failed; none if it uses those of
    /// this entry.
    pub(super) fn usual_relays(
        &self,
        state: &mut PoolState<P>,
        team: &SharedName,
    ) -> Vec<ProcessHost> {
        let by_team = !team.is_empty() && !state.team_relays.is_empty();
        match &state.share {
            ConnectionShare::Relayed(_) if by_team => state.holders(team).to_vec(),
            ConnectionShare::Relayed(entries) => entries.clone(),
            ConnectionShare::Direct(_) if by_team => {
                let now = self.now();
                let mut preferred = Vec::new();
                for holder in state.holders(team).iter() {
                    if holder.host == self.core.own.host {
                        break;
                    }
                    if !self.core.relay.is_failing(&holder.host, now) {
                        preferred.push(holder.clone());
                    }
                }
                preferred
            }
            ConnectionShare::Direct(_) => Vec::new(),
        }
    }

    /// Returns the entries that take a team's work if all connections of this entry are in use.
    pub(super) fn overflow_relays(
        &self,
        state: &mut PoolState<P>,
        team: &SharedName,
    ) -> Vec<ProcessHost> {
        if team.is_empty() || state.team_relays.is_empty() {
            return Vec::new();
        }
        let holders = state.holders(team);
        holders.iter().filter(|holder| holder.host != self.core.own.host).cloned().collect()
    }

    /// Runs a read on a connection of one of the entries in `lenders`.
    pub(crate) async fn read_relayed(
        self: &Rc<Self>,
        lenders: &RelayList,
        call: &ReadCall,
    ) -> AttemptResult {
        let kind = SlotKind::Fresh { detour: lenders.detour };
        let mut guard =
            self.wait_for_slot(&call.slot(), kind).await.map_err(FailedAttempt::no_connection)?;
        if lenders.detour {
            self.probe();
            self.core.count("reads.detour");
        }
        let sent_at = self.now();
        guard.sent_at = Some(sent_at);
        let left = call.deadline.since(sent_at).as_duration();
        let reading = self.core.relay.read(&self.core, lenders, (&self.group, &self.target), call);
        let Ok(result) = timeout(left, reading).await else {
            return Err(FailedAttempt::new(AttemptEnd::Lost, FailureKind::RunTimeout));
        };
        if let Err(failed) = &result
            && lenders.detour
            && failed.end == AttemptEnd::NotSent
        {
            self.state.borrow_mut().detour_backoff_until = self.now() + DETOUR_BACKOFF;
        }
        let answer = result?;
        let now = self.now();
        self.record_answer(now.since(sent_at), &answer, true, now);
        guard.record_answer(now.since(sent_at));
        let answer = attempt_result(Ok(answer))?;
        if call.proof == FreshnessProof::Primary {
            self.record_primary_position(sent_at, answer.position);
        }
        Ok(answer)
    }

    /// Returns this entry's share of the target's connections.
    pub(crate) fn share(&self) -> ConnectionShare {
        self.state.borrow().share.clone()
    }

    /// Returns whether this entry connects to the target directly.
    pub(crate) fn is_direct(&self) -> bool {
        matches!(self.state.borrow().share, ConnectionShare::Direct(_))
    }
}
