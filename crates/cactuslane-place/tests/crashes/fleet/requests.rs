//! Requests of the simulated fleet, from their arrival to their answers.

use cactuslane_flight::request_info::{PartId, RequestInfo};
use cactuslane_place::PermitAnswer;
use cactuslane_place::crashes::{Attempt, Screening, Suspect};
use cactuslane_types::Millis;
use rand::Rng;

use super::{CONTACT, Cause, DEADLY, Fleet, POPULAR, SHARED, STEP, Sent, info, owner};

/// First of the parts of other subjects, in this number.
const SUBJECTS: std::ops::Range<PartId> = 0x100..0x120;
/// Range of the times from sending a request to its answer at plain targets.
const ANSWER_TIME: std::ops::Range<Millis> = 5..120;
/// Range of the times from sending a request to its first event.
const BEGIN_TIME: std::ops::Range<Millis> = 40..600;
/// Time after the first event from which an instance takes it as begun.
const SETTLING_TIME: Millis = 200;
/// Time after which a caller repeats a request that failed.
const REPEAT_TIME: Millis = 10;
/// Time for which a target that crashed is down.
const DOWN_TIME: Millis = 3_000;

impl Fleet {
    /// Sends the requests of callers in this step to instances.
    pub(super) fn arrive(&mut self) {
        let mut requests = Vec::new();
        for (rate, deadly) in [(self.deadly_rate, true), (self.sound_rate, false)] {
            if self
                .random
                .random_bool((rate * STEP as f64 / 1000.0).min(1.0))
            {
                requests.push((self.request(deadly), false));
            }
        }
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.repeats)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.repeats = later;
        for (_, request, parts) in due {
            requests.push((info(request, &parts), true));
        }
        for (info, repeated) in requests {
            let to = self.random.random_range(0..self.instances.len());
            let instance = &self.instances[to];
            if instance.down > self.now || instance.frozen > self.now {
                continue;
            }
            let deadly = self.is_deadly(&info);
            let counted = match self.cause {
                Cause::PlainRequest => info.fingerprint == POPULAR,
                _ => info.parts.first().is_some_and(|part| part.id == SHARED),
            };
            // Without a target there is nothing that a hold could keep from being sent.
            let counted = counted && self.engines.iter().any(|engine| engine.0 <= self.now);
            let sent = self.send(to, &info, 1, repeated);
            if !deadly && counted && !repeated && self.instances[to].trouble + CONTACT < self.now {
                self.sound.push((self.now, sent));
            }
        }
    }

    /// Returns the next request of a caller.
    fn request(&mut self, deadly: bool) -> RequestInfo {
        self.requests += 1;
        let whole = deadly && self.cause != Cause::Part;
        let fingerprint = if whole {
            DEADLY
        } else if self.cause == Cause::PlainRequest && self.random.random_bool(0.1) {
            POPULAR
        } else {
            self.requests
        };
        if self.cause == Cause::PlainRequest {
            return info(fingerprint, &[]);
        }
        let first = if deadly || self.random.random_bool(0.1) {
            SHARED
        } else {
            self.random.random_range(SUBJECTS)
        };
        let mut parts = vec![first];
        if deadly && !whole {
            parts.push(DEADLY);
        } else if whole || self.random.random_bool(0.4) {
            // Few requests share this part.
            let rare = 0x10_000..0x10_400;
            parts.push(if whole {
                rare.start
            } else {
                self.random.random_range(rare)
            });
        }
        info(fingerprint, &parts)
    }

    /// Returns whether targets crash on a request.
    fn is_deadly(&self, info: &RequestInfo) -> bool {
        match self.cause {
            Cause::Part => info.shared_parts().iter().any(|part| part.id == DEADLY),
            Cause::Request | Cause::PlainRequest => info.fingerprint == DEADLY,
        }
    }

    /// Sends a request from an instance to a target, unless it is held; returns whether it was sent.
    fn send(&mut self, from: usize, info: &RequestInfo, attempts: u32, repeated: bool) -> bool {
        let now = self.now;
        let suspects = Suspect::all(info);
        let screening = self.instances[from].tracker.screen(&suspects, now);
        match screening {
            Screening::Clear => {}
            Screening::Held(..) => {
                let fresh = attempts == 1 && !repeated;
                self.withheld += usize::from(fresh && !self.is_deadly(info));
                return false;
            }
            Screening::Trial(suspect) | Screening::Suspected(suspect) => {
                let is_held = matches!(screening, Screening::Trial(_));
                match self.grant_trial(from, suspect) {
                    Some(PermitAnswer::Granted) => {}
                    None if !is_held => {}
                    _ => return false,
                }
            }
        }
        let up: Vec<usize> = (0..self.engines.len())
            .filter(|engine| self.engines[*engine].0 <= now)
            .collect();
        if up.is_empty() {
            return false;
        }
        let engine = up[self.random.random_range(0..up.len())];
        let in_touch = self.instances[from].trouble + CONTACT < now;
        if self.is_deadly(info) && in_touch {
            self.arrivals.push(now);
        }
        let times = match self.cause {
            Cause::PlainRequest => ANSWER_TIME,
            _ => BEGIN_TIME,
        };
        self.sent.push(Sent {
            by: (from, self.instances[from].process),
            at: (engine, self.engines[engine].1),
            info: info.clone(),
            left: now,
            repeated,
            begins: now + self.random.random_range(times),
            attempts,
            begun: false,
        });
        true
    }

    /// Asks the instance that grants trials of a suspect; returns `None` if that does not answer.
    fn grant_trial(&mut self, from: usize, suspect: Suspect) -> Option<PermitAnswer> {
        let now = self.now;
        let owner = owner(suspect, self.instances.len());
        let other = &self.instances[owner];
        let silent =
            other.down.max(other.frozen).max(other.cut) > now || self.instances[from].cut > now;
        if owner != from && silent {
            return None;
        }
        Some(self.instances[owner].tracker.grant_trial(suspect, now))
    }

    /// Begins requests at engines, some of which crash.
    pub(super) fn begin(&mut self) {
        let now = self.now;
        let due = |sent: &Sent| !sent.begun && sent.begins <= now;
        while let Some(index) = self.sent.iter().position(due) {
            self.sent[index].begun = true;
            let (engine, process) = self.sent[index].at;
            let alive = self.engines[engine].1 == process;
            if alive && self.is_deadly(&self.sent[index].info) {
                self.sent[index].begun = false;
                self.crashes.push(now);
                self.end_engine(engine);
            }
        }
        let settled = |sent: &Sent| sent.begun && sent.begins + SETTLING_TIME <= now;
        let mut left = Vec::new();
        for sent in std::mem::take(&mut self.sent) {
            let (by, process) = sent.by;
            let waits = self.instances[by].frozen > now;
            if !settled(&sent) || waits {
                left.push(sent);
                continue;
            }
            if self.instances[by].process == process {
                let tracker = &mut self.instances[by].tracker;
                tracker.record_begun(&Suspect::all(&sent.info), sent.begins, now);
            }
        }
        self.sent = left;
    }

    /// Ends the process of an engine; the instances see that their requests there are lost.
    pub(super) fn end_engine(&mut self, engine: usize) {
        let process = self.engines[engine].1;
        self.engines[engine] = (self.now + DOWN_TIME, process + 1);
        let mut lost = Vec::new();
        let mut left = Vec::new();
        for sent in std::mem::take(&mut self.sent) {
            if sent.at == (engine, process) {
                lost.push(sent);
            } else {
                left.push(sent);
            }
        }
        self.sent = left;
        for sent in lost {
            let by = sent.by.0;
            if self.instances[by].process != sent.by.1 || self.instances[by].frozen > self.now {
                continue;
            }
            let tracker = &mut self.instances[by].tracker;
            let name = format!("i-{engine}");
            let attempt = Attempt::new(&sent.info, sent.left);
            tracker.record_crash(&name, Some(process), &attempt, self.now, self.now);
            let again =
                sent.attempts < 2 && self.send(by, &sent.info, sent.attempts + 1, sent.repeated);
            if !again && !sent.repeated {
                let parts = sent.info.shared_parts().iter().map(|part| part.id);
                let request = sent.info.fingerprint;
                let at = self.now + REPEAT_TIME;
                self.repeats.push((at, request, parts.collect()));
            }
        }
    }
}
