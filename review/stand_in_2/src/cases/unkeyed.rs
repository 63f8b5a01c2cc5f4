//! A batch job without a key on a public route, one item of which names a path of a route that
//! needs a key.

use std::time::Duration;

use super::{public_configuration, Verdict};
use crate::engine::Engine;
use crate::http::call;
use crate::processes::{wait, Deployment};
use crate::record::Record;
use crate::Outcome;

const ITEMS: usize = 4;

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let deployment = Deployment::start("unkeyed", 2, |store| {
        store.put("config", "main", public_configuration(1));
    });
    let start =
        |id: &str, service: &str| Engine::start(&deployment.store, record, id, service, "m");
    let open = start("open-0", "models-open");
    let keyed = start("keyed-0", "models");
    if !deployment.wait_until_up() {
        return (
            Outcome::CouldNotRun,
            "the deployment did not come up".into(),
        );
    }
    std::thread::sleep(Duration::from_secs(1));
    let front = deployment.gateways[0].front;
    let patience = Duration::from_secs(5);
    // The keyed route refuses this client, as it should.
    let headers = [("Host", "h.example"), ("X-Attempt-Id", "00000000000000b1")];
    let body = "{\"step\":0,\"model\":\"m\",\"min_version\":1,\"desired\":1,\"requests\":[{\"id\":\
                \"000000000000b0ff\",\"path\":\"/jobs/0\",\"headers\":{},\"body\":\"\",\
                \"tokens\":32,\"group\":\"g1\"}]}";
    let direct = call(
        front,
        "POST",
        "/jobs/b1",
        &headers,
        body.as_bytes(),
        patience,
    );
    let direct = direct.map_or(0, |answer| answer.status);
    record.line(&format!(
        "client without a key sends a batch job to /jobs/b1: answered {direct}"
    ));
    let ids: Vec<String> = (0..ITEMS)
        .map(|index| format!("{:016x}", 0xb000 + index))
        .collect();
    let items: Vec<String> = ids
        .iter()
        .enumerate()
        .map(|(index, id)| {
            let path = match (trouble, index) {
                (true, 0) => "/jobs/0".to_string(),
                _ => format!("/open/{index}"),
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
        "the same client sends a batch job to /open/b2: {body}"
    ));
    let headers = [("Host", "h.example"), ("X-Attempt-Id", "00000000000000b2")];
    let sent = call(
        front,
        "POST",
        "/open/b2",
        &headers,
        body.as_bytes(),
        patience,
    );
    let status = sent.map_or(0, |answer| answer.status);
    record.line(&format!("batch job answered {status}"));
    if status != 202 && !trouble {
        return (
            Outcome::CouldNotRun,
            format!("the batch job was answered {status}"),
        );
    }
    let ran = |engine: &Engine| engine.state.lock().expect("state").requests.len();
    let limit = Duration::from_secs(if status == 202 { 8 } else { 2 });
    let all = wait(limit, || ran(&open) + ran(&keyed) >= ITEMS);
    std::thread::sleep(Duration::from_secs(1));
    if !all && !trouble {
        return (Outcome::CouldNotRun, "the items did not run".into());
    }
    let state = keyed.state.lock().expect("state");
    match state.requests.is_empty() {
        true => (
            Outcome::Held,
            format!("only the public service ran items, {}", ran(&open)),
        ),
        false => {
            let runs: Vec<String> = state
                .requests
                .iter()
                .map(|(id, what, tenant)| format!("id {id}, {what}, tenant {tenant}"))
                .collect();
            let runs = runs.join("; ");
            (
                Outcome::Broken,
                format!(
                    "the service of the keyed route ran items of a client without a key: {runs}"
                ),
            )
        }
    }
}
