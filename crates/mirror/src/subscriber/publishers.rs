//! Machines that may publish: in which order they are asked, and which of them rest.

use peatgrade_types::{hash_bytes, rendezvous_order, Duration, Time};
use std::collections::BTreeSet;

use super::{PublisherState, Subscriber};

impl Subscriber {
    /// Whether no machine is known that could publish.
    pub fn has_no_publishers(&self) -> bool {
        self.publishers.is_empty()
    }

    /// Machines that may publish, as zones and addresses in any order. Those in the own
    /// zone are asked first, and the leader, which has other work, last of all.
    pub fn set_publishers(&mut self, machines: Vec<(String, String)>, leader: &str) {
        let before = std::mem::take(&mut self.publishers);
        let mut order = rendezvous_order(self.key, machines.iter(), |(_, address)| {
            hash_bytes(address.as_bytes())
        });
        order.sort_by_key(|(zone, address)| (address == leader, *zone != self.zone));
        let states = order.into_iter().map(|(_, address)| {
            let mut known = before.iter();
            let known = known.find(|publisher| publisher.address == *address);
            known.cloned().unwrap_or_else(|| PublisherState {
                address: address.clone(),
                rests_until: Time(0),
                next_rest: self.timing.initial_backoff,
                was_silent: false,
            })
        });
        self.publishers = states.collect();
        let addresses = |states: &[PublisherState]| -> BTreeSet<String> {
            states.iter().map(|state| state.address.clone()).collect()
        };
        self.publishers_changed |= addresses(&before) != addresses(&self.publishers);
    }

    /// Addresses of the machines that may publish, if they have changed since the last
    /// time.
    pub fn take_changed_publishers(&mut self) -> Option<Vec<String>> {
        let is_new = std::mem::take(&mut self.publishers_changed);
        let publishers = self.publishers.iter();
        is_new.then(|| {
            publishers
                .map(|publisher| publisher.address.clone())
                .collect()
        })
    }

    pub(super) fn give_up_silent(&mut self, now: Time) {
        let is_starting = self.is_starting();
        let patience = match is_starting {
            true => self.timing.initial_reply_timeout,
            false => self.timing.max_hold + self.timing.reply_grace,
        };
        let silent = self.asked.take_if(|asked| now.since(asked.at) >= patience);
        if let Some(asked) = silent {
            let longest = self.timing.max_backoff;
            if let Some(silent) = self.publisher(&asked.address) {
                let rest = if is_starting {
                    patience
                } else {
                    silent.next_rest
                };
                log::info!(
                    "belief=publisher-silent address={} rest_ms={}",
                    asked.address,
                    rest.as_millis()
                );
                silent.rests_until = now + rest;
                if !is_starting {
                    silent.was_silent = true;
                    silent.next_rest = Duration(silent.next_rest.0 * 2).min(longest);
                }
            }
        }
    }

    pub(super) fn publisher(&mut self, address: &str) -> Option<&mut PublisherState> {
        let mut publishers = self.publishers.iter_mut();
        publishers.find(|publisher| publisher.address == address)
    }
}
