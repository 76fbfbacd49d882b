//! A simulated fleet of instances and targets, where targets crash on one prompt part or one request.

mod requests;

use std::collections::BTreeMap;

use cactuslane_flight::request_info::{Fingerprint, PartId, PromptPart, RequestInfo};
use cactuslane_place::crashes::{
    CrashTracker, CrashUpdate, HoldChange, StoreChange, StoredSuspect, Suspect,
};
use cactuslane_types::Millis;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Part, or fingerprint of the request, on which targets crash.
pub const DEADLY: PartId = 0xdead;
/// First part of the requests with that part, which sound requests share.
pub const SHARED: PartId = 0xa1;
/// Time after trouble at an instance for which it need not keep the bound, and after which the
/// bound holds, in milliseconds.
pub const CONTACT: Millis = 3_000;
/// Fingerprint of the sound requests that are equal to each other.
pub const POPULAR: Fingerprint = 0x50;
/// Interval between the ticks of the simulation, in milliseconds.
const STEP: Millis = 10;
/// Interval at which instances send updates if there are news.
const NEWS_INTERVAL: Millis = 100;
/// Interval at which they send updates in any case.
const HEARTBEAT: Millis = 400;
/// Interval at which the store's copy of held parts is compared and read.
const STORE_INTERVAL: Millis = 500;
/// Share of messages that are lost.
const LOST: f64 = 0.03;

/// What crashes targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// A prompt part of requests that are no two alike.
    Part,
    /// Equal requests whose prompt parts are sound.
    Request,
    /// Equal requests without prompt, at plain targets.
    PlainRequest,
}

/// The instances, the engines, and what happened.
pub struct Fleet {
    /// What crashes targets.
    cause: Cause,
    /// Number of requests so far, from which their fingerprints are made.
    requests: Fingerprint,
    /// Requests that callers repeat: the time, the fingerprint and the parts.
    repeats: Vec<(Millis, Fingerprint, Vec<PartId>)>,
    /// Instances by number.
    pub instances: Vec<Instance>,
    /// Times until which the engines are down, and the numbers of their processes.
    engines: Vec<(Millis, u64)>,
    /// Requests at engines that have not begun, or not for long.
    sent: Vec<Sent>,
    /// Messages under way: the time of arrival, the receiver, and the update.
    messages: Vec<(Millis, usize, CrashUpdate)>,
    /// Held parts in the store, each with the time at which it was written.
    store: BTreeMap<Suspect, (StoredSuspect, Millis)>,
    /// Requests with the deadly part a second, over all instances.
    pub deadly_rate: f64,
    /// Sound requests a second, over all instances.
    sound_rate: f64,
    /// Crashes of engines by requests.
    pub crashes: Vec<Millis>,
    /// Arrivals of requests with the deadly part at engines, from instances in touch.
    pub arrivals: Vec<Millis>,
    /// Sound requests with the shared part: the time, and whether the first attempt was sent.
    pub sound: Vec<(Millis, bool)>,
    /// Number of sound requests that were not sent, although none of their attempts was lost before.
    pub withheld: usize,
    /// Suspects that were held other than the deadly one.
    pub wrongly_held: Vec<Suspect>,
    /// The time.
    pub now: Millis,
    /// Random generator.
    random: Pcg64Mcg,
}

/// One instance.
#[derive(Default)]
pub struct Instance {
    /// What it knows of crashes.
    tracker: CrashTracker,
    /// Time until which it is down, cut off from the others and the store, or frozen.
    down: Millis,
    /// Time until which no message reaches it or leaves it.
    pub cut: Millis,
    /// Time until which it does nothing.
    frozen: Millis,
    /// End of its last trouble.
    trouble: Millis,
    /// Time of its last update.
    updated: Millis,
    /// Number of its process.
    process: u64,
}

/// A request at an engine.
struct Sent {
    /// Instance that sent it, with its process.
    by: (usize, u64),
    /// Engine, with its process.
    at: (usize, u64),
    /// The request.
    info: RequestInfo,
    /// Time at which it left the instance.
    left: Millis,
    /// Whether it is a caller's own repeat.
    repeated: bool,
    /// Time of its first event.
    begins: Millis,
    /// Number of attempts so far.
    attempts: u32,
    /// Whether its beginning was handled.
    begun: bool,
}

