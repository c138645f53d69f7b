//! The check, after the faults, that daemons without paths to back ends serve requests.

use std::time::Duration;

use eyre::Result;
use http::StatusCode;
use ponddrift_platform_stand_ins::ClientRequest;
use rand::RngExt;
use tokio::time::{Instant, sleep};

use super::{POLL_INTERVAL, Soak};
use crate::checks::Violation;
use crate::faulty_network::{CUT_KINDS, CutKind};

/// Time after a cut from which its daemons must serve requests.
const CUT_DETECTION_LIMIT: Duration = Duration::from_secs(3);
/// Time after a cut for daemons to use their own paths again.
const CUT_RECOVERY_TIME: Duration = Duration::from_secs(2);
/// Number of requests sent to each daemon during a cut, after the others.
const CUT_REQUESTS_PER_DAEMON: usize = 24;
/// At most one in this many of them may end unserved.
const MAX_UNSERVED_DIVISOR: usize = 20;

impl Soak {
    /// Checks for each kind of cut that all daemons but one, cut from all back ends, serve requests
    /// once they must have noticed it.
    pub(super) async fn check_cut_paths(&mut self) -> Result<()> {
        let Some(mut path_cutter) = self.path_cutter.take() else {
            return Ok(());
        };
        // Restores would bring back the entries of engines that have left.
        let restorer = self.restorer.take();
        let rate_limiter = self.rate_limiter.take();
        let silencer = self.silencer.take();
        let connected = self.random.random_range(0..self.daemons.len());
        let cut: Vec<usize> = (0..self.daemons.len())
            .filter(|daemon| *daemon != connected)
            .collect();
        for kind in CUT_KINDS {
            path_cutter.cut_from_all(cut.clone(), kind, &self.daemons, &self.platform);
            path_cutter.send(&self.daemons);
            self.load_all(&cut, kind, Instant::now() + CUT_DETECTION_LIMIT)
                .await?;
            self.check_served_by_cut_daemons(&cut, kind).await?;
            path_cutter.heal();
            path_cutter.send(&self.daemons);
            self.run_for(CUT_RECOVERY_TIME).await?;
        }
        self.path_cutter = Some(path_cutter);
        self.restorer = restorer;
        self.rate_limiter = rate_limiter;
        self.silencer = silencer;
        Ok(())
    }

    /// Sends requests to the daemons until `end`, so that they notice a cut.
    async fn load_all(&mut self, daemons: &[usize], kind: CutKind, end: Instant) -> Result<()> {
        let mut turn = 0;
        while Instant::now() < end {
            turn += 1;
            let soak = &*self;
            let requests = daemons.iter().map(|daemon| {
                let request = cut_request(&format!("noticing-{kind:?}-{daemon}-{turn}"), turn);
                async move { soak.request_status(*daemon, &request).await }
            });
            futures::future::join_all(requests).await;
            // Engines write their entries again after an order.
            self.platform.update_engines().await?;
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Engines that have just changed their stage refuse requests, and a retry may be denied, so a
    /// few requests may end unserved.
    async fn check_served_by_cut_daemons(
        &mut self,
        daemons: &[usize],
        kind: CutKind,
    ) -> Result<()> {
        let mut unserved = Vec::new();
        for turn in 0..CUT_REQUESTS_PER_DAEMON {
            for daemon in daemons {
                let id = format!("cut-{kind:?}-{daemon}-{turn}");
                let request = cut_request(&id, turn);
                let status = self.request_status(*daemon, &request).await;
                self.platform.update_engines().await?;
                if status != Some(StatusCode::OK) {
                    unserved.push(format!("{id}: {status:?}"));
                }
            }
        }
        let sent = CUT_REQUESTS_PER_DAEMON * daemons.len();
        if unserved.len() * MAX_UNSERVED_DIVISOR > sent {
            self.violations.push(Violation {
                rule: "daemons without paths to back ends serve 0.95 of the requests",
                observed: format!("{} of {sent} unserved: {unserved:?}", unserved.len()),
            });
        }
        Ok(())
    }
}

/// A request of one of the kinds in turn.
fn cut_request(id: &str, turn: usize) -> ClientRequest {
    match turn % 4 {
        0 => ClientRequest::plain(id, "post"),
        1 => ClientRequest::plain(id, "fetch"),
        2 => ClientRequest::prompt(id, "tag", 40, 200),
        _ => ClientRequest::prompt(id, "verdict", 40, 200),
    }
}
