//! How long requests hold their slots.

const SAMPLES: usize = 128;

/// Remembers how long the latest requests held their slots.
///
/// What few exceed is worked out anew after every eighth request, so that noting one stays cheap.
#[derive(Debug, Clone, Default)]
pub struct ServiceTime {
    samples_ms: Vec<u64>,
    next: usize,
    sum_ms: u64,
    noted: usize,
    p90_ms: u64,
}

impl ServiceTime {
    const WORKED_OUT_EVERY: usize = 8;

    /// Notes how long a request held its slot.
    pub fn record(&mut self, held_ms: u64) {
        self.sum_ms += held_ms;
        if self.samples_ms.len() < SAMPLES {
            self.samples_ms.push(held_ms);
        } else {
            self.sum_ms -= self.samples_ms[self.next];
            self.samples_ms[self.next] = held_ms;
            self.next = (self.next + 1) % SAMPLES;
        }
        if self.noted.is_multiple_of(Self::WORKED_OUT_EVERY) {
            self.work_out();
        }
        self.noted += 1;
    }

    /// Returns the mean, or zero where nothing has been noted.
    #[must_use]
    pub fn mean_ms(&self) -> u64 {
        self.sum_ms / self.samples_ms.len().max(1) as u64
    }

    /// Returns what only one request in ten exceeds.
    #[must_use]
    pub const fn p90_ms(&self) -> u64 {
        self.p90_ms
    }

    fn work_out(&mut self) {
        let mut sorted = self.samples_ms.clone();
        sorted.sort_unstable();
        self.p90_ms = sorted[(sorted.len() * 9 / 10).min(sorted.len() - 1)];
    }
}
