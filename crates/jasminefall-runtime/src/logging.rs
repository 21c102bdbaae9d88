//! One line of key=value pairs an event, on standard output.
//!
//! Lines go through a bounded queue to a thread that writes them, so that a reader that does not
//! read never holds up a request. Lines that find the queue full are counted, and the count is
//! written with the next line that gets through.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

use env_logger::{Builder, Env, Target};

use crate::clock::wall_ms;

const LEVEL_VARIABLE: &str = "JASMINEFALL_LOG";
/// How many lines may wait to be written; a second of the heaviest load that was measured.
const QUEUE_LINES: usize = 4_096;
/// How long lines gather before they are written together, which saves wake-ups.
const GATHER: Duration = Duration::from_millis(50);

/// Hands lines to the writing thread without waiting.
struct Queue {
    sender: SyncSender<Vec<u8>>,
    lost: Arc<AtomicU64>,
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        if self.sender.try_send(line.to_vec()).is_err() {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
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
    let lost = Arc::new(AtomicU64::new(0));
    let queue = Queue {
        sender,
        lost: lost.clone(),
    };
    let writer = std::thread::Builder::new().name("log".to_owned());
    if let Err(error) = writer.spawn(move || write_all(&receiver, &lost)) {
        eprintln!("event=logging_failed error=\"{error}\" remedy=\"allow one more thread\"");
    }
    let target = Target::Pipe(Box::new(queue));
    // A second start in one process, as in tests, keeps the first logger.
    let _ = Builder::from_env(env)
        .format(format)
        .target(target)
        .try_init();
}

/// Writes lines as they come, those that gather meanwhile together.
fn write_all(lines: &Receiver<Vec<u8>>, lost: &AtomicU64) {
    while let Ok(first) = lines.recv() {
        std::thread::sleep(GATHER);
        let mut text = first;
        for line in lines.try_iter() {
            text.extend_from_slice(&line);
        }
        let lost = lost.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let note = format!(
                "time_ms={} level=warn event=log_lines_lost count={lost}\n",
                wall_ms()
            );
            text.extend_from_slice(note.as_bytes());
        }
        // Nothing can be said about a failure to write here; the next lines may get through.
        let _ = std::io::stdout().write_all(&text);
    }
}
