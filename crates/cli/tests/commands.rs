//! Output and exit codes of the command line against a control replica.

#![allow(clippy::unwrap_used)]

mod common;

use {
    common::{Cluster, HEADER, READS, WRITES, file, run},
    std::path::Path,
};

fn path(file: &tempfile::NamedTempFile) -> &str {
    file.path().to_str().unwrap()
}

/// Guards against faults without their place, and a bad sheet that exits with success.
#[test]
fn check_reports_every_fault() {
    let bad = file(&format!(
        "{HEADER}*,*,read,read,any,soon,primary,yes,12,2000,\n*,*,write,write,any,,replica,no,3,0,\n"
    ));
    let output = run(&["sheet", "check", path(&bad)]);
    insta::assert_snapshot!(format!("{}exit code {}", output.text, output.code));
    let good = file(&format!("{HEADER}{READS}"));
    let output = run(&["--json", "sheet", "check", path(&good)]);
    insta::assert_snapshot!(format!("{}exit code {}", output.text, output.code));
}

/// Guards against a conflict that looks like success, a resend that is answered differently, and
/// differences that are shown wrongly.
#[test]
fn sheets_are_applied_compared_and_listed() {
    let cluster = Cluster::start();
    let first = file(&format!("{HEADER}{READS}"));
    let second = file(&format!("{HEADER}{}{WRITES}", READS.replace("1000", "500")));
    let apply = |file: &tempfile::NamedTempFile, number, operator, id| {
        let path = file.path().to_str().unwrap().to_owned();
        cluster.show(&[
            "sheet",
            "apply",
            &path,
            "--number",
            number,
            "--operator",
            operator,
            "--request-id",
            id,
        ])
    };
    let steps = [
        cluster.show(&["sheet", "show"]),
        apply(&first, "7", "ada", "r-1"),
        apply(&second, "7", "bo", "r-2"),
        apply(&first, "7", "ada", "r-1"),
        apply(&second, "6", "bo", "r-3"),
        cluster.show(&["sheet", "diff", path(&second)]),
        apply(&second, "8", "bo", "r-4"),
        cluster.show(&["sheet", "diff", path(&second)]),
        cluster.show(&["sheet", "history"]),
        cluster.show(&["sheet", "show"]),
    ];
    insta::assert_snapshot!(steps.join("\n----\n"));
}

/// Guards against tables that leave out what an operator decides by.
#[test]
fn status_targets_and_drains() {
    let cluster = Cluster::start();
    cluster.populate();
    // The version counts heartbeats' joins and announcements, whose order differs between runs.
    let status = cluster.show(&["status"]);
    assert!(status.contains("leader CONTROL") && status.ends_with("exit code 0"), "{status}");
    let json = cluster.run(&["--json", "status"]);
    let value: serde_json::Value = serde_json::from_str(&json.text).unwrap();
    assert_eq!(value["databases"][0]["primary"], "a");
    assert_eq!(value["entries"][0]["state"], "live");
    let steps = [
        cluster.show(&["targets"]),
        cluster.show(&["promote", "--dry-run", "repairs-1"]),
        cluster.show(&["promote", "--dry-run", "repairs-9"]),
        cluster.show(&["drain", "target", "repairs-1/b", "--request-id", "d-1"]),
        cluster.show(&["drain", "target", "repairs-1/b", "--request-id", "d-1"]),
        cluster.show(&["drain", "target", "repairs-1/b"]),
        cluster.show(&["undrain", "target", "repairs-1/b"]),
        cluster.show(&["drain", "entry", "entry-9"]),
        cluster.show(&["drain", "target", "b"]),
        cluster.show(&["control", "add", "control-2", "127.0.0.1:9"]),
    ];
    insta::assert_snapshot!(steps.join("\n----\n"));
}

