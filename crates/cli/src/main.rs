//! The operator's command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    let output = banyansill_cli::run(std::env::args_os().skip(1).collect());
    print!("{}", output.text);
    eprint!("{}", output.errors);
    ExitCode::from(output.code)
}
