//! HTTP listener that shows readiness and metrics.

use {
    crate::{metric_registry::MetricBoard, server::ServerHandle, stop::StopFlag},
    ntex::{
        SharedCfg,
        http::HttpService,
        io::Io,
        service::ServiceFactory,
        web::{self, App, HttpResponse},
    },
    std::{
        io,
        net::{SocketAddr, TcpListener},
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
    },
};

/// Path of the metrics; every other path shows the readiness.
const METRICS_PATH: &str = "/metrics";

/// Whether the process takes new callers; clones share it.
#[derive(Clone, Debug)]
pub struct ReadyState {
    /// What the process says of itself.
    pub ready: Arc<AtomicBool>,
    /// Whether it was told to stop, which comes first; `None` where nobody asks.
    pub stop: Option<StopFlag>,
}

impl ReadyState {
    fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire) && !self.stop.as_ref().is_some_and(StopFlag::is_set)
    }

    /// Lets the calling thread, which answers the question, take the signal to stop.
    fn receive_stop(&self) {
        let Some(stop) = &self.stop else { return };
        if let Err(error) = stop.receive_here() {
            log::error!("status: signal to stop: {error}");
        }
    }
}

/// Running listener.
#[derive(Debug)]
#[must_use]
pub struct StatusListener {
    server: ServerHandle,
}

impl StatusListener {
    /// Binds listeners on all addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound or the thread cannot be started.
    pub async fn bind(
        addresses: &[SocketAddr],
        state: ReadyState,
        board: MetricBoard,
    ) -> io::Result<Self> {
        let mut listeners = Vec::new();
        for address in addresses {
            listeners.push(TcpListener::bind(address)?);
        }
        let server = ServerHandle::spawn("status", 1, move |mut builder| {
            for listener in listeners {
                let (state, board) = (state.clone(), board.clone());
                let name = format!("status-{}", listener.local_addr()?);
                // The factory runs on the thread that answers.
                builder = builder.listen(&name, listener, async move |_| {
                    state.receive_stop();
                    service(state.clone(), board.clone())
                })?;
            }
            Ok(builder)
        })
        .await?;
        Ok(Self { server })
    }

    /// Closes the listeners.
    pub async fn close(&self) {
        self.server.stop(false).await;
    }
}

fn service(state: ReadyState, board: MetricBoard) -> impl ServiceFactory<Io, SharedCfg> {
    let app = App::new()
        .route(METRICS_PATH, web::get().to(async move || metrics(&board)))
        .default_service(web::to(async move || readiness(state.is_ready())));
    HttpService::new(app.finish())
}

fn metrics(board: &MetricBoard) -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain; charset=utf-8").body(board.render())
}

fn readiness(ready: bool) -> HttpResponse {
    if ready { HttpResponse::Ok().finish() } else { HttpResponse::ServiceUnavailable().finish() }
}
