//! Measures the request path: `cargo run --release --bin measure-requests`.
//!
//! Runs a real site (two entries, one of which commits each claim by itself, and three control
//! replicas) and sends open-loop load: each request is due
//! by a schedule and its latency counts from when it was due. Ways are alternated, rounds repeated,
//! and the median over the rounds is printed.

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
/// The entry that commits claims together.
const BATCHED: usize = 0;
/// The entry that commits each claim by itself.
const ONE_EACH: usize = 1;
const BACKENDS: usize = 8;
const CONNECTIONS: usize = 32;
const PHASE: Duration = Duration::from_secs(3);
const ROUNDS: usize = 3;
const ANSWER: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Type: text/plain\r\n\r\nhello";

/// Says what one phase measured.
#[derive(Debug, Clone, Copy, Default)]
struct Measured {
    rate_per_s: f64,
    p50_us: f64,
    p99_us: f64,
    entry_cores: f64,
    failed: u64,
}

/// Describes one phase of load.
#[derive(Clone, Copy)]
struct Load<'targets> {
    targets: &'targets [SocketAddr],
    path: &'static str,
    keyed: bool,
    /// Requests a second; none sends the next request as soon as the last was answered.
    rate_per_s: Option<u32>,
    /// The entry whose processor time is counted.
    entry: usize,
}

static KEYS: AtomicU64 = AtomicU64::new(0);

fn main() -> anyhow::Result<()> {
    let backends = start_backends();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    tokio::task::LocalSet::new().block_on(&runtime, measure(&backends))
}

/// Starts backend servers on a thread of their own.
fn start_backends() -> Vec<SocketAddr> {
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        runtime.expect("a runtime").block_on(async {
            let mut running = Vec::new();
            for _ in 0..BACKENDS {
                let address = SocketAddr::from(([127, 0, 0, 1], 0));
                let backend = RawBackend::start(address).await.expect("a free port");
                backend.respond_with(ANSWER, false);
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
    site.edit_entry(ONE_EACH, |text| text + "claim_batch = 1\n");
    let site = site.started();
    site.apply(0, &(DESIRED.to_owned() + &site.entry_sections()));
    let announcing = announce_all(backends.to_vec(), site.backends_address(0));
    warm_up(&site, BATCHED).await;
    warm_up(&site, ONE_EACH).await;
    let entry = [site.callers_address(BATCHED)];

    println!("| way | sent/s | answered/s | p50 us | p99 us | entry cores | failed |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for rate_per_s in [Some(500), Some(2_000), Some(5_000), None] {
        let direct = Load {
            targets: backends,
            path: "/page",
            keyed: false,
            rate_per_s,
            entry: BATCHED,
        };
        let through = Load {
            targets: &entry,
            path: "/call/render/page",
            keyed: false,
            rate_per_s,
            entry: BATCHED,
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
    let ways = [
        ("no claim", false, BATCHED),
        ("claims batched", true, BATCHED),
        ("claims one each", true, ONE_EACH),
    ];
    for rate_per_s in [Some(200), Some(1_000), None] {
        let mut measured = [Vec::new(), Vec::new(), Vec::new()];
        for _ in 0..ROUNDS {
            for (position, (_, keyed, entry)) in ways.into_iter().enumerate() {
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
        for (position, (name, ..)) in ways.iter().enumerate() {
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
        let mut exchange = Exchange::new(entry);
        exchange
            .call("/call/render/warm-up", None)
            .await
            .unwrap_or(false)
    })
    .await;
    tokio::time::sleep(Duration::from_millis(700)).await;
}

async fn run(site: &Site, load: Load<'_>) -> anyhow::Result<Measured> {
    let started = Instant::now();
    let cpu_before = cpu_seconds(site.entry_process_id(load.entry));
    let failed = Arc::new(AtomicU64::new(0));
    let connections =
        (0..CONNECTIONS).map(|number| connection(load, number, started, failed.clone()));
    let mut all = Histogram::<u64>::new(3)?;
    for histogram in futures::future::join_all(connections).await {
        all.add(histogram?)?;
    }
    let elapsed_s = started.elapsed().as_secs_f64();
    Ok(Measured {
        rate_per_s: all.len() as f64 / elapsed_s,
        p50_us: all.value_at_quantile(0.5) as f64,
        p99_us: all.value_at_quantile(0.99) as f64,
        entry_cores: (cpu_seconds(site.entry_process_id(load.entry)) - cpu_before) / elapsed_s,
        failed: failed.load(Ordering::Relaxed),
    })
}

/// Sends every request of one connection, each at its time.
async fn connection(
    load: Load<'_>,
    number: usize,
    started: Instant,
    failed: Arc<AtomicU64>,
) -> anyhow::Result<Histogram<u64>> {
    let mut histogram = Histogram::new(3)?;
    let mut exchange = Exchange::new(load.targets[number % load.targets.len()]);
    let mut sequence = number;
    loop {
        let due = match load.rate_per_s {
            Some(rate) => started + Duration::from_secs_f64(sequence as f64 / f64::from(rate)),
            None => Instant::now(),
        };
        sequence += CONNECTIONS;
        if due.duration_since(started) >= PHASE {
            return Ok(histogram);
        }
        if load.rate_per_s.is_some() {
            wait_until(due).await;
        }
        let key = load.keyed.then(|| KEYS.fetch_add(1, Ordering::Relaxed));
        match exchange.call(load.path, key).await {
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

/// Waits until a time more exactly than the runtime's timer, which counts whole milliseconds.
async fn wait_until(due: Instant) {
    const COARSE: Duration = Duration::from_millis(2);
    if let Some(early) = due.checked_sub(COARSE) {
        tokio::time::sleep_until(early.into()).await;
    }
    while Instant::now() < due {
        tokio::task::yield_now().await;
    }
}

/// Makes one call after another on a connection that is kept alive.
struct Exchange {
    address: SocketAddr,
    stream: Option<TcpStream>,
    received: Vec<u8>,
}

impl Exchange {
    const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            stream: None,
            received: Vec::new(),
        }
    }

    /// Returns whether the request was answered with success.
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
                anyhow::bail!("closed");
            }
            if let Some(length) = whole_length(&self.received)
                && self.received.len() >= length
            {
                return Ok(self.received.starts_with(b"HTTP/1.1 200"));
            }
        }
    }
}

/// Returns the length of head and body once the head is there.
fn whole_length(received: &[u8]) -> Option<usize> {
    let text = std::str::from_utf8(received).ok()?;
    let (head, _) = text.split_once("\r\n\r\n")?;
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    let mut lengths = lines.filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length: usize = lengths
        .next()
        .and_then(|(_, value)| value.trim().parse().ok())?;
    Some(head.len() + 4 + length)
}

/// Returns the processor time that a process has used.
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

fn print_row(name: &str, rate_per_s: Option<u32>, measured: &[Measured]) {
    let median = |field: fn(&Measured) -> f64| {
        let mut values: Vec<_> = measured.iter().map(field).collect();
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    };
    let sent = rate_per_s.map_or_else(|| "all".to_owned(), |rate| rate.to_string());
    let failed: u64 = measured.iter().map(|measured| measured.failed).sum();
    println!(
        "| {name} | {sent} | {:.0} | {:.0} | {:.0} | {:.2} | {failed} |",
        median(|measured| measured.rate_per_s),
        median(|measured| measured.p50_us),
        median(|measured| measured.p99_us),
        median(|measured| measured.entry_cores),
    );
}
