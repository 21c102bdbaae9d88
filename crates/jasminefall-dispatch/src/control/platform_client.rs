//! Requests to the platform about instances, and to its advice service.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use jasminefall_jobs::leader::{AdviceFailure, AdviceRequest, InstanceList, InstanceResponse};
use jasminefall_platform::instances::{
    FENCING_TOKEN_HEADER, LEASE_HOLDER_HEADER, decode_advice, decode_instance_page,
    decode_instance_response, encode_advice_request, encode_maintenance, encode_move,
    instance_list_path,
};

use bytes::Bytes;
use smol_str::SmolStr;
use tokio::sync::Semaphore;

use super::node::Node;
use crate::http::client::{Connection, RequestError};

/// The longest time to wait for a response of the platform, which can be slow.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The largest number of pages read for one list of instances; far more than a list has.
const MAX_PAGES: usize = 64;

/// The largest number of concurrent requests to the platform. Since the platform responds within some
/// milliseconds, this allows far more requests than it accepts in a second; further requests wait in
/// order of arrival.
const MAX_CONCURRENT_REQUESTS: usize = 32;

/// Sends requests to the platform over a few persistent connections.
#[derive(Debug)]
pub(super) struct PlatformClient {
    permits: Semaphore,
    idle: RefCell<Vec<(SocketAddr, Connection)>>,
}

impl Default for PlatformClient {
    fn default() -> Self {
        Self {
            permits: Semaphore::new(MAX_CONCURRENT_REQUESTS),
            idle: RefCell::default(),
        }
    }
}

impl PlatformClient {
    /// Waits for a permit, and then sends the request unless `may_send` returns false.
    async fn send(
        &self,
        address: SocketAddr,
        limit: Duration,
        request: &PlatformRequest<'_>,
        may_send: impl Fn() -> bool,
    ) -> Result<(u16, Bytes), RequestError> {
        let permit = self.permits.acquire().await;
        let _permit = permit.map_err(|_| RequestError::NotSent)?;
        if !may_send() {
            return Err(RequestError::NotSent);
        }
        self.send_now(address, limit, request).await
    }

    /// Sends the request without waiting for a permit.
    async fn send_now(
        &self,
        address: SocketAddr,
        limit: Duration,
        request: &PlatformRequest<'_>,
    ) -> Result<(u16, Bytes), RequestError> {
        let mut connection = self.take_connection(address);
        let PlatformRequest {
            method,
            path,
            headers,
            body,
        } = request;
        let response = connection
            .send_request(limit, method, path, headers, body)
            .await;
        if response.is_ok() {
            self.idle.borrow_mut().push((address, connection));
        }
        response
    }

    /// Returns an idle connection to the address, or a new one.
    fn take_connection(&self, address: SocketAddr) -> Connection {
        let mut idle = self.idle.borrow_mut();
        let position = idle.iter().position(|(known, _)| *known == address);
        let connection = position.map(|position| idle.swap_remove(position).1);
        connection.unwrap_or_else(|| Connection::new(address))
    }
}

/// Holds one HTTP request to the platform.
struct PlatformRequest<'a> {
    method: &'static str,
    path: &'a str,
    headers: &'a [(&'a str, &'a str)],
    body: &'a str,
}

