//! `ponddrift-emulator platform`.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::WrapErr as _;
use ponddrift_core::machine::MachineList;
use serde_json::json;

use super::{announce, arguments, until_stopped};
use crate::platform::{Platform, PlatformAddresses, PlatformSettings};

/// The subcommand's arguments.
#[must_use]
pub fn command() -> Command {
    Command::new("platform")
        .about("Key-value service (etcd v3 JSON gateway), machine list and weight store")
        .after_help(
            "Control listener: GET|POST /faults, GET /test/counters, POST /compact {\"revision\":N},\n\
             GET|PUT /v1/machines, GET|POST /machine_list/settings, GET|POST /weights/settings.\n\
             Faults: {\"rate_limit\":{\"per_second\":50,\"burst\":10},\"outage\":\"none|refuse|drop\",\
             \"slowness_ms\":0,\"slowness_jitter_ms\":0,\
             \"lost_answers\":{\"probability\":0.0,\"next\":0}}",
        )
        .arg(arguments::listen("key-value", "Where the key-value service listens"))
        .arg(arguments::listen("machine-list", "Where the machine list listens"))
        .arg(arguments::listen("weight-store", "Where the weight store listens"))
        .arg(arguments::listen("control", "Where faults and settings are changed"))
        .arg(
            Arg::new("machines")
                .long("machines")
                .value_name("FILE")
                .help("First machine list, as JSON")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(arguments::json("faults", "First faults of the key-value service"))
        .arg(arguments::json("machine-list-settings", "{\"lag_ms\":0,\"outage\":false}"))
        .arg(arguments::json(
            "weight-store-settings",
            "{\"model_bytes\":16000000000,\"bytes_per_second\":8000000000,\"outage\":false}",
        ))
        .arg(arguments::seed())
}

/// Runs until stopped.
///
/// # Errors
/// When an argument does not fit or an address cannot be bound.
pub async fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let runtime = arguments::runtime(matches);
    let addresses = PlatformAddresses {
        key_value: arguments::address(matches, "key-value"),
        machine_list: arguments::address(matches, "machine-list"),
        weight_store: arguments::address(matches, "weight-store"),
        control: arguments::address(matches, "control"),
    };
    let settings = PlatformSettings {
        faults: arguments::read_json(matches, "faults")?,
        machines: read_machines(matches.get_one("machines"))?,
        machine_list: arguments::read_json(matches, "machine-list-settings")?,
        weight_store: arguments::read_json(matches, "weight-store-settings")?,
    };
    let platform = Platform::start(&runtime, addresses, settings).await?;
    let addresses = platform.addresses;
    announce(json!({
        "address": addresses.key_value,
        "key_value": addresses.key_value,
        "machine_list": addresses.machine_list,
        "weight_store": addresses.weight_store,
        "control": addresses.control,
    }))?;
    until_stopped().await
}

fn read_machines(file: Option<&PathBuf>) -> eyre::Result<MachineList> {
    let Some(file) = file else {
        return Ok(MachineList::default());
    };
    let text = std::fs::read_to_string(file)
        .wrap_err_with(|| format!("{} cannot be read", file.display()))?;
    serde_json::from_str(&text)
        .wrap_err_with(|| format!("{} is not a machine list", file.display()))
}
