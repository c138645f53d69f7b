//! Puts the parts of a daemon together. Nothing is decided here.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ponddrift_core::admission::{Admission, AdmissionEvent, AdmissionSettings, DAEMON_WAIT_TARGET};
use ponddrift_core::claims::{ClaimMember, ShardMap};
use ponddrift_core::configuration::Configuration;
use ponddrift_core::machine::MachineList;
use ponddrift_core::membership::{
    DaemonFacts, Life, MemberRecord, MemberState, Membership, MembershipSettings,
};
use ponddrift_core::random::seeded;
use ponddrift_core::retry::{RetryBudgetSettings, RetryPolicy, RetrySettings};
use ponddrift_core::routing::{Router, RouterSettings};
use ponddrift_core::{Incarnation, Timestamp};
use ponddrift_engine::completions::CompletionsClient;
use ponddrift_engine::control::ControlClient;
use ponddrift_engine::load::LoadClient;
use ponddrift_http::{Client, ClientSettings, Server, ServerSettings};
use ponddrift_platform::etcd::{EtcdSettings, EtcdStore};
use ponddrift_platform::machines::HttpMachineList;
use ponddrift_protocol::cluster_hash;
use ponddrift_runtime::Runtime;
use ponddrift_runtime::watch;
use tokio::sync::{mpsc, oneshot};
use xtra::Address;

use super::claim_groups::ClaimGroups;
use super::controllers::{ControllerEvents, ControllerSupervisor};
use super::{Daemon, DaemonAddresses, StartError, duties, limits};
use crate::actors::admission::{AdmissionActor, NotifyAdmission};
use crate::actors::claims::ClaimsActor;
use crate::actors::configuration::ConfigurationActor;
use crate::actors::controller::ControllerDependencies;
use crate::actors::peer::{PeerActor, PeerDependencies};
use crate::actors::routing::RoutingActor;
use crate::actors::{start, tell};
use crate::configuration;
use crate::decisions::DecisionLog;
use crate::fleet::{self, FleetReceiver, FleetSenders};
use crate::gateway::{ClaimDependencies, Gateway, GatewayContext};
use crate::metrics::Metrics;
use crate::operator::{Fixed, OperatorContext, OperatorEndpoint};
use crate::peer::client::PeerClient;
use crate::peer::requests::PeerRequests;
use crate::peer::socket::{self, PeerSockets};
use crate::peer::view::MembersView;
use crate::peer::{PeerIdentity, server};
use crate::polling::{self, EnginePoller};
use crate::requests::RequestRegister;
use crate::settings::Settings;

/// Time limit of a request to a peer.
const PEER_TIME_LIMIT: Duration = Duration::from_secs(2);

impl Daemon {
    /// Starts a daemon. `incarnation` must be larger than that of any earlier start of this machine.
    ///
    /// # Errors
    /// [`StartError`] when an address cannot be bound.
    pub async fn start(
        runtime: Runtime,
        settings: Settings,
        incarnation: Incarnation,
    ) -> Result<Self, StartError> {
        let identity = PeerIdentity {
            cluster: cluster_hash(&settings.daemon.cluster),
            machine: settings.daemon.id,
            incarnation,
        };
        let sockets = socket::bind(&runtime, settings.listen.peer)
            .await
            .map_err(StartError::bind("listen.peer", settings.listen.peer))?;
        let (shared, members_sender) = Shared::new(&runtime, &settings, identity);
        let (context, caught_up_sender) = gateway_context(&shared);
        let gateway = start_gateway(&shared, Arc::clone(&context)).await?;
        let endpoint = OperatorEndpoint::new();
        let operator = start_operator(&shared, endpoint.clone()).await?;
        let addresses = DaemonAddresses {
            gateway: gateway.address(),
            operator: operator.address(),
            peer: sockets.address,
        };
        let own = own_record(&settings, incarnation, addresses);
        let PeerSide {
            peers,
            stop_controllers,
        } = start_peers(
            &shared,
            &context,
            sockets,
            own,
            (members_sender, caught_up_sender),
        );
        endpoint.open(operator_context(&shared, &context, &peers, addresses));
        Ok(Self {
            gateway,
            operator,
            context,
            peers,
            stop_controllers,
            addresses,
        })
    }
}

