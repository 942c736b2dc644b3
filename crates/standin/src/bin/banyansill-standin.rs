//! Stand-in for one server of a database group.

use {
    banyansill_runtime::{
        logs::LogHandle,
        settings::{self, EXIT_USAGE},
    },
    banyansill_standin::settings::StandinSettings,
    std::process::exit,
    tokio::signal::unix::{SignalKind, signal},
};

// The generated items carry no documentation.
#[allow(missing_docs)]
mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Stand-in for one server of a database group.
        cmd banyansill-standin {
            /// Settings file: JSON with comments.
            optional -c, --config file: PathBuf
            /// Checks the settings, reports every fault and exits.
            optional --check
            /// Prints the version.
            optional --version
        }
    }
}

fn main() -> miette::Result<()> {
    let flags = flags::BanyansillStandin::from_env_or_exit();
    if flags.version {
        println!("banyansill-standin {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let Some(path) = flags.config else {
        eprintln!("banyansill-standin: --config FILE is required; see --help");
        exit(EXIT_USAGE);
    };
    let settings = match settings::load::<StandinSettings>(&path) {
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
    let _logs = LogHandle::open(&settings.log, None)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|error| miette::miette!("runtime: {error}"))?;
    runtime.block_on(run(settings)).map_err(|error| miette::miette!("{error}"))
}

async fn run(settings: StandinSettings) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let server = banyansill_standin::spawn(settings).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    server.stop().await;
    Ok(())
}
