//! `ntex` servers on a thread of their own.
//!
//! The rest of a process runs on a multi-threaded tokio runtime; an `ntex` server needs a system of
//! its own and its services are not `Send`.

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
        let (started, start) = oneshot::channel();
        let (stop, stopped) = watch::channel(false);
        let system = name.to_owned();
        thread::Builder::new().name(name.to_owned()).spawn(move || {
            let runner = ntex::rt::System::new(&system, ntex::rt::DefaultRuntime);
            let result = runner.block_on(async move {
                let builder = ntex::server::build().workers(workers).disable_signals();
                let server = match configure(builder) {
                    Ok(builder) => builder.run(),
                    Err(error) => {
                        let _ = started.send(Err(error));
                        return Ok(());
                    }
                };
                let _ = started.send(Ok(server.clone()));
                server.await
            });
            if let Err(error) = result {
                log::error!("server {system}: {error}");
            }
            let _ = stop.send(true);
        })?;
        let server = start.await.map_err(|_| io::Error::other("server thread ended"))??;
        Ok(Self { server, stopped })
    }

    /// Stops the server; with `graceful`, waits for its connections within the server's own limit.
    pub async fn stop(&self, graceful: bool) {
        self.server.stop(graceful).await;
        let mut stopped = self.stopped.clone();
        let _ = stopped.wait_for(|stopped| *stopped).await;
    }
}
