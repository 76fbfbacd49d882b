//! What is compared.

/// A policy: how requests are routed and how roles are planned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The product's routing, admission and role planning.
    Cactuslane,
    /// The product's routing and admission with all engines mixed.
    NoRoles,
    /// The product's routing and admission with fixed roles: prefill and decode engines.
    StaticRoles(usize, usize),
    /// The product's routing and admission with a planner that reacts to thresholds.
    Threshold,
    /// One router that sees everything now, with a planner that knows the trace.
    Clairvoyant,
    /// Engines in turn, no admission.
    RoundRobin,
    /// The better of two random engines by requests in progress, no admission.
    RandomOfTwo,
    /// The engine with the fewest requests in progress, no admission.
    LeastOutstanding,
}

impl Policy {
    /// Returns the name.
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

    /// Returns the policy of a name.
    #[must_use]
    pub fn named(name: &str, engines: usize) -> Option<Self> {
        Self::all(engines)
            .into_iter()
            .find(|policy| policy.name() == name)
    }

    /// Returns the policies that are compared on a fleet.
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

    /// Returns some fixed splits, of which the best stands for all.
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

    /// Returns whether the product's router decides.
    #[must_use]
    pub fn uses_router(self) -> bool {
        !matches!(
            self,
            Self::RoundRobin | Self::RandomOfTwo | Self::LeastOutstanding
        )
    }
}
