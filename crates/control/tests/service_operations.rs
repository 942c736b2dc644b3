//! Operations over HTTP that the command line offers as well.

#![allow(clippy::unwrap_used)]

mod common;

use {
    banyansill_control::{
        admin::{ErrorBody, ROUTES},
        settings::ControlSettings,
    },
    common::{ADA, BO, CY, Deployment, FakeEntry, entry, eventually, settings, sheet},
    serde_json::{Value, json},
};

async fn send(deployment: &Deployment, line: &str, token: &str, body: &Value) -> (u16, Value) {
    let (code, body) = deployment.ask(line, token, &body.to_string()).await;
    (code, serde_json::from_str(&body).unwrap_or(Value::String(body)))
}

/// Guards against an operation that reports success without an effect, or whose resend is applied to a
/// later state.
#[tokio::test(flavor = "multi_thread")]
async fn drains_take_effect_once() {
    let deployment = Deployment::start().await;
    let mut client = deployment.client().await;
    let mut host = FakeEntry::new(entry("entry-1", 1));
    eventually("a lease", async || host.beat(&mut client).await.renewed.then_some(())).await;
    let target = |id: &str| json!({"scope": "target", "database": "repairs-1", "name": "a", "request_id": id});
    let changed = |changed: bool| (200, json!({ "changed": changed }));
    let drained = async |token: &str| {
        let targets = deployment.json("GET /v1/targets?confirmed=true", token).await;
        targets[0]["draining"].as_bool().unwrap()
    };
    assert_eq!(send(&deployment, "POST /v1/drain", BO, &target("d-1")).await, changed(true));
    assert!(drained(BO).await);
    assert_eq!(send(&deployment, "POST /v1/undrain", BO, &target("d-2")).await, changed(true));
    assert!(!drained(BO).await);
    // The resend of the first drain must not drain the target again.
    assert_eq!(send(&deployment, "POST /v1/drain", BO, &target("d-1")).await, changed(true));
    assert!(!drained(ADA).await);
    assert_eq!(send(&deployment, "POST /v1/undrain", ADA, &target("")).await, changed(false));
    let body = json!({"scope": "entry", "name": "entry-1"});
    assert_eq!(send(&deployment, "POST /v1/drain", ADA, &body).await, changed(true));
    let status = deployment.json("GET /v1/status?confirmed=true", ADA).await;
    assert_eq!(status["entries"][0]["draining"], true);
    deployment.handle.stop().await;
}

/// Guards against targets, outlooks, accepted sheets and differences that are missing or wrong.
#[tokio::test(flavor = "multi_thread")]
async fn readers_get_what_they_ask_for() {
    let deployment = Deployment::start().await;
    let targets = deployment.json("GET /v1/targets", ADA).await;
    assert_eq!(targets.as_array().unwrap().len(), 2);
    assert_eq!(targets[1]["database"], "repairs-2");
    assert_eq!(targets[1]["address"], "127.0.0.1:7310");
    assert_eq!(deployment.json("GET /v1/targets", CY).await.as_array().unwrap().len(), 1);
    let outlook = eventually("an outlook", async || {
        let reply =
            send(&deployment, "GET /v1/promotion?database=repairs-1", BO, &Value::Null).await;
        (reply.0 == 200).then_some(reply.1)
    })
    .await;
    assert_eq!(outlook["required"], 1);
    let base = sheet(&[("repairs-1", "till", 1), ("repairs-2", "till", 2)]);
    let line = "POST /v1/sheet?number=7&request_id=r-7";
    assert_eq!(deployment.ask(line, ADA, &base).await.0, 200);
    let history = deployment.json("GET /v1/sheet/history", BO).await;
    assert_eq!((&history[0]["number"], &history[0]["operator"]), (&json!(7), &json!("ada")));
    assert_eq!(history[0]["request_id"], "r-7");
    let wanted = sheet(&[("repairs-1", "till", 3), ("repairs-2", "shop", 2)]);
    let (code, difference) = deployment.ask("POST /v1/sheet/diff", BO, &wanted).await;
    let difference: Value = serde_json::from_str(&difference).unwrap();
    let row = |database: &str, application: &str, change: &str| json!({"database": database, "application": application, "kind": "read", "change": change});
    let expected = json!({
        "number": 7,
        "rows": [row("repairs-1", "till", "changed")],
        "out_of_scope": [row("repairs-2", "shop", "added"), row("repairs-2", "till", "removed")],
    });
    assert_eq!((code, difference), (200, expected));
    deployment.handle.stop().await;
}

