//! One storage machine is to be emptied, another is replaced as planned, then one disk is lost.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{configuration, single_route, Verdict};
use crate::engine::Engine;
use crate::http::call;
use crate::json::Json;
use crate::processes::{wait, Deployment, Process};
use crate::record::Record;
use crate::Outcome;

const JOB: &str = "00000000000000c1";
const ITEMS: usize = 480;
/// Longer than `catch_up_s` 4.6 and `contact_ms` 3,000 together.
const CALM: Duration = Duration::from_secs(9);
/// Longer than `recovery_s` 12.
const RECOVERY: Duration = Duration::from_secs(25);

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let mut deployment = Deployment::start("emptied", 2, |store| {
        store.put(
            "config",
            "main",
            configuration(1, &single_route("safe", 1_500)),
        );
    });
    let _engines: Vec<Engine> = (0..2)
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
    let front = deployment.gateways[0].front;
    if trouble {
        let spec = Json::parse(b"{\"duration_s\":8.6}").expect("spec");
        deployment.store.put("retirements", "storage-0", spec);
        record.line("the operator asks that storage-0 be emptied");
    }
    std::thread::sleep(Duration::from_secs(3));
    // The planned replacement of storage-1: the new one first, then SIGTERM.
    let newcomer = deployment.add_storage(4);
    record.line(&format!(
        "{newcomer} starts, empty, as the successor of storage-1"
    ));
    std::thread::sleep(Duration::from_secs(3));
    let emptied = deployment.store.status("retirements", "storage-0");
    record.line(&format!(
        "status of the request to empty storage-0: {emptied:?}"
    ));
    if emptied == "completed" {
        take_away(&mut deployment.storage[0]);
        record.line("the platform takes storage-0 away with its disk");
    }
    deployment.storage[1].signal("-TERM");
    let stopped = wait(Duration::from_secs(9), || {
        deployment.storage[1].ended().is_some()
    });
    take_away(&mut deployment.storage[1]);
    record.line(&format!(
        "storage-1 was stopped with SIGTERM (ended: {stopped}) and is gone for good"
    ));
    std::thread::sleep(CALM);
    let sent = submit(front);
    record.line(&format!("batch job {JOB} answered {sent}"));
    if sent != 202 {
        return (
            Outcome::CouldNotRun,
            format!("the batch job was answered {sent}"),
        );
    }
    std::thread::sleep(Duration::from_secs(1));
    let before = listed(front).map(|ids| ids.len());
    record.line(&format!("results listed before the loss: {before:?}"));
    deployment.storage[2].kill();
    deployment.storage[2].wipe();
    record.line("storage-2 loses its disk, the only loss");
    std::thread::sleep(Duration::from_secs(2));
    deployment.storage[2].run();
    record.line("storage-2 is back, empty");
    let start = Instant::now();
    let mut last = String::new();
    let is_kept = wait(RECOVERY, || {
        std::thread::sleep(Duration::from_millis(400));
        last = check(front);
        last == "kept"
    });
    let took = start.elapsed().as_millis();
    record.line(&format!("{took} ms after the return of storage-2: {last}"));
    match is_kept {
        true => (
            Outcome::Held,
            format!("{took} ms after the return the batch job was whole"),
        ),
        false => {
            let seconds = RECOVERY.as_secs();
            let reason =
                format!("for {seconds} s after the return from the loss of one disk: {last}");
            (Outcome::Broken, reason)
        }
    }
}

/// "kept" if each item is listed, or one that isn't gives its body; else what a client sees.
fn check(front: SocketAddr) -> String {
    let Some(ids) = listed(front) else {
        return "the accepted batch job can't be read".into();
    };
    let mut items = (0..ITEMS).map(item_id);
    let Some(unlisted) = items.find(|id| !ids.contains(id)) else {
        return "kept".into();
    };
    let path = format!("/peatgrade/items/{JOB}?id={unlisted}");
    let headers = [("Host", "h.example")];
    let answer = call(front, "GET", &path, &headers, b"", Duration::from_secs(3));
    match answer.map_or(0, |answer| answer.status) {
        200 => "kept".into(),
        status => format!(
            "{} of {ITEMS} items are listed, and the body of one that isn't gets {status}",
            ids.len()
        ),
    }
}

fn take_away(process: &mut Process) {
    process.kill();
    process.wipe();
}

fn submit(front: SocketAddr) -> u16 {
    let items: Vec<String> = (0..ITEMS)
        .map(|index| {
            format!(
                "{{\"id\":\"{}\",\"path\":\"/jobs/{index}\",\"headers\":{{\"X-Model\":\"m\",\
                 \"X-Token-Counts\":\"16,16\",\"X-Prompt-Prefix\":\"{index:x}:16\"}},\
                 \"body\":\"q83vEjRWeJA=\",\"tokens\":32,\"group\":\"g{}\"}}",
                item_id(index),
                index / 4
            )
        })
        .collect();
    let body = format!(
        "{{\"step\":0,\"model\":\"m\",\"min_version\":1,\"desired\":6,\"requests\":[{}]}}",
        items.join(",")
    );
    let headers = [
        ("Host", "h.example"),
        ("X-Attempt-Id", JOB),
        ("X-Deadline-Ms", "5000"),
    ];
    let patience = Duration::from_secs(5);
    let answer = call(
        front,
        "POST",
        "/jobs/c1",
        &headers,
        body.as_bytes(),
        patience,
    );
    answer.map_or(0, |answer| answer.status)
}

/// The ids of all listed results.
fn listed(front: SocketAddr) -> Option<BTreeSet<String>> {
    let mut ids = BTreeSet::new();
    let mut position = 0;
    loop {
        let path = format!("/peatgrade/lots/{JOB}?after_rev={position}");
        let headers = [("Host", "h.example")];
        let answer = call(front, "GET", &path, &headers, b"", Duration::from_secs(3));
        let answer = answer.ok().filter(|answer| answer.status == 200);
        // A later position may need a leader; what was read so far is listed.
        let Some(document) = answer.and_then(|answer| Json::parse(&answer.body)) else {
            return (position > 0).then_some(ids);
        };
        let results = document.get("results").list();
        if results.is_empty() {
            return Some(ids);
        }
        ids.extend(
            results
                .iter()
                .map(|result| result.get("id").text().to_string()),
        );
        position += results.len();
    }
}

fn item_id(index: usize) -> String {
    format!("{:016x}", 0xc000 + index)
}
