//! Many workers as small stand-ins: heartbeats on a schedule, one connection a worker.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const ANSWER_LIMIT: Duration = Duration::from_secs(5);
const RETRY_PAUSE: Duration = Duration::from_millis(200);
const READ_BYTES: usize = 8 << 10;

/// Holds what the stand-ins saw.
pub struct HeartbeatStats {
    /// The time from when a heartbeat was due until its answer, in microseconds.
    pub latency_us: Histogram<u64>,
    /// The bytes sent and received.
    pub bytes: u64,
    /// The heartbeats that got no good answer.
    pub failures: u64,
}

impl HeartbeatStats {
    fn new() -> Self {
        let latency_us = Histogram::new(3).expect("three digits are allowed");
        Self {
            latency_us,
            bytes: 0,
            failures: 0,
        }
    }
}

/// Sends heartbeats of `count` workers, each once an interval, for `length`.
pub async fn run(
    control: &[SocketAddr],
    count: usize,
    interval: Duration,
    length: Duration,
) -> HeartbeatStats {
    let seen = Rc::new(RefCell::new(HeartbeatStats::new()));
    let leader = Rc::new(Cell::new(0));
    let start = Instant::now();
    let mut workers = Vec::new();
    for number in 1..=count {
        let offset = interval.mul_f64(number as f64 / count as f64);
        let worker = Worker {
            number,
            control: control.to_vec(),
            leader: leader.clone(),
            seen: seen.clone(),
        };
        workers.push(actix_rt::spawn(worker.run(
            start + offset,
            interval,
            start + length,
        )));
    }
    for worker in workers {
        let _ = worker.await;
    }
    Rc::try_unwrap(seen)
        .ok()
        .map_or_else(HeartbeatStats::new, RefCell::into_inner)
}

struct Worker {
    number: usize,
    control: Vec<SocketAddr>,
    leader: Rc<Cell<usize>>,
    seen: Rc<RefCell<HeartbeatStats>>,
}

impl Worker {
    async fn run(self, first: Instant, interval: Duration, end: Instant) {
        let mut due = first;
        let mut connection = None;
        while due < end {
            tokio::time::sleep_until(due.into()).await;
            let asked = self.leader.get();
            let sent = tokio::time::timeout(ANSWER_LIMIT, self.beat(&mut connection)).await;
            if sent == Ok(Some(true)) {
                let waited_us = u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX);
                let _ = self.seen.borrow_mut().latency_us.record(waited_us);
            } else {
                self.seen.borrow_mut().failures += 1;
                connection = None;
                if self.leader.get() == asked {
                    self.leader.set((asked + 1) % self.control.len());
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            due += interval;
        }
    }

    /// Sends one heartbeat and returns whether the answer was good; none where there was none.
    async fn beat(&self, connection: &mut Option<TcpStream>) -> Option<bool> {
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
        let answer = read_answer(stream).await?;
        self.seen.borrow_mut().bytes += (request.len() + answer.len()) as u64;
        Some(answer.starts_with(b"HTTP/1.1 200"))
    }
}

/// Reads one answer with a Content-Length.
async fn read_answer(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut answer = Vec::new();
    let mut buffer = [0; READ_BYTES];
    loop {
        let length = stream
            .read(&mut buffer)
            .await
            .ok()
            .filter(|length| *length > 0)?;
        answer.extend_from_slice(&buffer[..length]);
        let head = answer.windows(4).position(|window| window == b"\r\n\r\n");
        let Some(head) = head else { continue };
        let text = String::from_utf8_lossy(&answer[..head]).to_ascii_lowercase();
        let announced = text
            .lines()
            .find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok());
        if answer.len() >= head + 4 + announced.unwrap_or(0) {
            return Some(answer);
        }
    }
}
