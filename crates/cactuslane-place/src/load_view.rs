//! Load of targets, by the requests of this instance and the updates of the others.

use std::collections::{BTreeMap, BTreeSet};

use cactuslane_flight::request_info::PromptPart;
use cactuslane_types::{InstanceId, Millis, TargetId};
use serde::{Deserialize, Serialize};

use crate::crashes::CrashUpdate;
use crate::observations::Observation;

/// Time for which another instance's last update counts after its arrival, in milliseconds.
const PEER_LIFETIME: Millis = 1500;
/// Half-life of the observations behind the rate at which another instance places work, in
/// milliseconds.
const RATE_HALF_LIFE: f64 = 1_000.0;

/// Requests in progress at a target, of one instance or of several together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Prompt tokens that are still to be computed.
    pub prompt_tokens: u32,
    /// Number of requests that run or wait.
    pub running: u32,
    /// KV cache space reserved for the requests, in tokens: the prompt and, where the target
    /// generates, the largest allowed output.
    pub kv_tokens: u32,
}

/// Cumulative counts of generations that were placed on targets; one that is placed again counts
/// again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedWork {
    /// Prompt tokens to compute, as estimated by the instances that placed the generations.
    pub prompt_tokens: u64,
    /// Number of generations, each of which is one stream.
    pub streams: u64,
}

/// Prompt parts that an engine computes or fetches, or the complete list of those that it caches,
/// as instances report them to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheUpdate {
    /// Engine whose cache changed.
    pub target: TargetId,
    /// Ids of the prompt parts and their lengths in tokens, in the order of the prompt unless the
    /// list is complete.
    pub parts: Vec<(u64, u32)>,
    /// Time until the parts are available on the engine, in milliseconds; receivers count it from
    /// the arrival of the message.
    pub ready_in: u32,
    /// Whether this is the complete list of parts that the engine caches.
    pub complete: bool,
}

/// Message in which an instance reports load, cache contents and observations to the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerUpdate {
    /// Instance that sends the message.
    pub instance: InstanceId,
    /// Start of the sender's process, in Unix milliseconds.
    pub started: u64,
    /// Number of the message, which increases while the sender's process runs.
    pub sequence: u64,
    /// Load of the sender at each target where it has any.
    pub loads: Vec<(TargetId, Load)>,
    /// Changes of prefix caches that the sender has not reported before, oldest first.
    pub cache_updates: Vec<CacheUpdate>,
    /// Work that the sender has placed since its start.
    pub placed: PlacedWork,
    /// Engines whose role the sender is changing.
    pub changing: Vec<TargetId>,
    /// Observations of targets that the sender has not reported before, oldest first.
    pub observations: Vec<Observation>,
    /// Crashes of targets, and the prompt parts that are held because of them.
    pub crashes: CrashUpdate,
}

/// Contents of the last update of another instance.
#[derive(Clone, Debug)]
struct Peer {
    /// Start of the instance's process in Unix milliseconds, and number of the message.
    version: (u64, u64),
    /// Arrival time of the message on this instance's clock.
    received: Millis,
    /// Load of the instance at each target where it has any.
    loads: BTreeMap<TargetId, Load>,
    /// Work that the instance has placed since its start.
    placed: PlacedWork,
    /// Rate at which the instance places work.
    rate: PlacedRate,
    /// Engines whose role the instance is changing.
    changing: Vec<TargetId>,
}

/// Work that is placed per millisecond, as a moving average.
#[derive(Clone, Copy, Debug, Default)]
struct PlacedRate {
    /// Prompt tokens to compute.
    prompt_tokens: f64,
    /// Generations.
    streams: f64,
}

/// Estimate of the work that other instances have placed since their last updates.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UnseenWork {
    /// Prompt tokens to compute.
    pub prompt_tokens: f64,
    /// Number of generations.
    pub streams: f64,
}

/// Sums over the last updates of other instances.
#[derive(Clone, Debug, Default)]
struct PeerSums {
    /// Load at each target where there is any.
    loads: BTreeMap<TargetId, Load>,
    /// Number of instances that are changing the role of each engine.
    changing: BTreeMap<TargetId, u32>,
}

