//! Periodically reads the machine list and keeps the newest revision.

use std::sync::Arc;
use std::time::Duration;

use ponddrift_core::Timestamp;
use ponddrift_core::machine::MachineList;
use ponddrift_platform::machines::MachineListSource;
use ponddrift_runtime::{Clock, watch};

/// Receives the latest machine list; its revision is 0 before the first read.
pub(crate) type MachineListReceiver = watch::Receiver<Arc<MachineList>>;

/// Channels that publish the results of reads.
pub(crate) struct MachineListSenders {
    /// The latest list.
    pub(crate) list: watch::Sender<Arc<MachineList>>,
    /// Start time of the last successful read, published after its list.
    pub(crate) confirmed: watch::Sender<Timestamp>,
}

/// Reads the list periodically. After a failed read the last list stays in use; older revisions are
/// ignored.
pub(crate) async fn follow(
    source: Arc<dyn MachineListSource>,
    interval: Duration,
    clock: Arc<dyn Clock>,
    senders: MachineListSenders,
) {
    let mut ticker = tokio::time::interval(interval);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticker.tick().await;
        let begun = clock.now();
        match source.read().await {
            Ok(Some(list)) => {
                adopt(&senders.list, list);
                senders.confirmed.send_replace(begun);
            }
            Ok(None) => {
                senders.confirmed.send_replace(begun);
            }
            Err(error) => tracing::warn!(%error, "reading the machine list failed"),
        }
    }
}

fn adopt(fleet: &watch::Sender<Arc<MachineList>>, list: MachineList) {
    fleet.send_if_modified(|current| {
        let newer = list.revision > current.revision;
        if newer {
            *current = Arc::new(list);
        }
        newer
    });
}
