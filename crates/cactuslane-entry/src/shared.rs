//! The state that all tasks of an instance share.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cactuslane_config::Settings;
use cactuslane_flight::HeldLimits;
use cactuslane_held::Held;
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
use crate::documents::{ApplyOutcome, DocumentKind, Documents};
use crate::metrics::Metrics;
use crate::reply::ApiError;
use crate::routing::Routing;
use crate::traces::Traces;

/// The state of one instance; each lock guards one of its parts.
#[derive(Debug)]
pub struct Shared {
    /// The settings with which the instance was started.
    pub settings: Settings,
    /// The address for callers, as it was bound.
    pub serving: SocketAddr,
    /// The address for other instances, as it was bound for UDP and TCP.
    pub gossip: SocketAddr,
    /// The incarnation of the instance, derived from the wall-clock time of its start.
    pub incarnation: Incarnation,
    /// The key that authenticates messages between instances, and the resume tokens and idempotency
    /// keys issued to callers.
    pub key: ClusterKey,
    /// The monotonic clock, whose zero is the start of the instance.
    pub clock: Clock,
    /// The client of the key-value service.
    pub store: Store,
    /// The HTTP client with pooled connections, for requests that may be repeated.
    pub client: Client,
    /// The HTTP client that opens a connection for each request, for requests that may not be
    /// repeated.
    pub unpooled: Client,
    /// Connections and bytes that are held for callers.
    pub held: Arc<Held>,
    /// The metrics that operators read as text.
    pub metrics: Metrics,
    /// The spans of recent requests.
    pub traces: Traces,
    /// The configuration and the plan in force.
    pub documents: Documents,
    /// Notified when a document has come into force; forwarded calls wait for it.
    pub documents_changed: Notify,
    /// The membership as this instance sees it.
    members: Mutex<Membership>,
    /// Wakes the gossip task to send urgent pings, which carry this instance's new record.
    pub ping_now: Notify,
    /// Wakes the gossip task after a dispatch, to publish the work in progress.
    pub publish_now: Notify,
    /// The last contact with the key-value service and the other instances, which decides whether
    /// the instance may take new work.
    contact: Mutex<Contact>,
    /// The routers, queues and limits.
    routing: Mutex<Routing>,
    /// The calls with an idempotency key and their answers.
    idempotency: Mutex<IdempotencyTable>,
    /// The queue of claims of callers' own idempotency keys.
    pub claims: Claims,
    /// Wakes the calls that wait for an earlier call with the same idempotency key to end.
    pub idempotency_changed: Notify,
    /// The state that the authority task shares with other tasks and shows to operators.
    authority: Mutex<AuthorityView>,
    /// Whether the instance is leaving; once set, it stays set.
    leaving: AtomicBool,
    /// The number in the last request id.
    requests: AtomicU64,
    /// The sequence number of the last call forwarded to another instance.
    forwards: AtomicU64,
}

impl Shared {
    /// Creates the state of an instance that has no documents, targets or other members yet, and is
    /// bound to the addresses for callers and for other instances.
    pub fn new(settings: Settings, serving: SocketAddr, gossip: SocketAddr) -> Self {
        let incarnation = cactuslane_member::incarnation_at(Clock::unix_time());
        let mut own_record = Record::from_list(&settings.instance, gossip, &settings.domain);
        own_record.incarnation = incarnation;
        own_record.serving = serving;
        let seed = incarnation ^ u64::from(gossip.port());
        let limits = HeldLimits::of_process(settings.memory, None);
        let held = Arc::new(Held::new(limits));
        Self {
            serving,
            gossip,
            incarnation,
            key: ClusterKey::new(&settings.cluster_key),
            clock: Clock::start(),
            store: Store::open(settings.store),
            client: Client::open(),
            unpooled: Client::open_unpooled(),
            metrics: Metrics::new(&held),
            held,
            traces: Traces::new(),
            documents: Documents::default(),
            documents_changed: Notify::new(),
            members: Mutex::new(Membership::new(own_record, MemberParams::default(), seed)),
            ping_now: Notify::new(),
            publish_now: Notify::new(),
            contact: Mutex::default(),
            routing: Mutex::new(Routing::new(seed)),
            idempotency: Mutex::default(),
            claims: Claims::new(),
            idempotency_changed: Notify::new(),
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

    /// Locks the record of the last contact.
    pub fn contact(&self) -> MutexGuard<'_, Contact> {
        self.contact.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the routing state.
    pub fn routing(&self) -> MutexGuard<'_, Routing> {
        self.routing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the table of calls with an idempotency key.
    pub fn idempotency(&self) -> MutexGuard<'_, IdempotencyTable> {
        self.idempotency
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the state that the authority task shares.
    pub fn authority(&self) -> MutexGuard<'_, AuthorityView> {
        self.authority
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time since the start of the instance, in milliseconds.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns a new request id. It names this instance, which holds the request's spans, and its
    /// incarnation.
    pub fn next_request_id(&self) -> String {
        let number = self.requests.fetch_add(1, Ordering::Relaxed) + 1;
        format!(
            "{}.{:x}.{number:x}",
            self.settings.instance, self.incarnation
        )
    }

    /// Returns the sequence number for the next forwarded call; the first is 1.
    pub fn next_forward_sequence(&self) -> u64 {
        self.forwards.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Returns whether the instance has begun to leave.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Marks the instance as leaving and announces it to the other instances.
    pub fn leave(&self) {
        if self.leaving.swap(true, Ordering::Relaxed) {
            return;
        }
        self.members().leave();
        self.ping_now.notify_one();
    }

    /// Returns the reason for which the instance takes no new work, or `None` if it takes any.
    ///
    /// Leaving is not such a reason: callers that still use the instance's address are served.
    pub fn refusal(&self) -> Option<ApiError> {
        match store_access::readiness(&self.contact(), self.now()) {
            Readiness::Ready => None,
            Readiness::NotConfigured => Some(ApiError::NotConfigured),
            Readiness::CutOff => Some(ApiError::CutOff),
        }
    }

    /// Puts a document into force if it is valid and newer; then updates routing, publishes the
    /// revision to the members and notifies `documents_changed`.
    pub fn apply_document(&self, kind: DocumentKind, revision: u64, text: &str) -> ApplyOutcome {
        let outcome = self.documents.apply(kind, revision, text);
        if outcome != ApplyOutcome::Applied {
            return outcome;
        }
        let (config, plan) = (self.documents.config(), self.documents.plan());
        self.metrics.config_revision.set(config.revision as i64);
        self.metrics.plan_revision.set(plan.revision as i64);
        self.contact().configured = config.revision > 0;
        self.routing().apply(&config.document, &plan.plan);
        self.publish_revisions();
        log::info!("{kind:?} {revision} is in force");
        self.documents_changed.notify_waiters();
        outcome
    }

    /// Publishes the revisions of the documents in force in this instance's member record.
    ///
    /// The revision of a plan is published only once this instance has no dispatch in progress at
    /// the targets that the plan drains: an owner that sees the revision at every instance may send
    /// an order that cuts the streams at such a target.
    pub fn publish_revisions(&self) {
        let mut revisions = self.documents.revisions();
        let plan = self.documents.plan();
        let mut members = self.members();
        if !self.routing().has_drained(&plan.plan) {
            revisions.plan = members.own_record().revisions.plan.min(revisions.plan);
        }
        let newer = revisions.is_newer_than(&members.own_record().revisions);
        members.set_revisions(revisions);
        drop(members);
        if newer {
            self.ping_now.notify_one();
        }
    }
}