/// Load of all targets, as far as this instance knows it.
#[derive(Clone, Debug, Default)]
pub struct LoadView {
    /// Load of this instance at each target where it has any.
    own: BTreeMap<TargetId, Load>,
    /// Last updates of the other instances.
    peers: BTreeMap<InstanceId, Peer>,
    /// Sums over those of them that are in `counted`, so that the load of a target costs the same for
    /// any number of instances.
    sums: PeerSums,
    /// Instances whose last updates are in the sums, by arrival time.
    counted: BTreeSet<(Millis, InstanceId)>,
    /// Engines whose role this instance is changing.
    changing: Vec<TargetId>,
    /// Work that this instance has placed since its start.
    placed: PlacedWork,
    /// Sum of the increases between successive updates of the other instances' placed work.
    peers_placed: PlacedWork,
}

impl Load {
    /// Adds another load to this one.
    pub fn add(&mut self, other: Self) {
        self.prompt_tokens = self.prompt_tokens.saturating_add(other.prompt_tokens);
        self.running = self.running.saturating_add(other.running);
        self.kv_tokens = self.kv_tokens.saturating_add(other.kv_tokens);
    }

    /// Subtracts a load that was added before; no count falls below 0.
    pub fn remove(&mut self, other: Self) {
        self.prompt_tokens = self.prompt_tokens.saturating_sub(other.prompt_tokens);
        self.running = self.running.saturating_sub(other.running);
        self.kv_tokens = self.kv_tokens.saturating_sub(other.kv_tokens);
    }
}

impl LoadView {
    /// Adds work of this instance that begins at a target.
    pub fn add(&mut self, target: &str, load: Load) {
        self.own.entry(target.to_owned()).or_default().add(load);
    }

    /// Removes work of this instance that has ended at a target.
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

    /// Replaces what is known of another instance by its update.
    ///
    /// Returns false if the update is a duplicate or older than the last one. The first update
    /// that arrives from a process only sets the base from which its placed work is counted.
    pub fn apply_update(&mut self, update: &PeerUpdate, now: Millis) -> bool {
        let version = (update.started, update.sequence);
        let known = self.peers.get(&update.instance);
        if known.is_some_and(|peer| peer.version >= version) {
            return false;
        }
        let known = known.filter(|peer| peer.version.0 == update.started);
        let before = known.map_or(update.placed, |peer| peer.placed);
        let added = PlacedWork {
            prompt_tokens: update
                .placed
                .prompt_tokens
                .saturating_sub(before.prompt_tokens),
            streams: update.placed.streams.saturating_sub(before.streams),
        };
        let rate = known.map_or(PlacedRate::default(), |peer| {
            peer.rate.observe(added, now.saturating_sub(peer.received))
        });
        let peer = Peer {
            version,
            received: now,
            loads: update.loads.iter().cloned().collect(),
            placed: update.placed,
            rate,
            changing: update.changing.clone(),
        };
        self.peers_placed.prompt_tokens += added.prompt_tokens;
        self.peers_placed.streams += added.streams;
        self.discount(&update.instance);
        self.sums.add(&peer);
        self.counted.insert((now, update.instance.clone()));
        self.peers.insert(update.instance.clone(), peer);
        self.expire(now);
        true
    }

    /// Takes updates that have become too old out of the sums.
    pub fn expire(&mut self, now: Millis) {
        while let Some((received, instance)) = self.counted.first() {
            if now.saturating_sub(*received) <= PEER_LIFETIME {
                return;
            }
            let instance = instance.clone();
            self.discount(&instance);
        }
    }

    /// Takes the last update of an instance out of the sums, if it is in them.
    fn discount(&mut self, instance: &str) {
        let Some(peer) = self.peers.get(instance) else {
            return;
        };
        if self.counted.remove(&(peer.received, instance.to_owned())) {
            self.sums.remove(peer);
        }
    }

    /// Returns whether the sums hold no update that is too old.
    fn is_current(&self, now: Millis) -> bool {
        let oldest = self.counted.first();
        oldest.is_none_or(|(received, _)| now.saturating_sub(*received) <= PEER_LIFETIME)
    }

    /// Counts a generation that this instance placed, with the estimated number of prompt tokens to
    /// compute.
    pub fn record_placed(&mut self, prompt: u32) {
        self.placed.prompt_tokens += u64::from(prompt);
        self.placed.streams += 1;
    }

    /// Returns the work that this instance has placed since its start.
    #[must_use]
    pub fn own_placed(&self) -> PlacedWork {
        self.placed
    }

