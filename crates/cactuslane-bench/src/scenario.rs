//! Scenarios in which policies are compared.

use cactuslane_standin::EngineParams;

/// Fleet with a load and a fault.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name on the command line and in the table.
    pub name: &'static str,
    /// Sizes and bounds of the deployment.
    pub fleet: FleetSpec,
    /// Length of the trace, in seconds.
    pub seconds: u64,
    /// Load as a share of the estimated capacity of the fleet with all engines mixed.
    pub load: f64,
    /// Course of the load and mix of its requests.
    pub shape: Shape,
    /// Least age of a load report when an entry instance gets it, in milliseconds.
    pub lag_ms: u64,
    /// Interval at which an entry instance publishes its work in progress to the others, in
    /// milliseconds; 0 if it never does.
    pub update_ms: u64,
    /// Least time between two such updates when a dispatch causes one before the interval has
    /// passed, in milliseconds.
    pub min_update_ms: u64,
    /// Number of engines that may change roles at the same time.
    pub max_changes: usize,
    /// Fault that occurs during the trace.
    pub fault: Fault,
    /// Speeds and sizes of the engines.
    pub params: EngineParams,
}

/// Sizes and bounds of a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetSpec {
    /// Name of the deployment.
    pub name: &'static str,
    /// Number of engines.
    pub engines: usize,
    /// Number of entry instances.
    pub entries: usize,
    /// Cost of a role change in addition to the time that it takes, in engine seconds.
    pub change_weight: f64,
    /// Bound on the time to the first token, in milliseconds.
    pub ttft_bound: f64,
    /// Bound on the time between two tokens, in milliseconds.
    pub itl_bound: f64,
}

/// Course of a load and mix of its requests. Unless stated otherwise, the share of requests with
/// long prompts and short answers is that of [`Shape::Swings`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Shape {
    /// The share of long prompts oscillates with periods of 240 s and 75 s. The request rate rises
    /// and falls once during the trace, between 75% and 100%, as over a day; all other shapes have
    /// this curve as well.
    Swings,
    /// In the first 6 s of every minute, requests arrive at 2.5 times the rate.
    Bursts,
    /// 90% of the requests have long prompts. The scenario is named `long-tallies`.
    LongPrompts,
    /// The first 80% of each long prompt are one of 12 shared prefixes, and the first 70% of each
    /// short one are one of 6.
    HotPrefixes,
    /// In the middle third of the trace, requests arrive at three times the rate, and caller 0
    /// sends two thirds of them besides its even share of the rest.
    WildCaller,
    /// The share of long prompts rises steadily from 10% to 90% over the trace.
    SlowShift,
}

/// Fault that a scenario injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// All engines of one failure domain crash after a third of the trace and run again after two
    /// thirds.
    DomainLost,
    /// From a third of the trace on, up to six engines are out of service, one after another and
    /// for 40 s each.
    Leaving,
    /// From a third of the trace on, one engine runs at a sixth of its speed.
    SlowEngine,
}

impl FleetSpec {
    /// Returns the fleet of the deployment `cluj`.
    #[must_use]
    pub fn cluj() -> Self {
        Self {
            name: "cluj",
            engines: 12,
            entries: 7,
            change_weight: 1.0,
            ttft_bound: 1_500.0,
            itl_bound: 60.0,
        }
    }

    /// Returns the fleet of the deployment `split`, with the bounds of `cluj`.
    #[must_use]
    pub fn split() -> Self {
        Self {
            name: "split",
            engines: 9,
            entries: 6,
            change_weight: 6.0,
            ..Self::cluj()
        }
    }
}

impl Scenario {
    /// Returns the scenario with a name for a fleet, or `None` if there is none.
    #[must_use]
    pub fn named(name: &str, fleet: FleetSpec) -> Option<Self> {
        Self::all(fleet)
            .into_iter()
            .find(|scenario| scenario.name == name)
    }

    /// Returns all scenarios for a fleet. Each differs from the first in the listed fields only;
    /// those named `untold` publish no work in progress.
    #[must_use]
    pub fn all(fleet: FleetSpec) -> Vec<Self> {
        let base = Self {
            name: "swings",
            fleet,
            seconds: 600,
            load: 1.1,
            shape: Shape::Swings,
            lag_ms: 500,
            update_ms: 1_000,
            min_update_ms: 20,
            max_changes: 1,
            fault: Fault::None,
            params: EngineParams::default(),
        };
        let with = |name, change: &dyn Fn(&mut Self)| {
            let mut scenario = Self {
                name,
                ..base.clone()
            };
            change(&mut scenario);
            scenario
        };
        vec![
            base.clone(),
            with("bursts", &|s| s.shape = Shape::Bursts),
            with("long-tallies", &|s| s.shape = Shape::LongPrompts),
            with("hot-prefixes", &|s| s.shape = Shape::HotPrefixes),
            with("wild-caller", &|s| s.shape = Shape::WildCaller),
            with("slow-shift", &|s| s.shape = Shape::SlowShift),
            with("domain-lost", &|s| s.fault = Fault::DomainLost),
            with("leaving", &|s| s.fault = Fault::Leaving),
            with("slow-engine", &|s| s.fault = Fault::SlowEngine),
            with("late-2s", &|s| s.lag_ms = 2_000),
            with("late-10s", &|s| s.lag_ms = 10_000),
            with("untold", &|s| s.update_ms = 0),
            with("untold-2s", &|s| {
                s.update_ms = 0;
                s.lag_ms = 2_000;
            }),
            with("untold-10s", &|s| {
                s.update_ms = 0;
                s.lag_ms = 10_000;
            }),
            with("overload-2", &|s| s.load = 2.0),
            with("overload-5", &|s| {
                s.load = 5.0;
                s.seconds = 180;
            }),
            with("overload-10", &|s| {
                s.load = 10.0;
                s.seconds = 120;
            }),
        ]
    }
}
