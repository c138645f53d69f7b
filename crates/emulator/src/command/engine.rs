//! `ponddrift-emulator engine`.

use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::WrapErr as _;
use ponddrift_core::{EngineRole, ModelName};
use ponddrift_engine::wire::control::LoadedModel;
use serde_json::json;

use super::{announce, arguments, until_stopped};
use crate::engine::{EngineAddresses, EngineHost, EngineSettings};

/// The subcommand's arguments.
#[must_use]
pub fn command() -> Command {
    Command::new("engine")
        .about("Model engine with continuous batching over a cost model")
        .after_help(
            "Control listener: GET /test/runs, GET /test/counters, GET|POST /test/behaviour,\n\
             POST /test/crash {\"time\":\"now|in_next_change\",\"down_ms\":1000,\
             \"comes_back\":\"empty|old|new|new_role_old_model|never\"},\n\
             POST /test/freeze {\"duration_ms\":1000}.\n\
             Example: ponddrift-emulator engine --role mixed --model small",
        )
        .arg(arguments::listen("address", "Where it serves"))
        .arg(arguments::listen("control", "Where faults are injected"))
        .arg(
            Arg::new("role")
                .long("role")
                .help("First role; none: it waits for an order")
                .value_parser(["prefill", "decode", "mixed"]),
        )
        .arg(
            Arg::new("model")
                .long("model")
                .value_name("NAME")
                .help("First model, of version 1")
                .value_parser(value_parser!(ModelName)),
        )
        .arg(
            Arg::new("incarnation")
                .long("incarnation")
                .value_name("NUMBER")
                .help("First incarnation; without it the milliseconds of the wall clock")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("weight-store")
                .long("weight-store")
                .value_name("ADDRESS")
                .help("Where weights are fetched")
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(arguments::json(
            "settings",
            "All settings, for instance {\"cost\":{\"role_change_seconds\":2}}",
        ))
        .arg(arguments::seed())
}

fn role_of(name: &str) -> EngineRole {
    match name {
        "prefill" => EngineRole::Prefill,
        "decode" => EngineRole::Decode,
        _ => EngineRole::Mixed,
    }
}

fn settings(matches: &ArgMatches) -> eyre::Result<EngineSettings> {
    let mut settings: EngineSettings = arguments::read_json(matches, "settings")?;
    if let Some(role) = matches.get_one::<String>("role") {
        settings.role = Some(role_of(role));
    }
    if let Some(model) = matches.get_one::<ModelName>("model") {
        settings.model = Some(LoadedModel {
            model: model.clone(),
            version: 1,
            adapters: Vec::new(),
        });
    }
    if let Some(store) = matches.get_one("weight-store") {
        settings.weight_store = Some(*store);
    }
    settings.incarnation = match matches.get_one::<u64>("incarnation") {
        Some(number) => *number,
        None => {
            let since = SystemTime::now().duration_since(UNIX_EPOCH);
            let since = since.wrap_err("the wall clock is before 1970: give --incarnation")?;
            u64::try_from(since.as_millis())?
        }
    };
    Ok(settings)
}

/// Runs until stopped.
///
/// # Errors
/// When an argument does not fit or an address cannot be bound.
pub async fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let runtime = arguments::runtime(matches);
    let addresses = EngineAddresses {
        service: arguments::address(matches, "address"),
        control: arguments::address(matches, "control"),
    };
    let settings = settings(matches)?;
    let incarnation = settings.incarnation;
    let engine = EngineHost::start(&runtime, addresses, settings).await?;
    announce(json!({
        "address": engine.addresses().service,
        "control": engine.addresses().control,
        "incarnation": incarnation,
    }))?;
    until_stopped().await
}
