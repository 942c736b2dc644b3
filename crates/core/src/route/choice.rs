//! Choice of the target that serves a request.

use {
    super::{DatabaseRoute, TargetRole, TargetRoute},
    crate::{
        failure::FailureKind,
        names::SharedName,
        sheet::{RuleTargets, SheetRule},
        time::Micros,
    },
};

/// A try of the same request that failed before the request was run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailedTry {
    /// Server that was tried.
    pub server: SharedName,
    /// Broker epoch of the try; a target with a newer epoch may be tried again.
    pub epoch: u64,
    /// What the broker answered.
    pub kind: FailureKind,
}

/// What the choice depends on, apart from the routes.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceQuery<'a> {
    /// Rule of the request.
    pub rule: &'a SheetRule,
    /// Whether the request may write.
    pub write: bool,
    /// Whether the session's floor is known; without it only the primary can serve a read.
    pub floor_known: bool,
    /// Region of the entry.
    pub region: &'a str,
    /// Availability zone of the entry.
    pub zone: &'a str,
    /// Replica that served the session's latest read, if it was a replica.
    ///
    /// It has reached the session's floor for certain; another one with the same lag may be a few
    /// milliseconds behind it.
    pub last: Option<&'a str>,
    /// Earlier tries of this request.
    pub tries: &'a [FailedTry],
    /// Random number that decides among equal targets.
    pub random: u64,
}

/// Returns the target that serves the request.
///
/// Called again after `TooStale`, `Unreachable`, `WrongEpoch`, `Leaving` or another refusal with the
/// failed try added to `tries`, it returns the next choice.
///
/// # Errors
///
/// Returns the failure that the caller is told of if no target is left: the one of the last try if
/// there was one.
pub fn choose_target<'a>(
    route: &'a DatabaseRoute,
    query: &ChoiceQuery<'_>,
) -> Result<&'a TargetRoute, FailureKind> {
    let targets = if query.write { RuleTargets::Primary } else { query.rule.targets };
    let primary = route.open_primary();
    let replicas_wanted = targets != RuleTargets::Primary
        && query.floor_known
        // No replica is provably up to date, so age zero means the primary.
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
    let is_candidate = |target: &TargetRoute| {
        target.role == TargetRole::Replica
            && primary.is_none_or(|primary| primary.server != target.server)
            && is_usable(target, query)
    };
    let mut best = u8::MAX;
    let mut equals: u64 = 0;
    for target in &route.targets {
        if !is_candidate(target) {
            continue;
        }
        let distance = distance(target, query);
        if distance < best {
            best = distance;
            equals = 0;
        }
        equals += u64::from(distance == best);
    }
    if let Some(last) = query.last {
        for target in &route.targets {
            let same = target.server.as_str() == last;
            if same && is_candidate(target) && distance(target, query) == best {
                return Some(target);
            }
        }
    }
    let mut skip = query.random.checked_rem(equals)?;
    for target in &route.targets {
        if !is_candidate(target) || distance(target, query) != best {
            continue;
        }
        if skip == 0 {
            return Some(target);
        }
        skip -= 1;
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

/// Distance from the entry: 0 in its zone, 1 in its region, 2 elsewhere.
fn distance(target: &TargetRoute, query: &ChoiceQuery<'_>) -> u8 {
    if target.region.as_str() != query.region {
        return 2;
    }
    u8::from(target.zone.as_str() != query.zone)
}
