//! The control program.
//!
//! - `node`: the replica, its state and, on the leader, the scheduling decisions
//! - `api`: requests from workers and operators, and requests that entries forward
//! - `worker_channels`: requests to workers, sent sequentially over persistent connections
//! - `platform_client`: requests to the platform and to its advice service

mod api;
mod node;
mod platform_client;
mod worker_channels;

use std::rc::Rc;
use std::time::Duration;

use jasminefall_platform::settings::PlatformSettings;
use jasminefall_runtime::clock::monotonic_ms;
use jasminefall_runtime::supervisor::{Child, Supervisor};
use jasminefall_wire::extended::Extended;
use jasminefall_wire::server::{ControlService, serve_control};

use self::node::Node;
use crate::http::budget::ConnectionBudget;
use crate::http::server::{Limits, listen, serve as serve_http};
use crate::lifecycle::{RequestTracker, wait_for_stop_signal, watch_settings};
use crate::message::Request;
use crate::settings::{peer_address, site_key};
use crate::time_limit::TimeLimit;

/// The largest request body of a worker or an operator; the limit documented by the platform.
const MAX_BODY_BYTES: usize = 4 << 20;
/// The fraction of the stop grace period that is used to drain in-flight requests.
const DRAIN_SHARE_OF_GRACE: f64 = 0.3;

/// Runs a control instance until it receives a stop signal.
///
/// # Errors
///
/// Returns an error if a listener or the data folder cannot be opened.
pub async fn serve(settings: PlatformSettings) -> anyhow::Result<()> {
    let Some(control) = settings.control_address else {
        anyhow::bail!("the settings lack a listener for workers and operators; set its address");
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
    let handle = {
        let node = node.clone();
        move |request| api::handle_http(node.clone(), request)
    };
    let limits = Limits::new(
        MAX_BODY_BYTES,
        ConnectionBudget::for_accepted(settings.max_descriptors),
    );
    let api = serve_http(listen(control)?, limits, requests.clone(), handle);
    let metrics = crate::metrics::serve(&settings, node.metrics());
    let reload = {
        let node = node.clone();
        move |loaded: &PlatformSettings| node.set_seeds(loaded)
    };
    let settings_watch = watch_settings(crate::settings_path(), settings.clone(), reload);
    tokio::select! {
        ended = api => ended?,
        ended = metrics => ended?,
        ended = settings_watch => ended?,
        () = supervisor.run() => {}
        ended = node.clone().run() => ended?,
        ended = drain_on_stop(&requests, &settings) => ended?,
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
    let (step_node, forward_node) = (node.clone(), node);
    let undecodable = || {
        capnp::Error::unimplemented(
            "cannot decode the forwarded request; connect only dispatch programs of the same version".to_owned(),
        )
    };
    // The dispatch programs send no `propose` and no `renew`; all their requests use `forward`.
    ControlService {
        step: Box::new(move |messages| step_node.step(messages)),
        propose: Box::new(move |_| {
            Box::pin(async { Err(jasminefall_wire::message::ControlError::NotLeader(None)) })
        }),
        renew: Box::new(move |_| {
            Box::pin(async { Err(jasminefall_wire::message::ControlError::NotLeader(None)) })
        }),
        forward: Box::new(move |body| {
            let node = forward_node.clone();
            Box::pin(async move {
                let received: Extended<Request, TimeLimit> =
                    jasminefall_wire::codec::decode(&body).map_err(|_| undecodable())?;
                let response = api::handle_forwarded(&node, received).await;
                let response = Extended::new(response).with_extension(monotonic_ms());
                Ok(jasminefall_wire::codec::encode(&response))
            })
        }),
    }
}

/// Waits for a stop signal, then drains in-flight requests.
async fn drain_on_stop(
    requests: &RequestTracker,
    settings: &PlatformSettings,
) -> anyhow::Result<()> {
    wait_for_stop_signal().await?;
    requests.begin_stop();
    let grace = Duration::from_millis(settings.stop_grace_ms).mul_f64(DRAIN_SHARE_OF_GRACE);
    requests.drain(grace).await;
    Ok(())
}
