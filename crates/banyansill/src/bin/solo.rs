//! The whole system in one process, for newcomers.

use {
    banyansill::solo::{self, SoloSettings},
    banyansill_runtime::logs::LogHandle,
    miette::{IntoDiagnostic, Result},
    tokio::signal::unix::{SignalKind, signal},
};

mod flags {
    #![allow(clippy::must_use_candidate, clippy::missing_errors_doc)]

    use std::{net::SocketAddr, path::PathBuf};

    xflags::xflags! {
        /// Runs a control, an entry and a stand-in group of three servers on loopback.
        cmd banyansill-solo {
            /// Address for callers; 127.0.0.1:6432 unless given.
            optional --listen address: SocketAddr
            /// Folder of the control state; a temporary one unless given.
            optional --data-dir folder: PathBuf
            /// Replication lag of the replicas in milliseconds.
            optional --lag-ms lag: u64
            /// Log levels, such as `info`.
            optional --log levels: String
            /// Prints the version.
            optional --version
        }
    }
}

#[tokio::main]
async fn main() -> Result<()> {
    let flags = flags::BanyansillSolo::from_env_or_exit();
    if flags.version {
        println!("banyansill-solo {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let _logs = LogHandle::open(flags.log.as_deref().unwrap_or("warn"), None)?;
    let temporary = tempfile::tempdir().into_diagnostic()?;
    let settings = SoloSettings {
        listen: flags.listen.unwrap_or_else(|| ([127, 0, 0, 1], 6432).into()),
        data: flags.data_dir.unwrap_or_else(|| temporary.path().to_owned()),
        lag_ms: flags.lag_ms.unwrap_or(50),
    };
    let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
    let mut interrupt = signal(SignalKind::interrupt()).into_diagnostic()?;
    let system = solo::spawn(settings).await?;
    println!("ready: {}", system.url());
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    system.stop().await;
    Ok(())
}
