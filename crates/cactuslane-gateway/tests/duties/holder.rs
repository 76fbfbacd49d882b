//! Holders of the duties whose leadership a test sets.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cactuslane_authority::reports::Counts;
use cactuslane_gateway::duties::usage::{self, Sources};
use cactuslane_gateway::duties::{Duties, DutyCall};
use cactuslane_gateway::leadership::{SharedLeadership, boot_millis};
use cactuslane_platform::Settings;
use cactuslane_platform::settings::{DutySettings, UsageSettings};
use cactuslane_platform_standin::settings;
use cactuslane_store::kv::{KvClient, Lease};
use cactuslane_types::Position;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Time after which a test counts as hung and fails.
const TEST_TIMEOUT: Duration = Duration::from_mins(1);
/// Time to live of a lease that does not lapse in a test, in milliseconds.
const LONG_TTL: u64 = 1_000_000;
/// Length of a window.
pub const WINDOW: Duration = Duration::from_secs(5);
/// Time at which the clock of all holders stands first, in milliseconds since the Unix epoch.
pub const START: u64 = 1_767_225_600_000;
/// Number of the window that begins then.
pub const FIRST: u64 = START / 5_000;

/// An instance that holds the duties as far as the test says.
pub struct Holder {
    /// Its calls.
    pub duties: Arc<Duties>,
    /// Its leadership.
    pub leadership: SharedLeadership,
    /// Number of requests that it counts for each window; 0 if it counts none.
    pub counted: Arc<AtomicU64>,
}

/// Runs a test on its own runtime, and panics if it hangs.
pub fn run_test<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    runtime.block_on(async { timeout(TEST_TIMEOUT, test).await.expect("the test hangs") });
}

/// Waits until a condition holds, which is checked every 10 ms.
pub async fn wait_until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        sleep(Duration::from_millis(10)).await;
    }
}

/// Returns the settings of an instance that makes calls to an address.
pub fn duty_settings(name: &str, store: SocketAddr, address: SocketAddr) -> Settings {
    let mut settings = settings(name, store);
    settings.duties = Some(DutySettings {
        address,
        call_rate: 200.0,
        usage: Some(UsageSettings {
            window: WINDOW,
            due: Duration::from_secs(10),
        }),
        scale: true,
        gap: Duration::from_millis(3_300),
    });
    settings
}

/// Returns an order that is like others but for its number and failure domain.
pub fn order(domain: &str, count: u32) -> DutyCall {
    DutyCall::Scale {
        service: "chat".to_owned(),
        domain: domain.to_owned(),
        count,
        reclaimable: false,
    }
}

impl Holder {
    /// Creates an instance that makes calls to an address and holds no duty.
    pub fn new(name: &str, address: SocketAddr) -> Self {
        let store = KvClient::open(address, cactuslane_platform::store::codec());
        let leadership = SharedLeadership::new(&store);
        let settings = duty_settings(name, address, address);
        Self {
            duties: Arc::new(Duties::open(&settings, leadership.clone())),
            leadership,
            counted: Arc::new(AtomicU64::new(1)),
        }
    }

    /// Lets the instance hold the duties with a token.
    pub fn take(&self, token: u64) {
        self.take_under(token, LONG_TTL, 0, boot_millis());
    }

    /// Lets the instance have taken the duties at a time, under a lease of `ttl` milliseconds and
    /// with a settling time of `settle` milliseconds.
    pub fn take_under(&self, token: u64, ttl: u64, settle: u64, at: u64) {
        let mut leadership = self.leadership.lock();
        let lease = Lease { era: 1, id: 77 };
        leadership.renewed(lease, at, ttl);
        leadership.acquired(Position::new(1, token), settle, at);
    }

    /// Lets the instance lose the duties.
    pub fn lose(&self) {
        self.leadership.lock().lapsed();
    }

    /// Starts the reports of the instance, whose clock the test sets.
    pub fn report(&self, store: SocketAddr, clock: &Arc<AtomicU64>) -> JoinHandle<()> {
        let store = KvClient::open(store, cactuslane_platform::store::codec());
        let (counted, clock) = (self.counted.clone(), clock.clone());
        let sources = Sources {
            counts: move |_| -> Option<Counts> {
                let count = counted.load(Ordering::Relaxed);
                (count > 0).then(|| BTreeMap::from([("c1".to_owned(), count)]))
            },
            unix_now: move || clock.load(Ordering::Relaxed),
            started: START,
            instance: "front-1".to_owned(),
        };
        tokio::spawn(usage::run(self.duties.clone(), store, sources))
    }
}
