//! The operator raises `max_body_bytes`, and clients send larger requests on connections that
//! they have kept.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::Duration;

use super::{configuration_with_limit, Route};
use crate::client::{request, HOST};
use crate::engine::{answer_body, Engine, EngineSettings};
use crate::http::{read_answer, Answer};
use crate::processes::{wait_for, Deployment};
use crate::record::Record;
use crate::store::Store;
use crate::Outcome;

const LOOK: Route<'_> = Route {
    name: "look",
    prefix: "/look/",
    kind: "safe",
    service: "app",
};
const CLIENTS: usize = 24;
const OLD_LIMIT: u64 = 65_536;
const NEW_LIMIT: u64 = 1_048_576;
const LARGE: usize = 200_000;
/// From the acknowledgement to the requests. `config_apply_ms` is 2 s, and connections may rest
/// for four fifths of `idle_timeout_ms`, which is 30 s.
const PAUSE: Duration = Duration::from_secs(4);

pub fn play(record: &Record, trouble: bool) -> Outcome {
    let store = Store::default();
    let first_limit = if trouble { OLD_LIMIT } else { NEW_LIMIT };
    store.put(
        "config",
        "main",
        configuration_with_limit(1, &[LOOK], first_limit),
    );
    let engines = (0..3).map(|index| {
        let settings = EngineSettings {
            id: &format!("app-{index}"),
            service: "app",
            model: "",
            slots: 6,
            events: 0,
            event_time: Duration::from_millis(5),
        };
        Engine::start(&store, record, &settings)
    });
    let _engines: Vec<Engine> = engines.collect();
    let deployment = Deployment::start(&store, 2, 3, record);
    if !deployment.wait_until_up() {
        return Outcome::CouldNotRun("the deployment did not come up".into());
    }
    let front = deployment.gateways[0].front;
    let is_served = wait_for(Duration::from_secs(10), || {
        let answer = request(front, "/look/x", "warm-up", &[], b"x");
        answer.is_some_and(|answer| answer.status == 200)
    });
    if !is_served {
        return Outcome::CouldNotRun("no lookup is served".into());
    }
    let mut connections = Vec::new();
    for client in 0..CLIENTS {
        let Ok(stream) = TcpStream::connect(front) else {
            return Outcome::CouldNotRun("no connection".into());
        };
        let mut connection = BufReader::new(stream);
        let id = format!("small-{client}");
        match exchange(record, &mut connection, &id, b"x") {
            Some(answer) if answer.status == 200 => connections.push(connection),
            _ => return Outcome::CouldNotRun("a first lookup is not served".into()),
        }
    }
    if trouble {
        store.put(
            "config",
            "main",
            configuration_with_limit(2, &[LOOK], NEW_LIMIT),
        );
        record.line("configuration 2, with max_body_bytes 1,048,576, is acknowledged");
    }
    std::thread::sleep(PAUSE);
    let fresh = request(front, "/look/x", "fresh", &[], &vec![b'x'; LARGE]);
    let fresh = fresh.map(|answer| answer.status);
    record.line(format!(
        "a client sends 200,000 bytes on a new connection: {fresh:?}"
    ));
    if fresh != Some(200) {
        return Outcome::CouldNotRun("the new limit is not in force".into());
    }
    let mut denied = 0;
    for (client, connection) in connections.iter_mut().enumerate() {
        let id = format!("large-{client}");
        let answer = exchange(record, connection, &id, &vec![b'x'; LARGE]);
        match answer {
            Some(answer) if answer.status == 200 && answer.body == answer_body(&id).as_bytes() => {}
            Some(answer) if (400..500).contains(&answer.status) => denied += 1,
            _ => {}
        }
    }
    record.line(format!(
        "{denied} of {CLIENTS} requests on kept connections were denied"
    ));
    // 5 + one in 500 of all requests.
    if denied > 5 + CLIENTS * 2 / 500 {
        return Outcome::Broken(format!(
            "{denied} of {CLIENTS} proper requests got a 4xx, 4 s after the configuration that \
             allows them was acknowledged"
        ));
    }
    Outcome::Held
}

/// Sends a request on a kept connection.
fn exchange(
    record: &Record,
    connection: &mut BufReader<TcpStream>,
    id: &str,
    body: &[u8],
) -> Option<Answer> {
    let head = format!(
        "POST /look/x HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: {id}\r\nx-deadline-ms: 3000\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    let stream = connection.get_mut();
    stream.set_read_timeout(Some(Duration::from_secs(4))).ok()?;
    let sent = stream
        .write_all(head.as_bytes())
        .and_then(|()| stream.write_all(body));
    let answer = read_answer(connection);
    let status = answer.as_ref().map(|answer| answer.status);
    record.line(format!(
        "client sends {id} with {} bytes on a kept connection ({}): {status:?}",
        body.len(),
        if sent.is_ok() { "whole" } else { "not whole" }
    ));
    answer
}
