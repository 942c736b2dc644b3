//! Commands other than those on sheets and the time line.

use {
    crate::{
        client::{ClientError, ControlAccess},
        flags::{BanyansillCmd, ControlCmd},
        output::{CommandOutput, EXIT_REFUSED, table},
    },
    banyansill_wire::v1,
    serde::Serialize,
    std::fmt::Write,
};

/// Returns an identifier for a request that was given none.
pub(crate) fn request_id(given: Option<String>) -> String {
    given.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()))
}

pub(crate) async fn run(
    command: BanyansillCmd,
    access: &ControlAccess,
    json: bool,
) -> Result<CommandOutput, ClientError> {
    match command {
        BanyansillCmd::Targets(_) => targets(access, json).await,
        BanyansillCmd::Drain(flags) => {
            drain(access, json, (flags.scope, flags.name, flags.request_id), true).await
        }
        BanyansillCmd::Undrain(flags) => {
            drain(access, json, (flags.scope, flags.name, flags.request_id), false).await
        }
        BanyansillCmd::Promote(flags) => outlook(access, json, flags.database).await,
        BanyansillCmd::Control(flags) => match flags.subcommand {
            ControlCmd::Add(flags) => member(access, json, flags.host, flags.address, true).await,
            ControlCmd::Remove(flags) => {
                member(access, json, flags.host, String::new(), false).await
            }
        },
        BanyansillCmd::Status(_)
        | BanyansillCmd::NoCommand(_)
        | BanyansillCmd::Sheet(_)
        | BanyansillCmd::Timeline(_) => status(access, json).await,
    }
}

#[derive(Serialize)]
struct StatusView {
    version: u64,
    confirmed: bool,
    leader: String,
    consensus_term: u64,
    sheet: u64,
    entries: Vec<EntryView>,
    databases: Vec<DatabaseView>,
    replicas: Vec<ReplicaView>,
}

#[derive(Serialize)]
struct EntryView {
    host: String,
    zone: String,
    address: String,
    state: &'static str,
    sheet: u64,
    version: u64,
    silent_ms: u32,
}

#[derive(Serialize)]
struct DatabaseView {
    database: String,
    term: u64,
    primary: String,
    state: &'static str,
    candidate: String,
    live: usize,
    targets: usize,
}

#[derive(Serialize)]
struct ReplicaView {
    host: String,
    address: String,
    role: &'static str,
    match_index: u64,
}

async fn fetch(access: &ControlAccess) -> Result<(v1::StatusReply, bool), ClientError> {
    let confirmed = v1::StatusRequest { confirmed: true, outlook_of: String::new() };
    let call = access.call(async |mut client| client.status(confirmed.clone()).await);
    match call.await {
        Ok(reply) => Ok((reply, true)),
        // Without a leader any replica still shows what it has applied.
        Err(ClientError::NoLeader { .. }) => {
            let request = v1::StatusRequest::default();
            let call = access.call(async |mut client| client.status(request.clone()).await);
            Ok((call.await?, false))
        }
        Err(error) => Err(error),
    }
}

async fn status(access: &ControlAccess, json: bool) -> Result<CommandOutput, ClientError> {
    let (reply, confirmed) = fetch(access).await?;
    let view = status_view(reply, confirmed);
    let mut output = CommandOutput::either(json, &view, || status_text(&view));
    if !confirmed {
        output.errors =
            "banyansill: control has no leader; the state shown may be old\n".to_owned();
        output.code = crate::EXIT_UNREACHABLE;
    }
    Ok(output)
}

fn status_view(reply: v1::StatusReply, confirmed: bool) -> StatusView {
    let mut entries = Vec::new();
    for status in reply.entries {
        let entry = status.entry.unwrap_or_default();
        let state = match (status.live, entry.draining) {
            (false, _) => "expired",
            (true, true) => "draining",
            (true, false) => "live",
        };
        entries.push(EntryView {
            host: entry.host,
            zone: entry.zone,
            address: entry.address,
            state,
            sheet: status.sheet_number,
            version: status.applied_version,
            silent_ms: status.silent_ms,
        });
    }
    let mut databases = Vec::new();
    for database in reply.databases {
        let state = match (database.term, database.closed, database.planned) {
            (0, ..) => "no primary",
            (_, false, _) => "open",
            (_, true, true) => "handing over",
            (_, true, false) => "failing over",
        };
        databases.push(DatabaseView {
            live: database.servers.iter().filter(|server| server.live).count(),
            targets: database.servers.len(),
            database: database.database,
            term: database.term,
            primary: database.primary,
            state,
            candidate: database.candidate,
        });
    }
    let mut replicas = Vec::new();
    for replica in reply.replicas {
        let role = match (replica.leader, replica.voter) {
            (true, _) => "leader",
            (false, true) => "voter",
            (false, false) => "learner",
        };
        let (host, address) = (replica.host, replica.address);
        replicas.push(ReplicaView { host, address, role, match_index: replica.match_index });
    }
    StatusView {
        version: reply.version,
        confirmed,
        leader: reply.leader,
        consensus_term: reply.consensus_term,
        sheet: reply.sheet.map_or(0, |sheet| sheet.number),
        entries,
        databases,
        replicas,
    }
}

