//! The publishers of a subscriber: the order in which they are asked, and their backoff.

use peatgrade_types::{hash_bytes, rendezvous_order, Duration, Time};
use std::collections::BTreeSet;

use super::{PublisherState, Subscriber};

impl Subscriber {
    pub fn has_no_publishers(&self) -> bool {
        self.publishers.is_empty()
    }

    /// Replaces the publishers, given as zones and addresses in any order. Those in this
    /// machine's zone are asked first, and the leader, which has other work, last.
    pub fn set_publishers(&mut self, machines: Vec<(String, String)>, leader: &str) {
        let before = std::mem::take(&mut self.publishers);
        let mut order = rendezvous_order(self.rendezvous_key, machines.iter(), |(_, address)| {
            hash_bytes(address.as_bytes())
        });
        order.sort_by_key(|(zone, address)| (address == leader, *zone != self.zone));
        let states = order.into_iter().map(|(_, address)| {
            let mut previous = before.iter();
            let previous = previous.find(|publisher| publisher.address == *address);
            previous.cloned().unwrap_or_else(|| PublisherState {
                address: address.clone(),
                backoff_until: Time(0),
                next_backoff: self.timing.initial_backoff,
                timed_out: false,
            })
        });
        self.publishers = states.collect();
        let addresses = |states: &[PublisherState]| -> BTreeSet<String> {
            states.iter().map(|state| state.address.clone()).collect()
        };
        self.publishers_changed |= addresses(&before) != addresses(&self.publishers);
    }

    /// Addresses of the publishers, if the set has changed since the last call.
    pub fn take_changed_publishers(&mut self) -> Option<Vec<String>> {
        let changed = std::mem::take(&mut self.publishers_changed);
        let publishers = self.publishers.iter();
        changed.then(|| {
            publishers
                .map(|publisher| publisher.address.clone())
                .collect()
        })
    }

    /// Abandons the request in flight once it has timed out, and backs off from its
    /// publisher.
    pub(super) fn expire_request(&mut self, now: Time) {
        let is_initializing = self.is_initializing();
        let timeout = match is_initializing {
            true => self.timing.initial_reply_timeout,
            false => self.timing.max_hold + self.timing.reply_grace,
        };
        let expired = self
            .in_flight
            .take_if(|request| now.since(request.sent_at) >= timeout);
        if let Some(request) = expired {
            let max_backoff = self.timing.max_backoff;
            if let Some(publisher) = self.publisher(&request.address) {
                let backoff = if is_initializing {
                    timeout
                } else {
                    publisher.next_backoff
                };
                log::info!(
                    "belief=publisher-silent address={} rest_ms={}",
                    request.address,
                    backoff.as_millis()
                );
                publisher.backoff_until = now + backoff;
                if !is_initializing {
                    publisher.timed_out = true;
                    publisher.next_backoff =
                        Duration(publisher.next_backoff.0 * 2).min(max_backoff);
                }
            }
        }
    }

    pub(super) fn publisher(&mut self, address: &str) -> Option<&mut PublisherState> {
        let mut publishers = self.publishers.iter_mut();
        publishers.find(|publisher| publisher.address == address)
    }
}
