//! Status reply: the state that operators may see.

use {
    crate::{node::NodeError, view},
    banyansill_core::{
        cluster::{BrokerRef, ClusterState, OperatorScope},
        detector::{LivenessTable, TargetKey},
        names::SharedName,
        promotion::{self, CandidateChoice},
        sheet::RuleSheet,
        time::Micros,
    },
    banyansill_wire::v1,
};

/// Returns the whole state; only the leader knows positions and the ages of heartbeats.
pub(crate) fn reply(
    state: &ClusterState,
    table: Option<&LivenessTable>,
    outlook_of: &str,
    now: Micros,
) -> Result<v1::StatusReply, NodeError> {
    let mut databases = Vec::new();
    for (name, group) in state.databases() {
        let mut database = view::database_view(state, name, group);
        if let Some(table) = table {
            add_positions(state, table, name, &mut database, now);
        }
        databases.push(database);
    }
    let mut entries = Vec::new();
    for (host, record) in state.entries() {
        let holder = BrokerRef { host: host.clone(), incarnation: record.info.incarnation };
        let observed = table.and_then(|table| table.entry(&holder, now)).unwrap_or_default();
        entries.push(v1::EntryStatus {
            entry: Some(view::entry_view(record)),
            sheet_number: observed.sheet_number,
            applied_version: observed.applied_version,
            silent_ms: u32::try_from(observed.heartbeat_age.as_millis()).unwrap_or(u32::MAX),
            live: record.live,
        });
    }
    let outlook = match table {
        _ if outlook_of.is_empty() => None,
        Some(table) => Some(outlook(state, table, outlook_of, now)?),
        None => return Err(NodeError::Busy("the leader has no observations yet".to_owned())),
    };
    Ok(v1::StatusReply {
        version: state.version(),
        databases,
        sheet: view::sheet_view(state),
        entries,
        outlook,
        ..v1::StatusReply::default()
    })
}

/// Removes what a scoped operator may not see: other databases, rows of other teams, and the hosts of
/// the deployment.
pub(crate) fn restrict(reply: &mut v1::StatusReply, scope: &OperatorScope) {
    if scope.is_unlimited() {
        return;
    }
    reply.databases.retain(|database| scope.covers_database(&database.database));
    if scope.databases.is_some() {
        reply.entries.clear();
        reply.replicas.clear();
    }
    if let Some(sheet) = &mut reply.sheet {
        sheet.content = visible_rows(&sheet.content, scope).into();
    }
}

/// Returns the rows of a sheet that are in a scope, as CSV text.
pub(crate) fn visible_rows(content: &[u8], scope: &OperatorScope) -> String {
    let sheet = RuleSheet::parse(content).unwrap_or_default();
    sheet.render(|rule| scope.covers_row(&rule.database, &rule.application))
}

/// Adds the position and term of each target: those that its broker reports, since most targets
/// announce themselves to their broker, or else those of the latest announcement to the leader.
fn add_positions(
    state: &ClusterState,
    table: &LivenessTable,
    name: &SharedName,
    database: &mut v1::DatabaseView,
    now: Micros,
) {
    for server in &mut database.servers {
        let Some(announcement) = &mut server.announcement else { continue };
        let key: TargetKey = (name.clone(), announcement.server.as_str().into());
        let Some(target) = state.target(&key.0, &key.1) else { continue };
        let report = table.report(state, &key, target, now);
        let report = report.filter(|report| report.reachable && report.role.is_some());
        let (position, term) = match (report, table.announcement(&key)) {
            (Some(report), _) => (report.position, report.term),
            (None, Some((_, latest))) => (latest.position, latest.term),
            (None, None) => continue,
        };
        announcement.position = Some(position.into());
        announcement.term = term;
    }
}

fn outlook(
    state: &ClusterState,
    table: &LivenessTable,
    database: &str,
    now: Micros,
) -> Result<v1::PromotionOutlook, NodeError> {
    let Some((name, group)) = state.databases().get_key_value(database) else {
        return Err(NodeError::Invalid(format!("unknown database {database:?}")));
    };
    let required = promotion::required_answers(group.targets.len());
    let mut reply = v1::PromotionOutlook {
        required: u32::try_from(required).unwrap_or(u32::MAX),
        ..v1::PromotionOutlook::default()
    };
    // Counts positions of the last second; an actual promotion waits for positions after the fence.
    let since = Micros(now.0.saturating_sub(Micros::from_secs(1).0));
    match promotion::select_candidate(state, table, name, group, since, now) {
        CandidateChoice::Candidate(candidate) => {
            reply.answers = reply.required;
            reply.candidate = candidate.server.to_string();
            reply.position = Some(candidate.position.into());
            reply.detail = "has the highest position".to_owned();
        }
        CandidateChoice::TooFewAnswers { answers, .. } => {
            reply.answers = u32::try_from(answers).unwrap_or(u32::MAX);
            reply.detail = "too few servers answer".to_owned();
        }
        CandidateChoice::CatchingUp => {
            reply.answers = reply.required;
            reply.detail = "the remaining servers must catch up first".to_owned();
        }
    }
    Ok(reply)
}
