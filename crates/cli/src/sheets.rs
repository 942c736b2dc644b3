//! Commands on sheets.

use {
    crate::{
        client::{ClientError, ControlAccess},
        commands::request_id,
        flags::{Sheet, SheetCmd},
        output::{CommandOutput, EXIT_REFUSED, EXIT_USAGE, table},
    },
    banyansill_core::{
        cluster::sheet_digest,
        sheet::{COLUMNS, MAX_REPORTED_FAULTS, MAX_SHEET_BYTES, RuleSheet, SheetFault},
    },
    banyansill_wire::v1,
    serde::Serialize,
    std::{collections::BTreeMap, fs::File, io::Read, path::Path},
};

pub(crate) async fn run(
    command: Sheet,
    access: &ControlAccess,
    json: bool,
) -> Result<CommandOutput, ClientError> {
    match command.subcommand {
        SheetCmd::Check(flags) => Ok(check(&flags.file, json)),
        SheetCmd::Diff(flags) => match load(&flags.file, json) {
            Ok((_, sheet)) => diff(access, &sheet, json).await,
            Err(output) => Ok(output),
        },
        SheetCmd::Apply(flags) => {
            let content = match load(&flags.file, json) {
                Ok((content, _)) => content,
                Err(output) => return Ok(output),
            };
            let operator = flags.operator.or_else(|| std::env::var("USER").ok());
            let request = v1::ApplySheetRequest {
                number: flags.number,
                content: content.into(),
                request_id: request_id(flags.request_id),
                operator: operator.unwrap_or_default(),
            };
            apply(access, request, json).await
        }
        SheetCmd::Show(_) => show(access, json).await,
        SheetCmd::History(_) => history(access, json).await,
    }
}

/// Reads at most one byte more than a sheet may have, so that a huge file is not read whole.
fn read(path: &Path) -> Result<Vec<u8>, CommandOutput> {
    let limit = u64::try_from(MAX_SHEET_BYTES + 1).unwrap_or(u64::MAX);
    let mut content = Vec::new();
    let result = File::open(path).and_then(|file| file.take(limit).read_to_end(&mut content));
    match result {
        Ok(_) => Ok(content),
        Err(error) => Err(CommandOutput::usage(&format!("{}: {error}", path.display()))),
    }
}

fn load(path: &Path, json: bool) -> Result<(Vec<u8>, RuleSheet), CommandOutput> {
    let content = read(path)?;
    match RuleSheet::parse(&content) {
        Ok(sheet) => Ok((content, sheet)),
        Err(faults) => Err(fault_report(&faults, json)),
    }
}

fn fault_report(faults: &[SheetFault], json: bool) -> CommandOutput {
    let text = || {
        let rows = faults.iter().map(|fault| {
            let row = if fault.row == 0 { "file".to_owned() } else { fault.row.to_string() };
            let column = if fault.column.is_empty() { "-" } else { &fault.column };
            vec![row, column.to_owned(), fault.message.clone()]
        });
        let mut text = table(&["ROW", "COLUMN", "FAULT"], rows);
        let more = if faults.len() >= MAX_REPORTED_FAULTS { " or more" } else { "" };
        text.push_str(&format!("{}{more} fault(s)\n", faults.len()));
        text
    };
    let value = serde_json::json!({ "valid": false, "faults": faults });
    CommandOutput::either(json, &value, text).with_code(EXIT_USAGE)
}

fn check(path: &Path, json: bool) -> CommandOutput {
    let (content, sheet) = match load(path, json) {
        Ok(loaded) => loaded,
        Err(output) => return output,
    };
    let (rules, digest) = (sheet.rules().len(), sheet_digest(&content));
    let value = serde_json::json!({ "valid": true, "rules": rules, "digest": digest });
    CommandOutput::either(json, &value, || format!("{rules} rule(s), digest {digest}\n"))
}

type RuleKey = (String, String, String);

#[derive(Serialize)]
struct RuleChange {
    change: &'static str,
    database: String,
    application: String,
    kind: String,
    columns: Vec<ColumnChange>,
}

#[derive(Serialize)]
struct ColumnChange {
    column: &'static str,
    old: String,
    new: String,
}

fn rules_by_key(sheet: &RuleSheet) -> BTreeMap<RuleKey, [String; COLUMNS.len()]> {
    let mut rules = BTreeMap::new();
    for rule in sheet.rules() {
        let key = (rule.database.to_string(), rule.application.to_string(), rule.kind.to_string());
        rules.insert(key, rule.fields());
    }
    rules
}

fn changes(old: &RuleSheet, new: &RuleSheet) -> Vec<RuleChange> {
    let (old, new) = (rules_by_key(old), rules_by_key(new));
    let mut changes = Vec::new();
    let mut push = |change, key: &RuleKey, columns| {
        let (database, application, kind) = key.clone();
        changes.push(RuleChange { change, database, application, kind, columns });
    };
    for (key, values) in &new {
        let Some(before) = old.get(key) else {
            push("added", key, Vec::new());
            continue;
        };
        let mut columns = Vec::new();
        for (index, column) in COLUMNS.into_iter().enumerate() {
            if before[index] != values[index] {
                let (old, new) = (before[index].clone(), values[index].clone());
                columns.push(ColumnChange { column, old, new });
            }
        }
        if !columns.is_empty() {
            push("changed", key, columns);
        }
    }
    for key in old.keys() {
        if !new.contains_key(key) {
            push("removed", key, Vec::new());
        }
    }
    changes
}

