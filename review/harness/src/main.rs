//! Cases of the independent review that are played on real processes.
//!
//! `review-harness CASE FOLDER` starts the programs of the deploy file and small stand-ins in one process, writes what
//! was sent, answered and run to `FOLDER/record.txt`, and exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run. With `TROUBLE=0` it does the same without the disruption.

mod database;
mod election;
mod http;
mod idle_commit;
mod line;
mod process;
mod record;
mod sync_release;

use std::{env, path::PathBuf, process::ExitCode};

/// Result of a case: whether the rule held, or why the case could not run.
pub type Outcome = Result<bool, String>;

fn main() -> ExitCode {
    let mut arguments = env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-harness CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::create(&PathBuf::from(folder).join("record.txt"));
    record.line(&format!("case {case}, disruption {}", if trouble { "on" } else { "off" }));
    process::limit_run(std::time::Duration::from_secs(117));
    let outcome = match case.as_str() {
        "election" => election::play(&record, trouble),
        "sync-release" => sync_release::play(&record, trouble),
        "idle-commit" => idle_commit::play(&record, trouble),
        _ => Err(format!("unknown case {case}")),
    };
    let (code, text) = match outcome {
        Ok(true) => (0, "held".to_owned()),
        Ok(false) => (1, "BROKEN".to_owned()),
        Err(reason) => (2, format!("could not run: {reason}")),
    };
    record.line(&format!("result: {text}"));
    println!("{case}: {text}");
    ExitCode::from(code)
}