/// What many parts need.
struct Shared {
    runtime: Runtime,
    settings: Settings,
    identity: PeerIdentity,
    client: Client,
    metrics: Arc<Metrics>,
    decisions: DecisionLog,
    fleet: FleetReceiver,
    machine_list_confirmed_at: watch::Receiver<Timestamp>,
    configuration: watch::Receiver<Arc<Configuration>>,
    configuration_actor: Address<ConfigurationActor>,
    store: Arc<EtcdStore>,
    members: watch::Receiver<Arc<MembersView>>,
    claims_actor: Address<ClaimsActor>,
    shard_map: watch::Receiver<Arc<ShardMap>>,
}

impl Shared {
    fn new(
        runtime: &Runtime,
        settings: &Settings,
        identity: PeerIdentity,
    ) -> (Self, watch::Sender<Arc<MembersView>>) {
        let client = Client::new(runtime, ClientSettings::default());
        let metrics = Arc::new(Metrics::new());
        let decisions = DecisionLog::new(Arc::clone(&runtime.clock));
        let (list, fleet) = watch::channel(Arc::new(MachineList::default()));
        let (confirmed, machine_list_confirmed_at) = watch::channel(Timestamp::ZERO);
        let machine_list = HttpMachineList::new(
            client.clone(),
            settings.platform.machine_list,
            settings.platform.call_time_limit,
        );
        runtime.spawner.spawn(Box::pin(fleet::follow(
            Arc::new(machine_list),
            settings.platform.machine_list_interval,
            Arc::clone(&runtime.clock),
            FleetSenders { list, confirmed },
        )));
        let (configuration_sender, configuration) =
            watch::channel(Arc::new(Configuration::default()));
        let configuration_actor = start(
            runtime,
            ConfigurationActor::new(
                configuration_sender,
                Arc::clone(&metrics),
                decisions.clone(),
            ),
        );
        let store_settings = EtcdSettings {
            addresses: settings.platform.key_value.clone(),
            time_limit: settings.platform.call_time_limit,
        };
        let store = Arc::new(EtcdStore::new(client.clone(), store_settings));
        let (members_sender, members) =
            watch::channel(Arc::new(MembersView::empty(identity.machine)));
        let (map_sender, shard_map) = watch::channel(Arc::new(ShardMap::default()));
        let clock = Arc::clone(&runtime.clock);
        let claims = ClaimsActor::new(claim_member(identity), map_sender, clock);
        let claims_actor = start(runtime, claims);
        let shared = Self {
            runtime: runtime.clone(),
            settings: settings.clone(),
            identity,
            client,
            metrics,
            decisions,
            fleet,
            machine_list_confirmed_at,
            configuration,
            configuration_actor,
            store,
            members,
            claims_actor,
            shard_map,
        };
        (shared, members_sender)
    }

    fn claim_member(&self) -> ClaimMember {
        claim_member(self.identity)
    }

    fn peer_client(&self) -> PeerClient {
        PeerClient::new(&self.runtime, self.identity, PEER_TIME_LIMIT)
    }
}

fn claim_member(identity: PeerIdentity) -> ClaimMember {
    ClaimMember {
        machine: identity.machine,
        incarnation: identity.incarnation,
    }
}

fn gateway_context(shared: &Shared) -> (Arc<GatewayContext>, watch::Sender<bool>) {
    let (caught_up_sender, caught_up) = watch::channel(false);
    let Shared {
        runtime, settings, ..
    } = shared;
    let context = GatewayContext {
        completion_admission: start_admission(runtime, settings, "completions"),
        plain_admission: start_admission(runtime, settings, "plain"),
        completions: CompletionsClient::new(shared.client.clone()),
        random: GatewayContext::random(runtime),
        runtime: runtime.clone(),
        settings: settings.clone(),
        client: shared.client.clone(),
        fleet: shared.fleet.clone(),
        configuration: shared.configuration.clone(),
        routing: start_routing(runtime, settings),
        caught_up,
        metrics: Arc::clone(&shared.metrics),
        decisions: shared.decisions.clone(),
        claims: ClaimDependencies {
            own: shared.claim_member(),
            shard_map: shared.shard_map.clone(),
            members: shared.members.clone(),
            client: shared.peer_client(),
        },
        demand: Arc::default(),
        requests: RequestRegister::default(),
        stopping: watch::Sender::new(false),
    };
    (Arc::new(context), caught_up_sender)
}

