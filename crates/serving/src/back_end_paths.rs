//! Opens connections to back ends: directly, or through a peer while this daemon's own path is cut.
//!
//! See [`ponddrift_fleet::paths`] for when a path counts as cut, and [`ponddrift_fleet::relays`] for
//! the choice of the peer.

mod relayed_stream;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ponddrift_fleet::paths::{CheckResult, ConnectFailure, Paths};
use ponddrift_fleet::relays::{RelayQuery, Relays};
use ponddrift_runtime::{BoxedStream, Runtime};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::sync::Notify;

use crate::back_end_index::hash;
use crate::changed::PendingSet;
use crate::fleet_state::FleetState;
use crate::metrics::Metrics;
use crate::peers::{RelayAnswer, open_relay};
use crate::request_trace::milliseconds;
use crate::time::now;
use relayed_stream::RelayedStream;
pub(crate) use relayed_stream::{FRAME_HEADER_BYTES, frame_header};

/// Time limit for opening a direct connection; well above any round trip and well below any
/// deadline.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// A direct connection that is not open after this time is tried through a peer as well.
const ATTEMPT_DELAY: Duration = Duration::from_millis(100);
/// Time limit for one peer to open a connection.
const RELAY_TIMEOUT: Duration = Duration::from_millis(350);
/// Peers that are asked for one connection.
const MAX_RELAY_ATTEMPTS: usize = 3;
/// Peers that are asked whether a process has exited. More than one, because the paths of a peer to
/// some back ends may be cut like this daemon's.
const EXIT_WITNESSES: usize = 2;

/// An open connection to a back end.
pub(crate) struct OpenedStream {
    pub(crate) stream: BoxedStream,
    /// The peer that relays it; `None` if it is direct.
    pub(crate) relay: Option<SocketAddr>,
}

/// Why no connection to a back end could be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unreachable {
    /// How the direct attempt failed.
    pub failure: ConnectFailure,
    /// Whether a peer that reaches other back ends could not connect either.
    pub is_confirmed: bool,
}

/// What is known of a process that broke off connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExitFinding {
    /// It has exited.
    Exited,
    /// This daemon is refused at its address, and no peer is connected there. But no peer reaches
    /// another back end that shows that its own path works.
    Refused,
    /// Nothing shows that it has exited.
    NotShown,
}

/// Result of asking peers for a connection.
enum ThroughPeers {
    Opened(OpenedStream),
    /// A peer that reaches other back ends could not connect. Holds how its attempt failed.
    Unreachable(ConnectFailure),
    /// No peer connected, and none showed that the back end is unreachable.
    NoRelay,
}

/// The paths of this daemon to the back ends.
pub struct BackEndPaths {
    runtime: Runtime,
    state: Arc<FleetState>,
    metrics: Arc<Metrics>,
    paths: Mutex<Paths>,
    relays: Arc<Mutex<Relays>>,
    random: Mutex<Pcg64Mcg>,
    /// Paths that were found to be cut and have not been handled by the pipeline yet.
    newly_cut: PendingSet<SocketAddr>,
    /// Paths that are being checked.
    checking: Mutex<HashSet<SocketAddr>>,
    /// Notified when a path is cut or restored.
    changed: Notify,
}

impl BackEndPaths {
    /// Creates the paths of a daemon; none is known to be cut.
    #[must_use]
    pub fn new(runtime: &Runtime, state: &Arc<FleetState>, metrics: &Arc<Metrics>) -> Arc<Self> {
        Arc::new(Self {
            runtime: runtime.clone(),
            state: Arc::clone(state),
            metrics: Arc::clone(metrics),
            paths: Mutex::default(),
            relays: Arc::default(),
            random: Mutex::new(Pcg64Mcg::seed_from_u64(runtime.seed.rotate_left(29))),
            newly_cut: PendingSet::default(),
            checking: Mutex::default(),
            changed: Notify::new(),
        })
    }

