//! Conversions between the cluster state and protocol messages.

use {
    banyansill_core::{
        cluster::{
            BrokerRef, ClusterState, DatabaseRecord, EntryInfo, EntryRecord, SheetRecord,
            TargetInfo, TargetRecord,
        },
        detector::{BrokerReport, EntryHeartbeat, TargetAnnouncement},
        event::HybridStamp,
        names::SharedName,
        position::LogPosition,
        route::TargetRole,
        time::Micros,
    },
    banyansill_runtime::{clock::wall_millis, events::EventSink},
    banyansill_wire::v1,
    std::collections::BTreeMap,
};

/// Largest lead of a stamp over the local wall clock.
///
/// A stamp that is further ahead comes from a wrong clock and is ignored.
const MAX_STAMP_LEAD_MS: u64 = 60_000;

/// Advances the event clock past the stamp of a message.
pub fn observe_stamp(events: &EventSink, stamp: Option<&v1::Stamp>) {
    let Some(stamp) = stamp else { return };
    if stamp.millis <= wall_millis() + MAX_STAMP_LEAD_MS {
        let _ = events.observe(HybridStamp { millis: stamp.millis, counter: stamp.counter });
    }
}

/// Returns the event clock's stamp for a message to be sent.
#[must_use]
pub fn current_stamp(events: &EventSink) -> v1::Stamp {
    let stamp = events.stamp();
    v1::Stamp { millis: stamp.millis, counter: stamp.counter }
}

/// Converts what an entry states about itself from its protocol message.
#[must_use]
pub fn entry_info(entry: &v1::EntryInfo) -> EntryInfo {
    EntryInfo {
        host: entry.host.as_str().into(),
        address: entry.address.as_str().into(),
        caller_address: entry.caller_address.as_str().into(),
        announce_address: entry.announce_address.as_str().into(),
        region: entry.region.as_str().into(),
        zone: entry.zone.as_str().into(),
        incarnation: entry.incarnation,
        draining: entry.draining,
    }
}

/// Converts an entry's record into its protocol message.
#[must_use]
pub fn entry_view(record: &EntryRecord) -> v1::EntryInfo {
    let info = &record.info;
    v1::EntryInfo {
        host: info.host.to_string(),
        address: info.address.to_string(),
        caller_address: info.caller_address.to_string(),
        announce_address: info.announce_address.to_string(),
        region: info.region.to_string(),
        zone: info.zone.to_string(),
        incarnation: info.incarnation,
        draining: info.draining || record.drained,
    }
}

/// Converts the observations in a heartbeat from their protocol message.
#[must_use]
pub fn heartbeat(request: &v1::HeartbeatRequest, entry: &EntryInfo) -> EntryHeartbeat {
    let mut reports = BTreeMap::new();
    for report in &request.reports {
        let key = (report.database.as_str().into(), report.server.as_str().into());
        let position = report.position.map_or(LogPosition::ZERO, LogPosition::from);
        reports.insert(
            key,
            BrokerReport {
                epoch: report.epoch,
                reachable: report.reachable,
                unreachable_for: Micros::from_millis(u64::from(report.unreachable_ms)),
                role: target_role(report.role()),
                term: report.term.max(position.term.0),
                position,
                term_start: report.term_start.map(LogPosition::from),
                fenced_term: report.fenced_term,
                open_connections: report.open_connections,
                announced: (report.announced_incarnation > 0)
                    .then_some(report.announced_incarnation),
            },
        );
    }
    EntryHeartbeat {
        entry: BrokerRef { host: entry.host.clone(), incarnation: entry.incarnation },
        applied_version: request.applied_version,
        sheet_number: request.sheet_number,
        reports,
    }
}

const fn target_role(role: v1::Role) -> Option<TargetRole> {
    match role {
        v1::Role::Primary => Some(TargetRole::Primary),
        v1::Role::Replica => Some(TargetRole::Replica),
        v1::Role::Unspecified => None,
    }
}

/// Returns the part of an announcement that is recorded in the replicated state.
#[must_use]
pub fn target_info(announcement: &v1::Announcement) -> TargetInfo {
    TargetInfo {
        address: announcement.address.as_str().into(),
        replication_address: announcement.replication_address.as_str().into(),
        region: announcement.region.as_str().into(),
        zone: announcement.zone.as_str().into(),
        slots: announcement.slots,
        connections: announcement.connections,
        leaving: announcement.leaving,
        incarnation: announcement.incarnation,
    }
}

/// Returns the part of an announcement that the leader keeps in memory.
#[must_use]
pub fn target_announcement(announcement: &v1::Announcement) -> TargetAnnouncement {
    let position = announcement.position.map_or(LogPosition::ZERO, LogPosition::from);
    TargetAnnouncement {
        incarnation: announcement.incarnation,
        role: target_role(announcement.role()),
        term: announcement.term.max(position.term.0),
        position,
    }
}

/// Converts a database group into its protocol message.
#[must_use]
pub fn database_view(
    state: &ClusterState,
    name: &SharedName,
    group: &DatabaseRecord,
) -> v1::DatabaseView {
    let mut servers = Vec::new();
    for (server, target) in &group.targets {
        servers.push(server_view(state, name, group, server, target));
    }
    let mut history = Vec::new();
    for record in &group.history {
        history.push(v1::TermStart { term: record.term, start: Some(record.start.into()) });
    }
    let candidate = group.candidate.as_ref();
    v1::DatabaseView {
        database: name.to_string(),
        term: group.term,
        primary: group.primary.as_ref().map(ToString::to_string).unwrap_or_default(),
        closed: group.closed,
        history,
        servers,
        candidate: candidate.map(|record| record.server.to_string()).unwrap_or_default(),
        candidate_term: if candidate.is_some() { group.candidate_term } else { 0 },
        planned: group.planned,
    }
}

fn server_view(
    state: &ClusterState,
    database: &SharedName,
    group: &DatabaseRecord,
    server: &SharedName,
    target: &TargetRecord,
) -> v1::ServerView {
    let primary = group.primary.as_ref() == Some(server);
    let role = if primary { v1::Role::Primary } else { v1::Role::Replica };
    let info = &target.info;
    let broker = state.live_broker(target);
    v1::ServerView {
        announcement: Some(v1::Announcement {
            database: database.to_string(),
            server: server.to_string(),
            address: info.address.to_string(),
            replication_address: info.replication_address.to_string(),
            region: info.region.to_string(),
            zone: info.zone.to_string(),
            role: role.into(),
            position: None,
            slots: info.slots,
            connections: info.connections,
            leaving: info.leaving,
            incarnation: info.incarnation,
            term: if primary { group.term } else { 0 },
        }),
        broker: broker.map(|entry| entry.info.host.to_string()).unwrap_or_default(),
        broker_address: broker.map(|entry| entry.info.address.to_string()).unwrap_or_default(),
        epoch: target.epoch,
        live: target.live,
        draining: target.is_draining(),
    }
}

/// Converts the current sheet with its content into its protocol message; `None` before the first one.
#[must_use]
pub fn sheet_view(state: &ClusterState) -> Option<v1::SheetView> {
    let record = state.sheet()?;
    Some(v1::SheetView {
        number: record.number,
        content: state.sheet_content().to_owned().into(),
        accepted_version: record.version,
    })
}

/// Converts the record of an accepted sheet into its protocol message.
#[must_use]
pub fn sheet_record(record: SheetRecord) -> v1::SheetRecord {
    v1::SheetRecord {
        number: record.number,
        digest: record.digest,
        operator: record.operator,
        request_id: record.request_id,
        version: record.version,
    }
}
