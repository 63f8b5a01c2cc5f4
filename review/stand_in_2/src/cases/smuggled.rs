//! A batch job of one tenant, one item of which carries a request inside its path.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{configuration_for, single_route, Verdict};
use crate::engine::Engine;
use crate::http::call;
use crate::processes::{wait, Deployment};
use crate::record::Record;
use crate::Outcome;

const TENANTS: &str = "[{\"name\":\"alumni\",\"api_keys\":[\"key-of-alumni\"]},\
                       {\"name\":\"college\",\"api_keys\":[\"key-of-college\"]}]";
const ITEMS: usize = 4;
/// The id that the hidden request carries. No client sends a request with it.
const HIDDEN_ID: &str = "00000000000bad01";

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let deployment = Deployment::start("smuggled", 2, |store| {
        let tenants = configuration_for(1, &single_route("safe", 1500), TENANTS);
        store.put("config", "main", tenants);
    });
    let engines: Vec<Engine> = (0..2)
        .map(|index| {
            let id = format!("model-{index}");
            Engine::start(&deployment.store, record, &id, "models", "m")
        })
        .collect();
    if !deployment.wait_until_up() {
        return (
            Outcome::CouldNotRun,
            "the deployment did not come up".into(),
        );
    }
    std::thread::sleep(Duration::from_secs(1));
    let front = deployment.gateways[0].front;
    let ids: Vec<String> = (0..ITEMS)
        .map(|index| format!("{:016x}", 0xa000 + index))
        .collect();
    let job = "00000000000000a1";
    let items: Vec<String> = ids
        .iter()
        .enumerate()
        .map(|(index, id)| {
            let path = match (trouble, index) {
                // In JSON, \r\n are the line ends of HTTP.
                (true, 0) => format!(
                    "/jobs/0 HTTP/1.1\\r\\nHost: h.example\\r\\nX-Attempt-Id: {id}\\r\\n\
                     X-Tenant: alumni\\r\\nContent-Length: 0\\r\\n\\r\\n\
                     POST /single/hidden HTTP/1.1\\r\\nHost: h.example\\r\\n\
                     X-Attempt-Id: {HIDDEN_ID}\\r\\nX-Tenant: college\\r\\n\
                     Content-Length: 0\\r\\n\\r\\nPOST /jobs/0"
                ),
                _ => format!("/jobs/{index}"),
            };
            format!(
                "{{\"id\":\"{id}\",\"path\":\"{path}\",\"headers\":{{\"X-Model\":\"m\",\
                 \"X-Token-Counts\":\"16,16\",\"X-Prompt-Prefix\":\"{index:x}:16\"}},\
                 \"body\":\"q83vEjRWeJA=\",\"tokens\":32,\"group\":\"g1\"}}"
            )
        })
        .collect();
    let body = format!(
        "{{\"step\":0,\"model\":\"m\",\"min_version\":1,\"desired\":1,\"requests\":[{}]}}",
        items.join(",")
    );
    record.line(&format!(
        "client of tenant alumni sends batch job {job}: {body}"
    ));
    let headers = [
        ("Host", "h.example"),
        ("X-Attempt-Id", job),
        ("X-Deadline-Ms", "5000"),
        ("X-Api-Key", "key-of-alumni"),
        ("Content-Type", "application/json"),
    ];
    let patience = Duration::from_secs(5);
    let sent = call(
        front,
        "POST",
        "/jobs/a1",
        &headers,
        body.as_bytes(),
        patience,
    );
    let status = sent.map_or(0, |answer| answer.status);
    record.line(&format!("batch job {job} answered {status}"));
    if status != 202 && !trouble {
        return (
            Outcome::CouldNotRun,
            format!("the batch job was answered {status}"),
        );
    }
    let finished = |id: &String| {
        let has = |engine: &Engine| {
            engine
                .state
                .lock()
                .expect("state")
                .finished
                .contains_key(id)
        };
        engines.iter().any(has)
    };
    // A refused batch job has nothing to run.
    let limit = Duration::from_secs(if status == 202 { 10 } else { 2 });
    let ran = wait(limit, || ids.iter().all(finished));
    std::thread::sleep(Duration::from_secs(2));
    if !ran && !trouble {
        return (Outcome::CouldNotRun, "the items did not run".into());
    }
    let known: BTreeSet<&str> = ids.iter().map(String::as_str).collect();
    let mut unasked = Vec::new();
    for engine in &engines {
        let state = engine.state.lock().expect("state");
        for (id, what, tenant) in &state.requests {
            if !known.contains(id.as_str()) || tenant != "alumni" {
                unasked.push(format!("id {id}, {what}, tenant {tenant}"));
            }
        }
    }
    match unasked.is_empty() {
        true => (Outcome::Held, "engines ran the items alone".into()),
        false => {
            let reason = format!(
                "engines ran {} requests that nobody sent: {}",
                unasked.len(),
                unasked.join("; ")
            );
            (Outcome::Broken, reason)
        }
    }
}
