//! Operators with a scope, over HTTP and tonic.

#![allow(clippy::unwrap_used)]

mod common;

use {
    banyansill_control::admin::{ErrorBody, ROUTES},
    banyansill_wire::v1,
    common::{ADA, BO, CY, Deployment, sheet, signed},
    std::path::Path,
    tonic::Code,
};

/// Guards against a sheet of one team that changes the rows of another, over HTTP and tonic, and against
/// a refusal that does not tell which rows it is about.
#[tokio::test(flavor = "multi_thread")]
async fn scoped_operators_change_their_own_rows() {
    let deployment = Deployment::start().await;
    let base = sheet(&[("repairs-1", "till", 100), ("repairs-2", "till", 100)]);
    assert_eq!(deployment.ask("POST /v1/sheet?number=1", ADA, &base).await.0, 200);
    let of_bo = sheet(&[("repairs-1", "till", 200), ("repairs-2", "till", 100)]);
    let line = "POST /v1/sheet?number=2&request_id=b-2";
    let first = deployment.ask(line, BO, &of_bo).await;
    assert_eq!(first.0, 200, "{first:?}");
    let of_cy = sheet(&[("repairs-1", "till", 100), ("repairs-2", "till", 300)]);
    let (code, body) = deployment.ask("POST /v1/sheet?number=3", CY, &of_cy).await;
    let refusal: ErrorBody = serde_json::from_str(&body).unwrap();
    assert_eq!((code, refusal.error.as_str()), (403, "out-of-scope"), "{body}");
    let rows: Vec<String> = refusal.rows.iter().map(ToString::to_string).collect();
    assert_eq!(rows, ["changed repairs-1/till/read"]);
    let both = sheet(&[("repairs-1", "till", 200), ("repairs-2", "till", 300)]);
    assert_eq!(deployment.ask("POST /v1/sheet?number=3", CY, &both).await.0, 200);
    // The first answer to a resend, although the rows of the other team have changed since.
    assert_eq!(deployment.ask(line, BO, &of_bo).await, first);
    let mut client = deployment.client().await;
    let request = v1::ApplySheetRequest {
        number: 4,
        content: base.into_bytes().into(),
        request_id: String::new(),
        operator: "ada".to_owned(),
    };
    let refused = client.apply_sheet(signed(request, CY)).await.unwrap_err();
    assert_eq!(refused.code(), Code::PermissionDenied);
    assert!(refused.message().contains("changed repairs-1/till/read"), "{refused:?}");
    let history = client.sheet_history(signed(v1::SheetHistoryRequest {}, CY)).await.unwrap();
    let operators: Vec<String> =
        history.into_inner().records.into_iter().map(|record| record.operator).collect();
    assert_eq!(operators, ["ada", "bo", "cy"]);
    let events = deployment.json("GET /v1/events?since_ms=0", ADA).await;
    let mut refused = Vec::new();
    for event in events.as_array().unwrap() {
        if event["number"] == 204 {
            refused.push((event["fields"]["operator"].clone(), event["fields"]["rows"].clone()));
        }
    }
    assert_eq!(refused, [("cy".into(), "1".into()), ("cy".into(), "1".into())]);
    deployment.handle.stop().await;
}

/// Guards against status, rows, events or hosts of another team that a scoped operator sees, and against
/// reading without a token where control has a token file.
#[tokio::test(flavor = "multi_thread")]
async fn scoped_operators_see_their_own_databases() {
    let deployment = Deployment::start().await;
    let base =
        sheet(&[("repairs-1", "shop", 1), ("repairs-2", "till", 2), ("repairs-2", "shop", 3)]);
    assert_eq!(deployment.ask("POST /v1/sheet?number=1", ADA, &base).await.0, 200);
    let names = |status: &serde_json::Value| -> Vec<String> {
        let databases = status["databases"].as_array().unwrap();
        databases.iter().map(|database| database["database"].as_str().unwrap().to_owned()).collect()
    };
    let all = deployment.json("GET /v1/status", ADA).await;
    assert_eq!(names(&all), ["repairs-1", "repairs-2"]);
    assert_eq!(all["replicas"].as_array().unwrap().len(), 1);
    let own = deployment.json("GET /v1/status", BO).await;
    assert_eq!(names(&own), ["repairs-1"]);
    assert_eq!(
        (own["replicas"].clone(), own["sheet_number"].clone()),
        (vec![0; 0].into(), 1.into())
    );
    let events = deployment.json("GET /v1/events", CY).await;
    let events = events.as_array().unwrap();
    assert!(!events.is_empty());
    assert!(events.iter().all(|event| event["fields"]["database"] == "repairs-2"), "{events:?}");
    let (_, rows) = deployment.ask("GET /v1/sheet", CY, "").await;
    assert!(rows.contains("repairs-2,till") && rows.lines().count() == 2, "{rows}");
    assert_eq!(deployment.ask("GET /v1/sheet", ADA, "").await.1, base);
    for line in ["GET /v1/status", "GET /v1/events", "GET /v1/sheet"] {
        let (code, body) = deployment.ask(line, "3123456789abcdef", "").await;
        let refusal: ErrorBody = serde_json::from_str(&body).unwrap();
        assert_eq!((code, refusal.error.as_str()), (401, "unauthorized"), "{line}");
    }
    let mut client = deployment.client().await;
    let status =
        client.status(signed(v1::StatusRequest::default(), CY)).await.unwrap().into_inner();
    assert!(status.databases.len() == 1 && status.entries.is_empty());
    let content = String::from_utf8(status.sheet.unwrap().content.to_vec()).unwrap();
    assert_eq!(content, rows);
    let foreign = v1::StatusRequest { confirmed: true, outlook_of: "repairs-1".to_owned() };
    let refused = client.status(signed(foreign, CY)).await.unwrap_err();
    assert_eq!(refused.code(), Code::PermissionDenied);
    deployment.handle.stop().await;
}

