//! Division of a number of targets among failure domains and kinds.

use std::collections::BTreeMap;

use cactuslane_flight::routing_config::ScalingSpec;
use cactuslane_types::DomainName;

/// Part of an even share that each failure domain keeps at least, whatever its price.
const LEAST_SHARE: f64 = 0.67;
/// Part of an even share that each failure domain gets at most, whatever its price.
const LARGEST_SHARE: f64 = 1.34;
/// Share of a failure domain's targets that may be reclaimable.
const RECLAIMABLE_SHARE: f64 = 0.5;
/// Price of a reclaimable target, as a share of that of others, from which on it is not worth a
/// possible reclaim.
const MAX_RECLAIMABLE_PRICE: f64 = 0.8;

/// Whether targets may be reclaimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Targets that stay until they are given up.
    Ordinary,
    /// Targets that may be reclaimed, all of a failure domain at once.
    Reclaimable,
}

/// The registered targets of a service in one failure domain that take new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DomainTargets {
    /// Number of ordinary targets.
    pub ordinary: u32,
    /// Number of reclaimable targets.
    pub reclaimable: u32,
}

impl Kind {
    /// Returns the label in metrics and log lines.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ordinary => "ordinary",
            Self::Reclaimable => "reclaimable",
        }
    }
}

impl DomainTargets {
    /// Returns the number of targets of a kind.
    #[must_use]
    pub fn count(&self, kind: Kind) -> u32 {
        match kind {
            Kind::Ordinary => self.ordinary,
            Kind::Reclaimable => self.reclaimable,
        }
    }

    /// Returns the number of targets of both kinds.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.ordinary + self.reclaimable
    }
}

/// Divides `total` targets among failure domains.
///
/// Each domain gets a number near an even share, and the cheaper ones more of the rest; a domain
/// without a price counts as the most expensive. All numbers lie within the limits of `spec`, also
/// where `total` does not.
pub(crate) fn by_domain(
    total: u32,
    domains: &[DomainName],
    spec: &ScalingSpec,
) -> BTreeMap<DomainName, u32> {
    let mut counts = BTreeMap::new();
    if domains.is_empty() {
        return counts;
    }
    let even = f64::from(total) / domains.len() as f64;
    let max = spec.max.max(spec.min);
    let least = ((even * LEAST_SHARE).floor() as u32).clamp(spec.min, max);
    let largest = ((even * LARGEST_SHARE).ceil() as u32).clamp(spec.min, max);
    let mut left = total;
    for domain in domains {
        counts.insert(domain.clone(), least);
        left = left.saturating_sub(least);
    }
    let price = |domain: &DomainName| spec.prices.get(domain).copied().unwrap_or(f64::MAX);
    let mut order: Vec<&DomainName> = domains.iter().collect();
    order.sort_by(|a, b| price(a).total_cmp(&price(b)));
    for limit in [largest, max] {
        for domain in &order {
            let Some(count) = counts.get_mut(*domain) else {
                continue;
            };
            let added = left.min(limit.saturating_sub(*count));
            *count += added;
            left -= added;
        }
    }
    counts
}

/// Returns how many of a failure domain's `count` targets are to be reclaimable, where at most
/// `spare` targets may vanish at once.
pub(crate) fn reclaimable_part(count: u32, spare: u32, spec: &ScalingSpec) -> u32 {
    let cheap = |price: f64| price < MAX_RECLAIMABLE_PRICE;
    if !spec.reclaimable_price.is_some_and(cheap) {
        return 0;
    }
    let most = (f64::from(count) * RECLAIMABLE_SHARE).floor() as u32;
    // The smallest number is ordinary, so that a reclaim never leaves a domain below it.
    most.min(spare).min(count.saturating_sub(spec.min))
}