fn status_text(view: &StatusView) -> String {
    let mut text = String::new();
    let sheet = if view.sheet == 0 { "none".to_owned() } else { view.sheet.to_string() };
    let leader = if view.leader.is_empty() { "none" } else { &view.leader };
    let _ = writeln!(text, "version {}, sheet {sheet}, leader {leader}\n", view.version);
    let rows = view.replicas.iter().map(|replica| {
        let (host, address) = (replica.host.clone(), replica.address.clone());
        vec![host, address, replica.role.to_owned()]
    });
    let _ = writeln!(text, "{}", table(&["CONTROL", "ADDRESS", "ROLE"], rows));
    let rows = view.entries.iter().map(|entry| {
        vec![
            entry.host.clone(),
            entry.zone.clone(),
            entry.address.clone(),
            entry.state.to_owned(),
            entry.sheet.to_string(),
            entry.version.to_string(),
        ]
    });
    let header = ["ENTRY", "ZONE", "ADDRESS", "STATE", "SHEET", "VERSION"];
    let _ = writeln!(text, "{}", table(&header, rows));
    let rows = view.databases.iter().map(|database| {
        vec![
            database.database.clone(),
            database.term.to_string(),
            database.primary.clone(),
            database.state.to_owned(),
            format!("{}/{}", database.live, database.targets),
        ]
    });
    text.push_str(&table(&["DATABASE", "TERM", "PRIMARY", "STATE", "LIVE"], rows));
    text
}

#[derive(Serialize)]
struct TargetView {
    database: String,
    server: String,
    address: String,
    zone: String,
    role: &'static str,
    state: &'static str,
    broker: String,
    epoch: u64,
    position: String,
}

async fn targets(access: &ControlAccess, json: bool) -> Result<CommandOutput, ClientError> {
    let (reply, _) = fetch(access).await?;
    let mut views = Vec::new();
    for database in reply.databases {
        for server in database.servers {
            let announcement = server.announcement.unwrap_or_default();
            let state = match (server.live, server.draining) {
                (false, _) => "unreachable",
                (true, true) => "draining",
                (true, false) => "live",
            };
            let primary = announcement.server == database.primary;
            let position = announcement.position.unwrap_or_default();
            views.push(TargetView {
                database: database.database.clone(),
                server: announcement.server,
                address: announcement.address,
                zone: announcement.zone,
                role: if primary { "primary" } else { "replica" },
                state,
                broker: server.broker,
                epoch: server.epoch,
                position: format!("{}:{}", position.term, position.offset),
            });
        }
    }
    let text = || {
        let rows = views.iter().map(|view| {
            vec![
                view.database.clone(),
                view.server.clone(),
                view.address.clone(),
                view.zone.clone(),
                view.role.to_owned(),
                view.state.to_owned(),
                view.broker.clone(),
                view.epoch.to_string(),
                view.position.clone(),
            ]
        });
        let header = [
            "DATABASE", "SERVER", "ADDRESS", "ZONE", "ROLE", "STATE", "BROKER", "EPOCH", "POSITION",
        ];
        table(&header, rows)
    };
    Ok(CommandOutput::either(json, &views, text))
}

async fn drain(
    access: &ControlAccess,
    json: bool,
    (scope, name, id): (String, String, Option<String>),
    drain: bool,
) -> Result<CommandOutput, ClientError> {
    let (database, server) = match (scope.as_str(), name.split_once('/')) {
        ("entry", _) => ("", name.as_str()),
        ("target", Some((database, server))) => (database, server),
        ("target", None) => {
            return Ok(CommandOutput::usage("a target is named DATABASE/SERVER"));
        }
        _ => {
            let message = format!("{scope:?} is not one of entry, target");
            return Ok(CommandOutput::usage(&message));
        }
    };
    let request = v1::DrainRequest {
        scope: scope.clone(),
        database: database.to_owned(),
        name: server.to_owned(),
        drain,
        request_id: request_id(id),
    };
    let reply = access.call(async |mut client| client.drain(request.clone()).await).await?;
    let state = if drain { "drained" } else { "in service" };
    let value = serde_json::json!({ "scope": scope, "name": name, "state": state,
        "changed": reply.changed });
    let text = || {
        let already = if reply.changed { "" } else { "already " };
        format!("{scope} {name} is {already}{state}\n")
    };
    Ok(CommandOutput::either(json, &value, text))
}

async fn outlook(
    access: &ControlAccess,
    json: bool,
    database: String,
) -> Result<CommandOutput, ClientError> {
    let request = v1::StatusRequest { confirmed: true, outlook_of: database.clone() };
    let reply = access.call(async |mut client| client.status(request.clone()).await).await?;
    let outlook = reply.outlook.unwrap_or_default();
    let position = outlook.position.unwrap_or_default();
    let position = format!("{}:{}", position.term, position.offset);
    let value = serde_json::json!({ "database": database, "candidate": outlook.candidate,
        "position": position, "answers": outlook.answers, "required": outlook.required,
        "detail": outlook.detail });
    if outlook.candidate.is_empty() {
        let text = || {
            format!(
                "{database}: no server can be chosen: {} ({} of {} required answers)\n",
                outlook.detail, outlook.answers, outlook.required
            )
        };
        return Ok(CommandOutput::either(json, &value, text).with_code(EXIT_REFUSED));
    }
    let text = || {
        let candidate = &outlook.candidate;
        format!("{database}: {candidate} would be chosen at {position}: {}\n", outlook.detail)
    };
    Ok(CommandOutput::either(json, &value, text))
}

async fn member(
    access: &ControlAccess,
    json: bool,
    host: String,
    address: String,
    add: bool,
) -> Result<CommandOutput, ClientError> {
    let request = v1::MemberRequest { host, address, add, request_id: request_id(None) };
    let call = access.call(async |mut client| client.change_member(request.clone()).await);
    let reply = call.await?;
    let value = serde_json::json!({ "done": reply.done, "detail": reply.detail });
    Ok(CommandOutput::either(json, &value, || format!("{}\n", reply.detail)))
}
