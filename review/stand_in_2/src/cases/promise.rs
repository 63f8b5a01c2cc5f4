//! Requests that may run once, at engines that fail part of them after running them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::{configuration, single_route, Verdict};
use crate::engine::Engine;
use crate::http::call;
use crate::processes::Deployment;
use crate::record::Record;
use crate::Outcome;

const REQUESTS: usize = 480;
const CLIENTS: usize = 12;
const ENGINES: usize = 7;

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let deployment = Deployment::start("promise", 2, |store| {
        store.put(
            "config",
            "main",
            configuration(1, &single_route("unsafe", 1_500)),
        );
    });
    let engines: Vec<Engine> = (0..ENGINES)
        .map(|index| {
            Engine::start(
                &deployment.store,
                record,
                &format!("app-{index}"),
                "app",
                "",
            )
        })
        .collect();
    if !deployment.wait_until_up() {
        return (
            Outcome::CouldNotRun,
            "the deployment did not come up".into(),
        );
    }
    std::thread::sleep(Duration::from_secs(1));
    if trouble {
        // One engine in seven; its health stays good.
        engines[0].state.lock().expect("state").fails_some = true;
        record.line("engine app-0 fails four in ten requests, after running them");
    }
    let engines = Arc::new(engines);
    let fronts: Vec<_> = deployment
        .gateways
        .iter()
        .map(|gateway| gateway.front)
        .collect();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, engines, front) = (record.clone(), engines.clone(), fronts[client % 2]);
            std::thread::spawn(move || {
                let ids = (0..REQUESTS / CLIENTS).map(|index| 0x7000 + index * CLIENTS + client);
                ids.map(|id| send(&record, &engines, front, id))
                    .collect::<Vec<_>>()
            })
        })
        .collect();
    let ended: Vec<(u16, u32)> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .flatten()
        .collect();
    let answered = ended.iter().filter(|(status, _)| *status == 200).count();
    let is_broken =
        |(status, runs): &&(u16, u32)| [408, 421, 429, 503].contains(status) && *runs > 0;
    let broken = ended.iter().filter(is_broken).count();
    if answered == 0 {
        return (
            Outcome::CouldNotRun,
            "no request was answered with success".into(),
        );
    }
    let reason = format!(
        "{broken} of {REQUESTS} requests ran and were answered with a promise that they had not"
    );
    match broken > 0 {
        true => (Outcome::Broken, reason),
        false => (Outcome::Held, reason),
    }
}

/// Sends a request; returns the status of its answer and how often it ran.
fn send(record: &Record, engines: &[Engine], front: SocketAddr, id: usize) -> (u16, u32) {
    let id = format!("{id:016x}");
    let headers = [
        ("Host", "h.example"),
        ("X-Attempt-Id", id.as_str()),
        ("X-Deadline-Ms", "1500"),
    ];
    let answer = call(
        front,
        "POST",
        "/single/book",
        &headers,
        b"x",
        Duration::from_secs(3),
    );
    let (status, stamp) = answer.map_or((0, "none".into()), |answer| {
        (
            answer.status,
            answer
                .header("x-server-stamp")
                .unwrap_or("none")
                .to_string(),
        )
    });
    let times = |engine: &Engine| {
        let state = engine.state.lock().expect("state");
        state.begun.get(&id).copied().unwrap_or(0)
    };
    let runs = engines.iter().map(times).sum();
    record.line(&format!(
        "request {id} answered {status}, stamp {stamp}, ran {runs} times"
    ));
    std::thread::sleep(Duration::from_millis(20));
    (status, runs)
}
