//! Selection of the target that serves a request.

use {
    super::{DatabaseRoute, TargetRole, TargetRoute},
    crate::{
        failure::FailureKind,
        names::SharedName,
        sheet::{RuleTargets, SheetRule},
        time::Micros,
    },
};

/// Attempt of the same request that failed before the request was executed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailedTry {
    /// Server of the target to which the request was sent.
    pub server: SharedName,
    /// Broker epoch of the attempt; a target with a newer epoch may be tried again.
    pub epoch: u64,
    /// Failure that the broker reported, or why it could not be reached.
    pub kind: FailureKind,
}

/// Maximum time for which a request waits for a target that may run it: a primary is replaced within 3 s in the median.
const MAX_ROUTE_WAIT: Micros = Micros::from_secs(3);

/// Returns how long a request that was not run waits for a usable target before it is refused.
///
/// Designed for callers whose primary is being replaced or whose broker moves: a quarter of the deadline is left to try
/// again.
#[must_use]
pub fn route_wait(deadline: Micros) -> Micros {
    Micros(deadline.0 / 4 * 3).min(MAX_ROUTE_WAIT)
}

/// Selection criteria of a request.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceQuery<'a> {
    /// Sheet rule that applies to the request.
    pub rule: &'a SheetRule,
    /// Whether the request may write.
    pub write: bool,
    /// Whether the session's floor is known; if it is not, only the primary can serve a read.
    pub floor_known: bool,
    /// Region of the entry.
    pub region: &'a str,
    /// Availability zone of the entry.
    pub zone: &'a str,
    /// Server name of the replica that served the session's latest read; `None` if no replica did.
    ///
    /// This replica has certainly reached the session's floor. Another one with the same lag may be
    /// a few milliseconds behind it.
    pub last_replica: Option<&'a str>,
    /// Earlier failed attempts of this request.
    pub tries: &'a [FailedTry],
    /// Random number that selects one of several equally distant targets.
    pub random: u64,
}

/// Returns the target that serves the request.
///
/// After `TooStale`, `Unreachable`, `WrongEpoch`, `Leaving` or another refusal, call it again with
/// the failed attempt added to `tries` to get the next target.
///
/// # Errors
///
/// Returns the failure to report to the caller if no target is left: that of the last attempt if
/// there was one.
pub fn choose_target<'a>(
    route: &'a DatabaseRoute,
    query: &ChoiceQuery<'_>,
) -> Result<&'a TargetRoute, FailureKind> {
    let targets = if query.write { RuleTargets::Primary } else { query.rule.targets };
    let primary = route.open_primary();
    let replicas_wanted = targets != RuleTargets::Primary
        && query.floor_known
        // No replica is guaranteed to be up to date, so a maximum age of zero requires the primary.
        && !(targets == RuleTargets::Any && query.rule.max_age == Some(Micros::ZERO));
    if replicas_wanted && let Some(target) = choose_replica(route, primary, query) {
        return Ok(target);
    }
    let last = query.tries.last().map(|failed| failed.kind);
    if targets == RuleTargets::Replica {
        return Err(last.unwrap_or(FailureKind::TooStale));
    }
    let Some(primary) = primary else { return Err(last.unwrap_or(FailureKind::NoPrimary)) };
    if is_usable(primary, query) {
        return Ok(primary);
    }
    Err(last.unwrap_or(if primary.draining {
        FailureKind::Leaving
    } else {
        FailureKind::Unreachable
    }))
}

fn choose_replica<'a>(
    route: &'a DatabaseRoute,
    primary: Option<&TargetRoute>,
    query: &ChoiceQuery<'_>,
) -> Option<&'a TargetRoute> {
    let is_eligible = |target: &TargetRoute| {
        target.role == TargetRole::Replica
            && primary.is_none_or(|primary| primary.server != target.server)
            && is_usable(target, query)
    };
    let mut nearest = u8::MAX;
    let mut equally_near: u64 = 0;
    for target in &route.targets {
        if !is_eligible(target) {
            continue;
        }
        let distance = distance(target, query);
        if distance < nearest {
            nearest = distance;
            equally_near = 0;
        }
        equally_near += u64::from(distance == nearest);
    }
    if let Some(last) = query.last_replica {
        for target in &route.targets {
            let was_last = target.server.as_str() == last;
            if was_last && is_eligible(target) && distance(target, query) == nearest {
                return Some(target);
            }
        }
    }
    let mut remaining = query.random.checked_rem(equally_near)?;
    for target in &route.targets {
        if !is_eligible(target) || distance(target, query) != nearest {
            continue;
        }
        if remaining == 0 {
            return Some(target);
        }
        remaining -= 1;
    }
    None
}

fn is_usable(target: &TargetRoute, query: &ChoiceQuery<'_>) -> bool {
    if !target.live || target.draining || target.broker.is_empty() {
        return false;
    }
    let failed =
        |earlier: &FailedTry| earlier.server == target.server && earlier.epoch >= target.epoch;
    !query.tries.iter().any(failed)
}

/// Returns the distance from the entry: 0 in its zone, 1 in its region, 2 elsewhere.
fn distance(target: &TargetRoute, query: &ChoiceQuery<'_>) -> u8 {
    if target.region.as_str() != query.region {
        return 2;
    }
    u8::from(target.zone.as_str() != query.zone)
}
