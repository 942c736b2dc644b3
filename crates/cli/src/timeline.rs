//! The time line: events of several processes, merged by their stamps.

use {
    crate::{
        flags::Timeline,
        output::{CommandOutput, EXIT_UNREACHABLE, table},
    },
    banyansill_runtime::{clock::wall_millis, events::EventRecord},
    ntex::{SharedCfg, client::Client, time::Millis},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Address that is asked when none is given.
const DEFAULT_ADDRESS: &str = "127.0.0.1:7401";

/// Limit of one request.
const REQUEST_LIMIT: Millis = Millis(5_000);

/// Largest reply: the 4,096 events that a process keeps.
const REPLY_LIMIT: usize = 16 << 20;

pub(crate) fn run(flags: &Timeline, token: Option<&str>, json: bool) -> CommandOutput {
    let Some(since) = since_millis(&flags.since, wall_millis()) else {
        let message = format!("{:?} is not an age such as 30s, 10m, 2h or 1d", flags.since);
        return CommandOutput::usage(&message);
    };
    let mut addresses = flags.admin.clone();
    if addresses.is_empty() {
        addresses.push(DEFAULT_ADDRESS.to_owned());
    }
    for address in &addresses {
        if address.parse::<SocketAddr>().is_err() {
            return CommandOutput::usage(&format!("{address:?} is not an IP address and port"));
        }
    }
    let system = ntex::rt::System::new("timeline", ntex::rt::DefaultRuntime);
    let (events, failures) =
        system.block_on(collect(addresses, token.map(ToOwned::to_owned), since));
    let events = merge(events, flags.database.as_deref());
    let text = || {
        let rows = events.iter().map(|event| {
            let stamp = format!("{}.{}", event.stamp.millis, event.stamp.counter);
            let number = format!("BS{:03}", event.number);
            let fields = format_fields(&event.fields);
            vec![stamp, event.host.to_string(), number, event.text.clone(), fields]
        });
        table(&["STAMP", "HOST", "EVENT", "TEXT", "FIELDS"], rows)
    };
    let mut output = CommandOutput::either(json, &events, text);
    if !failures.is_empty() {
        // A time line with a gap must not look complete.
        output.code = EXIT_UNREACHABLE;
        for failure in failures {
            output.errors.push_str(&format!("banyansill: {failure}\n"));
        }
    }
    output
}

/// Returns the beginning of the time line in milliseconds since the epoch.
fn since_millis(text: &str, now: u64) -> Option<u64> {
    if let Ok(millis) = text.parse() {
        return Some(millis);
    }
    let split = text.len().checked_sub(1).filter(|at| text.is_char_boundary(*at))?;
    let (number, unit) = text.split_at(split);
    let unit = match unit {
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        "d" => 86_400_000,
        _ => return None,
    };
    let age = number.parse::<u64>().ok()?.checked_mul(unit)?;
    Some(now.saturating_sub(age))
}

async fn collect(
    addresses: Vec<String>,
    token: Option<String>,
    since: u64,
) -> (Vec<EventRecord>, Vec<String>) {
    let mut events = Vec::new();
    let mut failures = Vec::new();
    for address in addresses {
        match fetch(&address, token.as_deref(), since).await {
            Ok(records) => events.extend(records),
            Err(detail) => failures.push(format!("events of {address}: {detail}")),
        }
    }
    (events, failures)
}

async fn fetch(address: &str, token: Option<&str>, since: u64) -> Result<Vec<EventRecord>, String> {
    let client = Client::builder()
        .response_timeout(REQUEST_LIMIT)
        .response_payload_limit(REPLY_LIMIT)
        .build(SharedCfg::default())
        .await
        .map_err(|error| format!("{error:?}"))?;
    let url = format!("http://{address}/v1/events?since_ms={since}");
    let mut request = client.get(url);
    if let Some(token) = token {
        request = request.bearer_auth(token);
    }
    let response = request.send().await.map_err(|error| error.to_string())?;
    if !response.status().is_success() {
        return Err(format!("status {}", response.status().as_u16()));
    }
    response.json::<Vec<EventRecord>>().limit(REPLY_LIMIT).await.map_err(|error| error.to_string())
}

/// Sorts by stamp and then by host, and drops events that two addresses of one process returned.
fn merge(mut events: Vec<EventRecord>, database: Option<&str>) -> Vec<EventRecord> {
    if let Some(database) = database {
        events.retain(|event| event.fields.get("database").is_some_and(|name| name == database));
    }
    events.sort_by(|left, right| (left.stamp, &left.host).cmp(&(right.stamp, &right.host)));
    events.dedup();
    events
}

fn format_fields(fields: &BTreeMap<String, String>) -> String {
    let parts: Vec<String> = fields.iter().map(|(name, value)| format!("{name}={value}")).collect();
    parts.join(" ")
}
