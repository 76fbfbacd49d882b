//! Policies that the benchmark compares.

/// Rules by which requests are routed and roles are planned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Routing, admission and role planning of the product.
    Cactuslane,
    /// Routing and admission of the product; all engines stay mixed.
    NoRoles,
    /// Routing and admission of the product with fixed roles: the numbers of prefill and of decode
    /// engines; any other engines are mixed.
    StaticRoles(usize, usize),
    /// Routing and admission of the product with a planner that follows the last interval's demand,
    /// without a forecast or a cost of changes.
    Threshold,
    /// Upper limit for comparison: one router that knows the current loads and the lengths of
    /// answers, and a planner that knows the next minute of the trace.
    Clairvoyant,
    /// Each entry instance uses the engines in turn; no admission.
    RoundRobin,
    /// Of two random engines, the one with fewer of the entry instance's own requests in progress;
    /// no admission.
    RandomOfTwo,
    /// Engine with the fewest of the entry instance's own requests in progress; no admission.
    LeastOutstanding,
}

impl Policy {
    /// Returns the name on the command line and in the table.
    #[must_use]
    pub fn name(self) -> String {
        match self {
            Self::Cactuslane => "cactuslane".to_owned(),
            Self::NoRoles => "no-roles".to_owned(),
            Self::StaticRoles(prefill, decode) => format!("static-{prefill}-{decode}"),
            Self::Threshold => "threshold".to_owned(),
            Self::Clairvoyant => "clairvoyant".to_owned(),
            Self::RoundRobin => "round-robin".to_owned(),
            Self::RandomOfTwo => "random-of-two".to_owned(),
            Self::LeastOutstanding => "least-outstanding".to_owned(),
        }
    }

    /// Returns the policy with a name among those for a number of engines.
    #[must_use]
    pub fn named(name: &str, engines: usize) -> Option<Self> {
        Self::all(engines)
            .into_iter()
            .find(|policy| policy.name() == name)
    }

    /// Returns all policies for a number of engines.
    #[must_use]
    pub fn all(engines: usize) -> Vec<Self> {
        let mut policies = vec![
            Self::Cactuslane,
            Self::NoRoles,
            Self::Threshold,
            Self::Clairvoyant,
            Self::RoundRobin,
            Self::RandomOfTwo,
            Self::LeastOutstanding,
        ];
        policies.extend(Self::static_splits(engines));
        policies
    }

    /// Returns several fixed splits of a number of engines; the best of them represents all fixed
    /// splits.
    #[must_use]
    pub fn static_splits(engines: usize) -> Vec<Self> {
        let quarter = engines / 4;
        let third = engines / 3;
        let half = engines / 2;
        vec![
            Self::StaticRoles(quarter, quarter),
            Self::StaticRoles(quarter, half),
            Self::StaticRoles(third, third),
            Self::StaticRoles(third, engines - third),
            Self::StaticRoles(half, engines - half),
        ]
    }

    /// Returns whether the product's router decides on requests, not a baseline.
    #[must_use]
    pub fn uses_router(self) -> bool {
        !matches!(
            self,
            Self::RoundRobin | Self::RandomOfTwo | Self::LeastOutstanding
        )
    }
}
