//! The role that decides rosters, and the roster's anchor in the platform.
//!
//! The next roster is a value chosen in a register of the current one, so the
//! system changes rosters without the platform. The platform keeps a copy that
//! a new node starts from; it also decides, by create-if-absent, the very
//! first roster.

use peatgrade_consensus::roster::{replication_for, Member as Replica};
use peatgrade_consensus::{Decision, RegisterError, Roster};
use peatgrade_membership::State;
use peatgrade_schema::peer::Roster as RosterMessage;
use peatgrade_schema::{decode, encode};
use peatgrade_types::http::HttpRequest;
use peatgrade_types::{hash_bytes, rendezvous_order, Duration, Identity, Time};
use std::collections::BTreeSet;

use crate::context::{Context, HttpPurpose};
use crate::exchange::{Ended, Whole};
use crate::registers::RegisterPurpose;

/// Replicas taken from one zone at most; bounds how often restarts change the
/// roster.
const REPLICAS_PER_ZONE: usize = 12;
/// Time a member must have been dead or gone before it is replaced.
const DEAD_FOR: Duration = Duration::from_secs(3);
/// Time between two changes of the roster.
const CHANGE_INTERVAL: Duration = Duration::from_secs(2);
/// Longest time for a change to be decided.
const DECIDE_LIMIT: Duration = Duration::from_secs(4);
/// Time a node waits for others before it proposes the first roster.
const SETTLE: Duration = Duration::from_millis(2_500);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
const ANCHOR_INTERVAL: Duration = Duration::from_secs(1);

/// State of the role, and of the search for the first roster.
#[derive(Debug, Default)]
pub(crate) struct Keeper {
    deciding: bool,
    next_change: Time,
    anchor_pending: bool,
    next_anchor: Time,
    anchor_missing: bool,
    /// Number that the anchor is known to have.
    anchored: u64,
}

fn register_key(number: u64) -> String {
    format!("roster/{number}")
}

fn anchor_path(ctx: &Context) -> String {
    format!("/anchors/roster-{}", ctx.settings.region)
}

impl Keeper {
    pub fn tick(&mut self, ctx: &mut Context, epoch: Option<u64>) {
        if ctx.registers.roster().number == 0 {
            self.find_first_roster(ctx);
            return;
        }
        if epoch.is_none() {
            return;
        }
        if !self.deciding && ctx.now >= self.next_change {
            self.propose_change(ctx);
        }
        let number = ctx.registers.roster().number;
        if self.anchored < number && !self.anchor_pending && ctx.now >= self.next_anchor {
            let roster = RosterMessage::from(ctx.registers.roster());
            self.write_anchor(ctx, &roster, "");
        }
    }

    /// Reads the anchor; if there is none, the first candidate proposes itself
    /// and everyone it knows to be alive.
    fn find_first_roster(&mut self, ctx: &mut Context) {
        if self.anchor_pending || ctx.now < self.next_anchor {
            return;
        }
        let settled = ctx.now.since(ctx.started) >= SETTLE;
        let first = ctx.rendezvous_member("first-roster") == Some(ctx.identity.node);
        if self.anchor_missing && settled && first {
            let empty = Roster {
                region: ctx.settings.region.clone(),
                ..Roster::default()
            };
            let members = self.wanted_members(ctx, &empty);
            let roster = RosterMessage::from(&empty.successor(members));
            self.write_anchor(ctx, &roster, "*");
            return;
        }
        self.anchor_pending = true;
        self.next_anchor = ctx.now + ANCHOR_INTERVAL;
        let request = HttpRequest::new("GET", anchor_path(ctx), "");
        ctx.platform(request, REQUEST_TIMEOUT, HttpPurpose::ReadAnchor);
    }

    fn write_anchor(&mut self, ctx: &mut Context, roster: &RosterMessage, if_none: &str) {
        self.anchor_pending = true;
        self.next_anchor = ctx.now + ANCHOR_INTERVAL;
        let mut request = HttpRequest::new("PUT", anchor_path(ctx), encode(roster))
            .with_header("x-number", roster.number.to_string());
        if !if_none.is_empty() {
            request = request.with_header("if-none-match", if_none);
        }
        ctx.platform(request, REQUEST_TIMEOUT, HttpPurpose::WriteAnchor);
    }

