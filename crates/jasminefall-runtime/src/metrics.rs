//! HTTP endpoint for a metrics collector.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use actix_web::dev::Server;
use actix_web::{App, HttpResponse, HttpServer, web};
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Serves the metrics of a registry at `/metrics` in the `OpenMetrics` text format.
///
/// `refresh` runs before each response, to update the metrics that are only sampled on request.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn serve<F>(
    address: SocketAddr,
    registry: Registry,
    refresh: impl Fn() -> F + Clone + Send + 'static,
) -> std::io::Result<Server>
where
    F: Future<Output = ()> + 'static,
{
    let registry = Arc::new(registry);
    let server = HttpServer::new(move || {
        let (registry, refresh) = (registry.clone(), refresh.clone());
        let handler = move || {
            let registry = registry.clone();
            let refreshing = refresh();
            async move {
                refreshing.await;
                render(&registry)
            }
        };
        App::new().route("/metrics", web::get().to(handler))
    });
    Ok(server.workers(1).disable_signals().bind(address)?.run())
}

fn render(registry: &Registry) -> HttpResponse {
    let mut text = String::new();
    match encode(&mut text, registry) {
        Ok(()) => HttpResponse::Ok().content_type(CONTENT_TYPE).body(text),
        Err(error) => HttpResponse::InternalServerError().body(format!("{error}\n")),
    }
}