/// Guards against tonic requests of operators that pass without a token, or that go beyond the scope of
/// the token, while heartbeats and announcements go on.
#[tokio::test(flavor = "multi_thread")]
async fn tonic_requests_need_the_right_token() {
    let deployment = Deployment::start().await;
    let mut client = deployment.client().await;
    let drain = |database: &str| v1::DrainRequest {
        scope: "target".to_owned(),
        database: database.to_owned(),
        name: "a".to_owned(),
        drain: true,
        request_id: String::new(),
    };
    let member = v1::MemberRequest {
        host: "control-2".to_owned(),
        add: false,
        ..v1::MemberRequest::default()
    };
    let open = [
        client.status(v1::StatusRequest::default()).await.unwrap_err().code(),
        client.sheet_history(v1::SheetHistoryRequest {}).await.unwrap_err().code(),
        client.drain(drain("repairs-1")).await.unwrap_err().code(),
        client.change_member(member.clone()).await.unwrap_err().code(),
        client.apply_sheet(v1::ApplySheetRequest::default()).await.unwrap_err().code(),
    ];
    assert_eq!(open, [Code::Unauthenticated; 5]);
    let entry = v1::DrainRequest {
        scope: "entry".to_owned(),
        name: "e".to_owned(),
        drain: true,
        ..v1::DrainRequest::default()
    };
    let forbidden = [
        client.drain(signed(drain("repairs-2"), BO)).await.unwrap_err().code(),
        client.drain(signed(drain("repairs-2"), CY)).await.unwrap_err().code(),
        client.drain(signed(entry, BO)).await.unwrap_err().code(),
        client.change_member(signed(member.clone(), BO)).await.unwrap_err().code(),
    ];
    assert_eq!(forbidden, [Code::PermissionDenied; 4]);
    assert!(client.drain(signed(drain("repairs-1"), BO)).await.unwrap().into_inner().changed);
    let refused = client.change_member(signed(member, ADA)).await.unwrap_err();
    assert_eq!(refused.code(), Code::InvalidArgument);
    let beat = v1::HeartbeatRequest { sequence: 1, ..v1::HeartbeatRequest::default() };
    assert!(client.heartbeat(beat).await.is_ok());
    deployment.handle.stop().await;
}

/// Guards against routes that `docs/openapi.json` does not describe, descriptions without a route, and
/// references that lead nowhere.
#[test]
fn openapi_describes_every_route() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/openapi.json");
    let text = std::fs::read_to_string(path).unwrap();
    let document: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(document["openapi"], "3.1.0");
    let mut described = Vec::new();
    for (path, operations) in document["paths"].as_object().unwrap() {
        for (method, operation) in operations.as_object().unwrap() {
            let processes = operation["x-processes"].as_array().unwrap();
            assert!(processes.iter().all(|name| name == "control" || name == "entry"));
            assert!(!operation["responses"].as_object().unwrap().is_empty(), "{method} {path}");
            assert!(operation["security"].is_array(), "{method} {path}");
            if processes.iter().any(|name| name == "control") {
                described.push((method.as_str(), path.as_str()));
            }
        }
    }
    described.sort_unstable();
    let mut routes = ROUTES.to_vec();
    routes.sort_unstable();
    assert_eq!(described, routes);
    for reference in text.split("\"$ref\": \"#").skip(1) {
        let pointer = reference.split('"').next().unwrap();
        assert!(document.pointer(pointer).is_some(), "{pointer} leads nowhere");
    }
}
