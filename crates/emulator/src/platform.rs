//! Stand-in of the platform: key-value service, machine list and weight store, with one control listener.

pub mod key_value;
pub mod machine_list;
pub mod weight_store;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use futures::future::BoxFuture;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use ponddrift_core::machine::MachineList;
use ponddrift_http::Body;
use ponddrift_platform::machines::MACHINES_PATH;
use ponddrift_runtime::Runtime;
use serde::{Deserialize, Serialize};

use crate::server::{
    Answer, Refused, StandIn, StandInServer, json_ok, not_found, read_json, text_response,
};
use key_value::{KeyValueFaults, KeyValueService};
use machine_list::{MachineListService, MachineListSettings};
use weight_store::{WeightStore, WeightStoreSettings};

/// `GET`, `POST`: [`KeyValueFaults`] of the key-value service.
pub const FAULTS_PATH: &str = "/faults";
/// `GET`: calls of the key-value service by kind.
pub const COUNTERS_PATH: &str = "/test/counters";
/// `POST`: [`CompactRequest`].
pub const COMPACT_PATH: &str = "/compact";
/// `GET`, `POST`: [`MachineListSettings`].
pub const MACHINE_SETTINGS_PATH: &str = "/machine_list/settings";
/// `GET`, `POST`: [`WeightStoreSettings`].
pub const WEIGHT_SETTINGS_PATH: &str = "/weights/settings";

/// Where the parts listen; port 0 takes a free one.
#[derive(Debug, Clone, Copy)]
pub struct PlatformAddresses {
    /// Key-value service.
    pub key_value: SocketAddr,
    /// Machine list.
    pub machine_list: SocketAddr,
    /// Weight store.
    pub weight_store: SocketAddr,
    /// Control listener.
    pub control: SocketAddr,
}

/// What a platform starts with.
#[derive(Debug, Clone, Default)]
pub struct PlatformSettings {
    /// Faults of the key-value service.
    pub faults: KeyValueFaults,
    /// First machine list.
    pub machines: MachineList,
    /// How the list is shown.
    pub machine_list: MachineListSettings,
    /// How weights are transferred.
    pub weight_store: WeightStoreSettings,
}

/// Compacts the key-value service's history.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct CompactRequest {
    /// Oldest revision that can still be watched afterwards.
    pub revision: i64,
}

/// A running platform.
pub struct Platform {
    /// The key-value service, with its faults and counters.
    pub key_value: Arc<KeyValueService>,
    /// The machine list.
    pub machine_list: Arc<MachineListService>,
    /// The weight store.
    pub weight_store: Arc<WeightStore>,
    /// Where everything listens.
    pub addresses: PlatformAddresses,
    _servers: [StandInServer; 4],
}

impl Platform {
    /// Starts all parts.
    ///
    /// # Errors
    /// When an address cannot be bound.
    pub async fn start(
        runtime: &Runtime,
        addresses: PlatformAddresses,
        settings: PlatformSettings,
    ) -> io::Result<Self> {
        let key_value = KeyValueService::new(runtime, settings.faults);
        let machine_list = Arc::new(MachineListService::new(
            settings.machines,
            settings.machine_list,
        ));
        let weight_store = Arc::new(WeightStore::new(settings.weight_store));
        let control = Arc::new(PlatformControl {
            key_value: Arc::clone(&key_value),
            machine_list: Arc::clone(&machine_list),
            weight_store: Arc::clone(&weight_store),
        });
        let servers = [
            StandInServer::start(runtime, addresses.key_value, Arc::clone(&key_value)).await?,
            StandInServer::start(runtime, addresses.machine_list, Arc::clone(&machine_list))
                .await?,
            StandInServer::start(runtime, addresses.weight_store, Arc::clone(&weight_store))
                .await?,
            StandInServer::start(runtime, addresses.control, control).await?,
        ];
        let [
            key_value_server,
            machine_list_server,
            weight_server,
            control_server,
        ] = &servers;
        let addresses = PlatformAddresses {
            key_value: key_value_server.address(),
            machine_list: machine_list_server.address(),
            weight_store: weight_server.address(),
            control: control_server.address(),
        };
        Ok(Self {
            key_value,
            machine_list,
            weight_store,
            addresses,
            _servers: servers,
        })
    }
}

/// Changes the platform at run time.
struct PlatformControl {
    key_value: Arc<KeyValueService>,
    machine_list: Arc<MachineListService>,
    weight_store: Arc<WeightStore>,
}

impl StandIn for PlatformControl {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Answer> {
        Box::pin(async move {
            Ok(self
                .answer(request)
                .await
                .unwrap_or_else(Refused::into_response))
        })
    }
}

impl PlatformControl {
    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Body>, Refused> {
        let path = request.uri().path().to_owned();
        let writes = request.method() == Method::POST || request.method() == Method::PUT;
        match path.as_str() {
            FAULTS_PATH if writes => self.key_value.faults().set(read_json(request).await?),
            FAULTS_PATH => return Ok(json_ok(&self.key_value.faults().get())),
            COUNTERS_PATH => return Ok(json_ok(&self.key_value.calls())),
            COMPACT_PATH if writes => {
                let wanted: CompactRequest = read_json(request).await?;
                self.key_value.compact(wanted.revision);
            }
            MACHINES_PATH if writes => self.machine_list.replace(read_json(request).await?),
            MACHINES_PATH => return Ok(json_ok(&self.machine_list.current())),
            MACHINE_SETTINGS_PATH if writes => {
                self.machine_list.set_settings(read_json(request).await?);
            }
            MACHINE_SETTINGS_PATH => return Ok(json_ok(&self.machine_list.settings())),
            WEIGHT_SETTINGS_PATH if writes => {
                self.weight_store.set_settings(read_json(request).await?);
            }
            WEIGHT_SETTINGS_PATH => return Ok(json_ok(&self.weight_store.settings())),
            _ => return Err(not_found(&path).into()),
        }
        Ok(text_response(StatusCode::OK, "done\n"))
    }
}
