//! Conversions between the directory's protocol and core types.

use {
    crate::directory_v1 as v1,
    banyansill_core::{
        directory::{
            DirectoryUpdate, GroupRule, GroupView, KeyDigest, ProcessHost, ReadRule, ReportOrder,
            RouteLimits, RouteRule, TargetReport, TargetState, TeamLimit, TeamRule,
        },
        names::SharedName,
        position::LogPosition,
        route::TargetRole,
        team_limit::{TeamPace, TeamUsage, UsageReport},
        time::Micros,
    },
    bytes::Bytes,
};

impl From<LogPosition> for v1::Position {
    fn from(position: LogPosition) -> Self {
        Self { term: position.term.0, offset: position.offset }
    }
}

impl From<v1::Position> for LogPosition {
    fn from(position: v1::Position) -> Self {
        Self::new(position.term, position.offset)
    }
}

impl From<ProcessHost> for v1::Process {
    fn from(process: ProcessHost) -> Self {
        Self {
            host: process.host.to_string(),
            address: process.address.to_string(),
            zone: process.zone.to_string(),
        }
    }
}

impl From<v1::Process> for ProcessHost {
    fn from(process: v1::Process) -> Self {
        Self {
            host: process.host.into(),
            address: process.address.into(),
            zone: process.zone.into(),
        }
    }
}

impl From<RouteRule> for v1::Route {
    fn from(rule: RouteRule) -> Self {
        let reads = match rule.reads {
            ReadRule::Latest => v1::ReadKind::Latest,
            ReadRule::Bounded { .. } => v1::ReadKind::Bounded,
            ReadRule::Session { .. } => v1::ReadKind::Session,
        };
        Self {
            database: rule.database.to_string(),
            path: rule.path.to_string(),
            group: rule.group.to_string(),
            reads: reads.into(),
            max_age_us: rule.reads.max_age().0,
            statement_timeout_us: rule.statement_timeout.0,
            latency_goal_us: rule.latency_goal.0,
            priority: rule.priority,
            keyed: !rule.public,
        }
    }
}

impl From<v1::Route> for RouteRule {
    fn from(route: v1::Route) -> Self {
        let max_age = Micros(route.max_age_us);
        let reads = match route.reads() {
            v1::ReadKind::Latest => ReadRule::Latest,
            v1::ReadKind::Bounded => ReadRule::Bounded { max_age },
            v1::ReadKind::Session => ReadRule::Session { max_age },
        };
        Self {
            database: route.database.into(),
            path: route.path.into(),
            group: route.group.into(),
            reads,
            statement_timeout: Micros(route.statement_timeout_us),
            latency_goal: Micros(route.latency_goal_us),
            priority: route.priority,
            public: !route.keyed,
        }
    }
}

impl From<GroupRule> for v1::Rule {
    fn from(rule: GroupRule) -> Self {
        Self {
            group: rule.group.to_string(),
            connections: rule.connections,
            sync_replicas: rule.sync_replicas,
        }
    }
}

impl From<v1::Rule> for GroupRule {
    fn from(rule: v1::Rule) -> Self {
        Self {
            group: rule.group.into(),
            connections: rule.connections,
            sync_replicas: rule.sync_replicas,
        }
    }
}

impl From<TeamRule> for v1::Team {
    fn from(rule: TeamRule) -> Self {
        let mut keys = Vec::new();
        for key in &rule.keys {
            keys.push(Bytes::copy_from_slice(key.as_bytes()));
        }
        let limit = rule.limit.map(|TeamLimit { rate, burst }| v1::TeamLimit { rate, burst });
        Self { team: rule.team.to_string(), keys, limit }
    }
}

impl From<v1::Team> for TeamRule {
    fn from(team: v1::Team) -> Self {
        let limit = team.limit.map(|v1::TeamLimit { rate, burst }| TeamLimit { rate, burst });
        // A digest of another length matches no key.
        let keys = team.keys.iter().filter_map(|key| KeyDigest::from_bytes(key)).collect();
        Self { team: team.team.into(), keys, limit }
    }
}

impl From<TeamUsage> for v1::TeamUsage {
    fn from(usage: TeamUsage) -> Self {
        let TeamUsage { team, admitted, refused } = usage;
        Self { team: team.to_string(), admitted, refused }
    }
}

impl From<v1::TeamUsage> for TeamUsage {
    fn from(usage: v1::TeamUsage) -> Self {
        let v1::TeamUsage { team, admitted, refused } = usage;
        Self { team: team.into(), admitted, refused }
    }
}

impl From<TeamPace> for v1::TeamPace {
    fn from(pace: TeamPace) -> Self {
        Self {
            team: pace.team.to_string(),
            rate: pace.rate.unwrap_or_default(),
            lifted: pace.rate.is_none(),
        }
    }
}