async fn start_gateway(
    shared: &Shared,
    context: Arc<GatewayContext>,
) -> Result<Server, StartError> {
    let address = shared.settings.listen.gateway;
    let server_settings = ServerSettings {
        header_time_limit: shared.settings.gateway.header_time_limit,
        ..ServerSettings::default()
    };
    let handler = Arc::new(Gateway::new(context));
    Server::start(&shared.runtime, address, server_settings, handler)
        .await
        .map_err(StartError::bind("listen.gateway", address))
}

async fn start_operator(shared: &Shared, endpoint: OperatorEndpoint) -> Result<Server, StartError> {
    let address = shared.settings.listen.operator;
    let handler = Arc::new(endpoint);
    Server::start(&shared.runtime, address, ServerSettings::default(), handler)
        .await
        .map_err(StartError::bind("listen.operator", address))
}

fn operator_context(
    shared: &Shared,
    gateway: &Arc<GatewayContext>,
    peers: &Address<PeerActor>,
    addresses: DaemonAddresses,
) -> OperatorContext {
    let Shared {
        runtime,
        settings,
        identity,
        ..
    } = shared;
    // Daemons of one process may share a seed; their change ids must differ all the same.
    let life = format!("operator {} {}", identity.machine, identity.incarnation);
    OperatorContext {
        gateway: Arc::clone(gateway),
        own: identity.machine,
        peers: peers.clone(),
        peer_client: PeerClient::new(runtime, *identity, PEER_TIME_LIMIT),
        configuration: shared.configuration_actor.clone(),
        store: Arc::clone(&shared.store) as _,
        random: Mutex::new(seeded(runtime.seed, &life)),
        status: Fixed {
            zone: settings.daemon.zone.clone(),
            region: settings.daemon.region.clone(),
            incarnation: identity.incarnation,
            addresses,
        },
    }
}

fn own_record(
    settings: &Settings,
    incarnation: Incarnation,
    addresses: DaemonAddresses,
) -> MemberRecord {
    MemberRecord {
        machine: settings.daemon.id,
        life: Life {
            incarnation,
            refutation: 0,
        },
        state: MemberState::Alive,
        peer_address: addresses.peer,
        gateway_address: addresses.gateway,
        operator_address: addresses.operator,
        zone: settings.daemon.zone.clone(),
        region: settings.daemon.region.clone(),
        facts: DaemonFacts::default(),
    }
}

