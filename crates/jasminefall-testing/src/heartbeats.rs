//! A load generator that sends the heartbeats of many workers on a schedule, each worker over its
//! own connection.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
const RETRY_DELAY: Duration = Duration::from_millis(200);
const READ_BUFFER_BYTES: usize = 8 << 10;

/// Holds the measurements of the load generator.
pub struct HeartbeatStats {
    /// The time from the scheduled send of a heartbeat until its response, in microseconds.
    pub latency_us: Histogram<u64>,
    /// The number of bytes sent and received.
    pub bytes: u64,
    /// The number of heartbeats without a response of status 200.
    pub failures: u64,
}

impl HeartbeatStats {
    fn new() -> Self {
        let latency_us = Histogram::new(3).expect("a histogram supports three significant digits");
        Self {
            latency_us,
            bytes: 0,
            failures: 0,
        }
    }
}

/// Sends the heartbeats of `count` workers, each once per `interval`, for `duration`.
///
/// The workers start evenly spread over the first interval and share one view of the leader.
pub async fn run(
    control: &[SocketAddr],
    count: usize,
    interval: Duration,
    duration: Duration,
) -> HeartbeatStats {
    let stats = Rc::new(RefCell::new(HeartbeatStats::new()));
    let leader = Rc::new(Cell::new(0));
    let start = Instant::now();
    let mut workers = Vec::new();
    for number in 1..=count {
        let offset = interval.mul_f64(number as f64 / count as f64);
        let worker = SimulatedWorker {
            number,
            control: control.to_vec(),
            leader: leader.clone(),
            stats: stats.clone(),
        };
        workers.push(actix_rt::spawn(worker.run(
            start + offset,
            interval,
            start + duration,
        )));
    }
    for worker in workers {
        let _ = worker.await;
    }
    Rc::try_unwrap(stats)
        .ok()
        .map_or_else(HeartbeatStats::new, RefCell::into_inner)
}

struct SimulatedWorker {
    number: usize,
    control: Vec<SocketAddr>,
    leader: Rc<Cell<usize>>,
    stats: Rc<RefCell<HeartbeatStats>>,
}

impl SimulatedWorker {
    async fn run(self, first: Instant, interval: Duration, end: Instant) {
        let mut due = first;
        let mut connection = None;
        while due < end {
            tokio::time::sleep_until(due.into()).await;
            let target = self.leader.get();
            let sent =
                tokio::time::timeout(RESPONSE_TIMEOUT, self.send_heartbeat(&mut connection)).await;
            if sent == Ok(Some(true)) {
                let waited_us = u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX);
                let _ = self.stats.borrow_mut().latency_us.record(waited_us);
            } else {
                self.stats.borrow_mut().failures += 1;
                connection = None;
                if self.leader.get() == target {
                    self.leader.set((target + 1) % self.control.len());
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
            due += interval;
        }
    }

    /// Sends one heartbeat and returns whether its response has status 200; `None` if there is no
    /// response.
    async fn send_heartbeat(&self, connection: &mut Option<TcpStream>) -> Option<bool> {
        if connection.is_none() {
            let stream = TcpStream::connect(self.control[self.leader.get()])
                .await
                .ok()?;
            stream.set_nodelay(true).ok()?;
            *connection = Some(stream);
        }
        let stream = connection.as_mut()?;
        let body = format!(
            "{{\"worker\":\"w{}\",\"running\":[],\"ended\":[]}}",
            self.number
        );
        let request = format!(
            "POST /v1/heartbeat HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(request.as_bytes()).await.ok()?;
        let response = read_response(stream).await?;
        self.stats.borrow_mut().bytes += (request.len() + response.len()) as u64;
        Some(response.starts_with(b"HTTP/1.1 200"))
    }
}

/// Reads one response, whose body is as long as its `Content-Length`, or empty without one.
async fn read_response(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut response = Vec::new();
    let mut buffer = [0; READ_BUFFER_BYTES];
    loop {
        let length = stream
            .read(&mut buffer)
            .await
            .ok()
            .filter(|length| *length > 0)?;
        response.extend_from_slice(&buffer[..length]);
        let head = response.windows(4).position(|window| window == b"\r\n\r\n");
        let Some(head) = head else { continue };
        let text = String::from_utf8_lossy(&response[..head]).to_ascii_lowercase();
        let body_bytes = text
            .lines()
            .find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok());
        if response.len() >= head + 4 + body_bytes.unwrap_or(0) {
            return Some(response);
        }
    }
}
