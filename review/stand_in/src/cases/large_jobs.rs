//! Trainers keep several batch jobs open whose bodies are within `max_body_bytes`, and the
//! platform ends processes that exceed `memory_mb`.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::{configuration, Route};
use crate::client::{read, submit};
use crate::engine::{Engine, EngineSettings};
use crate::json::Json;
use crate::processes::Deployment;
use crate::record::Record;
use crate::store::{map, number, text, Store};
use crate::Outcome;

const JOBS: Route<'_> = Route {
    name: "jobs",
    prefix: "/jobs/",
    kind: "rollout",
    service: "models",
};
/// Batch jobs that trainers open.
const OPEN_JOBS: usize = 14;
const ITEMS: usize = 224;
/// Bytes of a batch job's body; `max_body_bytes` is 33,554,432.
const LARGE: usize = 30_000_000;
const SMALL: usize = 300_000;
/// The storage machines' `memory_mb`.
const MEMORY_KB: u64 = 320 * 1024;
/// How long trainers try to open batch jobs.
const OPENING_TIME: Duration = Duration::from_secs(50);
/// Pause before a process that has ended is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

pub fn play(record: &Record, trouble: bool) -> Outcome {
    let store = Store::default();
    store.put("config", "main", configuration(1, &[JOBS]));
    let engines = (0..3).map(|index| {
        let settings = EngineSettings {
            id: &format!("engine-{index}"),
            service: "models",
            model: "m",
            slots: 16,
            events: 20,
            event_time: Duration::from_millis(200),
        };
        Engine::start(&store, record, &settings)
    });
    let _engines: Vec<Engine> = engines.collect();
    let mut deployment = Deployment::start(&store, 7, 3, record);
    if !deployment.wait_until_up() {
        return Outcome::CouldNotRun("the deployment did not come up".into());
    }
    let fronts: Vec<_> = deployment
        .gateways
        .iter()
        .map(|gateway| gateway.front)
        .collect();
    let storage = Arc::new(Mutex::new(std::mem::take(&mut deployment.storage)));
    let ends = Arc::new(AtomicBool::new(false));
    let platform = {
        let (storage, ends, record) = (storage.clone(), ends.clone(), record.clone());
        std::thread::spawn(move || {
            let mut kills = vec![0; storage.lock().expect("lock").len()];
            let mut down: Vec<(usize, Instant)> = Vec::new();
            while !ends.load(Ordering::SeqCst) {
                let mut storage = storage.lock().expect("lock");
                for (index, process) in storage.iter_mut().enumerate() {
                    let resident = process.resident_kb();
                    if resident > MEMORY_KB {
                        process.kill();
                        kills[index] += 1;
                        down.push((index, Instant::now()));
                        record.line(format!(
                            "{} has {resident} kB and is ended by the platform (memory_mb 320)",
                            process.name
                        ));
                    }
                }
                down.retain(|(index, at)| {
                    let is_due = at.elapsed() >= RESTART_PAUSE;
                    if is_due {
                        storage[*index].start();
                    }
                    !is_due
                });
                drop(storage);
                std::thread::sleep(Duration::from_millis(5));
            }
            kills
        })
    };
    let mut accepted = Vec::new();
    let opening = Instant::now();
    for number in 0..OPEN_JOBS {
        if opening.elapsed() >= OPENING_TIME {
            break;
        }
        let job = format!("job{number}");
        let body = large_job(&job, if trouble { LARGE } else { SMALL });
        for attempt in 0..4 {
            let front = fronts[(number + attempt) % fronts.len()];
            if submit(record, front, &job, "/jobs/", &body) == Some(202) {
                accepted.push(job.clone());
                break;
            }
            std::thread::sleep(Duration::from_millis(1_000));
        }
    }
    record.line(format!(
        "{} batch jobs were accepted with 202",
        accepted.len()
    ));
    // Each accepted batch job is read, again after each failure.
    let mut unread = accepted.clone();
    let since = Instant::now();
    while !unread.is_empty() && since.elapsed() < Duration::from_secs(40) {
        unread.retain(|job| {
            let front = fronts[since.elapsed().as_millis() as usize % fronts.len()];
            let listed = read(front, job, 0);
            if let Some(listed) = &listed {
                let listed = listed.len();
                record.line(format!("client reads {job}: {listed} results listed"));
            }
            listed.is_none()
        });
        std::thread::sleep(Duration::from_millis(500));
    }
    ends.store(true, Ordering::SeqCst);
    let kills: Vec<u32> = platform.join().unwrap_or_default();
    deployment.storage = std::mem::take(&mut *storage.lock().expect("lock"));
    record.line(format!(
        "the platform ended the storage processes {kills:?} times"
    ));
    if !unread.is_empty() {
        return Outcome::Broken(format!(
            "{} of {} accepted batch jobs can't be read for 40 s: {unread:?}; the platform ended \
             the storage processes {kills:?} times",
            unread.len(),
            accepted.len()
        ));
    }
    // A tenth of the 10 machines, but two at least, with three ends each.
    if kills.iter().filter(|ends| **ends >= 3).count() >= 2 {
        return Outcome::Broken(format!(
            "the storage processes exceeded memory_mb {kills:?} times without any disruption"
        ));
    }
    Outcome::Held
}

/// A batch job whose document has about `bytes` bytes.
fn large_job(job: &str, bytes: usize) -> String {
    let letters = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut draw = 88_172_645_463_325_252_u64 ^ job.len() as u64;
    let requests = (0..ITEMS).map(|index| {
        let body: String = (0..bytes / ITEMS / 4 * 4)
            .map(|_| {
                draw ^= draw << 13;
                draw ^= draw >> 7;
                draw ^= draw << 17;
                letters[(draw >> 20) as usize % letters.len()] as char
            })
            .collect();
        map(&[
            ("id", text(&format!("{job}-{index}"))),
            ("path", text("/jobs/i")),
            (
                "headers",
                map(&[("X-Model", text("m")), ("X-Token-Counts", text("9000,60"))]),
            ),
            ("body", text(&body)),
            ("tokens", number(9_060)),
            ("group", text(&format!("{job}-g{}", index / 4))),
        ])
    });
    let document = map(&[
        ("step", number(0)),
        ("model", text("m")),
        ("min_version", number(1)),
        ("desired", number(50)),
        ("requests", Json::List(requests.collect())),
    ]);
    document.to_string()
}
