//! Exchange of announcements, ejections and slot loans between entries.
//!
//! An entry accepts that a backend server is ready only from responses to its own queries, because
//! the time since the query was sent bounds the age of the response. An unsolicited message of another
//! entry may have been delayed for any time, so only the state "leaving", which never becomes
//! stale, is accepted from it.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use jasminefall_core::prelude::*;
use jasminefall_runtime::clock::monotonic_ms;
use jasminefall_wire::client::EntryLink;
use jasminefall_wire::message::{Announcement, BackendState, ExchangeMessage};
use jasminefall_wire::server::{EntryService, serve_entry};
use tokio::net::TcpListener;

use crate::dispatch;
use crate::shared::Shared;

const EXCHANGE_INTERVAL: Duration = Duration::from_millis(200);
/// Separates two exchanges with one entry while queued requests need loans.
const MIN_EXCHANGE_PAUSE: Duration = Duration::from_millis(20);
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(800);

/// Exchanges messages with every other entry until the task is dropped.
pub(crate) async fn run(shared: Arc<Shared>) -> anyhow::Result<()> {
    let links = shared.settings.entry_addresses.iter();
    let links = links.map(|address| EntryLink::new(*address, shared.settings.site_key.clone()));
    let loops = links.map(|link| exchange_with(shared.clone(), link));
    futures::future::join_all(loops).await;
    std::future::pending().await
}

async fn exchange_with(shared: Arc<Shared>, link: EntryLink) {
    let mut peer = None;
    loop {
        let sent_at_ms = monotonic_ms();
        let query = build_query(&shared, peer.as_ref(), sent_at_ms);
        match link.exchange(EXCHANGE_TIMEOUT, &query).await {
            Ok(response) => {
                peer = Some(response.entry.clone());
                apply_response(&shared, sent_at_ms, response);
            }
            Err(error) => log::debug!("event=exchange_failed error=\"{error}\""),
        }
        tokio::time::sleep(MIN_EXCHANGE_PAUSE).await;
        let pause = EXCHANGE_INTERVAL.saturating_sub(MIN_EXCHANGE_PAUSE);
        let _ = tokio::time::timeout(pause, shared.loans_needed.notified()).await;
    }
}

/// Serves the exchanges that other entries initiate.
pub(crate) async fn serve(shared: Arc<Shared>) -> anyhow::Result<()> {
    let listener = TcpListener::bind(shared.settings.peer_address)
        .await
        .context("failed to start the peer listener")?;
    let key = shared.settings.site_key.clone();
    let exchange = move |query| handle_query(&shared, query);
    serve_entry(
        listener,
        key,
        EntryService {
            exchange: Box::new(exchange),
        },
    )
    .await?;
    Ok(())
}

fn build_query(shared: &Shared, peer: Option<&EntryId>, now_ms: u64) -> ExchangeMessage {
    let announcements = shared.backends().live_announcements(now_ms);
    let name = shared.settings.name.clone();
    let mut dispatch = shared.dispatch();
    let mut message = dispatch.peer_message(now_ms, name);
    message.announcements = announcements;
    if let Some(peer) = peer {
        dispatch.add_loan_request(now_ms, peer, &mut message);
    }
    message
}

fn handle_query(shared: &Arc<Shared>, query: ExchangeMessage) -> ExchangeMessage {
    let now_ms = monotonic_ms();
    let leaving = query.announcements.iter();
    let leaving = leaving.filter(|announcement| announcement.state == BackendState::Leaving);
    apply_announcements(shared, now_ms, leaving.cloned());
    let announcements = shared.backends().live_announcements(now_ms);
    let name = shared.settings.name.clone();
    let may_lend = shared.configuration().in_force(now_ms).is_some();
    let mut dispatch = shared.dispatch();
    dispatch.apply_ejections(now_ms, &query.ejections);
    let loans = dispatch.process_loan_request(now_ms, &query, may_lend);
    let mut message = dispatch.peer_message(now_ms, name);
    drop(dispatch);
    dispatch::grant_all_slots(shared);
    message.announcements = announcements;
    message.loans = loans;
    message
}

fn apply_response(shared: &Arc<Shared>, sent_at_ms: u64, response: ExchangeMessage) {
    let now_ms = monotonic_ms();
    let round_trip_ms = DurationMs::new(now_ms.saturating_sub(sent_at_ms));
    let announcements = response.announcements.iter().cloned();
    let aged = announcements.map(|announcement| Announcement {
        age_ms: announcement.age_ms.saturating_add(round_trip_ms),
        ..announcement
    });
    apply_announcements(shared, now_ms, aged);
    let mut dispatch = shared.dispatch();
    dispatch.apply_ejections(now_ms, &response.ejections);
    dispatch.apply_response(sent_at_ms, response);
    drop(dispatch);
    dispatch::grant_all_slots(shared);
}

fn apply_announcements(
    shared: &Shared,
    now_ms: u64,
    announcements: impl Iterator<Item = Announcement>,
) {
    for announcement in announcements {
        dispatch::announce(shared, now_ms, announcement);
    }
}
