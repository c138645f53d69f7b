//! `ponddrift-serve`: the daemon program that runs on each machine of a platform with a store.

use std::process::ExitCode;
use std::sync::Arc;

use eyre::Result;
use ponddrift_runtime::SystemNetwork;
use ponddrift_serve::program;

fn main() -> Result<ExitCode> {
    program::run_from_arguments(Arc::new(SystemNetwork))
}
