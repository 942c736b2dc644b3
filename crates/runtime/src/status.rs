//! HTTP listener that shows readiness and metrics.

use {
    crate::{board::MetricBoard, server::ServerHandle},
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
        ready: Arc<AtomicBool>,
        board: MetricBoard,
    ) -> io::Result<Self> {
        let mut listeners = Vec::new();
        for address in addresses {
            listeners.push(TcpListener::bind(address)?);
        }
        let server = ServerHandle::spawn("status", 1, move |mut builder| {
            for listener in listeners {
                let (ready, board) = (Arc::clone(&ready), board.clone());
                let name = format!("status-{}", listener.local_addr()?);
                builder = builder.listen(&name, listener, async move |_| {
                    service(ready.clone(), board.clone())
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

fn service(ready: Arc<AtomicBool>, board: MetricBoard) -> impl ServiceFactory<Io, SharedCfg> {
    let app = App::new()
        .route(METRICS_PATH, web::get().to(async move || metrics(&board)))
        .default_service(web::to(async move || readiness(ready.load(Ordering::Acquire))));
    HttpService::new(app.finish())
}

fn metrics(board: &MetricBoard) -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain; charset=utf-8").body(board.render())
}

fn readiness(ready: bool) -> HttpResponse {
    if ready { HttpResponse::Ok().finish() } else { HttpResponse::ServiceUnavailable().finish() }
}
