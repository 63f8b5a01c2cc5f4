//! An engine that streams without a length ends in the middle of an event.

use std::time::Duration;

use super::{configuration, Route};
use crate::client::request;
use crate::engine::{Engine, EngineSettings, Habit};
use crate::processes::{wait_for, Deployment};
use crate::record::Record;
use crate::store::Store;
use crate::Outcome;

const STREAMS: Route<'_> = Route {
    name: "streams",
    prefix: "/streams/",
    kind: "streaming",
    service: "models",
};
const EVENTS: u64 = 6;

pub fn play(record: &Record, trouble: bool) -> Outcome {
    let store = Store::default();
    store.put("config", "main", configuration(1, &[STREAMS]));
    let settings = EngineSettings {
        id: "engine-0",
        service: "models",
        model: "m",
        slots: 16,
        events: EVENTS,
        event_time: Duration::from_millis(40),
    };
    let engine = Engine::start(&store, record, &settings);
    let deployment = Deployment::start(&store, 2, 3, record);
    if !deployment.wait_until_up() {
        return Outcome::CouldNotRun("the deployment did not come up".into());
    }
    let gateway = deployment.gateways[0].front;
    let extra = [
        ("x-model", "m"),
        ("x-token-counts", "40,60"),
        ("x-prompt-prefix", "9c2e41:40"),
    ];
    engine.set_habit(Habit::Unframed);
    let warm = wait_for(Duration::from_secs(10), || {
        let answer = request(gateway, "/streams/x", "warm-up", &extra, b"{}");
        answer.is_some_and(|answer| answer.status == 200)
    });
    if !warm {
        return Outcome::CouldNotRun("no stream is served".into());
    }
    if trouble {
        engine.set_habit(Habit::EndsWithinEvent(4));
    }
    let answer = request(gateway, "/streams/x", "stream-1", &extra, b"{}");
    let Some(answer) = answer else {
        record.line("the client gets no answer");
        return Outcome::Held;
    };
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    record.line(format!(
        "the client gets {} with {} bytes, ended as complete: {}; body {body:?}",
        answer.status,
        answer.body.len(),
        answer.whole
    ));
    let events = body.matches("\n\n").count() as u64;
    if answer.status == 200 && answer.whole && events < EVENTS {
        return Outcome::Broken(format!(
            "the stream is ended as complete after {events} of {EVENTS} events"
        ));
    }
    Outcome::Held
}
