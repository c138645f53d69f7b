//! Acts on cut and restored paths to back ends, see [`crate::back_end_paths`].

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ponddrift_fleet::paths::ConnectFailure;

use super::Pipeline;
use crate::back_end_index::hash;
use crate::back_end_paths::BackEndPaths;
use crate::time::{self, now};

/// Interval at which due checks are looked for while no path is cut.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum paths that are checked because another one turned out to be cut.
const MAX_SUSPECTS: usize = 64;

impl Pipeline {
    /// The paths to the back ends.
    pub(crate) const fn paths(&self) -> &Arc<BackEndPaths> {
        &self.paths
    }

    /// Handles paths that were found to be cut. Never completes.
    pub async fn handle_cut_paths(self: Arc<Self>) {
        loop {
            self.paths.newly_cut().wait().await;
            for address in self.paths.newly_cut().take() {
                self.handle_cut_path(address);
            }
        }
    }

    fn handle_cut_path(&self, address: SocketAddr) {
        // Refused connections say nothing about the open ones, which may live on.
        if self.paths.paths().failure(address) == Some(ConnectFailure::NoAnswer) {
            self.connections.discard_direct_idle(address);
        }
        if let Some(back_end) = self.state.back_end_at(address) {
            self.placement().health.discard_unanswered(&back_end.id);
        }
        let connected = self.connections.connected_addresses();
        let suspects = self.paths.paths().suspects(&connected, now());
        for suspect in suspects.into_iter().take(MAX_SUSPECTS) {
            self.paths.spawn_check(suspect);
        }
    }

    /// Checks cut paths until they are restored. Never completes.
    pub async fn check_cut_paths(self: Arc<Self>) {
        loop {
            let next_check = self.paths.paths().next_check();
            let next = next_check.unwrap_or_else(|| now() + IDLE_INTERVAL);
            let changed = self.paths.changed().notified();
            // After a change as after the timeout, the due checks are looked up again.
            time::timeout_at(next, changed).await;
            for restored in self.paths.check_due().await {
                self.connections.discard_relayed_idle(restored);
            }
        }
    }

    /// Closes the idle connections that a stopping peer relays.
    pub(crate) fn discard_idle_through(&self, peer: SocketAddr) {
        self.connections.discard_idle_through(peer);
    }

    /// Share of each service's back ends whose paths are not cut, by the hash of the service's name;
    /// only services with a cut path.
    pub(crate) fn reachable_shares(&self) -> Vec<(u32, f64)> {
        let paths = self.paths.paths();
        if paths.cut_count() == 0 {
            return Vec::new();
        }
        let mut counts: HashMap<u32, (f64, f64)> = HashMap::new();
        for back_end in self.state.back_ends() {
            let (reached, all) = counts.entry(hash(&back_end.service)).or_default();
            *all += 1.0;
            *reached += f64::from(u8::from(!paths.is_cut(back_end.address)));
        }
        drop(paths);
        let mut shares: Vec<(u32, f64)> = counts
            .into_iter()
            .filter(|(_service, (reached, all))| reached < all)
            .map(|(service, (reached, all))| (service, reached / all))
            .collect();
        shares.sort_unstable_by_key(|(service, _share)| *service);
        shares
    }

    /// Whether this daemon reaches less than half of the model engines directly.
    pub(crate) fn is_cut_from_engines(&self) -> bool {
        let paths = self.paths.paths();
        if paths.cut_count() == 0 {
            return false;
        }
        let back_ends = self.state.back_ends();
        let engines = back_ends.iter().filter(|known| known.stage.is_some());
        let (cut, reached): (Vec<_>, Vec<_>) =
            engines.partition(|engine| paths.is_cut(engine.address));
        cut.len() > reached.len()
    }

    /// Forgets paths to addresses without a back end, and peers that are gone.
    pub(super) fn tidy_paths(&self) {
        let back_ends = self.state.back_ends();
        let addresses: std::collections::HashSet<SocketAddr> =
            back_ends.iter().map(|known| known.address).collect();
        let members = self.state.topology();
        self.paths
            .paths()
            .keep_only(|address| addresses.contains(&address), now());
        self.paths
            .relays()
            .keep_only(|peer| members.members.contains(&peer), now());
    }
}
