//! Recording of events for commands that changed the state.

use {
    banyansill_core::{
        cluster::{ClusterCommand, sheet_digest},
        event::EventNumber,
    },
    banyansill_runtime::events::EventSink,
};

/// Records the event of a command that changed the state.
///
/// Only the replica that proposed the command calls it.
pub fn record_event(events: &EventSink, command: &ClusterCommand, version: u64) {
    let (number, mut fields) = match command {
        ClusterCommand::Scoped { command, .. } => return record_event(events, command, version),
        ClusterCommand::JoinEntry { entry } => (
            EventNumber::EntryJoined,
            vec![("entry", entry.host.to_string()), ("incarnation", entry.incarnation.to_string())],
        ),
        ClusterCommand::ExpireEntry { host, .. } => {
            (EventNumber::EntryExpired, vec![("entry", host.to_string())])
        }
        ClusterCommand::RecordTarget { database, server, info } => {
            let number =
                if info.leaving { EventNumber::TargetLeaving } else { EventNumber::TargetJoined };
            (number, target_fields(database, server, &[("address", info.address.to_string())]))
        }
        ClusterCommand::SetTargetLive { database, server, live, .. } => {
            let number =
                if *live { EventNumber::TargetReachable } else { EventNumber::TargetUnreachable };
            (number, target_fields(database, server, &[]))
        }
        ClusterCommand::DrainTarget { database, server, drain: true, .. } => {
            (EventNumber::TargetLeaving, target_fields(database, server, &[]))
        }
        ClusterCommand::AssignBroker { database, server, expected_epoch, broker } => {
            let broker = broker.as_ref().map(|broker| broker.host.to_string());
            let fields = [
                ("broker", broker.unwrap_or_default()),
                ("epoch", (expected_epoch + 1).to_string()),
            ];
            (EventNumber::BrokerAssigned, target_fields(database, server, &fields))
        }
        ClusterCommand::CloseTerm { database, expected_term, planned } => (
            EventNumber::TermClosed,
            vec![
                ("database", database.to_string()),
                ("term", expected_term.to_string()),
                ("planned", planned.to_string()),
            ],
        ),
        ClusterCommand::ChooseCandidate { database, candidate, position, .. } => (
            EventNumber::CandidateChosen,
            target_fields(database, candidate, &[("position", position.to_string())]),
        ),
        ClusterCommand::AdoptPrimary { database, server, term, start, .. }
        | ClusterCommand::Promote { database, candidate: server, term, start, .. } => {
            let fields = [("term", term.to_string()), ("start", start.to_string())];
            (EventNumber::PrimaryPromoted, target_fields(database, server, &fields))
        }
        ClusterCommand::ApplySheet { number, content, operator, .. } => (
            EventNumber::SheetAccepted,
            vec![
                ("number", number.to_string()),
                ("digest", sheet_digest(content.as_bytes())),
                ("operator", operator.clone()),
            ],
        ),
        ClusterCommand::DrainEntry { .. }
        | ClusterCommand::SetRejoining { .. }
        | ClusterCommand::DrainTarget { .. }
        | ClusterCommand::ForgetTarget { .. } => return,
    };
    fields.push(("version", version.to_string()));
    events.record(number, &fields);
}

fn target_fields(
    database: &str,
    server: &str,
    extra: &[(&'static str, String)],
) -> Vec<(&'static str, String)> {
    let mut fields = vec![("database", database.to_owned()), ("server", server.to_owned())];
    fields.extend_from_slice(extra);
    fields
}
