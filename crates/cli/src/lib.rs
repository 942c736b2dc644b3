//! The operator's command line: sheet, status, drains, control members and the time line.
//!
//! Exit codes: 0 done; 1 refused by control, for example a sheet conflict; 2 faulty arguments, file or
//! sheet; 3 control cannot be reached or has no leader; 4 the outcome is unknown, and the same command
//! with the same `--request-id` learns it.

mod client;
mod commands;
mod flags;
mod output;
mod sheets;
mod timeline;

pub use output::{CommandOutput, EXIT_REFUSED, EXIT_UNKNOWN, EXIT_UNREACHABLE, EXIT_USAGE};

use {
    client::{ClientError, ControlAccess},
    flags::{Banyansill, BanyansillCmd},
    std::{ffi::OsString, fs, path::Path},
};

/// Reads the token from a file, so that no list of processes shows it.
fn read_token(path: &Path) -> Result<String, String> {
    let text = fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let token = text.trim();
    if token.is_empty() || token.contains(char::is_whitespace) {
        return Err(format!("{}: expected one token", path.display()));
    }
    Ok(token.to_owned())
}

/// Runs one command with the arguments after the program's name.
pub fn run(arguments: Vec<OsString>) -> CommandOutput {
    let flags = match Banyansill::from_vec(arguments) {
        Ok(flags) => flags,
        Err(error) if error.is_help() => return CommandOutput::text(format!("{error}\n")),
        Err(error) => return CommandOutput::usage(&error.to_string()),
    };
    if flags.version {
        return CommandOutput::text(format!("banyansill {}\n", env!("CARGO_PKG_VERSION")));
    }
    let token = match flags.token_file.as_deref().map(read_token).transpose() {
        Ok(token) => token,
        Err(message) => return CommandOutput::usage(&message),
    };
    let token = token.as_deref();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return CommandOutput::usage(&format!("runtime: {error}")),
    };
    let result = match flags.subcommand {
        BanyansillCmd::NoCommand(_) => {
            return CommandOutput::usage("a command is required; see --help");
        }
        // The HTTP client brings a runtime of its own.
        BanyansillCmd::Timeline(command) => return timeline::run(&command, token, flags.json),
        BanyansillCmd::Sheet(command) => {
            let access = ControlAccess::new(&flags.control, token);
            runtime.block_on(sheets::run(command, &access, flags.json))
        }
        command => {
            let access = ControlAccess::new(&flags.control, token);
            runtime.block_on(commands::run(command, &access, flags.json))
        }
    };
    result.unwrap_or_else(|error: ClientError| CommandOutput::client_error(&error))
}