/// Reads the list of instances page by page and passes it to the leader, which requested it at
/// `requested_at_ms` on its steady clock.
pub(super) async fn list_instances(
    node: Node,
    address: SocketAddr,
    fencing_token: u64,
    requested_at_ms: u64,
) {
    let platform = node.platform_client();
    let mut list = InstanceList {
        requested_at_ms,
        instances: Vec::new(),
    };
    let mut unreadable = 0;
    let mut page: Option<String> = None;
    for _ in 0..MAX_PAGES {
        let path = instance_list_path(page.as_deref());
        let http_request = PlatformRequest {
            method: "GET",
            path: &path,
            headers: &[],
            body: "",
        };
        let response = platform
            .send(address, PLATFORM_TIMEOUT, &http_request, || true)
            .await;
        let body = match response {
            Ok((200, body)) => body,
            Ok((status, _)) => {
                log::warn!("event=instance_list_failed status={status}");
                return;
            }
            Err(error) => {
                log::warn!("event=instance_list_failed error=\"{error}\"");
                return;
            }
        };
        match decode_instance_page(&body) {
            Ok(found) => {
                unreadable += found.unreadable;
                list.instances.extend(found.instances);
                page = found.next;
            }
            Err(error) => {
                log::warn!("event=instance_list_failed error=\"{error}\"");
                return;
            }
        }
        if page.is_none() {
            break;
        }
    }
    if page.is_some() {
        // A list without its last pages would show the instances on them as missing.
        log::warn!("event=instance_list_failed error=\"more than {MAX_PAGES} pages\"");
        return;
    }
    if unreadable > 0 {
        log::warn!("event=instance_entries_unreadable count={unreadable}");
    }
    log::info!("event=instances_read count={}", list.instances.len());
    node.with_leadership(fencing_token, |leader, state| {
        leader.on_instance_list(&list, state);
    });
}

/// Holds a request about an instance.
#[derive(Debug, Clone)]
pub(super) enum InstanceRequest {
    /// Starts the maintenance of the instance for the wave with this number.
    Maintain(u64),
    /// Moves the instance to this pool.
    Move(SmolStr),
}

/// Sends a request about an instance and passes the response to the leader.
pub(super) async fn send_instance_request(
    node: Node,
    address: SocketAddr,
    fencing_token: u64,
    instance: SmolStr,
    request: InstanceRequest,
) {
    let encoded = match &request {
        InstanceRequest::Maintain(wave) => encode_maintenance(&instance, *wave),
        InstanceRequest::Move(pool) => encode_move(&instance, pool),
    };
    let token = fencing_token.to_string();
    let holder = node.name();
    let headers = [
        (LEASE_HOLDER_HEADER, holder.as_str()),
        (FENCING_TOKEN_HEADER, token.as_str()),
    ];
    let http_request = PlatformRequest {
        method: "POST",
        path: encoded.path,
        headers: &headers,
        body: &encoded.body,
    };
    // Checked just before sending, since a process that was suspended may have lost its leadership.
    let is_still_leader = || node.holds_leadership(fencing_token);
    let platform = node.platform_client();
    let response = platform.send(address, PLATFORM_TIMEOUT, &http_request, is_still_leader);
    let response = match response.await {
        Ok((status, body)) => decode_instance_response(status, &body),
        Err(error) => {
            log::warn!("event=instance_request_unanswered instance={instance} error=\"{error}\"");
            InstanceResponse::Unknown
        }
    };
    node.with_leadership(fencing_token, |leader, state| match &request {
        InstanceRequest::Maintain(wave) => {
            leader.on_maintenance_response(*wave, &instance, response, state);
        }
        InstanceRequest::Move(pool) => leader.on_move_response(&instance, pool, response, state),
    });
}

/// Sends a request to the advice service and passes the result to the leader.
pub(super) async fn request_advice(
    node: Node,
    address: SocketAddr,
    fencing_token: u64,
    request: AdviceRequest,
) {
    let encoded = encode_advice_request(request.step, &request.workers);
    let http_request = PlatformRequest {
        method: "POST",
        path: encoded.path,
        headers: &[],
        body: &encoded.body,
    };
    let limit = Duration::from_millis(request.timeout_ms);
    let platform = node.platform_client();
    // The leader limits the requests to this service, so that they don't wait for those to the platform.
    let response = platform.send_now(address, limit, &http_request);
    let result = match response.await {
        Ok((200, body)) => decode_advice(&body).map_err(|error| {
            log::warn!(
                "event=advice_unreadable step={} error=\"{error}\"",
                request.step
            );
            AdviceFailure::Unreadable
        }),
        Ok((status, _)) => Err(AdviceFailure::Refused(status)),
        Err(_) => Err(AdviceFailure::NoResponse),
    };
    node.with_leadership(fencing_token, |leader, _| {
        leader.on_advice(request.id, result);
    });
}
