//! Arguments and settings files of every binary of the workspace.

#![allow(clippy::unwrap_used)]

use {
    banyansill_testkit::process::binary_path,
    std::{
        path::{Path, PathBuf},
        process::{Command, Stdio},
    },
};

/// Every binary of the workspace.
const BINARIES: [&str; 7] = [
    "banyansill",
    "banyansill-control",
    "banyansill-entry",
    "banyansill-load",
    "banyansill-solo",
    "banyansill-standin",
    "xtask",
];

/// Binaries with a settings file, and the name of their examples.
const WITH_SETTINGS: [(&str, &str); 7] = [
    ("banyansill-control", "control.jsonc"),
    ("banyansill-control", "control-2.jsonc"),
    ("banyansill-control", "control-3.jsonc"),
    ("banyansill-entry", "entry.jsonc"),
    ("banyansill-standin", "standin-1.jsonc"),
    ("banyansill-standin", "standin-2.jsonc"),
    ("banyansill-standin", "standin-3.jsonc"),
];

/// Exit code, standard output and standard error.
fn run(binary: &str, arguments: &[&str]) -> (i32, String, String) {
    let output = Command::new(binary_path(binary).unwrap())
        .args(arguments)
        .env("NO_COLOR", "1")
        .env_remove("FORCE_COLOR")
        .stdin(Stdio::null())
        .output()
        .unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (output.status.code().unwrap(), text(output.stdout), text(output.stderr))
}

fn check(binary: &str, path: &Path) -> (i32, String, String) {
    run(binary, &["--check", "--config", path.to_str().unwrap()])
}

/// Undoes the wrapping of a message to the width of a terminal.
fn unwrapped(report: &str) -> String {
    let words: Vec<&str> = report.split_whitespace().filter(|word| *word != "│").collect();
    words.join(" ")
}

fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

/// Guards against a binary whose `--help` or `--version` is missing, fails or starts the work.
#[test]
fn every_binary_tells_its_arguments_and_version() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut found = Vec::new();
    for folder in std::fs::read_dir(root).unwrap() {
        let folder = folder.unwrap().path();
        let text = std::fs::read_to_string(folder.join("Cargo.toml")).unwrap();
        let named = |line: &str| line.strip_prefix("name = ").map(|name| name.replace('"', ""));
        let package = text.lines().find_map(named).unwrap();
        if let Some((_, bin)) = text.split_once("[[bin]]") {
            found.push(bin.lines().find_map(named).unwrap());
        } else if folder.join("src/main.rs").exists() {
            found.push(package);
        } else if let Ok(files) = std::fs::read_dir(folder.join("src/bin")) {
            for file in files {
                found.push(file.unwrap().path().file_stem().unwrap().to_str().unwrap().to_owned());
            }
        }
    }
    found.sort();
    assert_eq!(found, BINARIES, "the list of binaries is not that of the workspace");
    for binary in BINARIES {
        let (code, text, errors) = run(binary, &["--version"]);
        let expected = format!("{binary} {}\n", env!("CARGO_PKG_VERSION"));
        assert_eq!((code, text, errors), (0, expected, String::new()));
        let (code, text, errors) = run(binary, &["--help"]);
        assert_eq!((code, errors.as_str()), (0, ""), "{binary}");
        assert!(text.contains(binary) && text.contains("--version"), "{binary}: {text}");
        let (code, _, errors) = run(binary, &["--no-such-flag"]);
        assert!(code == 2 && errors.contains("--no-such-flag"), "{binary}: {code} {errors}");
    }
    for (binary, _) in WITH_SETTINGS {
        let (_, text, _) = run(binary, &["--help"]);
        assert!(text.contains("--config") && text.contains("--check"), "{binary}: {text}");
        let (code, _, errors) = run(binary, &[]);
        let expected = format!("{binary}: --config FILE is required; see --help\n");
        assert_eq!((code, errors), (2, expected));
    }
}

