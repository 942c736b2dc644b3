//! Runs one scenario of the review: the project's programs as separate processes, with small stand-ins for the
//! servers, the platform, the operator and the callers, on loopback addresses and the real clock.
//!
//! Exit codes: 0 if the rule held, 1 if it was broken, 2 if the scenario could not run.

mod callers;
mod cluster;
mod empty_replica;
mod group;
mod http;
mod late_departure;
mod partition;
mod pending_promotion;
mod platform;
mod prepared_growth;
mod record;
mod replaced_replica;
mod server;

use {
    record::Record,
    std::{
        io,
        path::{Path, PathBuf},
        process::ExitCode,
    },
};

/// What a scenario is given.
#[derive(Debug)]
pub struct Scenario {
    /// Folder with the project's programs.
    pub programs: PathBuf,
    /// Temporary folder for settings, data and logs.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
    pub record: Record,
}

/// Whether the rule was kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Kept,
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, programs, folder, record] = &arguments[..] else {
        eprintln!("usage: scenario NAME PROGRAMS FOLDER RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0" && value != "crash");
    match run(name, Path::new(programs), Path::new(folder), Path::new(record), trouble) {
        Ok(Verdict::Kept) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("the scenario could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(
    name: &str,
    programs: &Path,
    folder: &Path,
    record: &Path,
    trouble: bool,
) -> io::Result<Verdict> {
    let record = Record::create(record)?;
    let scenario = Scenario {
        programs: programs.to_owned(),
        folder: folder.to_owned(),
        trouble,
        record: record.clone(),
    };
    record
        .say(&format!("scenario {name}, {} disruption", if trouble { "with" } else { "without" }));
    let verdict = match name {
        "prepared-growth" => prepared_growth::run(&scenario),
        "replaced-replica" => replaced_replica::run(&scenario),
        "empty-replica" => empty_replica::run(&scenario),
        "late-departure" => late_departure::run(&scenario),
        "pending-promotion" => pending_promotion::run(&scenario),
        _ => Err(io::Error::other(format!("unknown scenario {name:?}"))),
    };
    match &verdict {
        Ok(verdict) => record.say(&format!("rule {verdict:?}")),
        Err(error) => record.say(&format!("could not run: {error}")),
    }
    record.flush();
    verdict
}

/// Returns a configuration with one route of the type `primary` to a service whose commits wait for one replica.
fn config(service: &str, database: &str) -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{database}\",\"path_prefix\":\"/\",\
         \"type\":\"primary\",\"timeout_ms\":1000,\"target_latency_ms\":800,\"priority\":1,\
         \"service\":\"{service}\",\"attempts\":2}}],\"services\":[{{\"name\":\"{service}\",\
         \"health_path\":\"/health\",\"max_conns\":71,\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":1}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000,\"tx_idle_ms\":3000}}}}"
    )
}
