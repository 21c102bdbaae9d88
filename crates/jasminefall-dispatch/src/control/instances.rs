//! Calls to the platform about instances, and to its advice service.

use std::net::SocketAddr;
use std::time::Duration;

use jasminefall_jobs::leader::{InstanceAnswer, ListedInstance};
use jasminefall_jobs::prelude::StepId;
use jasminefall_platform::instances::{
    FENCE_HEADER, HOLDER_HEADER, decode_advice, decode_instance_answer, decode_page, encode_advise,
    encode_maintain, encode_move, list_path,
};

use smol_str::SmolStr;

use super::node::Node;
use crate::http::client::Connection;

/// How long the platform may take to answer; it may be slow.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long the advice service may take; it answers one call of ours after the other.
const ADVICE_TIMEOUT: Duration = Duration::from_millis(5_000);
/// The most pages that are read of one list; far more than there are instances.
const MAX_PAGES: usize = 64;

/// Reads the list of instances and hands it to the leader.
pub(super) async fn list(node: Node, address: SocketAddr, fencing_token: u64) {
    let mut connection = Connection::new(address);
    let mut listed: Vec<ListedInstance> = Vec::new();
    let mut page: Option<String> = None;
    for _ in 0..MAX_PAGES {
        let path = list_path(page.as_deref());
        let answer = connection
            .call(PLATFORM_TIMEOUT, "GET", &path, &[], "")
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
        leader.take_instances(&listed, state);
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
    // A process that was suspended may have lost the leadership meanwhile.
    if !node.leads() {
        return;
    }
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
    let mut connection = Connection::new(address);
    let call = connection.call(
        PLATFORM_TIMEOUT,
        "POST",
        encoded.path,
        &headers,
        &encoded.body,
    );
    let answer = match call.await {
        Ok((status, body)) => decode_instance_answer(status, &body),
        Err(error) => {
            log::warn!("event=instance_order_unanswered instance={instance} error=\"{error}\"");
            InstanceAnswer::Unknown
        }
    };
    node.turn_for(fencing_token, |leader, state| match &order {
        InstanceOrder::Maintain(wave) => {
            leader.take_maintenance_answer(*wave, &instance, answer, state);
        }
        InstanceOrder::Move(pool) => leader.take_move_answer(&instance, pool, answer, state),
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
    let mut connection = Connection::new(address);
    let call = connection.call(ADVICE_TIMEOUT, "POST", encoded.path, &[], &encoded.body);
    match call.await {
        Ok((200, body)) => match decode_advice(&body) {
            Ok((granted, valid_ms)) => node.turn_for(fencing_token, |leader, _| {
                leader.take_advice(step, &granted, valid_ms);
            }),
            Err(error) => log::warn!("event=advice_unread step={step} error=\"{error}\""),
        },
        Ok((status, _)) => log::warn!("event=advice_refused step={step} status={status}"),
        Err(error) => log::warn!("event=advice_unanswered step={step} error=\"{error}\""),
    }
}
