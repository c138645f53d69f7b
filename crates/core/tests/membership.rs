//! Membership in simulated networks. After any fault the live daemons must agree on the members
//! again, and no live daemon may be declared dead because of stale gossip.

#[path = "support/gossip_network.rs"]
mod gossip_network;

use std::time::Duration;

use gossip_network::{Network, address, record};
use ponddrift_core::membership::{
    Contact, Life, MemberState, Membership, MembershipAction, MembershipEvent, MembershipMessage,
    MembershipSettings, Readiness, Update,
};
use ponddrift_core::{Incarnation, MachineId, Revision, Timestamp};

const MINUTE: Duration = Duration::from_secs(60);

fn joined(size: u32, seed: u64) -> Network {
    let mut network = Network::new(size, seed);
    let joined = network.run_until(MINUTE, Network::is_converged);
    assert!(joined.is_some(), "{size} daemons did not find each other");
    network
}

#[test]
fn daemons_of_both_sites_join_each_other() {
    for size in [1, 2, 5, 21] {
        joined(size, 7);
    }
}

#[test]
fn a_killed_daemon_is_declared_dead_everywhere_and_its_next_incarnation_joins() {
    let mut network = joined(20, 1);
    network.kill(3);
    assert!(network.run_until(MINUTE, Network::is_converged).is_some());
    network.start(3, 2);
    assert!(network.run_until(MINUTE, Network::is_converged).is_some());
}

#[test]
fn a_leaving_daemon_is_known_to_have_left_within_three_seconds() {
    let mut network = joined(20, 2);
    network.handle(MachineId(4), MembershipEvent::Leave);
    network.step();
    network.kill(4);
    let spread = network.run_until(Duration::from_secs(3), |network| {
        network.nodes.values().all(|node| {
            let record = node.membership.member(MachineId(4)).unwrap();
            record.state == MemberState::Left
        })
    });
    assert!(spread.is_some());
}

#[test]
fn a_partition_of_an_hour_heals() {
    let mut network = joined(24, 3);
    for machine in 0..24 {
        network
            .group
            .insert(MachineId(machine), (machine % 2) as u8);
    }
    network.run(Duration::from_secs(3_600));
    let half = &network.nodes[&MachineId(0)].membership;
    assert_eq!(half.live_count(), 12);
    network.group.clear();
    let healed = network.run_until(MINUTE, Network::is_converged);
    assert!(healed.is_some(), "the halves did not find each other");
}

/// The partition heals when deaths were declared recently and are still spread by gossip.
#[test]
fn after_a_partition_no_daemon_of_the_same_half_is_declared_dead() {
    for seconds in [4, 5, 6, 7, 8, 10, 120] {
        let mut network = joined(24, seconds);
        for machine in 0..24 {
            let half = (machine % 2) as u8;
            network.group.insert(MachineId(machine), half);
        }
        network.run(Duration::from_secs(seconds));
        network.group.clear();
        network.run(MINUTE);
        for (machine, node) in &network.nodes {
            let wrong_death = node.actions.iter().find(|action| {
                matches!(action, MembershipAction::MemberChanged(record)
                    if record.state == MemberState::Dead && record.machine.0 % 2 == machine.0 % 2)
            });
            assert_eq!(wrong_death, None, "at {machine} after {seconds} s");
        }
    }
}

#[test]
fn all_daemons_restart_at_once_under_loss() {
    let mut network = joined(20, 5);
    network.loss_permille = 50;
    for machine in 0..20 {
        network.start(machine, 2);
    }
    assert!(network.run_until(MINUTE, Network::is_converged).is_some());
}

#[test]
fn a_suspended_daemon_detects_it_and_is_isolated_until_it_has_rejoined() {
    let mut network = joined(20, 6);
    network.nodes.get_mut(&MachineId(5)).unwrap().frozen = true;
    network.run(MINUTE);
    let frozen = network.nodes.get_mut(&MachineId(5)).unwrap();
    frozen.frozen = false;
    frozen.actions.clear();
    network.step();
    let resumed = &network.nodes[&MachineId(5)];
    assert!(
        matches!(resumed.actions[0], MembershipAction::WokeAfterFreeze(gap) if gap >= MINUTE),
        "{:?}",
        resumed.actions
    );
    assert_eq!(resumed.membership.contact(network.now), Contact::Isolated);
    assert!(network.run_until(MINUTE, Network::is_converged).is_some());
    assert_eq!(
        network.nodes[&MachineId(5)].membership.contact(network.now),
        Contact::InContact
    );
}

