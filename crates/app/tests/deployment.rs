//! A whole deployment on loopback sockets: bad input, operators, sessions,
//! trainers, drain.

use clap::Parser;
use peatgrade::ctl::{self, Cli, EXIT_CONFLICT, EXIT_DIFFERS, EXIT_REFUSED};
use peatgrade::dev::wait_until_ready;
use peatgrade::fetch::fetch;
use peatgrade_bench::Embedded;
use peatgrade_models::Deployment;
use peatgrade_runtime::{block_on, open_io_uring_instances};
use peatgrade_types::http::HttpRequest;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

fn start() -> Embedded {
    let mut deployment = Deployment::load(&example("alumni")).unwrap();
    deployment.nodes_per_zone = 1;
    let running = Embedded::start(&deployment, Vec::new(), 1).unwrap();
    wait_until_ready(&running.nodes).unwrap();
    running
}

fn send(address: &str, request: HttpRequest) -> (u16, Value) {
    let (status, body) = block_on(fetch(address, request)).unwrap().unwrap();
    (status, serde_json::from_slice(&body).unwrap_or(Value::Null))
}

fn completion(extra: Value) -> HttpRequest {
    let mut body = json!({ "model": "invites", "prompt": "Dear graduate", "max_tokens": 8 });
    for (name, value) in extra.as_object().unwrap() {
        body[name] = value.clone();
    }
    HttpRequest::new("POST", "/v1/completions", body.to_string())
}

/// What a raw connection gets back, until it is closed.
fn raw(address: &str, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

fn assert_problem(answer: &(u16, Value), status: u16, kind: &str) {
    assert_eq!(answer.0, status, "{kind}: {}", answer.1);
    assert_eq!(answer.1["type"], format!("urn:peatgrade:problem:{kind}"));
    assert_eq!(answer.1["status"], status);
}

fn bad_input_gets_its_own_problem(node: &str) {
    let post = |path: &str, body: &str| HttpRequest::new("POST", path, body.to_string());
    assert_problem(&send(node, post("/v1/completions", "{")), 400, "bad-json");
    let unknown = completion(json!({ "model": "nobody" }));
    assert_problem(&send(node, unknown), 404, "unknown-tenant");
    assert_problem(
        &send(node, HttpRequest::new("GET", "/nobody/x", "")),
        404,
        "unknown-tenant",
    );
    let greedy = completion(json!({ "max_tokens": 100_000 }));
    assert_problem(&send(node, greedy), 422, "bad-max-tokens");
    let empty = completion(json!({ "prompt": "" }));
    assert_problem(&send(node, empty), 422, "empty-prompt");
    let key = post("/directory/invitations/1", "x").with_header("idempotency-key", "a b");
    assert_problem(&send(node, key), 400, "bad-idempotency-key");
    let large = post("/directory/profiles", &"x".repeat(2 << 20));
    assert_problem(&send(node, large), 413, "body-too-large");
    let trainer = HttpRequest::new("GET", "/trainers/nobody/steps/1", "");
    assert_problem(&send(node, trainer), 404, "unknown-trainer");
    let step = HttpRequest::new("GET", "/trainers/invite-writer/steps/9?wait_ms=0", "");
    assert_problem(&send(node, step), 409, "step-out-of-order");
    let commit = post("/trainers/invite-writer/steps/5/commit", "");
    assert_problem(&send(node, commit), 409, "step-out-of-order");
    let early = HttpRequest::new("GET", "/trainers/invite-writer/steps/1?wait_ms=0", "");
    let not_ready = send(node, early);
    assert_problem(&not_ready, 503, "step-not-ready");
    assert_eq!(not_ready.1["outcome"], "not-run");
}

fn malformed_http_is_refused_and_the_node_goes_on(node: &str) {
    let answer = raw(node, b"NONSENSE\r\n\r\n");
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert!(answer.contains("malformed-http"), "{answer}");
    let head = format!(
        "GET /healthz HTTP/1.1\r\nx: {}\r\n\r\n",
        "y".repeat(64 * 1024)
    );
    let answer = raw(node, head.as_bytes());
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 431"),
        "{answer}"
    );
    let body = b"POST /v1/completions HTTP/1.1\r\ncontent-length: 99999999999\r\n\r\n";
    let answer = raw(node, body);
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert_eq!(
        block_on(fetch(node, HttpRequest::new("GET", "/healthz", "")))
            .unwrap()
            .unwrap()
            .0,
        200
    );
}

fn a_repeated_key_is_answered_from_the_record(nodes: &[String]) {
    let request = |body: &str| {
        HttpRequest::new("POST", "/directory/invitations/7", body.to_string())
            .with_header("idempotency-key", "key-7")
            .with_header("x-request-id", "request-7")
    };
    let first = send(&nodes[0], request("Dear Ann"));
    assert_eq!(first.0, 200);
    let again = send(&nodes[1], request("Dear Ann"));
    assert_eq!(again, first, "another node gives the recorded answer");
    assert_problem(
        &send(&nodes[2], request("Dear Bob")),
        422,
        "idempotency-key-reused",
    );
}

