//! Measures the request path: `cargo run --release --bin measure-requests`.
//!
//! Runs a real site of three control replicas and two entries, one of which commits claims without
//! batching. Load is open-loop: each request has a scheduled send time and its latency counts from
//! then. Each round measures all variants in turn, and the median over the rounds is printed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use jasminefall_testing::backend::announce;
use jasminefall_testing::raw_backend::RawBackend;
use jasminefall_testing::site::{Site, wait_for};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const DESIRED: &str = "\
[fleet]
name = demo
[budget.standard]
[pool.general]
budget = standard
[service.render]
timeout = 2s
";
/// The position of the entry that commits claims in batches.
const BATCHING_ENTRY: usize = 0;
/// The position of the entry that commits each claim separately.
const UNBATCHED_ENTRY: usize = 1;
const BACKEND_COUNT: usize = 8;
const CONNECTION_COUNT: usize = 32;
const PHASE_DURATION: Duration = Duration::from_secs(3);
const ROUNDS: usize = 3;
const RESPONSE: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Type: text/plain\r\n\r\nhello";

/// Holds the results of one phase of load.
#[derive(Debug, Clone, Copy, Default)]
struct PhaseResults {
    answered_per_s: f64,
    p50_us: f64,
    p99_us: f64,
    entry_cores: f64,
    failed: u64,
}

/// Holds the parameters of one phase of load.
#[derive(Clone, Copy)]
struct Load<'targets> {
    targets: &'targets [SocketAddr],
    path: &'static str,
    keyed: bool,
    /// The scheduled number of requests per second; `None` sends each request as soon as the
    /// connection has received the previous response.
    rate_per_s: Option<u32>,
    /// The position of the entry whose processor time is measured.
    entry: usize,
}

static NEXT_KEY: AtomicU64 = AtomicU64::new(0);

fn main() -> anyhow::Result<()> {
    let backends = start_backends();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    tokio::task::LocalSet::new().block_on(&runtime, measure(&backends))
}

/// Starts backend servers on a separate thread and returns their addresses.
fn start_backends() -> Vec<SocketAddr> {
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        runtime
            .expect("the runtime can be created")
            .block_on(async {
                let mut running = Vec::new();
                for _ in 0..BACKEND_COUNT {
                    let address = SocketAddr::from(([127, 0, 0, 1], 0));
                    let backend = RawBackend::start(address)
                        .await
                        .expect("the backend server can listen on a free port");
                    backend.respond_with(RESPONSE, false);
                    let _ = sender.send(backend.address);
                    running.push(backend);
                }
                drop(sender);
                std::future::pending::<()>().await;
            });
    });
    receiver.iter().collect()
}

async fn measure(backends: &[SocketAddr]) -> anyhow::Result<()> {
    let site = Site::new(3, 2);
    site.edit_entry(UNBATCHED_ENTRY, |text| text + "claim_batch = 1\n");
    let site = site.started();
    site.apply(0, &(DESIRED.to_owned() + &site.entry_sections()));
    let announcing = announce_all(backends.to_vec(), site.backends_address(0));
    warm_up(&site, BATCHING_ENTRY).await;
    warm_up(&site, UNBATCHED_ENTRY).await;
    let entry = [site.callers_address(BATCHING_ENTRY)];

    println!("| way | sent/s | answered/s | p50 us | p99 us | entry cores | failed |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for rate_per_s in [Some(500), Some(2_000), Some(5_000), None] {
        let direct = Load {
            targets: backends,
            path: "/page",
            keyed: false,
            rate_per_s,
            entry: BATCHING_ENTRY,
        };
        let through = Load {
            targets: &entry,
            path: "/call/render/page",
            keyed: false,
            rate_per_s,
            entry: BATCHING_ENTRY,
        };
        let mut measured = [Vec::new(), Vec::new()];
        for _ in 0..ROUNDS {
            measured[0].push(run(&site, direct).await?);
            measured[1].push(run(&site, through).await?);
        }
        print_row("direct", rate_per_s, &measured[0]);
        print_row("entry", rate_per_s, &measured[1]);
    }
    measure_claims(&site).await?;
    announcing.abort();
    Ok(())
}

async fn measure_claims(site: &Site) -> anyhow::Result<()> {
    let variants = [
        ("no claim", false, BATCHING_ENTRY),
        ("claims batched", true, BATCHING_ENTRY),
        ("claims one each", true, UNBATCHED_ENTRY),
    ];
    for rate_per_s in [Some(200), Some(1_000), None] {
        let mut measured = [Vec::new(), Vec::new(), Vec::new()];
        for _ in 0..ROUNDS {
            for (position, (_, keyed, entry)) in variants.into_iter().enumerate() {
                let load = Load {
                    targets: &[site.callers_address(entry)],
                    path: "/call/render/publish",
                    keyed,
                    rate_per_s,
                    entry,
                };
                measured[position].push(run(site, load).await?);
            }
        }
        for (position, (name, ..)) in variants.iter().enumerate() {
            print_row(name, rate_per_s, &measured[position]);
        }
    }
    Ok(())
}