async fn in_force(access: &ControlAccess) -> Result<Option<v1::SheetView>, ClientError> {
    let request = v1::StatusRequest { confirmed: true, outlook_of: String::new() };
    let reply = access.call(async |mut client| client.status(request.clone()).await).await?;
    Ok(reply.sheet)
}

async fn diff(
    access: &ControlAccess,
    sheet: &RuleSheet,
    json: bool,
) -> Result<CommandOutput, ClientError> {
    let current = in_force(access).await?;
    let number = current.as_ref().map_or(0, |view| view.number);
    let old = current.map(|view| RuleSheet::parse(&view.content)).transpose();
    let old = old.map_err(|_| ClientError::Refused("the sheet in force is not readable".into()))?;
    let changes = changes(&old.unwrap_or_default(), sheet);
    let value = serde_json::json!({ "in_force": number, "changes": changes });
    let text = || {
        if changes.is_empty() {
            return format!("no difference to sheet {number}\n");
        }
        let rows = changes.iter().map(|change| {
            let mut columns = Vec::new();
            for column in &change.columns {
                let or_none = |text: &str| if text.is_empty() { "none" } else { text }.to_owned();
                let (old, new) = (or_none(&column.old), or_none(&column.new));
                columns.push(format!("{} {old} -> {new}", column.column));
            }
            let (database, application) = (change.database.clone(), change.application.clone());
            let (kind, columns) = (change.kind.clone(), columns.join(", "));
            vec![change.change.to_owned(), database, application, kind, columns]
        });
        let header = ["CHANGE", "DATABASE", "APPLICATION", "KIND", "COLUMNS"];
        format!("compared with sheet {number}\n\n{}", table(&header, rows))
    };
    Ok(CommandOutput::either(json, &value, text))
}

async fn apply(
    access: &ControlAccess,
    request: v1::ApplySheetRequest,
    json: bool,
) -> Result<CommandOutput, ClientError> {
    let (number, id) = (request.number, request.request_id.clone());
    let call = access.call(async |mut client| client.apply_sheet(request.clone()).await);
    let reply = match call.await {
        Ok(reply) => reply,
        Err(ClientError::Unknown { detail }) => {
            let detail = format!("{detail}; repeat the command with --request-id {id}");
            return Err(ClientError::Unknown { detail });
        }
        Err(error) => return Err(error),
    };
    if !reply.faults.is_empty() {
        let mut faults = Vec::new();
        for fault in reply.faults {
            let (row, column, message) = (fault.row, fault.column, fault.message);
            faults.push(SheetFault { row, column, message });
        }
        return Ok(fault_report(&faults, json));
    }
    let value = serde_json::json!({ "accepted": reply.accepted, "number": number,
        "version": reply.version, "request_id": id, "conflict": reply.conflict });
    if !reply.accepted {
        let text = || format!("sheet {number} was not accepted: {}\n", reply.conflict);
        return Ok(CommandOutput::either(json, &value, text).with_code(EXIT_REFUSED));
    }
    let text = || format!("sheet {number} accepted at version {}\n", reply.version);
    Ok(CommandOutput::either(json, &value, text))
}

async fn show(access: &ControlAccess, json: bool) -> Result<CommandOutput, ClientError> {
    let Some(sheet) = in_force(access).await? else {
        return Err(ClientError::Refused("no sheet was accepted yet".to_owned()));
    };
    let content = String::from_utf8_lossy(&sheet.content).into_owned();
    let value = serde_json::json!({ "number": sheet.number, "version": sheet.accepted_version,
        "content": content });
    Ok(CommandOutput::either(json, &value, || content.clone()))
}

#[derive(Serialize)]
struct HistoryView {
    number: u64,
    digest: String,
    operator: String,
    request_id: String,
    version: u64,
}

async fn history(access: &ControlAccess, json: bool) -> Result<CommandOutput, ClientError> {
    let request = v1::SheetHistoryRequest {};
    let reply = access.call(async |mut client| client.sheet_history(request).await).await?;
    let mut views = Vec::new();
    for record in reply.records {
        views.push(HistoryView {
            number: record.number,
            digest: record.digest,
            operator: record.operator,
            request_id: record.request_id,
            version: record.version,
        });
    }
    let text = || {
        let rows = views.iter().map(|view| {
            let (digest, operator) = (view.digest.clone(), view.operator.clone());
            let (request_id, version) = (view.request_id.clone(), view.version.to_string());
            vec![view.number.to_string(), digest, operator, request_id, version]
        });
        table(&["NUMBER", "DIGEST", "OPERATOR", "REQUEST", "VERSION"], rows)
    };
    Ok(CommandOutput::either(json, &views, text))
}
