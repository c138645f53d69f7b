//! Daemons that lose their paths to back ends while callers, the store and the other daemons still
//! reach them.

mod support;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use ponddrift_platform_stand_ins::ClientRequest;
use ponddrift_simulation::{HostId, SimulationHandle};
use support::{DaemonHost, Fleet, FleetOptions};
use tokio::time::{Instant, sleep};

/// Time after a cut from which its daemons must serve like the others.
const DETECTION_LIMIT: Duration = Duration::from_secs(3);
/// How long requests are counted after that.
const COUNTED: Duration = Duration::from_secs(3);
/// Interval between two requests of one route at one daemon.
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);
/// A cut daemon serves each route at least this many times as often as the others.
const MIN_RELATIVE_SHARE: f64 = 0.95;

const ROUTES: [&str; 4] = ["post", "fetch", "verdict", "tag"];

/// What a partitioned daemon sees of the back ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cut {
    /// Open connections and new ones hang.
    Silent,
    /// Open connections are reset; new ones hang.
    Reset,
    /// Open connections are reset; new ones are refused.
    ResetAndRefused,
    /// Open connections live on; new ones are refused.
    Refused,
}

const CUTS: [Cut; 4] = [Cut::Silent, Cut::Reset, Cut::ResetAndRefused, Cut::Refused];

impl Cut {
    fn apply(self, simulation: &SimulationHandle, daemons: &[HostId], back_ends: &[HostId]) {
        match self {
            Self::Silent => simulation.partition(daemons, back_ends),
            Self::Reset => {
                simulation.reset_connections(daemons, back_ends);
                simulation.partition(daemons, back_ends);
            }
            Self::ResetAndRefused => {
                simulation.reset_connections(daemons, back_ends);
                simulation.refuse_connections(daemons, back_ends);
            }
            Self::Refused => simulation.refuse_connections(daemons, back_ends),
        }
    }
}

/// Requests of one route at one group of daemons.
#[derive(Debug, Default, Clone, Copy)]
struct Tally {
    sent: usize,
    served: usize,
}

impl Tally {
    fn share(self) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "small counts")]
        let (served, sent) = (self.served as f64, self.sent as f64);
        served / sent
    }
}

