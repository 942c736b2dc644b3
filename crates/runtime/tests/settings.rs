//! Settings files: all faults are reported, each with its position.

use {
    banyansill_runtime::settings::{SettingsReader, SettingsReport, SettingsSource, parse},
    std::net::SocketAddr,
};

#[derive(Debug, PartialEq, Eq)]
struct Sample {
    host: String,
    listen: Option<SocketAddr>,
    slots: u64,
    control: Vec<SocketAddr>,
    limits: Limits,
}

#[derive(Debug, PartialEq, Eq)]
struct Limits {
    callers: u64,
}

impl SettingsSource for Limits {
    fn read(reader: &mut SettingsReader<'_>) -> Self {
        Self { callers: reader.number("callers", 100, 1, 1_000) }
    }
}

impl SettingsSource for Sample {
    fn read(reader: &mut SettingsReader<'_>) -> Self {
        Self {
            host: reader.string("host"),
            listen: reader.parsed("listen"),
            slots: reader.number("slots", 5, 1, 100),
            control: reader.list("control"),
            limits: reader.nested("limits"),
        }
    }
}

fn faults(text: &str) -> Vec<(String, String)> {
    let report: SettingsReport = parse::<Sample>("x.jsonc", text).expect_err("has faults");
    report.faults.into_iter().map(|fault| (fault.field, fault.message)).collect()
}

/// Guards against comments or trailing commas being rejected.
#[test]
fn comments_are_allowed() {
    let text = r#"{
        // the host
        "host": "selkirk-1", /* port */ "listen": "127.0.0.1:6432",
        "control": ["127.0.0.1:7000",],
    }"#;
    let sample: Sample = parse("x.jsonc", text).expect("valid");
    assert_eq!(sample.slots, 5);
    assert_eq!(sample.limits, Limits { callers: 100 });
}

/// Guards against a check that stops at the first fault.
#[test]
fn all_faults_are_reported() {
    let text = r#"{
        "host": "",
        "listen": "nowhere",
        "slots": 0,
        "control": ["127.0.0.1:7000", "x", 5],
        "limits": {"callers": -1, "colour": "red"},
        "slots": 3
    }"#;
    let fields: Vec<String> = faults(text).into_iter().map(|(field, _)| field).collect();
    let expected = [
        "host",
        "listen",
        "slots",
        "control[1]",
        "control[2]",
        "limits.callers",
        "limits.colour",
        "slots",
    ];
    assert_eq!(fields, expected);
    assert_eq!(faults("{}").len(), 2);
}

/// Guards against a panic on text that is not an object.
#[test]
fn other_text_is_rejected() {
    assert_eq!(faults("[1]").len(), 1);
    assert_eq!(faults("{\"host\": ").len(), 1);
    assert_eq!(faults("").len(), 1);
}

/// Guards against a report that does not show the position in the file.
#[test]
fn report_names_file_line_and_field() {
    let text = "{\n  \"host\": 5\n}";
    let report = parse::<Sample>("x.jsonc", text).expect_err("has faults");
    let handler = miette::GraphicalReportHandler::new_themed(miette::GraphicalTheme::none());
    let mut shown = String::new();
    handler.render_report(&mut shown, &report).expect("renders");
    assert!(shown.contains("x.jsonc:1:1"), "{shown}");
    assert!(shown.contains("2 |   \"host\": 5"), "{shown}");
    assert!(shown.contains("host: expected a string"), "{shown}");
    assert!(shown.contains("listen: is missing"), "{shown}");
}

/// Guards against a fault of a list element being reported at the beginning of the file.
#[test]
fn faults_of_elements_have_their_position() {
    #[derive(Debug)]
    struct Unique;
    impl SettingsSource for Unique {
        fn read(reader: &mut SettingsReader<'_>) -> Self {
            let names: Vec<String> = reader.list("names");
            for (index, name) in names.iter().enumerate() {
                if names[..index].contains(name) {
                    reader.fault(&format!("names[{index}]"), "is given twice");
                }
            }
            Self
        }
    }
    let text = r#"{"names": ["a", "b", "a"]}"#;
    let report = parse::<Unique>("file", text).unwrap_err();
    let (start, end) = report.faults[0].range;
    assert_eq!((&text[start..end], start), ("\"a\"", text.rfind("\"a\"").unwrap()));
}