fn a_session_goes_on_at_another_node(nodes: &[String]) {
    let turn = |node: &String| {
        let request = completion(json!({})).with_header("x-session-id", "chat-1");
        let (status, answer) = send(node, request);
        assert_eq!(status, 200, "{answer}");
        answer["session_turn"].as_u64().unwrap()
    };
    let turns: Vec<u64> = nodes.iter().map(turn).collect();
    assert_eq!(turns, vec![1, 2, 3]);
}

fn a_stream_arrives_in_pieces(node: &str) {
    let body =
        json!({ "model": "invites", "prompt": "p", "max_tokens": 64, "stream": true }).to_string();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(node).unwrap();
    stream.write_all(head.as_bytes()).unwrap();
    let mut reads = 0;
    let mut whole = Vec::new();
    let mut buffer = [0_u8; 4096];
    while let Ok(count) = stream.read(&mut buffer) {
        if count == 0 {
            break;
        }
        reads += 1;
        whole.extend_from_slice(&buffer[..count]);
    }
    let text = String::from_utf8_lossy(&whole);
    assert!(
        text.contains("text/event-stream") && text.contains("[DONE]"),
        "{text}"
    );
    assert!(reads > 1, "the first tokens come before the last");
}

fn run_ctl(platform: &str, arguments: &[&str]) -> ExitCode {
    let fixed = ["peatgradectl", "--platform", platform, "--author", "olive"];
    let cli = Cli::parse_from(fixed.iter().chain(arguments));
    ctl::run(&cli).unwrap()
}

fn folder_with(name: &str, hedge: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("peatgrade-ctl-{name}-{}", std::process::id()));
    std::fs::create_dir_all(folder.join("tenants")).unwrap();
    let text = format!(
        "name = \"directory\"\ntemplate = \"lookup-app\"\n[parameters]\npool = \"alumni-app\"\n\
         once_path = \"/invitations\"\nhedge_ms = {hedge}\n"
    );
    std::fs::write(folder.join("tenants/directory.toml"), text).unwrap();
    folder
}

fn operators_change_tenants_and_are_told_what_is_wrong(platform: &str) {
    let good = folder_with("good", "70");
    let path = good.to_str().unwrap();
    assert_eq!(
        run_ctl(platform, &["diff", "-f", path]),
        ExitCode::from(EXIT_DIFFERS)
    );
    assert_eq!(
        run_ctl(platform, &["apply", "-f", path, "--wait", "20"]),
        ExitCode::SUCCESS
    );
    assert_eq!(run_ctl(platform, &["diff", "-f", path]), ExitCode::SUCCESS);
    let bad = folder_with("bad", "99999");
    let refused = run_ctl(
        platform,
        &["apply", "-f", bad.to_str().unwrap(), "--wait", "20"],
    );
    assert_eq!(refused, ExitCode::from(EXIT_REFUSED));
    let (_, object) = send(
        platform,
        HttpRequest::new("GET", "/objects/tenant/directory", ""),
    );
    assert_eq!(object["status"]["error"]["field"], "parameters.hedge_ms");
    assert!(
        object["status"]["in_force"].is_object(),
        "the last good one stays in force"
    );
    assert_eq!(
        run_ctl(platform, &["delete", "tenant/directory", "--version", "1"]),
        ExitCode::from(EXIT_CONFLICT)
    );
    assert_eq!(run_ctl(platform, &["get", "tenant"]), ExitCode::SUCCESS);
    assert_eq!(
        run_ctl(platform, &["-o", "json", "status"]),
        ExitCode::SUCCESS
    );
    for folder in [good, bad] {
        std::fs::remove_dir_all(folder).unwrap();
    }
}

/// One deployment serves all checks, since starting one takes seconds.
#[test]
fn a_deployment_on_sockets() {
    let running = start();
    let node = running.nodes[0].clone();
    bad_input_gets_its_own_problem(&node);
    malformed_http_is_refused_and_the_node_goes_on(&node);
    a_repeated_key_is_answered_from_the_record(&running.nodes);
    a_session_goes_on_at_another_node(&running.nodes);
    a_stream_arrives_in_pieces(&node);
    operators_change_tenants_and_are_told_what_is_wrong(&running.platform);
    let (status, metrics) = block_on(fetch(&node, HttpRequest::new("GET", "/metrics", "")))
        .unwrap()
        .unwrap();
    assert_eq!(status, 200);
    assert!(String::from_utf8_lossy(&metrics).contains("peatgrade_requests_total"));
    assert_eq!(open_io_uring_instances(), 0);
    assert_eq!(
        running.stop(),
        Vec::<String>::new(),
        "every node drains and exits"
    );
}