    /// Returns the work that all instances have placed, as far as their updates have arrived.
    ///
    /// Use only differences between two calls: the work that other instances placed before their
    /// first updates arrived is missing.
    #[must_use]
    pub fn all_placed(&self) -> PlacedWork {
        PlacedWork {
            prompt_tokens: self.placed.prompt_tokens + self.peers_placed.prompt_tokens,
            streams: self.placed.streams + self.peers_placed.streams,
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

    /// Returns whether this instance is changing the role of an engine, or a recent update of
    /// another instance reports such a change.
    #[must_use]
    pub fn is_changing(&self, target: &str, now: Millis) -> bool {
        let named = |targets: &[TargetId]| targets.iter().any(|id| id == target);
        if self.is_current(now) {
            return named(&self.changing) || self.sums.changing.contains_key(target);
        }
        let fresh = |peer: &&Peer| now.saturating_sub(peer.received) <= PEER_LIFETIME;
        named(&self.changing)
            || self
                .peers
                .values()
                .filter(fresh)
                .any(|peer| named(&peer.changing))
    }

    /// Discards the last update of an instance that has left or failed.
    pub fn forget(&mut self, instance: &str) {
        self.discount(instance);
        self.peers.remove(instance);
    }

    /// Estimates the work that other instances have placed since their last updates, by their rates
    /// before.
    #[must_use]
    pub fn unseen(&self, now: Millis) -> UnseenWork {
        let mut unseen = UnseenWork::default();
        for peer in self.peers.values() {
            let age = now.saturating_sub(peer.received);
            if age <= PEER_LIFETIME {
                unseen.prompt_tokens += peer.rate.prompt_tokens * age as f64;
                unseen.streams += peer.rate.streams * age as f64;
            }
        }
        unseen
    }

    /// Returns the number of other instances whose last updates count, and the age of the oldest
    /// of these updates in milliseconds; 0 if there are none.
    #[must_use]
    pub fn update_age(&self, now: Millis) -> (usize, Millis) {
        let (mut count, mut oldest) = (0, 0);
        for peer in self.peers.values() {
            let age = now.saturating_sub(peer.received);
            if age <= PEER_LIFETIME {
                count += 1;
                oldest = oldest.max(age);
            }
        }
        (count, oldest)
    }

    /// Returns the load of this instance at a target and that of all others whose last update is
    /// recent.
    #[must_use]
    pub fn load(&self, target: &str, now: Millis) -> Load {
        let mut load = self.own(target);
        if self.is_current(now) {
            load.add(self.sums.loads.get(target).copied().unwrap_or_default());
            return load;
        }
        for peer in self.peers.values() {
            if now.saturating_sub(peer.received) > PEER_LIFETIME {
                continue;
            }
            load.add(peer.loads.get(target).copied().unwrap_or_default());
        }
        load
    }
}

impl PeerSums {
    /// Adds an update.
    fn add(&mut self, peer: &Peer) {
        for (target, load) in &peer.loads {
            self.loads.entry(target.clone()).or_default().add(*load);
        }
        for target in &peer.changing {
            *self.changing.entry(target.clone()).or_default() += 1;
        }
    }

    /// Removes an update that was added before.
    fn remove(&mut self, peer: &Peer) {
        for (target, load) in &peer.loads {
            let Some(sum) = self.loads.get_mut(target) else {
                continue;
            };
            sum.remove(*load);
            if *sum == Load::default() {
                self.loads.remove(target);
            }
        }
        for target in &peer.changing {
            let Some(count) = self.changing.get_mut(target) else {
                continue;
            };
            *count -= 1;
            if *count == 0 {
                self.changing.remove(target);
            }
        }
    }
}

impl PlacedRate {
    /// Returns the rate after work that was placed within `elapsed` milliseconds.
    fn observe(self, added: PlacedWork, elapsed: Millis) -> Self {
        let elapsed = elapsed.max(1) as f64;
        let part = 1.0 - 0.5_f64.powf(elapsed / RATE_HALF_LIFE);
        let update = |old: f64, added: u64| old + (added as f64 / elapsed - old) * part;
        Self {
            prompt_tokens: update(self.prompt_tokens, added.prompt_tokens),
            streams: update(self.streams, added.streams),
        }
    }
}

/// Converts prompt parts to the form that a [`CacheUpdate`] holds.
#[must_use]
pub fn encode_parts(parts: &[PromptPart]) -> Vec<(u64, u32)> {
    parts.iter().map(|part| (part.id, part.tokens)).collect()
}

/// Converts the parts of a [`CacheUpdate`] back to prompt parts.
#[must_use]
pub fn decode_parts(parts: &[(u64, u32)]) -> Vec<PromptPart> {
    let part = |(id, tokens): &(u64, u32)| PromptPart {
        id: *id,
        tokens: *tokens,
    };
    parts.iter().map(part).collect()
}
