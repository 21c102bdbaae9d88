//! The control program.
//!
//! - [`node`]: the replica, its state and, where it leads, the leader's knowledge
//! - [`edge`]: what workers and operators call, and what entries forward
//! - [`lines`]: orders to workers, one after the other on kept connections
//! - [`instances`]: calls to the platform

mod edge;
mod instances;
mod lines;
mod node;

use std::rc::Rc;
use std::time::Duration;

use jasminefall_platform::settings::PlatformSettings;
use jasminefall_runtime::supervisor::{Child, Supervisor};
use jasminefall_wire::server::{ControlService, serve_control};

use self::node::Node;
use crate::http::budget::ConnectionBudget;
use crate::http::server::{Limits, listen, serve as serve_http};
use crate::lifecycle::{RequestTracker, wait_for_stop_signal, watch_settings};
use crate::settings::{peer_address, site_key};

/// The largest body of a worker or an operator; the limit of the platform's page.
const MAX_BODY_BYTES: usize = 4 << 20;
/// How long calls under way are waited for at a stop, as a part of the grace.
const STOP_WAIT_PART: f64 = 0.3;

/// Runs a control instance until it is asked to stop.
///
/// # Errors
///
/// Returns an error where a listener or the data folder cannot be opened.
pub async fn serve(settings: PlatformSettings) -> anyhow::Result<()> {
    let Some(control) = settings.control else {
        anyhow::bail!("the settings name no listener for a control instance");
    };
    let node = Node::open(&settings)?;
    log::info!(
        "event=started zone={} replica={} first_start={} seeds={:?} without={:?}",
        settings.data_centre,
        node.id(),
        settings.first_start,
        settings.seeds,
        settings.leader.mechanisms.to_string()
    );
    let supervisor = Supervisor::new(vec![peers_child(settings.clone(), node.clone())]);
    let requests: Rc<RequestTracker> = Rc::default();
    let answer = {
        let node = node.clone();
        move |call| edge::answer(node.clone(), call)
    };
    let limits = Limits::new(
        MAX_BODY_BYTES,
        ConnectionBudget::for_accepted(settings.max_descriptors),
    );
    let edge = serve_http(listen(control)?, limits, requests.clone(), answer);
    let metrics = crate::metrics::serve(&settings, node.metrics());
    let reload = {
        let node = node.clone();
        move |read: &PlatformSettings| node.set_seeds(read)
    };
    let settings_followed = watch_settings(crate::settings_path(), settings.clone(), reload);
    tokio::select! {
        ended = edge => ended?,
        ended = metrics => ended?,
        ended = settings_followed => ended?,
        () = supervisor.run() => {}
        ended = node.clone().run() => ended?,
        ended = stop(&requests, &settings) => ended?,
    }
    log::info!("event=stopped in_flight={}", requests.in_flight());
    Ok(())
}

fn peers_child(settings: PlatformSettings, node: Node) -> Child {
    Child::new("peer-listener", move || {
        let (settings, node) = (settings.clone(), node.clone());
        async move {
            let listener = listen(peer_address(&settings, settings.address))?;
            serve_control(listener, site_key(&settings), service(node)).await?;
            Ok(())
        }
    })
}

fn service(node: Node) -> ControlService {
    let (stepped, forwarded) = (node.clone(), node);
    let refused = || capnp::Error::unimplemented("this program agrees on jobs only".to_owned());
    ControlService {
        step: Box::new(move |messages| stepped.step(messages)),
        propose: Box::new(move |_| {
            Box::pin(async { Err(jasminefall_wire::message::ControlError::NotLeader(None)) })
        }),
        renew: Box::new(move |_| {
            Box::pin(async { Err(jasminefall_wire::message::ControlError::NotLeader(None)) })
        }),
        forward: Box::new(move |body| {
            let node = forwarded.clone();
            Box::pin(async move {
                let request = jasminefall_wire::codec::decode(&body).map_err(|_| refused())?;
                let answer = edge::decide(&node, request).await;
                Ok(jasminefall_wire::codec::encode(&answer))
            })
        }),
    }
}

/// Waits to be asked to stop, and finishes the calls under way.
async fn stop(requests: &RequestTracker, settings: &PlatformSettings) -> anyhow::Result<()> {
    wait_for_stop_signal().await?;
    requests.begin_stop();
    let grace = Duration::from_millis(settings.stop_grace_ms).mul_f64(STOP_WAIT_PART);
    requests.drain(grace).await;
    Ok(())
}