    /// Locks the states of the paths.
    pub(crate) fn paths(&self) -> MutexGuard<'_, Paths> {
        lock(&self.paths)
    }

    /// Locks what is known of peers as relays.
    pub(crate) fn relays(&self) -> MutexGuard<'_, Relays> {
        lock(&self.relays)
    }

    /// Paths that were found to be cut, for the pipeline to handle.
    pub(crate) const fn newly_cut(&self) -> &PendingSet<SocketAddr> {
        &self.newly_cut
    }

    /// Notified when a path is cut or restored.
    pub(crate) const fn changed(&self) -> &Notify {
        &self.changed
    }

    pub(crate) fn is_cut(&self, address: SocketAddr) -> bool {
        self.paths().is_cut(address)
    }

    /// Opens a connection. A cut path is not tried unless no peer relays.
    pub(crate) async fn connect(
        self: &Arc<Self>,
        address: SocketAddr,
    ) -> Result<OpenedStream, Unreachable> {
        if self.is_cut(address) {
            return self.connect_over_cut_path(address).await;
        }
        let mut direct = pin!(self.connect_directly(address));
        tokio::select! {
            biased;
            opened = &mut direct => return match opened {
                Ok(stream) => Ok(stream),
                Err(failure) => {
                    let through_peers = self.connect_through_peers(address).await;
                    self.after_failure(address, failure, through_peers)
                }
            },
            () = tokio::time::sleep(ATTEMPT_DELAY) => {}
        }
        let mut through_peers = pin!(self.connect_through_peers(address));
        tokio::select! {
            biased;
            opened = &mut direct => match opened {
                Ok(stream) => Ok(stream),
                Err(failure) => self.after_failure(address, failure, through_peers.await),
            },
            relayed = &mut through_peers => match relayed {
                ThroughPeers::Opened(stream) => {
                    self.spawn_confirmation(address);
                    Ok(stream)
                }
                other => match direct.await {
                    Ok(stream) => Ok(stream),
                    Err(failure) => self.after_failure(address, failure, other),
                },
            },
        }
    }

    async fn connect_over_cut_path(
        &self,
        address: SocketAddr,
    ) -> Result<OpenedStream, Unreachable> {
        let failure = self.paths().failure(address);
        match self.connect_through_peers(address).await {
            ThroughPeers::Opened(stream) => Ok(stream),
            ThroughPeers::Unreachable(peer_failure) => Err(Unreachable {
                failure: failure.unwrap_or(peer_failure),
                is_confirmed: true,
            }),
            ThroughPeers::NoRelay => {
                let opened = self.connect_directly(address).await;
                opened.map_err(|failure| Unreachable {
                    failure,
                    is_confirmed: false,
                })
            }
        }
    }

    /// The result of a connection whose direct attempt failed. If a peer could connect, its connection
    /// is used, and another direct attempt shows whether the path is cut.
    fn after_failure(
        self: &Arc<Self>,
        address: SocketAddr,
        failure: ConnectFailure,
        through_peers: ThroughPeers,
    ) -> Result<OpenedStream, Unreachable> {
        match through_peers {
            ThroughPeers::Opened(stream) => {
                self.spawn_confirmation(address);
                Ok(stream)
            }
            ThroughPeers::Unreachable(_) => Err(Unreachable {
                failure,
                is_confirmed: true,
            }),
            ThroughPeers::NoRelay => Err(Unreachable {
                failure,
                is_confirmed: false,
            }),
        }
    }

    async fn connect_directly(&self, address: SocketAddr) -> Result<OpenedStream, ConnectFailure> {
        let began_at = now();
        let opened = connect(&self.runtime, address, CONNECT_TIMEOUT).await;
        if let Err(failure) = opened
            && self.paths().shows_cut(address, began_at)
        {
            self.record_cut(address, failure);
        }
        let stream = opened?;
        self.paths().record_contact(address, now());
        Ok(OpenedStream {
            stream,
            relay: None,
        })
    }

    async fn connect_through_peers(&self, address: SocketAddr) -> ThroughPeers {
        self.connect_through_untried_peers(address, &mut Vec::new())
            .await
    }

    /// Asks peers that are not in `tried`, and adds them.
    async fn connect_through_untried_peers(
        &self,
        address: SocketAddr,
        tried: &mut Vec<SocketAddr>,
    ) -> ThroughPeers {
        for _attempt in 0..MAX_RELAY_ATTEMPTS {
            let Some(peer) = self.choose_relay(address, tried) else {
                break;
            };
            tried.push(peer);
            let opening = open_relay(&self.runtime, peer, address);
            let answer = match tokio::time::timeout(RELAY_TIMEOUT, opening).await {
                Ok(Ok((answer, stream))) => Ok((answer, stream)),
                Ok(Err(error)) => Err(error.to_string()),
                Err(_elapsed) => Err(String::from("no answer in time")),
            };
            match answer {
                Ok((RelayAnswer::Connected, stream)) => {
                    self.paths().record_peer_contact(address, now());
                    let stream = RelayedStream::new(stream, peer, &self.relays);
                    return ThroughPeers::Opened(OpenedStream {
                        stream: Box::new(stream),
                        relay: Some(peer),
                    });
                }
                Ok((
                    RelayAnswer::Unreachable {
                        is_refused,
                        reaches_others: true,
                    },
                    _stream,
                )) => return ThroughPeers::Unreachable(failure_of(is_refused)),
                Ok((answer, _stream)) => {
                    self.relay_not_available(peer, address, answer.as_str());
                    if answer.concerns_every_back_end() {
                        self.relays().record_failure(peer, now());
                    } else if answer.shows_no_working_path() {
                        self.relays().record_no_proof(peer, now());
                    }
                }
                Err(error) => {
                    self.relay_not_available(peer, address, &error);
                    self.relays().record_failure(peer, now());
                }
            }
        }
        ThroughPeers::NoRelay
    }

    fn relay_not_available(&self, peer: SocketAddr, address: SocketAddr, reason: &str) {
        tracing::info!(%peer, back_end_address = %address, reason, "relay_not_available");
        self.metrics.relay_not_available();
    }

    fn choose_relay(&self, address: SocketAddr, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let candidates = self.state.relay_candidates();
        let back_end = self.state.back_end_at(address);
        let own_zone = &*self.state.own().zone;
        let back_end_zone = back_end.as_ref().map(|back_end| &*back_end.zone);
        let query = RelayQuery {
            service: back_end.as_ref().map(|back_end| hash(&back_end.service)),
            near_zones: [own_zone, back_end_zone.unwrap_or(own_zone)],
            tried,
        };
        self.relays()
            .choose(&candidates, &query, now(), &mut *lock(&self.random))
    }

    /// Whether the process at this address has exited: peers that reach other back ends are refused.
    /// What this daemon sees itself is proof only if it can connect, or if it has no peers. Asks for
    /// [`EXIT_WITNESSES`] peers, and is content with one if no other can say.
    pub(crate) async fn find_exit(self: &Arc<Self>, address: SocketAddr) -> ExitFinding {
        let known_failure = self.paths().failure(address);
        let failure = match known_failure {
            Some(known) => known,
            None => match self.connect_directly(address).await {
                Ok(_stream) => return ExitFinding::NotShown,
                Err(failure) => failure,
            },
        };
        if self.state.topology().daemons <= 1 {
            return match failure {
                ConnectFailure::Refused => ExitFinding::Exited,
                ConnectFailure::NoAnswer => ExitFinding::NotShown,
            };
        }
        let mut tried = Vec::new();
        let mut refused_peers = 0;
        while refused_peers < EXIT_WITNESSES {
            match self
                .connect_through_untried_peers(address, &mut tried)
                .await
            {
                ThroughPeers::Opened(_stream) => {
                    self.spawn_confirmation(address);
                    return ExitFinding::NotShown;
                }
                ThroughPeers::Unreachable(ConnectFailure::Refused) => refused_peers += 1,
                ThroughPeers::Unreachable(ConnectFailure::NoAnswer) => {
                    return ExitFinding::NotShown;
                }
                ThroughPeers::NoRelay => break,
            }
        }
        if refused_peers > 0 {
            ExitFinding::Exited
        } else if failure == ConnectFailure::Refused {
            ExitFinding::Refused
        } else {
            ExitFinding::NotShown
        }
    }

    /// Checks whether the path to a back end that does not answer is cut.
    pub(crate) async fn verify(&self, address: SocketAddr) {
        if !self.begin_check(address) {
            return;
        }
        let attempt = connect(&self.runtime, address, ATTEMPT_DELAY).await;
        if attempt.is_ok() {
            self.paths().record_contact(address, now());
        } else if let ThroughPeers::Opened(_stream) = self.connect_through_peers(address).await {
            drop(self.connect_directly(address).await);
        }
        self.end_check(address);
    }

    /// Checks the direct path to a back end that a peer has just reached.
    fn spawn_confirmation(self: &Arc<Self>, address: SocketAddr) {
        let paths = Arc::clone(self);
        self.runtime.spawner.spawn(Box::pin(async move {
            if paths.begin_check(address) {
                drop(paths.connect_directly(address).await);
                paths.end_check(address);
            }
        }));
    }

    /// Checks the direct path to a back end after another path was found to be cut. A failed check
    /// alone counts as a cut then: peers are tried first on the next connection, and if they fail as
    /// well, the back end counts as unreachable.
    pub(crate) fn spawn_check(self: &Arc<Self>, address: SocketAddr) {
        let paths = Arc::clone(self);
        self.runtime.spawner.spawn(Box::pin(async move {
            if !paths.begin_check(address) {
                return;
            }
            if let Err(failure) = paths.connect_directly(address).await {
                paths.record_cut(address, failure);
            }
            paths.end_check(address);
        }));
    }

    /// Returns whether the path is to be checked: it is not known to be cut and not being checked.
    fn begin_check(&self, address: SocketAddr) -> bool {
        !self.is_cut(address) && lock(&self.checking).insert(address)
    }

    fn end_check(&self, address: SocketAddr) {
        lock(&self.checking).remove(&address);
    }

    /// Checks the cut paths that are due. Returns those that work again.
    pub(crate) async fn check_due(&self) -> Vec<SocketAddr> {
        let due = self.paths().due_checks(now());
        let checks = due.into_iter().map(|address| async move {
            let is_reached = connect(&self.runtime, address, CONNECT_TIMEOUT)
                .await
                .is_ok();
            self.record_check(address, is_reached).then_some(address)
        });
        let restored: Vec<SocketAddr> = futures::future::join_all(checks)
            .await
            .into_iter()
            .flatten()
            .collect();
        if !restored.is_empty() {
            self.changed.notify_waiters();
        }
        restored
    }

    fn record_check(&self, address: SocketAddr, is_reached: bool) -> bool {
        let result = self.paths().record_check(address, is_reached, now());
        let CheckResult::Restored(cut_for) = result else {
            return false;
        };
        tracing::info!(
            back_end = self.back_end_id(address).as_deref(),
            %address,
            cut_ms = milliseconds(cut_for),
            "path_restored"
        );
        true
    }

    fn record_cut(&self, address: SocketAddr, failure: ConnectFailure) {
        if !self.paths().record_cut(address, failure, now()) {
            return;
        }
        tracing::warn!(
            back_end = self.back_end_id(address).as_deref(),
            %address,
            failure = failure.as_str(),
            "path_cut"
        );
        self.metrics.path_cut(failure.as_str());
        self.newly_cut.add(address);
        self.changed.notify_waiters();
    }

    fn back_end_id(&self, address: SocketAddr) -> Option<Arc<str>> {
        let back_end = self.state.back_end_at(address)?;
        Some(Arc::clone(&back_end.id))
    }
}

/// Opens a direct connection.
///
/// # Errors
/// How the attempt failed. Other errors than a refusal, such as no route or no free descriptor, count
/// as no answer, because they show nothing about the process.
pub(crate) async fn connect(
    runtime: &Runtime,
    address: SocketAddr,
    limit: Duration,
) -> Result<BoxedStream, ConnectFailure> {
    let connecting = runtime.network.connect(address);
    match tokio::time::timeout(limit, connecting).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) => Err(failure_of(
            error.kind() == std::io::ErrorKind::ConnectionRefused,
        )),
        Err(_elapsed) => Err(ConnectFailure::NoAnswer),
    }
}

const fn failure_of(is_refused: bool) -> ConnectFailure {
    if is_refused {
        ConnectFailure::Refused
    } else {
        ConnectFailure::NoAnswer
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
