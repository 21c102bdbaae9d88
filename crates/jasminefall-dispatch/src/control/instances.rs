//! Calls to the platform about instances, and to its advice service.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use jasminefall_jobs::leader::{InstanceResponse, ListedInstance};
use jasminefall_jobs::prelude::StepId;
use jasminefall_platform::instances::{
    FENCE_HEADER, HOLDER_HEADER, decode_advice, decode_instance_answer, decode_page, encode_advise,
    encode_maintain, encode_move, list_path,
};

use bytes::Bytes;
use smol_str::SmolStr;
use tokio::sync::Semaphore;

use super::node::Node;
use crate::http::client::{CallError, Connection};

/// How long the platform may take to answer; it may be slow.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long the advice service may take; it answers one call of ours after the other.
const ADVICE_TIMEOUT: Duration = Duration::from_millis(5_000);
/// The most pages that are read of one list; far more than there are instances.
const MAX_PAGES: usize = 64;

/// How many calls to the platform may be under way; with its answers within some milliseconds that
/// is far more than it accepts in a second, and the others wait in turn.
const MAX_CALLS: usize = 32;

/// Calls the platform over a few connections that are kept.
#[derive(Debug)]
pub(super) struct PlatformClient {
    slots: Semaphore,
    idle: RefCell<Vec<(SocketAddr, Connection)>>,
}

impl Default for PlatformClient {
    fn default() -> Self {
        Self {
            slots: Semaphore::new(MAX_CALLS),
            idle: RefCell::default(),
        }
    }
}

impl PlatformClient {
    /// Waits for its turn, and makes a call if `may_leave` still says so then.
    async fn call(
        &self,
        address: SocketAddr,
        limit: Duration,
        call: &PlatformCall<'_>,
        may_leave: impl Fn() -> bool,
    ) -> Result<(u16, Bytes), CallError> {
        let slot = self.slots.acquire().await;
        let _slot = slot.map_err(|_| CallError::NotSent)?;
        if !may_leave() {
            return Err(CallError::NotSent);
        }
        let mut connection = self.take(address);
        let PlatformCall {
            method,
            path,
            headers,
            body,
        } = call;
        let answer = connection.call(limit, method, path, headers, body).await;
        if answer.is_ok() {
            self.idle.borrow_mut().push((address, connection));
        }
        answer
    }

    fn take(&self, address: SocketAddr) -> Connection {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.iter().position(|(known, _)| *known == address);
        let kept = kept.map(|position| idle.swap_remove(position).1);
        kept.unwrap_or_else(|| Connection::new(address))
    }
}

/// Holds one call to the platform.
struct PlatformCall<'a> {
    method: &'static str,
    path: &'a str,
    headers: &'a [(&'a str, &'a str)],
    body: &'a str,
}

/// Reads the list of instances and hands it to the leader.
pub(super) async fn list(node: Node, address: SocketAddr, fencing_token: u64) {
    let platform = node.platform();
    let mut listed: Vec<ListedInstance> = Vec::new();
    let mut page: Option<String> = None;
    for _ in 0..MAX_PAGES {
        let path = list_path(page.as_deref());
        let call = PlatformCall {
            method: "GET",
            path: &path,
            headers: &[],
            body: "",
        };
        let answer = platform
            .call(address, PLATFORM_TIMEOUT, &call, || true)
            .await;
        let body = match answer {
            Ok((200, body)) => body,
            Ok((status, _)) => {
                log::warn!("event=instances_unread status={status}");
                return;
            }
            Err(error) => {
                log::warn!("event=instances_unread error=\"{error}\"");
                return;
            }
        };
        match decode_page(&body) {
            Ok((found, next)) => {
                listed.extend(found);
                page = next;
            }
            Err(error) => {
                log::warn!("event=instances_unread error=\"{error}\"");
                return;
            }
        }
        if page.is_none() {
            break;
        }
    }
    log::info!("event=instances_read count={}", listed.len());
    node.turn_for(fencing_token, |leader, state| {
        leader.on_instance_list(&listed, state);
    });
}

/// Says what is ordered about an instance.
#[derive(Debug, Clone)]
pub(super) enum InstanceOrder {
    Maintain(u64),
    Move(SmolStr),
}

/// Gives an order about an instance and hands the answer to the leader.
pub(super) async fn order(
    node: Node,
    address: SocketAddr,
    fencing_token: u64,
    instance: SmolStr,
    order: InstanceOrder,
) {
    let encoded = match &order {
        InstanceOrder::Maintain(wave) => encode_maintain(&instance, *wave),
        InstanceOrder::Move(pool) => encode_move(&instance, pool),
    };
    let token = fencing_token.to_string();
    let holder = node.name();
    let headers = [
        (HOLDER_HEADER, holder.as_str()),
        (FENCE_HEADER, token.as_str()),
    ];
    let call = PlatformCall {
        method: "POST",
        path: encoded.path,
        headers: &headers,
        body: &encoded.body,
    };
    // A process that was suspended may have lost the leadership meanwhile.
    let leads = || node.leads_with(fencing_token);
    let platform = node.platform();
    let answer = platform.call(address, PLATFORM_TIMEOUT, &call, leads);
    let answer = match answer.await {
        Ok((status, body)) => decode_instance_answer(status, &body),
        Err(error) => {
            log::warn!("event=instance_order_unanswered instance={instance} error=\"{error}\"");
            InstanceResponse::Unknown
        }
    };
    node.turn_for(fencing_token, |leader, state| match &order {
        InstanceOrder::Maintain(wave) => {
            leader.on_maintenance_response(*wave, &instance, answer, state);
        }
        InstanceOrder::Move(pool) => leader.on_move_response(&instance, pool, answer, state),
    });
}

/// Asks on which workers a step is permitted and hands the permits to the leader.
pub(super) async fn advise(
    node: Node,
    address: SocketAddr,
    fencing_token: u64,
    step: StepId,
    workers: Vec<SmolStr>,
) {
    let encoded = encode_advise(step, &workers);
    let call = PlatformCall {
        method: "POST",
        path: encoded.path,
        headers: &[],
        body: &encoded.body,
    };
    let platform = node.platform();
    let answer = platform.call(address, ADVICE_TIMEOUT, &call, || true);
    match answer.await {
        Ok((200, body)) => match decode_advice(&body) {
            Ok((granted, valid_ms)) => node.turn_for(fencing_token, |leader, _| {
                leader.on_advice(step, &granted, valid_ms);
            }),
            Err(error) => log::warn!("event=advice_unread step={step} error=\"{error}\""),
        },
        Ok((status, _)) => log::warn!("event=advice_refused step={step} status={status}"),
        Err(error) => log::warn!("event=advice_unanswered step={step} error=\"{error}\""),
    }
}
