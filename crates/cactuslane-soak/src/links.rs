//! Links of a run, one for each path between callers, instances and targets, whose faults are
//! injected by path.

mod connections;
mod datagrams;

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};

use tokio::net::UdpSocket;
use tokio::sync::watch;

use self::connections::{Listener, Open};
use crate::plan::{self, PathFault, Scope};

/// Number of addresses of one path whose links are kept; an instance has another one in each process.
const MAX_ADDRESSES: usize = 3;
/// Number of attempts to bind a link.
const BIND_ATTEMPTS: usize = 16;

/// Number of a fault.
pub type FaultId = u64;

/// The end of a path at which connections are made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// All callers.
    Callers,
    /// The instance with a number.
    Instance(usize),
}

/// The links of a run, created when an address is first routed; dropping the last handle closes all.
#[derive(Clone, Debug)]
pub struct Links(Arc<Shared>);

/// What the handles of the links share.
#[derive(Debug)]
struct Shared {
    /// Loopback address of the links.
    host: Ipv4Addr,
    /// Names of the instances by number.
    instances: Vec<String>,
    /// Paths and faults.
    state: Mutex<State>,
}

/// The paths and the faults in force.
#[derive(Debug, Default)]
struct State {
    /// Paths by their open end and what is at the far one: the name of an instance, or the address of
    /// a target, as a target with another id may serve there later.
    paths: BTreeMap<(Source, String), Path>,
    /// Faults in force, in the order in which they were injected.
    faults: BTreeMap<FaultId, (Scope, PathFault)>,
    /// Number of faults so far.
    count: FaultId,
    /// Number of links that could not be bound, whose addresses are used directly.
    unbound: u64,
}

/// A path.
#[derive(Debug)]
struct Path {
    /// Fault in force.
    fault: watch::Sender<Option<PathFault>>,
    /// Open connections of all links.
    open: Open,
    /// Links, the newest one last.
    links: Vec<Link>,
}

impl Drop for Path {
    fn drop(&mut self) {
        self.open.reset(100);
    }
}

/// A link of a path to one address.
#[derive(Debug)]
struct Link {
    /// Address at the far end.
    to: SocketAddr,
    /// Acceptor of connections.
    listener: Listener,
    /// Forwarder of datagrams between instances.
    datagrams: Option<datagrams::Forwarder>,
}

impl Links {
    /// Creates no links yet; `instances` are the names of the instances by number.
    #[must_use]
    pub fn open(host: Ipv4Addr, instances: Vec<String>) -> Self {
        Self(Arc::new(Shared {
            host,
            instances,
            state: Mutex::default(),
        }))
    }

    /// Returns the address of the link from an open end to an address of the instance or target with
    /// a name; the address itself if no link can be bound.
    #[must_use]
    pub fn route(&self, source: Source, name: &str, to: SocketAddr) -> SocketAddr {
        let mut state = self.0.state();
        let is_instance = self.0.number(name).is_some();
        let far = if is_instance {
            name.to_owned()
        } else {
            to.to_string()
        };
        if let Ok(link) = self.link(&mut state, source, &far, to) {
            return link.listener.address;
        }
        state.unbound += 1;
        to
    }

    /// Returns the number of addresses that are used directly, as no link could be bound.
    #[must_use]
    pub fn unbound(&self) -> u64 {
        self.0.state().unbound
    }

    /// Injects a fault until it is ended; resets and stalls apply once, to connections that are open.
    #[must_use]
    pub fn inject(&self, scope: Scope, fault: PathFault) -> FaultId {
        let mut state = self.0.state();
        state.count += 1;
        let id = state.count;
        let share = match scope {
            Scope::AllCallers(share) | Scope::All(share) => share,
            _ => 100,
        };
        for ((source, name), path) in &state.paths {
            if self.0.effect(scope, fault, *source, name).is_none() {
                continue;
            }
            match fault {
                PathFault::Reset | PathFault::Refused => path.open.reset(share),
                PathFault::Stall => path.open.stall(share),
                _ => {}
            }
        }
        state.faults.insert(id, (scope, fault));
        self.0.update(&mut state);
        id
    }

    /// Ends a fault.
    pub fn end(&self, id: FaultId) {
        let mut state = self.0.state();
        state.faults.remove(&id);
        self.0.update(&mut state);
    }