fn start_peers(
    shared: &Shared,
    context: &GatewayContext,
    sockets: PeerSockets,
    own: MemberRecord,
    (members_sender, caught_up): (watch::Sender<Arc<MembersView>>, watch::Sender<bool>),
) -> PeerSide {
    let Shared {
        runtime,
        settings,
        identity,
        ..
    } = shared;
    let members = shared.members.clone();
    let (controllers, known_controllers) = watch::channel(BTreeMap::new());
    let (controller_inputs, inputs) = mpsc::unbounded_channel();
    let resumed = watch::Sender::new(Timestamp::ZERO);
    let woke_receiver = resumed.subscribe();
    let deps = PeerDependencies {
        socket: Arc::clone(&sockets.datagrams),
        identity: *identity,
        client: shared.peer_client(),
        routing: context.routing.clone(),
        configuration: shared.configuration_actor.clone(),
        claims: shared.claims_actor.clone(),
        shard_map: shared.shard_map.clone(),
        members: members_sender,
        controllers,
        controller_inputs,
        fleet: shared.fleet.clone(),
        machine_list_confirmed_at: shared.machine_list_confirmed_at.clone(),
        metrics: Arc::clone(&shared.metrics),
        caught_up,
        resumed,
    };
    let membership = Membership::new(membership_settings(settings), own, runtime.seed);
    let peers = start(runtime, PeerActor::new(runtime, deps, membership));
    let requests = PeerRequests {
        configuration: shared.configuration_actor.clone(),
        peers: peers.clone(),
        claims: shared.claims_actor.clone(),
        shard_map: shared.shard_map.clone(),
        decisions: shared.decisions.clone(),
    };
    let spawn = |task| runtime.spawner.spawn(task);
    spawn(Box::pin(server::serve(
        runtime.clone(),
        sockets.listener,
        *identity,
        Arc::new(requests),
    )));
    spawn(Box::pin(duties::receive(
        sockets.datagrams,
        Arc::clone(&shared.metrics),
        *identity,
        peers.clone(),
    )));
    spawn(Box::pin(duties::tick(peers.clone())));
    spawn(Box::pin(duties::pass_on_fleet(
        shared.fleet.clone(),
        peers.clone(),
    )));
    spawn(Box::pin(duties::pass_on_configuration(
        shared.configuration.clone(),
        peers.clone(),
    )));
    spawn(Box::pin(limits::follow(
        shared.configuration.clone(),
        members.clone(),
        [
            context.completion_admission.clone(),
            context.plain_admission.clone(),
        ],
    )));
    let is_watcher = watch::Sender::new(false);
    spawn(Box::pin(configuration::follow(
        Arc::clone(&shared.store) as _,
        shared.configuration_actor.clone(),
        is_watcher.subscribe(),
    )));
    spawn(Box::pin(duties::elect_watcher(
        identity.machine,
        settings.daemon.zone.clone(),
        members.clone(),
        is_watcher,
    )));
    spawn(Box::pin(duties::report_demand(
        Arc::clone(&context.demand),
        settings.planner.interval,
        peers.clone(),
    )));
    let claim_groups = ClaimGroups {
        store: Arc::clone(&shared.store) as _,
        client: shared.peer_client(),
        claims: shared.claims_actor.clone(),
        shard_map: shared.shard_map.clone(),
        members: members.clone(),
        fleet: shared.fleet.clone(),
    };
    spawn(Box::pin(claim_groups.run()));
    let (stop_controllers, stop) = mpsc::channel(1);
    let supervisor = ControllerSupervisor::new(
        ControllerDependencies {
            runtime: runtime.clone(),
            settings: settings.clone(),
            identity: *identity,
            store: Arc::clone(&shared.store) as _,
            control: ControlClient::new(shared.client.clone(), settings.control.order_time_limit),
            load: LoadClient::new(shared.client.clone(), settings.control.order_time_limit),
            peers: peers.clone(),
            members: members.clone(),
            fleet: shared.fleet.clone(),
            configuration: shared.configuration.clone(),
            decisions: shared.decisions.clone(),
        },
        known_controllers,
    );
    spawn(Box::pin(supervisor.run(ControllerEvents {
        inputs,
        resumed: woke_receiver,
        stop,
    })));
    spawn(Box::pin(polling::follow(
        EnginePoller::new(&shared.client, settings.load.poll_interval),
        settings.load.poll_interval,
        shared.fleet.clone(),
        members.clone(),
        peers.clone(),
    )));
    PeerSide {
        peers,
        stop_controllers,
    }
}

/// What the daemon keeps of its peers' side.
struct PeerSide {
    peers: Address<PeerActor>,
    stop_controllers: mpsc::Sender<oneshot::Sender<()>>,
}

fn membership_settings(settings: &Settings) -> MembershipSettings {
    MembershipSettings {
        probe_period: settings.membership.probe_interval,
        direct_timeout: settings.membership.probe_time_limit,
        ..MembershipSettings::default()
    }
}

fn start_routing(runtime: &Runtime, settings: &Settings) -> Address<RoutingActor> {
    let budget = RetryBudgetSettings {
        share_of_successes: f64::from(settings.retry.budget_percent) / 100.0,
        ..RetryBudgetSettings::default()
    };
    let retry_settings = RetrySettings {
        maximum_attempts: settings.retry.maximum_attempts,
        budget,
        ..RetrySettings::default()
    };
    let actor = RoutingActor::new(
        Router::new(RouterSettings::default(), runtime.seed),
        RetryPolicy::new(retry_settings, runtime.seed),
        Arc::clone(&runtime.clock),
    );
    start(runtime, actor)
}

fn start_admission(runtime: &Runtime, settings: &Settings, kind: &str) -> Address<AdmissionActor> {
    let admission_settings = AdmissionSettings {
        queue_length: settings.admission.queue_length,
        max_capacity_multiple: 1.0,
        wait_target: DAEMON_WAIT_TARGET,
        ..AdmissionSettings::default()
    };
    let seed = runtime.seed ^ xxhash_rust::xxh3::xxh3_64(kind.as_bytes());
    let admission = Admission::new(admission_settings, seed);
    let address = start(runtime, AdmissionActor::new(runtime, admission));
    let slots = u32::try_from(settings.admission.maximum_in_flight).unwrap_or(u32::MAX);
    tell(
        &address,
        NotifyAdmission(AdmissionEvent::CapacityChanged { slots }),
    );
    address
}
