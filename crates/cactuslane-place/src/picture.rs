//! The load of targets, by what this instance sent them and what the others tell.

use std::collections::BTreeMap;

use cactuslane_flight::request_info::PromptPart;
use cactuslane_types::{InstanceId, Millis, TargetId};
use serde::{Deserialize, Serialize};

use crate::observations::Observation;

/// Age at which what another instance told no longer counts, in milliseconds.
const TOLD_LIFETIME: Millis = 1500;

/// The work that one instance has at one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The prompt tokens that are still to be computed.
    pub prompt: u32,
    /// The requests that run or wait.
    pub running: u32,
    /// The memory of the requests, in tokens.
    pub memory: u32,
}

/// Work that was placed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placed {
    /// The prompt tokens to compute.
    pub prompt: u64,
    /// The streams.
    pub streams: u64,
}

/// Parts of a prompt that a target has computed or fetched.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Use {
    /// The target.
    pub target: TargetId,
    /// The ids and tokens of the parts, in order.
    pub parts: Vec<(u64, u32)>,
    /// The time until the parts are there, in milliseconds.
    pub ready_in: u32,
    /// Whether these are all parts that the target keeps.
    pub all: bool,
}

/// What an instance tells the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// The instance.
    pub instance: InstanceId,
    /// The start of its process, in Unix milliseconds.
    pub started: u64,
    /// The number of the message; it grows.
    pub sequence: u64,
    /// Its load at each target where it has any.
    pub loads: Vec<(TargetId, Load)>,
    /// The uses since the message before.
    pub uses: Vec<Use>,
    /// The work that it has placed since its start.
    pub placed: Placed,
    /// The engines whose role it is changing.
    pub changing: Vec<TargetId>,
    /// What it saw of targets since the message before.
    pub observations: Vec<Observation>,
}

/// What one other instance told last.
#[derive(Clone, Debug)]
struct Peer {
    /// The start of its process and the number of the message.
    version: (u64, u64),
    /// The time at which it was heard.
    heard: Millis,
    /// Its load at each target.
    loads: BTreeMap<TargetId, Load>,
    /// The work that it has placed since its start.
    placed: Placed,
    /// The engines whose role it is changing.
    changing: Vec<TargetId>,
}

/// The load of all targets.
#[derive(Clone, Debug, Default)]
pub struct Picture {
    /// The load of this instance.
    own: BTreeMap<TargetId, Load>,
    /// What the other instances told.
    peers: BTreeMap<InstanceId, Peer>,
    /// The engines whose role this instance is changing.
    changing: Vec<TargetId>,
    /// The work that this instance has placed.
    placed: Placed,
    /// The work that the other instances have placed, as far as they were heard.
    heard_placed: Placed,
}

impl Load {
    /// Adds another load.
    pub fn add(&mut self, other: Self) {
        self.prompt += other.prompt;
        self.running += other.running;
        self.memory += other.memory;
    }

    /// Takes away a load that was added before.
    pub fn remove(&mut self, other: Self) {
        self.prompt = self.prompt.saturating_sub(other.prompt);
        self.running = self.running.saturating_sub(other.running);
        self.memory = self.memory.saturating_sub(other.memory);
    }
}

impl Picture {
    /// Records work that was given to a target.
    pub fn add(&mut self, target: &str, load: Load) {
        self.own.entry(target.to_owned()).or_default().add(load);
    }

    /// Records that work at a target is done.
    pub fn remove(&mut self, target: &str, load: Load) {
        let Some(own) = self.own.get_mut(target) else {
            return;
        };
        own.remove(load);
        if *own == Load::default() {
            self.own.remove(target);
        }
    }

    /// Returns the load of this instance at a target.
    #[must_use]
    pub fn own(&self, target: &str) -> Load {
        self.own.get(target).copied().unwrap_or_default()
    }

    /// Returns the load of this instance at all targets where it has any.
    #[must_use]
    pub fn loads(&self) -> Vec<(TargetId, Load)> {
        let entry = |(target, load): (&TargetId, &Load)| (target.clone(), *load);
        self.own.iter().map(entry).collect()
    }

    /// Takes what another instance told; false if a newer message came before.
    pub fn hear(&mut self, told: &Told, now: Millis) -> bool {
        let version = (told.started, told.sequence);
        let known = self.peers.get(&told.instance);
        if known.is_some_and(|peer| peer.version >= version) {
            return false;
        }
        let peer = Peer {
            version,
            heard: now,
            loads: told.loads.iter().cloned().collect(),
            placed: told.placed,
            changing: told.changing.clone(),
        };
        let before = known.filter(|peer| peer.version.0 == told.started);
        let before = before.map_or(told.placed, |peer| peer.placed);
        self.heard_placed.prompt += told.placed.prompt.saturating_sub(before.prompt);
        self.heard_placed.streams += told.placed.streams.saturating_sub(before.streams);
        self.peers.insert(told.instance.clone(), peer);
        true
    }

    /// Records a generation that was placed, with the prompt tokens to compute.
    pub fn placed(&mut self, prompt: u32) {
        self.placed.prompt += u64::from(prompt);
        self.placed.streams += 1;
    }

    /// Returns the work that this instance has placed.
    #[must_use]
    pub fn own_placed(&self) -> Placed {
        self.placed
    }

    /// Returns the work that all instances have placed, as far as they were heard.
    #[must_use]
    pub fn all_placed(&self) -> Placed {
        Placed {
            prompt: self.placed.prompt + self.heard_placed.prompt,
            streams: self.placed.streams + self.heard_placed.streams,
        }
    }

    /// Sets the engines whose role this instance is changing.
    pub fn set_changing(&mut self, targets: Vec<TargetId>) {
        self.changing = targets;
    }

    /// Returns the engines whose role this instance is changing.
    #[must_use]
    pub fn own_changing(&self) -> &[TargetId] {
        &self.changing
    }

    /// Returns whether some instance is changing the role of an engine.
    #[must_use]
    pub fn is_changing(&self, target: &str, now: Millis) -> bool {
        let named = |targets: &[TargetId]| targets.iter().any(|id| id == target);
        let fresh = |peer: &&Peer| now.saturating_sub(peer.heard) <= TOLD_LIFETIME;
        named(&self.changing)
            || self
                .peers
                .values()
                .filter(fresh)
                .any(|peer| named(&peer.changing))
    }

    /// Forgets an instance that is gone.
    pub fn forget(&mut self, instance: &str) {
        self.peers.remove(instance);
    }

    /// Returns the load of all instances at a target.
    #[must_use]
    pub fn load(&self, target: &str, now: Millis) -> Load {
        let mut load = self.own(target);
        for peer in self.peers.values() {
            if now.saturating_sub(peer.heard) > TOLD_LIFETIME {
                continue;
            }
            load.add(peer.loads.get(target).copied().unwrap_or_default());
        }
        load
    }
}

/// Returns the parts of a use as they are told.
#[must_use]
pub fn told_parts(parts: &[PromptPart]) -> Vec<(u64, u32)> {
    parts.iter().map(|part| (part.id, part.tokens)).collect()
}

/// Returns the parts of a use that was told.
#[must_use]
pub fn heard_parts(parts: &[(u64, u32)]) -> Vec<PromptPart> {
    let part = |(id, tokens): &(u64, u32)| PromptPart {
        id: *id,
        tokens: *tokens,
    };
    parts.iter().map(part).collect()
}