    /// Returns the link of the path to a far end at an address, which is bound if there is none.
    fn link<'s>(
        &self,
        state: &'s mut State,
        source: Source,
        name: &str,
        to: SocketAddr,
    ) -> io::Result<&'s Link> {
        let fault = self.0.fault(&state.faults, source, name);
        let path = state
            .paths
            .entry((source, name.to_owned()))
            .or_insert_with(|| Path {
                fault: watch::channel(fault).0,
                open: Open::default(),
                links: Vec::new(),
            });
        if let Some(at) = path.links.iter().position(|link| link.to == to) {
            return Ok(&path.links[at]);
        }
        let link = self.bind(path, source, name, to)?;
        if path.links.len() == MAX_ADDRESSES {
            path.links.remove(0);
        }
        path.links.push(link);
        Ok(&path.links[path.links.len() - 1])
    }

    /// Binds a link of a path to an address.
    fn bind(&self, path: &Path, source: Source, name: &str, to: SocketAddr) -> io::Result<Link> {
        let far = self.0.number(name);
        let mut attempts = BIND_ATTEMPTS;
        loop {
            attempts -= 1;
            let bound = connections::bind(self.0.host).and_then(|(socket, address)| {
                let datagrams = match (source, far) {
                    (Source::Instance(near), Some(far)) => {
                        let ends = (near, far, to);
                        let links = Arc::downgrade(&self.0);
                        Some(datagrams::Forwarder::bind(
                            address,
                            ends,
                            links,
                            &path.fault,
                        )?)
                    }
                    _ => None,
                };
                let listener = Listener::spawn(socket, (address, to), &path.fault, &path.open)?;
                Ok((listener, datagrams))
            });
            match bound {
                Ok((listener, datagrams)) => {
                    return Ok(Link {
                        to,
                        listener,
                        datagrams,
                    });
                }
                Err(error) if attempts == 0 => return Err(error),
                // Another socket may have the port that was chosen.
                Err(_) => {}
            }
        }
    }
}

impl Shared {
    /// Locks the state.
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of the instance with a name, or `None` if it is no instance's.
    fn number(&self, name: &str) -> Option<usize> {
        self.instances.iter().position(|known| known == name)
    }

    /// Returns the socket of datagrams from an instance to an address of another one.
    fn socket(self: &Arc<Self>, near: usize, far: usize, to: SocketAddr) -> Option<Arc<UdpSocket>> {
        let links = Links(self.clone());
        let (mut state, name) = (self.state(), &self.instances[far]);
        let link = links.link(&mut state, Source::Instance(near), name, to);
        Some(link.ok()?.datagrams.as_ref()?.socket.clone())
    }

    /// Puts the faults in force on all paths.
    fn update(&self, state: &mut State) {
        for ((source, name), path) in &state.paths {
            let fault = self.fault(&state.faults, *source, name);
            path.fault
                .send_if_modified(|old| std::mem::replace(old, fault) != fault);
        }
    }

    /// Returns the fault of a path, the one that was injected last.
    fn fault(
        &self,
        faults: &BTreeMap<FaultId, (Scope, PathFault)>,
        source: Source,
        name: &str,
    ) -> Option<PathFault> {
        let mut latest = faults.values().rev();
        let fault = latest.find_map(|(scope, fault)| self.effect(*scope, *fault, source, name))?;
        let lasts = !matches!(fault, PathFault::Reset | PathFault::Stall);
        lasts.then_some(fault)
    }

    /// Returns a fault as it applies to a path, or `None` if the path is not in its scope; seen from
    /// the other end, a cut one way is one the other way.
    fn effect(
        &self,
        scope: Scope,
        fault: PathFault,
        source: Source,
        name: &str,
    ) -> Option<PathFault> {
        let far = self.number(name);
        let near = match source {
            Source::Callers => None,
            Source::Instance(number) => Some(number),
        };
        let of_targets = |number| near == Some(number) && far.is_none();
        let of_peers = |number| {
            near.is_some() && far.is_some() && (near == Some(number) || far == Some(number))
        };
        let in_domain =
            |end: Option<usize>, domain| end.is_some_and(|number| plan::domain(number) == domain);
        let (applies, subject) = match scope {
            Scope::Targets(number) => (of_targets(number), None),
            Scope::OthersTargets(number) => {
                let is_other = near.is_some_and(|near| near != number);
                (is_other && far.is_none(), None)
            }
            Scope::Peers(number) => (of_peers(number), Some(number)),
            Scope::Instance(number) => (of_targets(number) || of_peers(number), Some(number)),
            Scope::Callers(number) => (near.is_none() && far == Some(number), None),
            Scope::AllCallers(_) => (near.is_none(), None),
            Scope::Domain(domain) => (in_domain(near, domain) || in_domain(far, domain), None),
            Scope::All(_) => (true, None),
        };
        let is_reverse = subject.is_some() && far == subject;
        applies.then_some(match fault {
            PathFault::CutUp if is_reverse => PathFault::CutDown,
            PathFault::CutDown if is_reverse => PathFault::CutUp,
            other => other,
        })
    }
}

/// Handle of the tasks of links, which do not keep the links open.
type WeakLinks = Weak<Shared>;