fn announce_all(backends: Vec<SocketAddr>, entry: SocketAddr) -> tokio::task::JoinHandle<()> {
    tokio::task::spawn_local(async move {
        loop {
            for backend in &backends {
                let _ = announce(entry, "render", *backend, 1, "ready").await;
            }
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
    })
}

async fn warm_up(site: &Site, entry: usize) {
    let entry = site.callers_address(entry);
    wait_for("the entry answers", || async move {
        let mut http = HttpConnection::new(entry);
        http.call("/call/render/warm-up", None)
            .await
            .unwrap_or(false)
    })
    .await;
    tokio::time::sleep(Duration::from_millis(700)).await;
}

async fn run(site: &Site, load: Load<'_>) -> anyhow::Result<PhaseResults> {
    let started = Instant::now();
    let cpu_before = cpu_seconds(site.entry_process_id(load.entry));
    let failed = Arc::new(AtomicU64::new(0));
    let connections =
        (0..CONNECTION_COUNT).map(|number| connection(load, number, started, failed.clone()));
    let mut all = Histogram::<u64>::new(3)?;
    for histogram in futures::future::join_all(connections).await {
        all.add(histogram?)?;
    }
    let elapsed_s = started.elapsed().as_secs_f64();
    Ok(PhaseResults {
        answered_per_s: all.len() as f64 / elapsed_s,
        p50_us: all.value_at_quantile(0.5) as f64,
        p99_us: all.value_at_quantile(0.99) as f64,
        entry_cores: (cpu_seconds(site.entry_process_id(load.entry)) - cpu_before) / elapsed_s,
        failed: failed.load(Ordering::Relaxed),
    })
}

/// Sends the requests of one connection on schedule and returns their latencies in microseconds.
async fn connection(
    load: Load<'_>,
    number: usize,
    started: Instant,
    failed: Arc<AtomicU64>,
) -> anyhow::Result<Histogram<u64>> {
    let mut histogram = Histogram::new(3)?;
    let mut http = HttpConnection::new(load.targets[number % load.targets.len()]);
    let mut sequence = number;
    loop {
        let due = match load.rate_per_s {
            Some(rate) => started + Duration::from_secs_f64(sequence as f64 / f64::from(rate)),
            None => Instant::now(),
        };
        sequence += CONNECTION_COUNT;
        if due.duration_since(started) >= PHASE_DURATION {
            return Ok(histogram);
        }
        if load.rate_per_s.is_some() {
            wait_until(due).await;
        }
        let key = load.keyed.then(|| NEXT_KEY.fetch_add(1, Ordering::Relaxed));
        match http.call(load.path, key).await {
            Ok(true) => {
                let latency_us = u64::try_from(due.elapsed().as_micros())?;
                histogram.record(latency_us)?;
            }
            Ok(false) | Err(_) => {
                failed.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

/// Waits until a given time, more precisely than the runtime's timer, which has a resolution of one
/// millisecond.
async fn wait_until(due: Instant) {
    const TIMER_MARGIN: Duration = Duration::from_millis(2);
    if let Some(early) = due.checked_sub(TIMER_MARGIN) {
        tokio::time::sleep_until(early.into()).await;
    }
    while Instant::now() < due {
        tokio::task::yield_now().await;
    }
}

/// Sends requests in sequence over a persistent connection.
struct HttpConnection {
    address: SocketAddr,
    stream: Option<TcpStream>,
    received: Vec<u8>,
}

impl HttpConnection {
    const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            stream: None,
            received: Vec::new(),
        }
    }

    /// Sends one request and returns whether its response has status 200; an error closes the
    /// connection, and the next call reconnects.
    async fn call(&mut self, path: &str, key: Option<u64>) -> anyhow::Result<bool> {
        let answered = self.try_call(path, key).await;
        if answered.is_err() {
            self.stream = None;
        }
        answered
    }

    async fn try_call(&mut self, path: &str, key: Option<u64>) -> anyhow::Result<bool> {
        let stream = match &mut self.stream {
            Some(stream) => stream,
            empty => {
                let stream = TcpStream::connect(self.address).await?;
                stream.set_nodelay(true)?;
                empty.insert(stream)
            }
        };
        let head = match key {
            Some(key) => {
                let process = std::process::id();
                format!(
                    "POST {path} HTTP/1.1\r\nHost: h\r\nIdempotency-Key: {process}-{key}\r\n\r\n"
                )
            }
            None => format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n"),
        };
        stream.write_all(head.as_bytes()).await?;
        self.received.clear();
        loop {
            if stream.read_buf(&mut self.received).await? == 0 {
                anyhow::bail!("the server closed the connection before a complete response");
            }
            if let Some(length) = response_length(&self.received)
                && self.received.len() >= length
            {
                return Ok(self.received.starts_with(b"HTTP/1.1 200"));
            }
        }
    }
}

/// Returns the length of head and body in bytes, once the head is complete.
fn response_length(received: &[u8]) -> Option<usize> {
    let text = std::str::from_utf8(received).ok()?;
    let (head, _) = text.split_once("\r\n\r\n")?;
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    let mut lengths = lines.filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length: usize = lengths
        .next()
        .and_then(|(_, value)| value.trim().parse().ok())?;
    Some(head.len() + 4 + length)
}

/// Returns the processor time used by a process, in seconds.
fn cpu_seconds(process: u32) -> f64 {
    const TICKS_PER_S: f64 = 100.0;
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let fields = stat.rsplit_once(") ").map_or("", |(_, fields)| fields);
    let ticks = fields.split(' ').skip(11).take(2);
    ticks
        .filter_map(|field| field.parse::<f64>().ok())
        .sum::<f64>()
        / TICKS_PER_S
}

fn print_row(name: &str, rate_per_s: Option<u32>, measured: &[PhaseResults]) {
    let median = |field: fn(&PhaseResults) -> f64| {
        let mut values: Vec<_> = measured.iter().map(field).collect();
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    };
    let sent = rate_per_s.map_or_else(|| "all".to_owned(), |rate| rate.to_string());
    let failed: u64 = measured.iter().map(|measured| measured.failed).sum();
    println!(
        "| {name} | {sent} | {:.0} | {:.0} | {:.0} | {:.2} | {failed} |",
        median(|measured| measured.answered_per_s),
        median(|measured| measured.p50_us),
        median(|measured| measured.p99_us),
        median(|measured| measured.entry_cores),
    );
}
