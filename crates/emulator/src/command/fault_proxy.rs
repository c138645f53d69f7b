//! `ponddrift-emulator fault-proxy`.

use std::net::SocketAddr;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde_json::json;

use super::{announce, arguments, until_stopped};
use crate::fault_proxy::{DatagramFaultProxy, TcpFaultProxy};

/// The subcommand's arguments.
#[must_use]
pub fn command() -> Command {
    Command::new("fault-proxy")
        .about("Proxy of one TCP or UDP target that delays, cuts, blocks, throttles, drops")
        .after_help(
            "Control listener: GET|POST /faults, GET /test/counters; TCP also POST /cut, POST /reset.\n\
             TCP faults: {\"delay_ms\":0,\"block\":\"none|to_target|to_caller|both\",\
             \"bytes_per_second\":null,\"refuse\":false}\n\
             UDP faults: {\"drop\":0.0,\"duplicate\":0.0,\"reorder\":0.0,\"reorder_ms\":0,\
             \"delay_ms\":0,\"jitter_ms\":0,\"block\":\"none\"}",
        )
        .arg(arguments::listen("address", "Where callers connect or send"))
        .arg(arguments::listen("control", "Where faults are changed"))
        .arg(
            Arg::new("target")
                .long("target")
                .value_name("ADDRESS")
                .help("Where everything is passed on to")
                .required(true)
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            Arg::new("udp")
                .long("udp")
                .help("Datagrams instead of connections")
                .action(ArgAction::SetTrue),
        )
        .arg(arguments::json("faults", "First faults"))
        .arg(arguments::seed())
}

/// Runs until stopped.
///
/// # Errors
/// When an argument does not fit or an address cannot be bound.
pub async fn run(matches: &ArgMatches) -> eyre::Result<()> {
    if matches.get_flag("udp") {
        return run_datagrams(matches).await;
    }
    let runtime = arguments::runtime(matches);
    let address = arguments::address(matches, "address");
    let control = arguments::address(matches, "control");
    let target = arguments::address(matches, "target");
    let faults = arguments::read_json(matches, "faults")?;
    let proxy = TcpFaultProxy::start(&runtime, address, control, target, faults).await?;
    announce(json!({ "address": proxy.address(), "control": proxy.control_address() }))?;
    until_stopped().await
}

async fn run_datagrams(matches: &ArgMatches) -> eyre::Result<()> {
    let runtime = arguments::runtime(matches);
    let address = arguments::address(matches, "address");
    let control = arguments::address(matches, "control");
    let target = arguments::address(matches, "target");
    let faults = arguments::read_json(matches, "faults")?;
    let proxy = DatagramFaultProxy::start(&runtime, address, control, target, faults).await?;
    announce(json!({ "address": proxy.address(), "control": proxy.control_address() }))?;
    until_stopped().await
}
