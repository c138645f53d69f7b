//! `ponddrift`: the command-line client for operators.

mod arguments;
mod client;
mod error;
mod interactive;
mod losses;
mod output;
mod run;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = arguments::command().get_matches();
    match run::run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ponddrift: {error}");
            error.exit_code()
        }
    }
}
