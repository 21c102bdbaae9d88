//! Graceful stop: readiness fails first, then the listeners close and accepted requests finish.

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_web::dev::ServerHandle;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::shared::Shared;

const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Limits the wait for results to be recorded once the listeners are closed.
const PENDING_WORK_TIMEOUT: Duration = Duration::from_secs(15);

/// Waits for SIGTERM or SIGINT, gives the load balancer time to move traffic away, then closes the
/// listeners.
pub(crate) async fn run(shared: Arc<Shared>, servers: Vec<ServerHandle>) {
    let signals = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    );
    let (Ok(mut terminate), Ok(mut interrupt)) = signals else {
        log::error!("event=no_signals effect=\"the process cannot stop gracefully\"");
        return;
    };
    wait_for_signal(&mut terminate, &mut interrupt).await;
    shared.begin_stop();
    let settings = &shared.settings;
    log::info!(
        "event=stopping delay={} limit={}",
        settings.stop_delay_ms,
        settings.stop_limit_ms
    );
    tokio::time::sleep(settings.stop_delay_ms.to_duration()).await;
    let stops = servers.iter().map(|server| server.stop(true));
    futures::future::join_all(stops).await;
}

async fn wait_for_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Waits for a limited time until results are recorded and late exchanges have ended.
pub(crate) async fn wait_for_pending_work(shared: &Shared) {
    let until = Instant::now() + PENDING_WORK_TIMEOUT;
    while shared.pending_work() > 0 && Instant::now() < until {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let pending_work = shared.pending_work();
    if pending_work > 0 {
        log::warn!("event=stopped_with_unfinished count={pending_work}");
    }
}
