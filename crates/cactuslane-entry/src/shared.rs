//! The state that all tasks of an instance share.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use cactuslane_config::Settings;
use cactuslane_member::store_access::{self, Contact, Readiness};
use cactuslane_member::{MemberParams, Membership, Record};
use cactuslane_once::IdempotencyTable;
use cactuslane_store::Store;
use cactuslane_store::http::Client;
use cactuslane_types::{Incarnation, Millis};
use cactuslane_wire::ClusterKey;
use tokio::sync::Notify;

use crate::authority::AuthorityView;
use crate::claims::Claims;
use crate::clock::Clock;
use crate::documents::{DocumentKind, Documents, Offer};
use crate::metrics::Metrics;
use crate::reply::Ending;
use crate::routing::Routing;
use crate::traces::Traces;

/// The state of one instance.
#[derive(Debug)]
pub struct Shared {
    /// Holds the settings.
    pub settings: Settings,
    /// The address for callers.
    pub serving: SocketAddr,
    /// The address for other instances.
    pub gossip: SocketAddr,
    /// The incarnation.
    pub incarnation: Incarnation,
    /// Authenticates messages between instances.
    pub key: ClusterKey,
    /// Gives the time.
    pub clock: Clock,
    /// The client of the key-value service.
    pub store: Store,
    /// Sends requests that may be repeated.
    pub client: Client,
    /// Sends requests that may not be repeated.
    pub unpooled: Client,
    /// Holds the counters.
    pub metrics: Metrics,
    /// Holds the spans.
    pub traces: Traces,
    /// Holds the documents in force.
    pub documents: Documents,
    /// Wakes those who wait for a document to change.
    pub documents_changed: Notify,
    /// The membership.
    members: Mutex<Membership>,
    /// Wakes the gossip task to spread news at once.
    pub spread_now: Notify,
    /// Wakes the gossip task to tell of a dispatch.
    pub publish_now: Notify,
    /// What the instance was last in contact with.
    contact: Mutex<Contact>,
    /// Holds what routing knows.
    routing: Mutex<Routing>,
    /// Remembers calls that may not be repeated.
    once: Mutex<IdempotencyTable>,
    /// Claims callers' own keys.
    pub claims: Claims,
    /// Wakes calls that wait for another one with the same key.
    pub once_changed: Notify,
    /// What the authority task last saw, for explanations.
    authority: Mutex<AuthorityView>,
    /// Says whether the instance is leaving.
    leaving: AtomicBool,
    /// The last request number.
    requests: AtomicU64,
    /// The last number of a forwarded call.
    forwards: AtomicU64,
}

impl Shared {
    /// Creates the state of an instance that knows nothing yet.
    pub fn new(settings: Settings, serving: SocketAddr, gossip: SocketAddr) -> Self {
        let incarnation = cactuslane_member::incarnation_at(Clock::wall());
        let mut me = Record::from_list(&settings.instance, gossip, &settings.domain);
        me.incarnation = incarnation;
        me.serving = serving;
        let seed = incarnation ^ u64::from(gossip.port());
        Self {
            serving,
            gossip,
            incarnation,
            key: ClusterKey::new(&settings.cluster_key),
            clock: Clock::start(),
            store: Store::open(settings.store),
            client: Client::open(),
            unpooled: Client::open_unpooled(),
            metrics: Metrics::new(),
            traces: Traces::new(),
            documents: Documents::default(),
            documents_changed: Notify::new(),
            members: Mutex::new(Membership::new(me, MemberParams::default(), seed)),
            spread_now: Notify::new(),
            publish_now: Notify::new(),
            contact: Mutex::default(),
            routing: Mutex::new(Routing::new(seed)),
            once: Mutex::default(),
            claims: Claims::new(),
            once_changed: Notify::new(),
            authority: Mutex::default(),
            leaving: AtomicBool::new(false),
            requests: AtomicU64::new(0),
            forwards: AtomicU64::new(0),
            settings,
        }
    }

    /// Locks the membership.
    pub fn members(&self) -> MutexGuard<'_, Membership> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the contact.
    pub fn contact(&self) -> MutexGuard<'_, Contact> {
        self.contact.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks what routing knows.
    pub fn routing(&self) -> MutexGuard<'_, Routing> {
        self.routing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the register of calls.
    pub fn once(&self) -> MutexGuard<'_, IdempotencyTable> {
        self.once.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the view of the authority task.
    pub fn authority(&self) -> MutexGuard<'_, AuthorityView> {
        self.authority
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the milliseconds since the start.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns a new request id, which names the instance that can explain it.
    pub fn next_request(&self) -> String {
        let number = self.requests.fetch_add(1, Ordering::Relaxed) + 1;
        format!(
            "{}.{:x}.{number:x}",
            self.settings.instance, self.incarnation
        )
    }

    /// Returns the number of the next forwarded call.
    pub fn next_forward(&self) -> u64 {
        self.forwards.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Returns whether the instance is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Marks the instance as leaving, here and for the others.
    pub fn leave(&self) {
        if self.leaving.swap(true, Ordering::Relaxed) {
            return;
        }
        self.members().leave();
        self.spread_now.notify_one();
    }

    /// Returns why the instance takes no new work, if it does not.
    ///
    /// A leaving instance still serves those who hold its address.
    pub fn refusal(&self) -> Option<Ending> {
        match store_access::readiness(&self.contact(), self.now()) {
            Readiness::Ready => None,
            Readiness::NotConfigured => Some(Ending::NotConfigured),
            Readiness::CutOff => Some(Ending::CutOff),
        }
    }

    /// Offers a document, and tells routing, members and waiting tasks if it is taken.
    pub fn offer(&self, kind: DocumentKind, revision: u64, text: &str) -> Offer {
        let offer = self.documents.offer(kind, revision, text);
        if offer != Offer::Taken {
            return offer;
        }
        let (config, plan) = (self.documents.config(), self.documents.plan());
        self.metrics.config_revision.set(config.revision as i64);
        self.metrics.plan_revision.set(plan.revision as i64);
        self.contact().configured = config.revision > 0;
        self.routing().apply(&config.document, &plan.plan);
        self.publish_revisions();
        log::info!("{kind:?} {revision} is in force");
        self.documents_changed.notify_waiters();
        offer
    }

    /// Tells the members which documents are in force here.
    ///
    /// A plan counts only when no dispatch of this instance is left at a target that it drains:
    /// an owner that sees the revision everywhere may then send an order that cuts streams.
    pub fn publish_revisions(&self) {
        let mut revisions = self.documents.revisions();
        let plan = self.documents.plan();
        let mut members = self.members();
        if !self.routing().has_left(&plan.plan) {
            revisions.plan = members.own_record().revisions.plan.min(revisions.plan);
        }
        let newer = revisions.is_newer_than(&members.own_record().revisions);
        members.set_revisions(revisions);
        drop(members);
        if newer {
            self.spread_now.notify_one();
        }
    }
}