#[test]
fn readiness_and_configuration_of_all_daemons_spread_within_six_seconds() {
    let mut network = joined(60, 8);
    network.run(Duration::from_secs(20));
    for machine in 0..60 {
        let event = MembershipEvent::ConfigurationInForce(Revision(9));
        network.handle(MachineId(machine), event);
        network.handle(
            MachineId(machine),
            MembershipEvent::ReadinessChanged(Readiness::Ready),
        );
    }
    let spread = network.run_until(Duration::from_secs(6), |network| {
        network.nodes.values().all(|node| {
            node.membership.others().all(|record| {
                record.facts.configuration == Revision(9)
                    && record.facts.readiness == Readiness::Ready
            })
        })
    });
    assert!(spread.is_some());
}

#[test]
fn messages_of_an_older_incarnation_are_ignored() {
    let own = record(1, 5, 2);
    let mut membership = Membership::new(MembershipSettings::default(), own, 1);
    let newer = record(2, 7, 2);
    let from = address(MachineId(2));
    let received = |incarnation, message| MembershipEvent::Received {
        from,
        sender: MachineId(2),
        incarnation: Incarnation(incarnation),
        message,
    };
    let gossip = |updates| MembershipMessage::Gossip { updates };
    membership.handle(
        Timestamp(1),
        received(7, gossip(vec![Update::Record(newer)])),
    );
    let old = Update::Claim {
        member: MachineId(2),
        life: Life {
            incarnation: Incarnation(6),
            refutation: 9,
        },
        state: MemberState::Left,
    };
    membership.handle(Timestamp(2), received(6, gossip(vec![old.clone()])));
    membership.handle(Timestamp(3), received(7, gossip(vec![old])));
    let known = membership.member(MachineId(2)).unwrap();
    assert_eq!(known.state, MemberState::Alive);
    assert_eq!(known.life.incarnation, Incarnation(7));
}

#[test]
fn any_small_network_converges_after_its_faults() {
    bolero::check!()
        .with_type::<(u64, Vec<(u8, u8)>)>()
        .with_iterations(40)
        .for_each(|(seed, faults)| {
            let mut network = joined(8, *seed);
            network.loss_permille = 100;
            let mut incarnation = 1;
            for (kind, machine) in faults.iter().take(12) {
                let machine = u32::from(machine % 8);
                incarnation += 1;
                match kind % 5 {
                    0 => network.kill(machine),
                    1 => network.start(machine, incarnation),
                    2 => {
                        network.group.insert(MachineId(machine), 1);
                    }
                    3 => network.group.clear(),
                    _ => {
                        if let Some(node) = network.nodes.get_mut(&MachineId(machine)) {
                            node.frozen = !node.frozen;
                        }
                    }
                }
                network.run(Duration::from_secs(4));
            }
            network.loss_permille = 0;
            network.group.clear();
            for node in network.nodes.values_mut() {
                node.frozen = false;
            }
            let healed = network.run_until(MINUTE * 2, Network::is_converged);
            assert!(healed.is_some());
        });
}

/// Network load at the largest supported size, after a cold start of all daemons and after a
/// configuration change. Prints the measured rates.
#[test]
fn network_load_of_370_daemons_stays_below_5000_bytes_per_second() {
    const DAEMONS: u32 = 370;
    let mut network = Network::new(DAEMONS, 11);
    let joined = network.run_until(MINUTE, Network::is_converged);
    let join_bytes = network.sent_bytes / u64::from(DAEMONS);
    println!("joined after {joined:?}, {join_bytes} bytes a daemon");
    assert!(joined.is_some());
    for name in ["after the start", "after a configuration change"] {
        network.sent_bytes = 0;
        network.run(Duration::from_secs(10));
        let rate = network.sent_bytes / u64::from(DAEMONS) / 10;
        println!("{name}: {rate} bytes a second and daemon");
        assert!(rate < 5_000, "{name}: {rate} bytes a second");
        for machine in 0..DAEMONS {
            let event = MembershipEvent::ConfigurationInForce(Revision(100));
            network.handle(MachineId(machine), event);
        }
    }
}
