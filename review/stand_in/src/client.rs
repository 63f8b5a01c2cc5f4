//! Trainers and callers.

use std::net::SocketAddr;
use std::time::Duration;

use crate::http::{call, Answer};
use crate::json::Json;
use crate::record::Record;
use crate::store::{map, number, text};

pub const HOST: &str = "h.example";

/// Body of a batch job with `count` items under `prefix`; and the items' ids.
pub fn batch_job(job: &str, prefix: &str, count: usize) -> (Vec<String>, String) {
    let ids: Vec<String> = (0..count).map(|index| format!("{job}-{index}")).collect();
    let requests = ids.iter().map(|id| {
        let headers = map(&[
            ("X-Model", text("m")),
            ("X-Token-Counts", text("40,60")),
            ("X-Prompt-Prefix", text("9c2e41:40")),
        ]);
        map(&[
            ("id", text(id)),
            ("path", text(&format!("{prefix}i"))),
            ("headers", headers),
            ("body", text("q83v")),
            ("tokens", number(100)),
            ("group", text(&id[..id.len() - 1])),
        ])
    });
    let document = map(&[
        ("step", number(0)),
        ("model", text("m")),
        ("min_version", number(1)),
        ("desired", number(1)),
        ("requests", Json::List(requests.collect())),
    ]);
    (ids, document.to_string())
}

pub fn submit(
    record: &Record,
    gateway: SocketAddr,
    job: &str,
    prefix: &str,
    body: &str,
) -> Option<u16> {
    let headers = [
        ("host", HOST),
        ("x-attempt-id", job),
        ("content-type", "application/json"),
    ];
    let path = format!("{prefix}submit");
    let patience = Duration::from_secs(3);
    let answer = call(gateway, "POST", &path, &headers, body.as_bytes(), patience);
    let status = answer.map(|answer| answer.status);
    record.line(format!(
        "client sends batch job {job} to {gateway}: {status:?}"
    ));
    status
}

/// Reads results from a position on; none if they could not be read.
pub fn read(gateway: SocketAddr, job: &str, position: usize) -> Option<Vec<Json>> {
    let path = format!("/peatgrade/lots/{job}?after_rev={position}");
    let headers = [("host", HOST)];
    let answer = call(gateway, "GET", &path, &headers, b"", Duration::from_secs(3))?;
    let document = Json::parse(&answer.body);
    (answer.status == 200).then(|| document.get("results").list().to_vec())
}

/// Asks for the body of an item that is not listed yet.
pub fn item_body(gateway: SocketAddr, job: &str, item: &str) -> Option<u16> {
    let path = format!("/peatgrade/items/{job}?id={item}");
    let patience = Duration::from_secs(3);
    let answer = call(gateway, "GET", &path, &[("host", HOST)], b"", patience);
    answer.map(|answer| answer.status)
}

pub fn request(
    gateway: SocketAddr,
    path: &str,
    id: &str,
    extra: &[(&str, &str)],
    body: &[u8],
) -> Option<Answer> {
    let mut headers = vec![
        ("host", HOST),
        ("x-attempt-id", id),
        ("x-deadline-ms", "8000"),
    ];
    headers.extend_from_slice(extra);
    call(
        gateway,
        "POST",
        path,
        &headers,
        body,
        Duration::from_secs(10),
    )
}