/// Guards against bad input that is accepted, stops a handler or gets an error without a type, and against
/// bodies that grow without a bound.
#[tokio::test(flavor = "multi_thread")]
async fn bad_input_gets_typed_errors() {
    let deployment = Deployment::start().await;
    let large = format!("{{\"name\":\"{}\"}}", "x".repeat(9_000));
    let long = format!(r#"{{"scope":"target","database":"d","name":"{}"}}"#, "x".repeat(300));
    let cases: [(&str, &str, &str, u16, &str); 22] = [
        ("GET /v1/status?confirmed=maybe", ADA, "", 400, "invalid"),
        ("GET /v1/targets?x=1", ADA, "", 400, "invalid"),
        ("POST /v1/drain", ADA, "", 400, "invalid"),
        ("POST /v1/drain", ADA, "[]", 400, "invalid"),
        ("POST /v1/drain", ADA, r#"{"scope":"all","name":"x"}"#, 400, "invalid"),
        ("POST /v1/drain", ADA, r#"{"scope":"entry","name":"x","host":"y"}"#, 400, "invalid"),
        ("POST /v1/drain", ADA, r#"{"scope":"entry","name":7}"#, 400, "invalid"),
        ("POST /v1/drain", ADA, r#"{"scope":"entry","name":"x"}"#, 409, "rejected"),
        ("POST /v1/drain", ADA, &large, 413, "too-large"),
        ("POST /v1/drain", ADA, &long, 400, "invalid"),
        ("POST /v1/undrain", BO, r#"{"scope":"entry","name":"x"}"#, 403, "forbidden"),
        (
            "POST /v1/drain",
            CY,
            r#"{"scope":"target","database":"repairs-2","name":"a"}"#,
            403,
            "forbidden",
        ),
        ("GET /v1/promotion", ADA, "", 400, "invalid"),
        ("GET /v1/promotion?database=", ADA, "", 400, "invalid"),
        ("GET /v1/promotion?database=repairs-1", CY, "", 403, "forbidden"),
        ("POST /v1/control/members", BO, r#"{"host":"c","address":"x"}"#, 403, "forbidden"),
        ("POST /v1/control/members", ADA, r#"{"host":"c"}"#, 400, "invalid"),
        ("DELETE /v1/control/members?host=c", BO, "", 403, "forbidden"),
        ("DELETE /v1/control/members", ADA, "", 400, "invalid"),
        ("DELETE /v1/control/members?host=c", ADA, "", 400, "invalid"),
        ("POST /v1/sheet/diff", ADA, "x", 422, "faults"),
        ("PUT /v1/drain", ADA, "", 404, "not-found"),
    ];
    for (line, token, body, code, error) in cases {
        let reply = deployment.ask(line, token, body).await;
        let parsed: ErrorBody = serde_json::from_str(&reply.1).unwrap();
        assert_eq!((reply.0, parsed.error.as_str()), (code, error), "{line} {body}: {}", reply.1);
    }
    let huge = "x".repeat((1 << 20) + 1);
    assert_eq!(deployment.ask("POST /v1/sheet/diff", ADA, &huge).await.0, 413);
    deployment.handle.stop().await;
}

/// Guards against a route that does not ask for a token.
#[tokio::test(flavor = "multi_thread")]
async fn every_other_route_needs_a_token() {
    let deployment = Deployment::start().await;
    let open = ["/healthz", "/readyz", "/v1/announce"];
    for (method, path) in ROUTES {
        let line = format!("{} {path}", method.to_uppercase());
        let (code, _) = deployment.ask(&line, "3123456789abcdef", "{}").await;
        assert_eq!(code == 401, !open.contains(path), "{line}: {code}");
    }
    deployment.handle.stop().await;
}

/// Guards against a control replica that an operator cannot add or remove over HTTP, and against a resend
/// of an addition that fails.
#[tokio::test(flavor = "multi_thread")]
async fn control_members_change() {
    let folder = tempfile::tempdir().unwrap();
    let deployment = Deployment::start_on(Some(folder.path().join("1"))).await;
    let joining = ControlSettings {
        host: "control-2".into(),
        data: Some(folder.path().join("2")),
        join: true,
        ..settings()
    };
    let second = banyansill_control::spawn(joining).await.unwrap();
    let body = json!({"host": "control-2", "address": second.address().to_string()});
    for _ in 0..2 {
        let (code, reply) = send(&deployment, "POST /v1/control/members", ADA, &body).await;
        assert_eq!((code, reply), (200, json!({"detail": "control-2 is a voter"})));
    }
    let status = deployment.json("GET /v1/status?confirmed=true", ADA).await;
    assert_eq!(status["replicas"].as_array().unwrap().len(), 2);
    let line = "DELETE /v1/control/members?host=control-2";
    let (code, reply) = send(&deployment, line, ADA, &Value::Null).await;
    assert_eq!(code, 200, "{reply}");
    let status = deployment.json("GET /v1/status?confirmed=true", ADA).await;
    assert_eq!(status["replicas"].as_array().unwrap().len(), 1);
    let (code, reply) = send(&deployment, line, ADA, &Value::Null).await;
    assert_eq!(code, 400, "{reply}");
    second.stop().await;
    deployment.handle.stop().await;
}
