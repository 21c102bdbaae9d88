//! Statistics of how long requests hold their slots.

const MAX_SAMPLES: usize = 128;

/// Holds how long the latest requests held their slots.
///
/// The 90th percentile is updated only at every eighth request, so that recording a sample stays
/// cheap.
#[derive(Debug, Clone, Default)]
pub struct ServiceTime {
    samples_ms: Vec<u64>,
    next: usize,
    sum_ms: u64,
    recorded: usize,
    p90_ms: u64,
}

impl ServiceTime {
    const P90_UPDATE_INTERVAL_REQUESTS: usize = 8;

    /// Records how long a request held its slot.
    pub fn record(&mut self, held_ms: u64) {
        self.sum_ms += held_ms;
        if self.samples_ms.len() < MAX_SAMPLES {
            self.samples_ms.push(held_ms);
        } else {
            self.sum_ms -= self.samples_ms[self.next];
            self.samples_ms[self.next] = held_ms;
            self.next = (self.next + 1) % MAX_SAMPLES;
        }
        if self
            .recorded
            .is_multiple_of(Self::P90_UPDATE_INTERVAL_REQUESTS)
        {
            self.update_p90();
        }
        self.recorded += 1;
    }

    /// Returns the mean, or zero without samples.
    #[must_use]
    pub fn mean_ms(&self) -> u64 {
        self.sum_ms / self.samples_ms.len().max(1) as u64
    }

    /// Returns the 90th percentile as of its last update, or zero without samples.
    #[must_use]
    pub const fn p90_ms(&self) -> u64 {
        self.p90_ms
    }

    fn update_p90(&mut self) {
        let mut sorted = self.samples_ms.clone();
        sorted.sort_unstable();
        self.p90_ms = sorted[(sorted.len() * 9 / 10).min(sorted.len() - 1)];
    }
}