/// Guards against examples that the binaries of their own version refuse.
#[test]
fn examples_have_no_faults() {
    for sample in ["hamper-board", "magnolia"] {
        for (binary, name) in WITH_SETTINGS {
            let path = examples().join(sample).join(name);
            let expected = format!("{}: no faults\n", path.display());
            assert_eq!(check(binary, &path), (0, expected, String::new()));
        }
        let path = examples().join(sample).join("sheet.csv");
        let (code, text, _) = run("banyansill", &["sheet", "check", path.to_str().unwrap()]);
        assert_eq!(code, 0, "{text}");
    }
}

/// Guards against faults that are reported one at a time, or without file, line or field, and against a
/// faulty file that exits with success.
#[test]
fn faulty_files_are_reported_as_a_whole() {
    let folder = tempfile::tempdir().unwrap();
    let report = |binary: &str, name: &str, text: &str| {
        let path = folder.path().join(name);
        std::fs::write(&path, text).unwrap();
        let (code, output, errors) = check(binary, &path);
        assert_eq!((code, output.as_str()), (2, ""), "{binary} {name}");
        // Without --check the faulty file must not start the process either.
        let (code, _, started) = run(binary, &["--config", path.to_str().unwrap()]);
        assert_eq!((code, &started), (2, &errors), "{binary} {name}");
        let errors = errors.replace(folder.path().to_str().unwrap(), "FOLDER");
        errors.lines().map(str::trim_end).collect::<Vec<_>>().join("\n")
    };
    let entry = r#"{
  "host": "",
  "region": "gulf",
  "callers": {
    "listen": "localhost:6432",
    "workers": 0,
    "tls": {"certificate": "c.pem", "required": "yes"}
  },
  "peer_listen": "0.0.0.0:7432",
  "admin_listen": "127.0.0.1:8432",
  "control": ["127.0.0.1:7400", "127.0.0.1:7400"],
  "target_user": "shopbooks",
  "log_levels": "infoo",
  "colour": "red"
}
"#;
    insta::assert_snapshot!("entry", report("banyansill-entry", "entry.jsonc", entry));
    let control = r#"{
  "host": "control-1",
  "region": "gulf",
  "zone": "gulf-a",
  "listen": "127.0.0.1",
  "http": 7401,
  "replicas": [
    {"host": "control-2", "address": "127.0.0.1:7400"},
    {"host": "control-2"}
  ],
  "join": "no",
  "log": "info,event=loud"
}
"#;
    insta::assert_snapshot!("control", report("banyansill-control", "control.jsonc", control));
    let standin = r#"{
  "database": "shopbooks",
  "server": "shopbooks-1",
  "region": "gulf",
  "listen": "127.0.0.1:5401",
  "replication_listen": "127.0.0.1:99999",
  "role": "primary",
  "follow": "127.0.0.1:5501",
  "slots": 0,
  "lag_ms": -1,
  "log": "quiet"
}
"#;
    insta::assert_snapshot!("standin", report("banyansill-standin", "standin.jsonc", standin));
    for (binary, _) in WITH_SETTINGS {
        let broken =
            report(binary, "broken.jsonc", "{\n  \"host\": \"a\",\n  \"region\" \"b\"\n}\n");
        assert!(broken.contains("broken.jsonc:3:"), "{binary}: {broken}");
        let list = report(binary, "list.jsonc", "[]");
        assert!(list.contains("expected an object"), "{binary}: {list}");
        let empty = report(binary, "empty.jsonc", "");
        assert!(unwrapped(&empty).contains("expected an object"), "{binary}: {empty}");
        let (code, _, errors) = check(binary, Path::new("/nonexistent/settings.jsonc"));
        let errors = unwrapped(&errors);
        assert!(code == 2 && errors.contains("cannot be read"), "{binary}: {errors}");
        assert!(errors.contains("/nonexistent/settings.jsonc"), "{binary}: {errors}");
    }
}