    /// Takes in the end of a request about the anchor.
    pub fn on_ended(&mut self, ctx: &mut Context, purpose: &HttpPurpose, ended: Ended) {
        self.anchor_pending = false;
        let Ok(Whole { status, body }) = ended else {
            return;
        };
        if *purpose == HttpPurpose::ReadAnchor {
            self.anchor_missing = status == 404;
        }
        // A write is answered with what the anchor holds now, which after a
        // lost race is the other's roster.
        let held = decode::<RosterMessage>(&body)
            .ok()
            .filter(|_| status == 200);
        if let Some(roster) = held.filter(|roster| roster.number > 0) {
            self.anchored = roster.number;
            ctx.registers.install(Roster::from(&roster));
        }
    }

    fn propose_change(&mut self, ctx: &mut Context) {
        self.next_change = ctx.now + CHANGE_INTERVAL;
        let current = ctx.registers.roster().clone();
        if !self.copies_complete(ctx, &current) {
            return;
        }
        let wanted = self.wanted_members(ctx, &current);
        let before: BTreeSet<Identity> = current.members.iter().map(|m| m.identity).collect();
        let after: BTreeSet<Identity> = wanted.iter().map(|m| m.identity).collect();
        if before == after || wanted.is_empty() {
            return;
        }
        self.deciding = true;
        let next = RosterMessage::from(&current.successor(wanted));
        let value = encode(&next);
        let change = Box::new(move |chosen: &[u8]| {
            if chosen.is_empty() {
                Decision::write(value.clone())
            } else {
                Decision::Keep
            }
        });
        let key = register_key(next.number);
        let deadline = ctx.now + DECIDE_LIMIT;
        ctx.start_register(&key, deadline, RegisterPurpose::NextRoster, change);
    }

    /// Whether every live replica has all its shards under this roster, so
    /// that the next one can copy from them.
    fn copies_complete(&self, ctx: &Context, roster: &Roster) -> bool {
        roster.members.iter().all(|member| {
            let dead = ctx.swim.is_dead(member.identity);
            let synced = ctx.registers.synced.get(&member.identity) == Some(&roster.number);
            let me = member.identity == ctx.identity;
            dead || synced || (me && ctx.registers.acceptor().complete())
        })
    }

    /// Members of the next roster: those of the current one that live, filled
    /// up in rendezvous order to the limit of each zone.
    fn wanted_members(&self, ctx: &Context, current: &Roster) -> Vec<Replica> {
        let now = ctx.now;
        let stays = |identity: Identity| {
            let Some(member) = ctx.swim.member(identity.node) else {
                return true;
            };
            let gone = matches!(member.state, State::Dead | State::Leaving);
            let replaced = member.identity.generation > identity.generation;
            !(replaced || (gone && now.since(member.since) >= DEAD_FOR))
        };
        let kept = current
            .members
            .iter()
            .filter(|member| stays(member.identity));
        let mut wanted: Vec<Replica> = kept.cloned().collect();
        let alive = ctx
            .swim
            .reachable()
            .filter(|member| member.state == State::Alive && member.identity.generation > 0);
        let ordered = rendezvous_order(hash_bytes(b"roster"), alive, |member| {
            u64::from(member.identity.node.0)
        });
        for member in ordered {
            let in_zone = wanted
                .iter()
                .filter(|other| other.zone == member.zone)
                .count();
            let listed = wanted
                .iter()
                .any(|other| other.identity.node == member.identity.node);
            if !listed && in_zone < REPLICAS_PER_ZONE {
                wanted.push(Replica {
                    identity: member.identity,
                    zone: member.zone.clone(),
                    peer_address: member.peer_address.clone(),
                });
            }
        }
        // Dead members stay listed while leaving them out would change more
        // than a minority of some shard at once.
        if !current.members.is_empty() && !keeps_majorities(current, &wanted) {
            return current.members.clone();
        }
        wanted
    }

    /// Takes in the end of a decision.
    pub fn on_decided(&mut self, ctx: &mut Context, result: &Result<Vec<u8>, RegisterError>) {
        self.deciding = false;
        if let Ok(value) = result {
            if let Ok(roster) = decode::<RosterMessage>(value) {
                ctx.registers.install(Roster::from(&roster));
            }
        }
    }
}

/// Whether each shard keeps a majority of its replicas, from which the others
/// can copy.
fn keeps_majorities(current: &Roster, wanted: &[Replica]) -> bool {
    let listed: BTreeSet<Identity> = wanted.iter().map(|member| member.identity).collect();
    (0..peatgrade_consensus::roster::SHARDS).all(|shard| {
        let replicas = current.replicas(shard);
        let kept = replicas
            .iter()
            .filter(|member| listed.contains(&member.identity))
            .count();
        kept >= peatgrade_consensus::roster::majority(replicas.len())
    }) && replication_for(wanted.len()) > 0
}
