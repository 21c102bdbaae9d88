//! News between entries.
//!
//! An entry learns that a backend server is ready only from answers to its own questions: how long
//! such an answer was under way is bounded by when the question left. What other entries send on
//! their own may have been held up for any time; only "leaving", which never goes stale, is taken
//! from that.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use jasminefall_core::prelude::*;
use jasminefall_runtime::clock::monotonic_ms;
use jasminefall_wire::client::EntryLink;
use jasminefall_wire::message::{Announcement, BackendState, News};
use jasminefall_wire::server::{EntryService, serve_entry};
use tokio::net::TcpListener;

use crate::dispatch;
use crate::shared::Shared;

const INTERVAL: Duration = Duration::from_millis(200);
/// The least pause between two exchanges with one entry while requests wait.
const LEAST_PAUSE: Duration = Duration::from_millis(20);
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(800);

/// Exchanges news with every other entry for ever.
pub(crate) async fn run(shared: Arc<Shared>) -> anyhow::Result<()> {
    let links = shared.settings.entries.iter();
    let links = links.map(|address| EntryLink::new(*address, shared.settings.site_key.clone()));
    let loops = links.map(|link| exchange_with(shared.clone(), link));
    futures::future::join_all(loops).await;
    std::future::pending().await
}

async fn exchange_with(shared: Arc<Shared>, link: EntryLink) {
    let mut peer = None;
    loop {
        let asked_at_ms = monotonic_ms();
        let question = question(&shared, peer.as_ref(), asked_at_ms);
        match link.exchange(EXCHANGE_TIMEOUT, &question).await {
            Ok(answer) => {
                peer = Some(answer.entry.clone());
                take_answer(&shared, asked_at_ms, answer);
            }
            Err(error) => log::debug!("event=exchange_failed error=\"{error}\""),
        }
        tokio::time::sleep(LEAST_PAUSE).await;
        let pause = INTERVAL.saturating_sub(LEAST_PAUSE);
        let _ = tokio::time::timeout(pause, shared.help_wanted.notified()).await;
    }
}

/// Serves the exchanges that other entries start.
pub(crate) async fn serve(shared: Arc<Shared>) -> anyhow::Result<()> {
    let listener = TcpListener::bind(shared.settings.peer)
        .await
        .context("the peer listener")?;
    let key = shared.settings.site_key.clone();
    let exchange = move |news| answer(&shared, news);
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

fn question(shared: &Shared, peer: Option<&EntryId>, now_ms: u64) -> News {
    let announcements = shared.backends().news(now_ms);
    let name = shared.settings.name.clone();
    let mut dispatch = shared.dispatch();
    let mut news = dispatch.news(now_ms, name);
    news.announcements = announcements;
    if let Some(peer) = peer {
        dispatch.ask(now_ms, peer, &mut news);
    }
    news
}

fn answer(shared: &Arc<Shared>, question: News) -> News {
    let now_ms = monotonic_ms();
    let leaving = question.announcements.iter();
    let leaving = leaving.filter(|told| told.state == BackendState::Leaving);
    take_announcements(shared, now_ms, leaving.cloned());
    let announcements = shared.backends().news(now_ms);
    let name = shared.settings.name.clone();
    let may_lend = shared.configuration().in_force(now_ms).is_some();
    let mut dispatch = shared.dispatch();
    dispatch.take_ejections(now_ms, &question.ejections);
    let loans = dispatch.answer(now_ms, &question, may_lend);
    let mut news = dispatch.news(now_ms, name);
    drop(dispatch);
    dispatch::serve_waiting(shared);
    news.announcements = announcements;
    news.loans = loans;
    news
}

fn take_answer(shared: &Arc<Shared>, asked_at_ms: u64, answer: News) {
    let now_ms = monotonic_ms();
    let under_way_ms = DurationMs::new(now_ms.saturating_sub(asked_at_ms));
    let announcements = answer.announcements.iter().cloned();
    let aged = announcements.map(|told| Announcement {
        age_ms: told.age_ms.saturating_add(under_way_ms),
        ..told
    });
    take_announcements(shared, now_ms, aged);
    let mut dispatch = shared.dispatch();
    dispatch.take_ejections(now_ms, &answer.ejections);
    dispatch.take_answer(asked_at_ms, answer);
    drop(dispatch);
    dispatch::serve_waiting(shared);
}

fn take_announcements(
    shared: &Shared,
    now_ms: u64,
    announcements: impl Iterator<Item = Announcement>,
) {
    for announcement in announcements {
        dispatch::announce(shared, now_ms, announcement);
    }
}
