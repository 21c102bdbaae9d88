//! One line of key=value pairs an event, on standard output.
//!
//! Lines go through a bounded queue to a thread that writes them, so that a reader that does not
//! read never holds up a request. Lines that find the queue full are counted, and the count is
//! written with the next line that gets through. A process that ends by itself flushes first, so that
//! the line with the cause is not lost.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

use env_logger::{Builder, Env, Target};

use crate::clock::wall_ms;

const LEVEL_VARIABLE: &str = "JASMINEFALL_LOG";
/// How many lines may wait to be written; a second of the heaviest load that was measured.
const QUEUE_LINES: usize = 4_096;
/// How long lines gather before they are written together, which saves wake-ups.
const GATHER: Duration = Duration::from_millis(50);
/// How long a flush waits at most; a reader that does not read holds up no end.
const FLUSH_LIMIT: Duration = Duration::from_millis(500);
/// How often a flush looks whether everything has been written.
const FLUSH_CHECK: Duration = Duration::from_millis(10);

/// Hands lines to the writing thread without waiting.
struct Queue {
    sender: SyncSender<Vec<u8>>,
    counts: Arc<Counts>,
}

/// Counts lines on their way.
#[derive(Debug, Default)]
struct Counts {
    queued: AtomicU64,
    written: AtomicU64,
    lost: AtomicU64,
}

/// Logs as `env_logger` does, and can wait until the lines are out.
struct Logger {
    inner: env_logger::Logger,
    counts: Arc<Counts>,
}

impl log::Log for Logger {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        self.inner.enabled(metadata)
    }

    fn log(&self, record: &log::Record<'_>) {
        self.inner.log(record);
    }

    fn flush(&self) {
        let until = Instant::now() + FLUSH_LIMIT;
        let queued = self.counts.queued.load(Ordering::Relaxed);
        while self.counts.written.load(Ordering::Relaxed) < queued && Instant::now() < until {
            std::thread::sleep(FLUSH_CHECK);
        }
    }
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        let counted = match self.sender.try_send(line.to_vec()) {
            Ok(()) => &self.counts.queued,
            Err(_) => &self.counts.lost,
        };
        counted.fetch_add(1, Ordering::Relaxed);
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Starts logging to standard output; the environment variable `JASMINEFALL_LOG` sets the level.
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
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    let counts = Arc::new(Counts::default());
    let queue = Queue {
        sender,
        counts: counts.clone(),
    };
    let written = counts.clone();
    let writer = std::thread::Builder::new().name("log".to_owned());
    if let Err(error) = writer.spawn(move || write_all(&receiver, &written)) {
        eprintln!("event=logging_failed error=\"{error}\" remedy=\"allow one more thread\"");
    }
    let target = Target::Pipe(Box::new(queue));
    let inner = Builder::from_env(env).format(format).target(target).build();
    let level = inner.filter();
    // A second start in one process, as in tests, keeps the first logger.
    if log::set_boxed_logger(Box::new(Logger { inner, counts })).is_ok() {
        log::set_max_level(level);
    }
}

/// Writes lines as they come, those that gather meanwhile together.
fn write_all(lines: &Receiver<Vec<u8>>, counts: &Counts) {
    while let Ok(first) = lines.recv() {
        std::thread::sleep(GATHER);
        let mut text = first;
        let mut count = 1;
        for line in lines.try_iter() {
            count += 1;
            text.extend_from_slice(&line);
        }
        let lost = counts.lost.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let note = format!(
                "time_ms={} level=warn event=log_lines_lost count={lost}\n",
                wall_ms()
            );
            text.extend_from_slice(note.as_bytes());
        }
        // Nothing can be said about a failure to write here; the next lines may get through.
        let mut output = std::io::stdout();
        let _ = output.write_all(&text).and_then(|()| output.flush());
        counts.written.fetch_add(count, Ordering::Relaxed);
    }
}
