//! Log levels over HTTP; one test, since a process has one logger.

#![allow(clippy::unwrap_used)]

mod common;

use {
    banyansill_control::admin::ErrorBody,
    banyansill_runtime::logs::LogHandle,
    common::{ADA, BO, Deployment},
};

/// Guards against levels that anybody may change, that change without an event, or that a faulty request
/// changes.
#[tokio::test(flavor = "multi_thread")]
async fn operators_with_all_rights_change_levels() {
    let deployment = Deployment::start().await;
    let line = "PUT /v1/log-level";
    let levels = r#"{"levels":"error"}"#;
    assert_eq!(deployment.ask(line, ADA, levels).await.0, 501);
    let _logs = LogHandle::open("off", None).unwrap();
    let large = format!(r#"{{"levels":"{}"}}"#, "x".repeat(9_000));
    for (token, body, code, error) in [
        (BO, levels, 403, "forbidden"),
        ("3123456789abcdef", levels, 401, "unauthorized"),
        (ADA, "error", 400, "invalid"),
        (ADA, r#"{"level":"error"}"#, 400, "invalid"),
        (ADA, r#"{"levels":"loud"}"#, 400, "invalid"),
        (ADA, &large, 413, "too-large"),
    ] {
        let (status, reply) = deployment.ask(line, token, body).await;
        let parsed: ErrorBody = serde_json::from_str(&reply).unwrap();
        assert_eq!((status, parsed.error.as_str()), (code, error), "{body}");
    }
    assert!(log::max_level() == log::LevelFilter::Off);
    for _ in 0..2 {
        assert_eq!(deployment.ask(line, ADA, levels).await, (200, levels.to_owned()));
    }
    assert!(log::max_level() == log::LevelFilter::Error);
    let events = deployment.json("GET /v1/events", ADA).await;
    let changes: Vec<_> =
        events.as_array().unwrap().iter().filter(|event| event["number"] == 4).collect();
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0]["fields"]["operator"], "ada");
    deployment.handle.stop().await;
}
