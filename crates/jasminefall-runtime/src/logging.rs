//! Logging to standard output: one line of key=value pairs per event.
//!
//! A thread writes the lines from a bounded queue, so that a stalled reader of standard output
//! never blocks a request. Lines that do not fit in the queue are dropped and counted; the count is
//! logged with the next batch. A process that exits by itself flushes the queue first, so that the
//! line with the cause is not lost.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

use env_logger::{Builder, Env, Target};

use crate::clock::wall_ms;

const LEVEL_VARIABLE: &str = "JASMINEFALL_LOG";
/// The maximum number of lines in the queue: one second of lines at peak load.
const MAX_QUEUED_LINES: usize = 4_096;
/// The time during which lines are batched before a write, to reduce wake-ups.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// Bounds a flush, so that a stalled reader of standard output does not delay the exit.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Passes lines to the writer thread without blocking.
struct LineQueue {
    sender: SyncSender<Vec<u8>>,
    counts: Arc<LineCounts>,
}

/// Counts lines: `queued` and `written` since the start, `dropped` since the last report.
#[derive(Debug, Default)]
struct LineCounts {
    queued: AtomicU64,
    written: AtomicU64,
    dropped: AtomicU64,
}

/// Wraps the logger of `env_logger` with a flush that waits until the queued lines are written.
struct Logger {
    inner: env_logger::Logger,
    counts: Arc<LineCounts>,
}

impl log::Log for Logger {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        self.inner.enabled(metadata)
    }

    fn log(&self, record: &log::Record<'_>) {
        self.inner.log(record);
    }

    fn flush(&self) {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let queued = self.counts.queued.load(Ordering::Relaxed);
        while self.counts.written.load(Ordering::Relaxed) < queued && Instant::now() < deadline {
            std::thread::sleep(FLUSH_POLL_INTERVAL);
        }
    }
}

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        let counter = match self.sender.try_send(line.to_vec()) {
            Ok(()) => &self.counts.queued,
            Err(_) => &self.counts.dropped,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Starts logging to standard output; the environment variable `JASMINEFALL_LOG` sets the filter.
///
/// The default level is `info`. Each line carries `program` and `name`, the name of the process.
pub fn start(program: &'static str, name: &str) {
    let name = name.to_owned();
    let env = Env::new().filter_or(LEVEL_VARIABLE, "info");
    let format = move |output: &mut env_logger::fmt::Formatter, record: &log::Record<'_>| {
        let level = record.level().as_str().to_ascii_lowercase();
        writeln!(
            output,
            "time_ms={} level={level} program={program} name={name} {}",
            wall_ms(),
            record.args()
        )
    };
    let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
    let counts = Arc::new(LineCounts::default());
    let queue = LineQueue {
        sender,
        counts: counts.clone(),
    };
    let writer_counts = counts.clone();
    let writer = std::thread::Builder::new().name("log".to_owned());
    if let Err(error) = writer.spawn(move || write_batches(&receiver, &writer_counts)) {
        eprintln!("event=logging_failed error=\"{error}\" remedy=\"allow one more thread\"");
    }
    let target = Target::Pipe(Box::new(queue));
    let inner = Builder::from_env(env).format(format).target(target).build();
    let level = inner.filter();
    // The first logger stays if a process starts logging twice, as tests do.
    if log::set_boxed_logger(Box::new(Logger { inner, counts })).is_ok() {
        log::set_max_level(level);
    }
}

/// Writes the queued lines in batches until all senders are dropped.
fn write_batches(lines: &Receiver<Vec<u8>>, counts: &LineCounts) {
    while let Ok(first) = lines.recv() {
        std::thread::sleep(BATCH_DELAY);
        let mut text = first;
        let mut count = 1;
        for line in lines.try_iter() {
            count += 1;
            text.extend_from_slice(&line);
        }
        let dropped = counts.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let note = format!(
                "time_ms={} level=warn event=log_lines_lost count={dropped}\n",
                wall_ms()
            );
            text.extend_from_slice(note.as_bytes());
        }
        // Ignores a write error, since there is no other output to report it to and later writes may
        // succeed.
        let mut output = std::io::stdout();
        let _ = output.write_all(&text).and_then(|()| output.flush());
        counts.written.fetch_add(count, Ordering::Relaxed);
    }
}
