//! Requests on kept connections, one of whose engines turns slow while they run.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::{configuration, single_route, Verdict};
use crate::engine::Engine;
use crate::http::Connection;
use crate::processes::Deployment;
use crate::record::Record;
use crate::Outcome;

const CLIENTS: usize = 40;
const ENGINES: usize = 5;
/// What the route and the clients allow.
const TIMEOUT_MS: u64 = 30_000;
/// Work on each request at an engine of usual speed.
const WORK_MS: u64 = 14_000;
/// How long an engine is slow.
const SLOW: Duration = Duration::from_secs(8);
/// Requests that may end so before the rule is broken.
const ALLOWED: usize = 3;

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let deployment = Deployment::start("waiting", 2, |store| {
        store.put(
            "config",
            "main",
            configuration(1, &single_route("unsafe", TIMEOUT_MS)),
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
    std::thread::sleep(Duration::from_secs(4));
    let results = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let (record, results) = (record.clone(), results.clone());
            let front = deployment.gateways[index % 2].front;
            std::thread::spawn(move || {
                let result = client(&record, index, front);
                results.lock().expect("results").push(result);
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(2));
    if trouble {
        // A fifth of the service's engines.
        engines[0].state.lock().expect("state").slow_until = Some(Instant::now() + SLOW);
        record.line("engine app-0 works 3.3 times as long for 8 s");
    }
    for client in clients {
        let _ = client.join();
    }
    std::thread::sleep(Duration::from_secs(3));
    let results = results.lock().expect("results");
    let mut cut = 0;
    for (id, answered) in results.iter() {
        let begun = engines
            .iter()
            .any(|engine| engine.state.lock().expect("state").begun.contains_key(id));
        cut += usize::from(begun && !answered);
    }
    let answered = results.iter().filter(|(_, answered)| *answered).count();
    if results.len() < CLIENTS || (!trouble && answered < CLIENTS && cut == 0) {
        return (Outcome::CouldNotRun, "the clients could not send".into());
    }
    let reason = format!(
        "{answered} of {CLIENTS} requests answered; {cut} passed on to a sound engine and cut off \
         on a kept connection without an answer, allowed: {ALLOWED}"
    );
    match cut > ALLOWED {
        true => (Outcome::Broken, reason),
        false => (Outcome::Held, reason),
    }
}

/// Sends a short request and then a long one on the same connection. Returns the id of the long
/// one, and whether it was answered at all.
fn client(record: &Record, index: usize, front: std::net::SocketAddr) -> (String, bool) {
    let id = format!("{:016x}", 0x5000 + index);
    let Ok(mut connection) = Connection::open(front) else {
        return (id, false);
    };
    let mut send = |id: &str, work: u64| {
        let (work, deadline) = (work.to_string(), TIMEOUT_MS.to_string());
        let headers = [
            ("Host", "h.example"),
            ("X-Attempt-Id", id),
            ("X-Deadline-Ms", deadline.as_str()),
            ("X-Work-Ms", work.as_str()),
        ];
        let patience = Duration::from_millis(TIMEOUT_MS + 1_000);
        connection.call("POST", "/single/a", &headers, b"body", patience)
    };
    let short = send(&format!("{:016x}", 0x1000 + index), 25);
    record.line(&format!(
        "client {index}: short request {}",
        short.map_or_else(
            |error| error.to_string(),
            |answer| answer.status.to_string()
        )
    ));
    let sent = Instant::now();
    record.line(&format!(
        "client {index} sends {id} on the same connection, deadline {TIMEOUT_MS} ms"
    ));
    let long = send(&id, WORK_MS);
    let took = sent.elapsed().as_millis();
    match long {
        Ok(answer) => {
            let stamp = answer.header("x-server-stamp").unwrap_or("none");
            record.line(&format!(
                "client {index}: {id} answered {} after {took} ms, stamp {stamp}",
                answer.status
            ));
            (id, true)
        }
        Err(error) => {
            record.line(&format!(
                "client {index}: {id} has no answer, the connection ended after {took} ms: {error}"
            ));
            (id, false)
        }
    }
}
