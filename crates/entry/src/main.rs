//! The entry process.

use {
    banyansill_entry::settings::EntrySettings,
    banyansill_runtime::{
        logs::LogHandle,
        settings::{self, EXIT_USAGE},
    },
    miette::{IntoDiagnostic, Result},
    std::process::exit,
    tokio::signal::unix::{SignalKind, signal},
};

mod flags {
    #![allow(clippy::must_use_candidate, clippy::missing_errors_doc)]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs one entry of banyansill.
        cmd banyansill-entry {
            /// Settings file: JSON with comments.
            optional -c, --config file: PathBuf
            /// Checks the settings, reports every fault and exits.
            optional --check
            /// Prints the version.
            optional --version
        }
    }
}

fn main() -> Result<()> {
    let flags = flags::BanyansillEntry::from_env_or_exit();
    if flags.version {
        println!("banyansill-entry {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let Some(path) = flags.config else {
        eprintln!("banyansill-entry: --config FILE is required; see --help");
        exit(EXIT_USAGE);
    };
    let settings = match settings::load::<EntrySettings>(&path) {
        Ok(settings) => settings,
        Err(report) => {
            eprintln!("{:?}", miette::Report::new(report));
            exit(EXIT_USAGE);
        }
    };
    if flags.check {
        println!("{}: no faults", path.display());
        return Ok(());
    }
    let _logs = LogHandle::open(&settings.log_levels, settings.log_directory.as_deref())?;
    let runtime = tokio::runtime::Runtime::new().into_diagnostic()?;
    runtime.block_on(run(settings))
}

async fn run(settings: EntrySettings) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
    let mut interrupt = signal(SignalKind::interrupt()).into_diagnostic()?;
    let entry = banyansill_entry::spawn(settings).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let disconnected = entry.stop().await;
    if disconnected > 0 {
        log::warn!("{disconnected} callers were disconnected at the drain timeout");
    }
    Ok(())
}