/// Requests by route and by whether the daemon was cut.
type Tallies = BTreeMap<(&'static str, bool), Tally>;

fn request(id: &str, route: &'static str) -> ClientRequest {
    match route {
        "verdict" | "tag" => ClientRequest::prompt(id, route, 0, 200),
        _ => ClientRequest::plain(id, route),
    }
}

/// A fleet of nine daemons in three zones; daemons 0, 3 and 6 are in the first.
fn nine_daemons() -> Fleet {
    Fleet::new(FleetOptions {
        daemons: 9,
        records: 3,
        prefill: 2,
        decode: 4,
        zones: 3,
        ..FleetOptions::default()
    })
}

/// A fleet of 32 daemons in three zones, one of which has room for the connections of all.
fn thirty_two_daemons() -> Fleet {
    Fleet::new(FleetOptions {
        daemons: 32,
        records: 3,
        prefill: 2,
        decode: 4,
        zones: 3,
        max_requests: 2_000,
        ..FleetOptions::default()
    })
}

fn hosts_of(fleet: &Fleet, daemons: &[usize]) -> Vec<HostId> {
    daemons
        .iter()
        .map(|daemon| fleet.daemons[*daemon].host)
        .collect()
}

/// Sends requests of every route to every daemon until `end`, and counts those sent from
/// `count_from` on.
async fn call_all(
    fleet: (ponddrift_platform_stand_ins::ClientStandIn, Vec<DaemonHost>),
    cut: Vec<usize>,
    count_from: Instant,
    end: Instant,
) -> Tallies {
    let (client, daemons) = fleet;
    let tallies = Rc::new(RefCell::new(Tallies::new()));
    let callers = daemons.iter().enumerate().flat_map(|(number, daemon)| {
        let is_cut = cut.contains(&number);
        let (client, tallies) = (client.clone(), Rc::clone(&tallies));
        ROUTES.iter().map(move |route| {
            let (client, tallies) = (client.clone(), Rc::clone(&tallies));
            async move {
                let mut pending = Vec::new();
                let mut turn = 0;
                while Instant::now() < end {
                    let id = format!("{number}-{route}-{turn}");
                    turn += 1;
                    let (client, tallies) = (client.clone(), Rc::clone(&tallies));
                    let target = daemon.callers_address;
                    let sent_at = Instant::now();
                    let asking = async move {
                        let answer = client.ask(target, &request(&id, route)).await;
                        if sent_at < count_from {
                            return;
                        }
                        let mut tallies = tallies.borrow_mut();
                        let tally = tallies.entry((*route, is_cut)).or_default();
                        tally.sent += 1;
                        let served =
                            answer.is_some_and(|it| it.status == StatusCode::OK && it.is_complete);
                        tally.served += usize::from(served);
                    };
                    pending.push(tokio::task::spawn_local(asking));
                    sleep(REQUEST_INTERVAL).await;
                }
                for call in pending {
                    call.await.expect("no panic");
                }
            }
        })
    });
    futures::future::join_all(callers.collect::<Vec<_>>()).await;
    tallies.take()
}

/// Runs load through a cut of `cut` daemons from all back ends.
fn tallies_through(fleet: &mut Fleet, cut: &[usize], kind: Cut) -> Tallies {
    let simulation = fleet.simulation.handle();
    let cut_hosts = hosts_of(fleet, cut);
    let back_ends = fleet.back_end_hosts();
    let targets = (fleet.client.clone(), fleet.daemons.clone());
    let cut = cut.to_vec();
    fleet.run(async move {
        let cut_at = Instant::now() + Duration::from_secs(2);
        let count_from = cut_at + DETECTION_LIMIT;
        let load = tokio::task::LocalSet::new();
        let calls = load.run_until(call_all(targets, cut, count_from, count_from + COUNTED));
        let cutting = async {
            tokio::time::sleep_until(cut_at).await;
            kind.apply(&simulation, &cut_hosts, &back_ends);
        };
        let (tallies, ()) = futures::join!(calls, cutting);
        tallies
    })
}

fn check_served_alike(tallies: &Tallies, case: &str) {
    for route in ROUTES {
        let cut = tallies[&(route, true)].share();
        let others = tallies[&(route, false)].share();
        assert!(
            others > 0.9,
            "{case}: {route}: {others:.3} served at the others"
        );
        assert!(
            cut >= MIN_RELATIVE_SHARE * others,
            "{case}: {route}: {cut:.3} served at the cut daemons, {others:.3} at the others"
        );
    }
}

fn check_every_cut(cut: &[usize]) {
    for kind in CUTS {
        let mut fleet = nine_daemons();
        let tallies = tallies_through(&mut fleet, cut, kind);
        check_served_alike(&tallies, &format!("{kind:?}"));
    }
}

#[test]
fn callers_of_a_daemon_without_a_path_to_any_back_end_are_served() {
    check_every_cut(&[4]);
}

#[test]
fn callers_of_a_zone_without_a_path_to_any_back_end_are_served() {
    check_every_cut(&[0, 3, 6]);
}

#[test]
fn callers_are_served_while_most_daemons_have_no_path_to_any_back_end() {
    check_every_cut(&[0, 1, 2, 3, 4, 5, 6]);
}

#[test]
fn callers_are_served_while_one_of_many_daemons_has_paths_to_the_back_ends() {
    let cut: Vec<usize> = (0..32).filter(|daemon| *daemon != 17).collect();
    for kind in CUTS {
        let mut fleet = thirty_two_daemons();
        let tallies = tallies_through(&mut fleet, &cut, kind);
        check_served_alike(&tallies, &format!("{kind:?}"));
    }
}
