//! The daemon program with a network whose paths a soak run can cut.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use eyre::{Context, Result};
use ponddrift_runtime::{Network, SystemNetwork};
use ponddrift_serve::program;
use ponddrift_soak::faulty_network::{CONTROL_VARIABLE, FaultyNetwork};

fn main() -> Result<ExitCode> {
    let control: SocketAddr = std::env::var(CONTROL_VARIABLE)
        .wrap_err_with(|| format!("set {CONTROL_VARIABLE} to the address for control messages"))?
        .parse()
        .wrap_err_with(|| format!("{CONTROL_VARIABLE} is not an address and a port"))?;
    let network: Arc<dyn Network> = Arc::new(SystemNetwork);
    let faulty = FaultyNetwork::listen(network, control)
        .wrap_err_with(|| format!("cannot bind {control}: is another process using it?"))?;
    program::run_from_arguments(Arc::new(faulty))
}