/// Guards against events that are lost, unordered or of another database, and against a time line with
/// a gap that looks complete.
#[test]
fn timeline_merges_events() {
    let cluster = Cluster::start();
    cluster.populate();
    let admin = cluster.handle.http_address().to_string();
    let all = ["--json", "timeline", "--since", "1h", "--admin", &admin, "--admin", &admin];
    let output = run(&all);
    assert_eq!(output.code, 0, "{}", output.errors);
    let events: Vec<serde_json::Value> = serde_json::from_str(&output.text).unwrap();
    let stamp = |event: &serde_json::Value| {
        let stamp = &event["stamp"];
        (stamp["millis"].as_u64().unwrap(), stamp["counter"].as_u64().unwrap())
    };
    // Strictly rising: the second address is the same process, whose events must not repeat.
    assert!(events.windows(2).all(|pair| stamp(&pair[0]) < stamp(&pair[1])));
    let numbers = |events: &[serde_json::Value]| -> Vec<u64> {
        events.iter().map(|event| event["number"].as_u64().unwrap()).collect()
    };
    for number in [1, 101, 301, 303, 305, 406] {
        assert!(numbers(&events).contains(&number), "event {number} is missing");
    }
    let one = ["--json", "timeline", "--since", "1h", "--database", "repairs-1", "--admin", &admin];
    let events: Vec<serde_json::Value> = serde_json::from_str(&run(&one).text).unwrap();
    assert!(events.len() >= 5 && !numbers(&events).contains(&301));
    let gap = run(&["timeline", "--since", "1h", "--admin", &admin, "--admin", "127.0.0.1:9"]);
    assert!(gap.code == 3 && gap.text.contains("BS406") && gap.errors.contains("127.0.0.1:9"));
}

/// Guards against unclear messages and wrong exit codes when control is away or arguments are wrong.
#[test]
fn failures_have_their_exit_codes() {
    let show = |arguments: &[&str]| {
        let output = run(arguments);
        format!("{}{}exit code {}", output.text, output.errors, output.code)
    };
    let steps = [
        show(&["--control", "127.0.0.1:9", "status"]),
        show(&["--control", "localhost", "status"]),
        show(&["status", "--bogus"]),
        show(&[]),
        show(&["timeline", "--since", "soon"]),
        show(&["sheet", "check", "/nonexistent/sheet.csv"]),
    ];
    insta::assert_snapshot!(steps.join("\n----\n"));
}

/// Guards against a token that does not reach control, and against a token file whose fault is found only
/// when control refuses the request.
#[test]
fn token_file_names_the_operator() {
    let folder = tempfile::tempdir().unwrap();
    let write = |name: &str, text: &str| {
        let path = folder.path().join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    };
    let tokens = write("tokens", "ada 0123456789abcdef\nbo 1123456789abcdef databases=a\n");
    let cluster = Cluster::start_with_tokens(Path::new(&tokens));
    let (ada, bo) = (write("ada", "0123456789abcdef\n"), write("bo", "1123456789abcdef"));
    let (other, empty) = (write("other", "2123456789abcdef"), write("empty", " \n"));
    let address = cluster.handle.address().to_string();
    let code = |token_file: &str, command: &[&str]| {
        let mut arguments = vec!["--control", address.as_str(), "--token-file", token_file];
        arguments.extend_from_slice(command);
        run(&arguments).code
    };
    assert_eq!(code(&ada, &["status"]), 0);
    assert_eq!(code(&other, &["status"]), 1);
    assert_eq!(code(&empty, &["status"]), 2);
    assert_eq!(code("/nonexistent/token", &["status"]), 2);
    assert_eq!(run(&["--control", &address, "status"]).code, 1);
    assert_eq!(code(&bo, &["drain", "entry", "entry-1"]), 1);
    let sheet = write("sheet.csv", include_str!("../../../examples/magnolia/sheet.csv"));
    assert_eq!(code(&bo, &["sheet", "apply", &sheet, "--number", "1"]), 1);
    assert_eq!(code(&ada, &["sheet", "apply", &sheet, "--number", "1", "--operator", "bo"]), 0);
    let arguments = ["--control", &address, "--token-file", &ada, "--json", "sheet", "history"];
    assert!(run(&arguments).text.contains("\"operator\": \"ada\""));
    let admin = cluster.handle.http_address().to_string();
    assert_eq!(code(&ada, &["timeline", "--since", "1h", "--admin", &admin]), 0);
    assert_eq!(code(&other, &["timeline", "--since", "1h", "--admin", &admin]), 3);
}