impl Fleet {
    /// Creates a fleet with a rate of deadly requests and of others.
    pub fn new(
        cause: Cause,
        instances: usize,
        engines: usize,
        deadly: f64,
        sound: f64,
        seed: u64,
    ) -> Self {
        let mut fleet = Self {
            cause,
            requests: 0x1_0000,
            repeats: Vec::new(),
            instances: Vec::new(),
            engines: vec![(0, 1); engines],
            sent: Vec::new(),
            messages: Vec::new(),
            store: BTreeMap::new(),
            deadly_rate: 0.0,
            sound_rate: sound,
            crashes: Vec::new(),
            arrivals: Vec::new(),
            sound: Vec::new(),
            withheld: 0,
            wrongly_held: Vec::new(),
            now: 100_000,
            random: Pcg64Mcg::seed_from_u64(seed),
        };
        for _ in 0..instances {
            fleet.instances.push(Instance::default());
        }
        fleet.run(5_000);
        fleet.deadly_rate = deadly;
        fleet
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Millis) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.arrive();
            self.begin();
            self.deliver();
            for number in 0..self.instances.len() {
                self.tick(number);
            }
        }
    }

    /// Ends the process of an instance; the next one starts with empty memory.
    pub fn restart(&mut self, number: usize) {
        let process = self.instances[number].process + 1;
        let down = self.now + 500;
        self.instances[number] = Instance {
            down,
            trouble: down,
            process,
            ..Instance::default()
        };
        self.read_store(number, down);
    }

    /// Cuts an instance off from the others and the store for a time.
    pub fn cut(&mut self, number: usize, time: Millis) {
        let instance = &mut self.instances[number];
        instance.cut = self.now + time;
        instance.trouble = instance.cut;
    }

    /// Freezes an instance for a time.
    pub fn freeze(&mut self, number: usize, time: Millis) {
        let instance = &mut self.instances[number];
        instance.frozen = self.now + time;
        instance.trouble = instance.frozen;
    }

    /// Ends an engine for another reason than a request.
    pub fn kill_engine(&mut self, number: usize) {
        self.end_engine(number % self.engines.len());
    }

    /// Returns the crash after which no more deadly requests may be sent.
    pub fn last_allowed(&self) -> Option<Millis> {
        let count = match self.cause {
            Cause::Part => 5,
            Cause::Request | Cause::PlainRequest => 3,
        };
        self.crashes.get(count - 1).copied()
    }

    /// Returns the number of deadly requests that instances in touch sent too late.
    pub fn late_arrivals(&self) -> usize {
        let Some(last) = self.last_allowed() else {
            return 0;
        };
        let late = self.arrivals.iter().filter(|at| **at > last + CONTACT);
        late.count()
    }

    /// Returns the share of the sound requests with the shared part between two times whose first
    /// attempt was sent.
    pub fn sound_share(&self, from: Millis, to: Millis) -> f64 {
        let between = |at: &Millis| (from..to).contains(at);
        let asked = self.sound.iter().filter(|(at, _)| between(at));
        let sent = self.sound.iter().filter(|(at, sent)| between(at) && *sent);
        sent.count() as f64 / asked.count().max(1) as f64
    }

    /// Delivers messages.
    fn deliver(&mut self) {
        let mut left = Vec::new();
        for (at, to, update) in std::mem::take(&mut self.messages) {
            let instance = &mut self.instances[to];
            if at > self.now || instance.frozen > self.now {
                left.push((at, to, update));
            } else if instance.down <= self.now {
                instance.tracker.apply(&update, self.now);
            }
        }
        self.messages = left;
    }

    /// Lets an instance decide, send its update, and compare the store.
    fn tick(&mut self, number: usize) {
        let now = self.now;
        let instance = &mut self.instances[number];
        if instance.down > now || instance.frozen > now {
            return;
        }
        if now.is_multiple_of(NEWS_INTERVAL) {
            for change in instance.tracker.sweep(now) {
                let deadly = match self.cause {
                    Cause::Part => Suspect::Part(DEADLY),
                    Cause::Request | Cause::PlainRequest => Suspect::Request(DEADLY),
                };
                if let HoldChange::Held(suspect, ..) = change
                    && suspect != deadly
                {
                    self.wrongly_held.push(suspect);
                }
            }
        }
        let since = now - instance.updated;
        let due = instance.tracker.has_news() && since >= NEWS_INTERVAL || since >= HEARTBEAT;
        if due && instance.cut <= now {
            instance.updated = now;
            let update = instance.tracker.update(now);
            for to in 0..self.instances.len() {
                let lost = self.instances[to].cut > now || self.random.random_bool(LOST);
                if to != number && !lost {
                    self.messages.push((now + STEP, to, update.clone()));
                }
            }
        }
        if now.is_multiple_of(STORE_INTERVAL) && self.instances[number].cut <= now {
            self.synchronize(number);
        }
    }

    /// Writes an instance's changes of the held parts to the store, and reads those of others.
    fn synchronize(&mut self, number: usize) {
        let (now, count) = (self.now, self.instances.len());
        let tracker = &mut self.instances[number].tracker;
        let owns = |suspect: Suspect| owner(suspect, count) == number;
        for change in tracker.store_changes(owns, now) {
            match change {
                StoreChange::Write(stored) => {
                    self.store.insert(stored.suspect, (stored, now));
                }
                StoreChange::Delete(suspect) => {
                    self.store.remove(&suspect);
                }
            }
        }
        self.read_store(number, now);
    }

    /// Lets an instance read the store at `now`.
    fn read_store(&mut self, number: usize, now: Millis) {
        let tracker = &mut self.instances[number].tracker;
        let present: Vec<Suspect> = self.store.keys().copied().collect();
        tracker.retain_stored(&present);
        for (stored, written) in self.store.values() {
            let age = stored.age + std::time::Duration::from_millis(now - written);
            tracker.record_stored(StoredSuspect { age, ..*stored }, now);
        }
    }
}

/// Returns the instance, of a number of them, that grants trials of a suspect.
fn owner(suspect: Suspect, count: usize) -> usize {
    let (Suspect::Part(id) | Suspect::Request(id)) = suspect;
    id as usize % count
}

/// Returns a request with this fingerprint and these shared parts.
pub fn info(fingerprint: Fingerprint, shared: &[PartId]) -> RequestInfo {
    let mut parts = Vec::new();
    for id in shared.iter().chain([&0]) {
        parts.push(PromptPart {
            id: *id,
            tokens: 100,
        });
    }
    RequestInfo {
        fingerprint,
        parts,
        ..RequestInfo::default()
    }
}
