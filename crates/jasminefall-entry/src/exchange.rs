//! News between entries.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use jasminefall_runtime::clock::monotonic_ms;
use jasminefall_wire::client::EntryLink;
use jasminefall_wire::message::News;
use jasminefall_wire::server::{EntryService, serve_entry};
use tokio::net::TcpListener;

use crate::shared::Shared;

const INTERVAL: Duration = Duration::from_millis(200);
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
    loop {
        match link.exchange(EXCHANGE_TIMEOUT, &own_news(&shared)).await {
            Ok(news) => take(&shared, news),
            Err(error) => log::debug!("event=exchange_failed error=\"{error}\""),
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

/// Serves the exchanges that other entries start.
pub(crate) async fn serve(shared: Arc<Shared>) -> anyhow::Result<()> {
    let listener = TcpListener::bind(shared.settings.peer)
        .await
        .context("the peer listener")?;
    let key = shared.settings.site_key.clone();
    let exchange = move |news| {
        take(&shared, news);
        own_news(&shared)
    };
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

fn own_news(shared: &Shared) -> News {
    let announcements = shared.backends().news(monotonic_ms());
    News {
        entry: shared.settings.name.clone(),
        announcements,
    }
}

fn take(shared: &Shared, news: News) {
    let now_ms = monotonic_ms();
    let mut backends = shared.backends();
    for announcement in news.announcements {
        backends.announce(now_ms, announcement);
    }
}