impl From<v1::TeamPace> for TeamPace {
    fn from(pace: v1::TeamPace) -> Self {
        Self { team: pace.team.into(), rate: (!pace.lifted).then_some(pace.rate) }
    }
}

impl From<UsageReport> for v1::ConfirmRequest {
    fn from(report: UsageReport) -> Self {
        let mut request = Self {
            replica: report.replica.to_string(),
            span_us: report.span.map_or(0, |span| span.0),
            followers: u32::try_from(report.followers).unwrap_or(u32::MAX),
            ..Self::default()
        };
        for usage in report.usage {
            request.usage.push(usage.into());
        }
        for pace in report.paces {
            request.paces.push(pace.into());
        }
        request
    }
}

impl From<v1::ConfirmRequest> for UsageReport {
    fn from(request: v1::ConfirmRequest) -> Self {
        let mut report = Self {
            replica: request.replica.into(),
            span: (request.span_us > 0).then_some(Micros(request.span_us)),
            followers: request.followers as usize,
            ..Self::default()
        };
        for usage in request.usage {
            report.usage.push(usage.into());
        }
        for pace in request.paces {
            report.paces.push(pace.into());
        }
        report
    }
}

impl From<TargetReport> for v1::Target {
    fn from(report: TargetReport) -> Self {
        Self {
            target: report.target.to_string(),
            group: report.group.to_string(),
            address: report.address.to_string(),
            zone: report.zone.to_string(),
            slots: report.slots,
            draining: report.state == TargetState::Draining,
            primary: report.role == TargetRole::Primary,
            incarnation: report.order.incarnation,
            sequence: report.order.sequence,
        }
    }
}

impl From<v1::Target> for TargetReport {
    fn from(target: v1::Target) -> Self {
        Self {
            target: target.target.into(),
            group: target.group.into(),
            address: target.address.into(),
            zone: target.zone.into(),
            slots: target.slots,
            state: if target.draining { TargetState::Draining } else { TargetState::Ready },
            role: if target.primary { TargetRole::Primary } else { TargetRole::Replica },
            order: ReportOrder { incarnation: target.incarnation, sequence: target.sequence },
        }
    }
}

impl From<GroupView> for v1::Group {
    fn from(view: GroupView) -> Self {
        Self {
            group: view.group.to_string(),
            primary: view.primary.map(|name| name.to_string()).unwrap_or_default(),
            changing: view.changing,
        }
    }
}

impl From<v1::Group> for GroupView {
    fn from(group: v1::Group) -> Self {
        let primary = (!group.primary.is_empty()).then(|| group.primary.into());
        Self { group: group.group.into(), primary, changing: group.changing }
    }
}

impl From<DirectoryUpdate> for v1::FollowReply {
    fn from(update: DirectoryUpdate) -> Self {
        Self {
            reset: update.reset,
            version: update.version,
            book_version: update.book_version,
            idle_transaction_us: update.limits.idle_transaction.0,
            routes: convert_all(update.routes),
            removed_routes: to_strings(update.removed_routes),
            rules: convert_all(update.rules),
            removed_rules: to_strings(update.removed_rules),
            targets: convert_all(update.targets),
            removed_targets: to_strings(update.removed_targets),
            groups: convert_all(update.groups),
            entries: convert_all(update.entries),
            removed_entries: to_strings(update.removed_entries),
            controls: convert_all(update.controls),
            removed_controls: to_strings(update.removed_controls),
            teams: convert_all(update.teams),
            removed_teams: to_strings(update.removed_teams),
            ..Self::default()
        }
    }
}

impl From<v1::FollowReply> for DirectoryUpdate {
    fn from(reply: v1::FollowReply) -> Self {
        Self {
            reset: reply.reset,
            version: reply.version,
            book_version: reply.book_version,
            limits: RouteLimits { idle_transaction: Micros(reply.idle_transaction_us) },
            routes: convert_all(reply.routes),
            removed_routes: convert_all(reply.removed_routes),
            rules: convert_all(reply.rules),
            removed_rules: convert_all(reply.removed_rules),
            targets: convert_all(reply.targets),
            removed_targets: convert_all(reply.removed_targets),
            groups: convert_all(reply.groups),
            entries: convert_all(reply.entries),
            removed_entries: convert_all(reply.removed_entries),
            controls: convert_all(reply.controls),
            removed_controls: convert_all(reply.removed_controls),
            teams: convert_all(reply.teams),
            removed_teams: convert_all(reply.removed_teams),
        }
    }
}

fn convert_all<A, B>(items: Vec<A>) -> Vec<B>
where
    B: From<A>,
{
    items.into_iter().map(B::from).collect()
}

fn to_strings(names: Vec<SharedName>) -> Vec<String> {
    names.into_iter().map(|name| name.to_string()).collect()
}
