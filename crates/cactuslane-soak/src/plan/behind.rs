//! A change of the configuration that one instance does not read, beside another one without links
//! to targets, drawn from a seed.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{
    Action, Change, LinkFault, PathFault, PlanStep, RECOVERY_SHARE, Release, Scope, WARM_UP,
    choose_from, is_planned_only,
};

/// Part of the seed of these steps that tells it from that of the other steps.
const BEHIND_SEED: u64 = 0x6265_6869_6e64;
/// Time for which the instance that is behind is cut off from the store.
const BLIND_TIME: Duration = Duration::from_secs(7);
/// Time from the beginning of that cut to the change.
const CHANGE_DELAY: Duration = Duration::from_millis(300);
/// Time before it in which a fault of these instances or of all must have ended.
const QUIET_TIME: Duration = Duration::from_secs(1);
/// Time before it in which these instances are not stopped, as they may stop for the whole grace period
/// and are judged some time after they have started again.
const STOP_TIME: Duration = Duration::from_secs(12);
/// Range of the times from the change to the loss of the links to targets, in seconds.
const LOSS_DELAY: std::ops::Range<f64> = 1.0..2.0;

/// A change that one instance does not read, while another one passes requests on.
#[derive(Clone, Debug, PartialEq)]
pub struct Behind {
    /// Time since the start of the run at which the instance is cut off from the store.
    pub from: Duration,
    /// Time at which both cuts end.
    pub until: Duration,
    /// Number of the instance that is cut off from the store.
    pub blind: usize,
    /// Number of the instance that loses its links to targets.
    pub cut: usize,
    /// Steps in the order of their times.
    steps: Vec<PlanStep>,
}

impl Behind {
    /// Draws the situation for half of the plans that do not consist of planned changes alone, after
    /// their release; `None` for the others, if there are fewer than three instances, or if the run
    /// is too short.
    ///
    /// It has a random generator of its own, so that the other steps do not depend on it.
    #[must_use]
    pub fn draw(
        seed: u64,
        length: Duration,
        instances: usize,
        release: Option<&Release>,
    ) -> Option<Self> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ BEHIND_SEED);
        if is_planned_only(seed) || instances < 3 || rng.random_bool(0.5) {
            return None;
        }
        let earliest = release.map_or(WARM_UP, |release| release.until.max(WARM_UP));
        let latest = length
            .mul_f64(1.0 - RECOVERY_SHARE)
            .checked_sub(BLIND_TIME)?;
        if latest < earliest {
            return None;
        }
        let share = rng.random_range(0.0..1.0);
        let from = earliest + latest.saturating_sub(earliest).mul_f64(share);
        let until = from + BLIND_TIME;
        let numbers: Vec<usize> = (0..instances).collect();
        let chosen: Vec<usize> = numbers.choose_multiple(&mut rng, 2).copied().collect();
        let (blind, cut) = (chosen[0], chosen[1]);
        let at_change = from + CHANGE_DELAY;
        let at_loss = at_change + Duration::from_secs_f64(rng.random_range(LOSS_DELAY));
        let fault = choose_from(&mut rng, &[PathFault::Silent, PathFault::Refused]);
        let steps = [
            (
                from,
                Action::StoreLink(blind, LinkFault::Silent, BLIND_TIME),
            ),
            (at_change, Action::Change(Change::Presence)),
            (
                at_loss,
                Action::Path(Scope::Targets(cut), fault, until.saturating_sub(at_loss)),
            ),
        ];
        Some(Self {
            from,
            until,
            blind,
            cut,
            steps: steps.map(|(at, action)| PlanStep { at, action }).into(),
        })
    }

    /// Adds the situation to other steps, of which those are removed that would end or excuse it.
    pub fn join(&self, steps: &mut Vec<PlanStep>) {
        let concerns = |instance: usize| [self.blind, self.cut].contains(&instance);
        steps.retain(|step| {
            let lasts = match step.action {
                Action::Stop(_) => STOP_TIME,
                _ => step.action.duration() + QUIET_TIME,
            };
            if step.at >= self.until || step.at + lasts < self.from {
                return true;
            }
            match step.action {
                Action::Kill(instance, _)
                | Action::Stop(instance)
                | Action::Freeze(instance, _)
                | Action::StoreLink(instance, ..)
                | Action::Path(
                    Scope::Targets(instance) | Scope::Peers(instance) | Scope::Instance(instance),
                    ..,
                ) => !concerns(instance),
                Action::KillAll(_)
                | Action::Store(..)
                | Action::Change(_)
                | Action::Path(Scope::OthersTargets(_) | Scope::Domain(_) | Scope::All(_), ..) => {
                    false
                }
                _ => true,
            }
        });
        steps.extend(self.steps.iter().cloned());
    }
}
