//! Reading of the metrics of an instance, for which its gauges are set.

use std::sync::PoisonError;

use cactuslane_flight::{Door, Kind};
use cactuslane_held::record::kind_label;
use prometheus_client::encoding::text::encode;

use super::{Gauges, Metrics};
use crate::leadership::boot_millis;
use crate::state::Gateway;

impl Metrics {
    /// Returns the metrics in the text format that Prometheus reads.
    #[must_use]
    pub fn text(&self, gateway: &Gateway) -> String {
        self.gauges.update(gateway);
        let mut text = String::new();
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        match encode(&mut text, &registry) {
            Ok(()) => text,
            Err(error) => format!("# the metrics can't be written: {error}\n"),
        }
    }
}

impl Gauges {
    /// Sets all gauges to their current values.
    fn update(&self, gateway: &Gateway) {
        let now = gateway.now();
        let version = gateway
            .routing_config()
            .map_or(0, |document| document.version);
        self.version.set(version as i64);
        let fleet = gateway.fleet();
        self.targets.set(fleet.count_usable(now) as i64);
        let last_contact = fleet.store_contact().unwrap_or(0);
        drop(fleet);
        self.limited.set(gateway.placer().limits.count() as i64);
        self.cut.set(i64::from(gateway.pool.reach().is_cut()));
        let progress = gateway.progress();
        let age = |seen: u64| now.saturating_sub(seen) as i64;
        self.entries_age
            .set(age(progress.map_or(0, |known| known.entries_seen)));
        self.document_age
            .set(age(progress.map_or(0, |known| known.document_seen)));
        self.store_age.set(now.saturating_sub(last_contact) as i64);
        self.instances
            .set(gateway.members().instance_count() as i64);
        self.requests.set(gateway.requests() as i64);
        self.connections.set(gateway.connections() as i64);
        for door in Door::ALL {
            let gauge = self.doors.get_or_create(&vec![("door", door.label())]);
            gauge.set(gateway.held.count(door) as i64);
        }
        for kind in [Kind::Body, Kind::Answer] {
            let gauge = self.held.get_or_create(&vec![("what", kind_label(kind))]);
            gauge.set(gateway.held.bytes(kind) as i64);
        }
        let mut leadership = gateway.leadership();
        let held = leadership.is_held(boot_millis());
        self.office.set(i64::from(held));
        self.token.set(leadership.token().unwrap_or(0) as i64);
        let processes = gateway.usage().processes().len();
        self.usage_processes.set(processes as i64);
    }
}
