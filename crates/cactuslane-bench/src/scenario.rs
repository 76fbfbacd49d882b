//! The situations in which policies are compared.

use cactuslane_standin::EngineParams;

/// A situation: a fleet, its load and what goes wrong.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Its name.
    pub name: &'static str,
    /// The fleet.
    pub fleet: FleetSpec,
    /// The length, in seconds.
    pub seconds: u64,
    /// The load as a share of what the fleet can serve when mixed.
    pub load: f64,
    /// The shape of the load.
    pub shape: Shape,
    /// How late load reports are, in milliseconds.
    pub lag_ms: u64,
    /// The time between two tellings of what an instance has in progress, in milliseconds; 0
    /// for none.
    pub update_ms: u64,
    /// The least time between two tellings after a dispatch, in milliseconds.
    pub min_update_ms: u64,
    /// The number of engines that may change their role at once.
    pub max_changes: usize,
    /// What goes wrong.
    pub fault: Fault,
    /// Holds the speeds of the engines.
    pub params: EngineParams,
}

/// A fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetSpec {
    /// The name of the deployment.
    pub name: &'static str,
    /// The number of engines.
    pub engines: usize,
    /// The number of entry instances.
    pub entries: usize,
    /// The weight on a role change, in lost engine seconds.
    pub change_weight: f64,
    /// The bound on the first token, in milliseconds.
    pub ttft_bound: f64,
    /// The bound between tokens, in milliseconds.
    pub itl_bound: f64,
}

/// The shape of a load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Shape {
    /// The share of long prompts swings within minutes, under a day curve.
    Swings,
    /// Swings with bursts of arrivals.
    Bursts,
    /// Almost all prompts are long.
    LongPrompts,
    /// Many prompts share a few long prefixes.
    HotPrefixes,
    /// One caller sends many times its usual load in the middle third.
    WildCaller,
    /// The share of long prompts moves slowly from one end to the other.
    SlowShift,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// A failure domain is lost in the middle and comes back after a third of the time.
    DomainLost,
    /// Engines leave one after another and come back.
    Leaving,
    /// One engine works at a sixth of its speed from a third of the time on.
    SlowEngine,
}

impl FleetSpec {
    /// Returns the fleet of Cluj.
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

    /// Returns the fleet of Split.
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
    /// Returns the scenario of a name for a fleet; none if there is no such name.
    #[must_use]
    pub fn named(name: &str, fleet: FleetSpec) -> Option<Self> {
        Self::all(fleet)
            .into_iter()
            .find(|scenario| scenario.name == name)
    }

    /// Returns all scenarios for a fleet.
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
