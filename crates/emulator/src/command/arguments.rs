//! Arguments that several subcommands share.

use std::net::SocketAddr;

use clap::{Arg, ArgMatches, value_parser};
use eyre::WrapErr as _;
use ponddrift_runtime::Runtime;
use serde::de::DeserializeOwned;

/// Loopback with a free port.
pub const FREE_PORT: &str = "127.0.0.1:0";

/// An address to listen on.
pub fn listen(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("ADDRESS")
        .help(help)
        .default_value(FREE_PORT)
        .value_parser(value_parser!(SocketAddr))
}

/// An address given by [`listen`].
pub fn address(matches: &ArgMatches, name: &str) -> SocketAddr {
    *matches
        .get_one(name)
        .expect("the argument has a default value")
}

/// Seed of every random choice.
pub fn seed() -> Arg {
    Arg::new("seed")
        .long("seed")
        .value_name("NUMBER")
        .help("Seed of every random choice")
        .default_value("1")
        .value_parser(value_parser!(u64))
}

/// The seed given by [`seed`].
pub fn seed_of(matches: &ArgMatches) -> u64 {
    *matches.get_one("seed").expect("the seed has a default")
}

/// The real surroundings with the seed given by [`seed`].
pub fn runtime(matches: &ArgMatches) -> Runtime {
    Runtime::system(seed_of(matches))
}

/// A setting given as JSON.
pub fn json(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("JSON").help(help)
}

/// Reads a setting given by [`json`]; absent: the default.
pub fn read_json<T: DeserializeOwned + Default>(
    matches: &ArgMatches,
    name: &str,
) -> eyre::Result<T> {
    let Some(text) = matches.get_one::<String>(name) else {
        return Ok(T::default());
    };
    serde_json::from_str(text).wrap_err_with(|| format!("--{name} is not the JSON it should be"))
}
