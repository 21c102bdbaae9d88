//! The internal RPC service for entries and other replicas.

use jasminefall_runtime::clock::monotonic_ms;
use jasminefall_wire::message::{RenewRequest, RenewResponse, Renewal};
use jasminefall_wire::server::ControlService;

use crate::node::NodeHandle;

/// Creates the service; it passes calls to the node, and fails `forward` as not implemented.
pub(crate) fn new(handle: NodeHandle) -> ControlService {
    let (step_handle, propose_handle, renew_handle) = (handle.clone(), handle.clone(), handle);
    ControlService {
        step: Box::new(move |messages| step_handle.step(messages)),
        propose: Box::new(move |command| {
            let handle = propose_handle.clone();
            Box::pin(async move { handle.propose(command).await })
        }),
        renew: Box::new(move |request| Box::pin(renew(renew_handle.clone(), request))),
        forward: Box::new(|_| {
            let message =
                "the control instance does not forward calls; send them to its HTTP listeners";
            Box::pin(async move { Err(capnp::Error::unimplemented(message.to_owned())) })
        }),
    }
}

async fn renew(handle: NodeHandle, request: RenewRequest) -> RenewResponse {
    handle
        .with_fresh_view(move |view| {
            let configuration = &view.state.configuration;
            let lease_ms = view
                .entry_leases
                .renew(configuration, &request, monotonic_ms());
            if lease_ms.is_none() {
                log::warn!(
                    "event=entry_refused entry=\"{}\" cause=\"not declared\" \
                     remedy=\"declare it in the desired state or correct its name\"",
                    request.entry
                );
            }
            let is_outdated = configuration.version() != request.holds;
            let published = configuration.latest().filter(|_| is_outdated).cloned();
            Renewal {
                lease_ms,
                published: published.filter(|_| lease_ms.is_some()),
            }
        })
        .await
}
