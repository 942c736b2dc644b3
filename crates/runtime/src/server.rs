//! `ntex` servers on dedicated threads.
//!
//! The rest of a process runs on a multi-threaded tokio runtime, but an `ntex` server needs its own
//! `System` and its services are not `Send`.

use {
    ntex::server::{Server, ServerBuilder},
    std::{io, thread},
    tokio::sync::{oneshot, watch},
};

/// Running server; dropping the handle does not stop it.
#[derive(Debug)]
#[must_use]
pub struct ServerHandle {
    server: Server,
    stopped: watch::Receiver<bool>,
}

impl ServerHandle {
    /// Starts a server thread; `configure` binds the listeners.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started or `configure` fails.
    pub async fn spawn<F>(name: &str, workers: usize, configure: F) -> io::Result<Self>
    where
        F: FnOnce(ServerBuilder) -> io::Result<ServerBuilder> + Send + 'static,
    {
        let (start_sender, start_result) = oneshot::channel();
        let (stop_sender, stopped) = watch::channel(false);
        let system = name.to_owned();
        thread::Builder::new().name(name.to_owned()).spawn(move || {
            let runner = ntex::rt::System::new(&system, ntex::rt::DefaultRuntime);
            let result = runner.block_on(async move {
                let builder = ntex::server::build().workers(workers).disable_signals();
                let server = match configure(builder) {
                    Ok(builder) => builder.run(),
                    Err(error) => {
                        let _ = start_sender.send(Err(error));
                        return Ok(());
                    }
                };
                let _ = start_sender.send(Ok(server.clone()));
                server.await
            });
            if let Err(error) = result {
                log::error!("server {system} failed: {error}");
            }
            let _ = stop_sender.send(true);
        })?;
        let server = start_result.await.map_err(|_| io::Error::other("server thread ended"))??;
        Ok(Self { server, stopped })
    }

    /// Stops the server; with `graceful`, lets open connections finish within its shutdown timeout.
    pub async fn stop(&self, graceful: bool) {
        self.server.stop(graceful).await;
        let mut stopped = self.stopped.clone();
        let _ = stopped.wait_for(|stopped| *stopped).await;
    }
}
