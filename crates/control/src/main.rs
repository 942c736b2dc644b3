//! The control process.

use {
    banyansill_control::{handle, settings::ControlSettings},
    banyansill_runtime::{
        logs::LogHandle,
        settings::{self, EXIT_USAGE},
    },
    std::{path::PathBuf, process::ExitCode},
    tokio::signal::unix::{SignalKind, signal},
};

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs one replica of banyansill's control state.
        cmd banyansill-control {
            /// Settings file: JSON with comments.
            optional -c, --config file: PathBuf
            /// Checks the settings, reports every fault and exits.
            optional --check
            /// Prints the version.
            optional --version
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::BanyansillControl::from_env_or_exit();
    if flags.version {
        println!("banyansill-control {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(path) = flags.config else {
        eprintln!("banyansill-control: --config FILE is required; see --help");
        return usage();
    };
    match run(path, flags.check) {
        Ok(()) => ExitCode::SUCCESS,
        Err(code) => code,
    }
}

fn usage() -> ExitCode {
    ExitCode::from(u8::try_from(EXIT_USAGE).unwrap_or(1))
}

fn run(path: PathBuf, check: bool) -> Result<(), ExitCode> {
    let settings: ControlSettings = settings::load(&path).map_err(|report| {
        eprintln!("{:?}", miette::Report::new(report));
        usage()
    })?;
    if check {
        println!("{}: no faults", path.display());
        return Ok(());
    }
    let fail = |report: miette::Report| {
        eprintln!("{report:?}");
        ExitCode::FAILURE
    };
    let _logs = LogHandle::open(&settings.log, settings.log_folder.as_deref())
        .map_err(|error| fail(miette::Report::new(error)))?;
    let runtime = tokio::runtime::Runtime::new()
        .map_err(|error| fail(miette::Report::msg(format!("runtime: {error}"))))?;
    runtime.block_on(serve(settings)).map_err(fail)
}

async fn serve(settings: ControlSettings) -> Result<(), miette::Report> {
    let signals = |kind| signal(kind).map_err(|error| miette::Report::msg(error.to_string()));
    let mut terminate = signals(SignalKind::terminate())?;
    let mut interrupt = signals(SignalKind::interrupt())?;
    let control = handle::spawn(settings).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    control.stop().await;
    Ok(())
}
