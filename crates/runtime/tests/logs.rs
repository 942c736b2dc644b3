//! Changes of the log levels of a running process; a single test, since a process has only one logger.

#![allow(clippy::unwrap_used)]

use banyansill_runtime::{
    events::EventSink,
    logs::{LogHandle, LogLevels, LoggingError, change_levels},
};

/// Guards against a change that has no effect or is not recorded, and against a mistyped level that silences
/// the process.
#[test]
fn levels_change_while_the_process_runs() {
    let events = EventSink::new("host-1".into());
    assert!(matches!(change_levels("info", "ada", &events), Err(LoggingError::NotRunning)));
    let folder = tempfile::tempdir().unwrap();
    let handle = LogHandle::open("warn", Some(folder.path())).unwrap();
    let text = || {
        let mut text = String::new();
        for file in std::fs::read_dir(folder.path()).unwrap() {
            text += &std::fs::read_to_string(file.unwrap().path()).unwrap();
        }
        text
    };
    log::info!("first detail");
    change_levels("info,event=warn", "ada", &events).unwrap();
    log::info!("second detail");
    for invalid in ["infoo", "", "info,", "info,warn", "=info", "a b=info", "info,event=loud"] {
        let error = change_levels(invalid, "ada", &events).unwrap_err();
        assert!(matches!(error, LoggingError::Levels(_)), "{invalid}: {error}");
    }
    let long = format!("info,{}=warn", "x".repeat(2_000));
    assert!(change_levels(&long, "ada", &events).is_err());
    log::info!("third detail");
    // An equal specification is not a change, so a repeated request records no event.
    change_levels("info,event=warn", "ada", &events).unwrap();
    change_levels("error", "bo", &events).unwrap();
    log::info!("fourth detail");
    let text = text();
    assert!(!text.contains("first detail") && !text.contains("fourth detail"), "{text}");
    assert!(text.contains("second detail") && text.contains("third detail"), "{text}");
    let recorded = events.since(Default::default());
    let fields: Vec<(&str, &str, &str)> = recorded
        .iter()
        .map(|event| {
            let field = |name: &str| event.fields[name].as_str();
            (field("operator"), field("before"), field("after"))
        })
        .collect();
    assert_eq!(fields, [("ada", "warn", "info,event=warn"), ("bo", "info,event=warn", "error")]);
    assert!(recorded.iter().all(|event| event.number == 4));
    drop(handle);
    assert!(matches!(change_levels("info", "ada", &events), Err(LoggingError::NotRunning)));
    assert!("info , event = warn".parse::<LogLevels>().is_ok());
}
