//! HTTP listener that serves readiness and metrics.

use {
    crate::{metric_registry::MetricRegistry, panics, server::ServerHandle, stop::StopFlag},
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

/// Path of the metrics; every other path reports the readiness.
const METRICS_PATH: &str = "/metrics";

/// Whether the process accepts new callers; clones share the state.
#[derive(Clone, Debug)]
pub struct ReadyState {
    /// Whether the process is ready, apart from `stop`.
    pub ready: Arc<AtomicBool>,
    /// Flag that makes the process not ready once it is set; `None` for a process without a stop flag.
    pub stop: Option<StopFlag>,
}

impl ReadyState {
    fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire) && !self.stop.as_ref().is_some_and(StopFlag::is_set)
    }

    /// Lets the calling thread, which serves the readiness requests, receive SIGTERM.
    fn unblock_stop_signal(&self) {
        let Some(stop) = &self.stop else { return };
        if let Err(error) = stop.unblock_in_current_thread() {
            log::error!("status listener cannot receive SIGTERM: {error}");
        }
    }
}

/// Running listeners for readiness and metrics.
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
        registry: MetricRegistry,
    ) -> io::Result<Self> {
        let mut listeners = Vec::new();
        for address in addresses {
            listeners.push(TcpListener::bind(address)?);
        }
        let server = ServerHandle::spawn("status", 1, move |mut builder| {
            for listener in listeners {
                let (state, registry) = (state.clone(), registry.clone());
                let name = format!("status-{}", listener.local_addr()?);
                // The factory runs on the thread that serves the requests.
                builder = builder.listen(&name, listener, async move |_| {
                    state.unblock_stop_signal();
                    service(state.clone(), registry.clone())
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

fn service(state: ReadyState, registry: MetricRegistry) -> impl ServiceFactory<Io, SharedCfg> {
    let app = App::new()
        .route(METRICS_PATH, web::get().to(async move || metrics(&registry)))
        .default_service(web::to(async move || readiness(state.is_ready())));
    HttpService::new(app.finish())
}

fn metrics(registry: &MetricRegistry) -> HttpResponse {
    let text = format!("{}banyansill_panics {}\n", registry.render(), panics::count());
    HttpResponse::Ok().content_type("text/plain; charset=utf-8").body(text)
}

fn readiness(ready: bool) -> HttpResponse {
    if ready { HttpResponse::Ok().finish() } else { HttpResponse::ServiceUnavailable().finish() }
}
