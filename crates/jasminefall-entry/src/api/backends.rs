//! HTTP listener on which backend servers announce themselves.

use std::net::SocketAddr;
use std::sync::Arc;

use actix_web::dev::Server;
use actix_web::{App, HttpResponse, HttpServer, web};
use jasminefall_core::prelude::*;
use jasminefall_runtime::clock::monotonic_ms;
use jasminefall_wire::message::{Announcement, BackendState};
use serde::{Deserialize, Serialize};
use smol_str::format_smolstr;

use crate::backends::{ANNOUNCEMENT_INTERVAL_MS, ANNOUNCEMENT_LIFETIME_MS};
use crate::dispatch;
use crate::shared::Shared;

const MAX_SLOTS: u32 = 1_024;
const MAX_CONNECTIONS: u32 = 8_192;

pub(crate) fn start(shared: &Arc<Shared>) -> std::io::Result<Server> {
    let address = shared.settings.backends_address;
    let shared = shared.clone();
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(shared.clone()))
            .route("/v1/announce", web::post().to(announce))
    });
    Ok(server.workers(1).disable_signals().bind(address)?.run())
}

/// Describes a backend server and whether it accepts new requests.
#[derive(Debug, Deserialize)]
struct AnnounceBody {
    service: ServiceId,
    address: SocketAddr,
    incarnation: Incarnation,
    state: BackendState,
    slots: u32,
    connections: u32,
}

#[derive(Debug, Serialize)]
struct AnnouncedBody {
    lifetime_ms: u64,
    interval_ms: u64,
}

async fn announce(shared: web::Data<Arc<Shared>>, body: web::Json<AnnounceBody>) -> HttpResponse {
    let AnnounceBody {
        service,
        address,
        incarnation,
        state,
        slots,
        connections,
    } = body.into_inner();
    if slots > MAX_SLOTS || connections > MAX_CONNECTIONS {
        return HttpResponse::BadRequest().body(format!(
            "announce at most {MAX_SLOTS} slots and {MAX_CONNECTIONS} connections\n"
        ));
    }
    let age_ms = DurationMs::ZERO;
    let announcement = Announcement {
        service: service.clone(),
        // Normalizes the address, since backend servers are keyed by its text.
        address: format_smolstr!("{address}"),
        incarnation,
        state,
        slots,
        connections,
        age_ms,
    };
    dispatch::announce(&shared, monotonic_ms(), announcement);
    dispatch::grant_slots(&shared, &service);
    HttpResponse::Ok().json(AnnouncedBody {
        lifetime_ms: ANNOUNCEMENT_LIFETIME_MS,
        interval_ms: ANNOUNCEMENT_INTERVAL_MS,
    })
}
