//! What the time for which an engine ran a request says about the request.
//!
//! A request that ends engines does so soon after they begin it (22 to 120 ms in sixteen
//! runs that were watched), so an engine that crashes under a text that it has been making
//! for longer crashed for another reason. Without this, items were blamed on days on which
//! engines crash over and over by themselves: texts take up to 7 s, most of them lose
//! three engines, and 0.88 of the credit was served in place of 1.00 (three days of 34 s,
//! three in ten engines crash each 1.9 s).

use peatgrade_types::{Duration, Time};

/// Age of a run, since its first sign of life, up to which its request may be the cause of
/// a crash: 120 ms, and 150 ms by which events of many streams are read late.
const YOUNG_RUN: Duration = Duration::from_millis(300);
/// Age of a run from which on its request is none that ends engines: a few times as much.
const OLD_RUN: Duration = Duration::from_millis(1_000);

/// Whether a run that broke off may have ended its engine. `began` is when the first part
/// of its answer came, if any has.
pub fn may_have_caused_crash(now: Time, began: Option<Time>) -> bool {
    began.is_none_or(|began| now.since(began) <= YOUNG_RUN)
}

/// Whether a run that goes on shows that its request ends no engines.
pub fn is_harmless(now: Time, began: Option<Time>) -> bool {
    began.is_some_and(|began| now.since(began) >= OLD_RUN)
}
