//! Comparison of schemes for sharing the slots of backend servers among the entries.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use jasminefall_core::prelude::*;
use jasminefall_policy::slots::shares::Division;
use jasminefall_policy::slots::table::{AnnouncedBackend, HeldSlot, SlotTable};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ENTRIES: usize = 6;
const SERVICES: usize = 5;
const BACKENDS: usize = 10;
const SLOTS: u32 = 8;
const MEAN_SERVICE_MS: f64 = 200.0;
const PEAK_PER_S: f64 = 500.0;
const TROUGH_PER_S: f64 = 5.0;
const PEAK_DURATION_MS: u64 = 5_000;
const DEMAND_DURATION_MS: u64 = 60_000;
const TIMEOUT_MS: u64 = 10_000;
const HOP_MS: u64 = 1;
const ANNOUNCE_INTERVAL_MS: u64 = 200;
const EXCHANGE_INTERVAL_MS: u64 = 20;
const REFUSAL_BACKOFF_MS: u64 = 5;
const SEED: u64 = 7;

/// Lists the schemes for sharing slots; `name` describes each of them.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Scheme {
    OwnView,
    TwoChoices,
    HomeOnly,
    HomeAndLending { reserve_divisor: u32 },
    Owner,
}

impl Scheme {
    const ALL: [Self; 7] = [
        Self::OwnView,
        Self::TwoChoices,
        Self::HomeOnly,
        Self::HomeAndLending { reserve_divisor: 2 },
        Self::HomeAndLending { reserve_divisor: 4 },
        Self::HomeAndLending {
            reserve_divisor: u32::MAX,
        },
        Self::Owner,
    ];

    fn name(self) -> String {
        match self {
            Self::OwnView => "least loaded of own view".into(),
            Self::TwoChoices => "two choices on announced load".into(),
            Self::HomeOnly => "home slots alone".into(),
            Self::HomeAndLending {
                reserve_divisor: u32::MAX,
            } => "home slots and lending, no reserve".into(),
            Self::HomeAndLending { reserve_divisor } => {
                format!("home slots and lending, reserve 1/{reserve_divisor}")
            }
            Self::Owner => "owner entry for each pool".into(),
        }
    }
}

#[derive(Default)]
struct Figures {
    waits_ms: Vec<u64>,
    late: u64,
    refused: u64,
    idle_slot_ms: u64,
    slot_ms: u64,
    moves: u64,
}

enum SlotUse {
    Counted(usize, usize),
    Held(HeldSlot),
}

struct Site {
    scheme: Scheme,
    random: ChaCha8Rng,
    queues: Vec<Vec<VecDeque<u64>>>,
    /// The requests in progress that each entry has at each backend server.
    own: Vec<Vec<u32>>,
    /// The requests in progress at each backend server as of its latest announcement.
    announced: Vec<u32>,
    /// The requests in progress at each backend server.
    real: Vec<u32>,
    /// The time until which each entry pauses each service after a refusal, in milliseconds.
    paused_until: Vec<Vec<u64>>,
    tables: Vec<SlotTable>,
    ending: BinaryHeap<Reverse<(u64, u64)>>,
    uses: HashMap<u64, (usize, SlotUse, usize)>,
    last_use: u64,
    sequence: u64,
    figures: Figures,
}

fn address(backend: usize) -> SmolStr {
    format!("10.0.0.{backend}:80").into()
}

fn service(number: usize) -> ServiceId {
    ServiceId::new(format!("s{number}"))
}

fn entry_name(number: usize) -> EntryId {
    EntryId::new(format!("e{number}"))
}

const INCARNATION: Incarnation = Incarnation::new(1);

impl Site {
    fn new(scheme: Scheme) -> Self {
        let tables = (0..ENTRIES).map(|entry| {
            let mut table = SlotTable::default();
            let division = Division {
                position: u32::try_from(entry).ok(),
                entries: ENTRIES as u32,
            };
            table.configure(0, Version::new(1), division, TIMEOUT_MS, true);
            for backend in 0..SERVICES * BACKENDS {
                table.record_announcement(
                    0,
                    AnnouncedBackend {
                        service: service(backend / BACKENDS),
                        address: address(backend),
                        slots: SLOTS,
                        connections: 64,
                        ready_until_ms: u64::MAX / 2,
                    },
                );
            }
            table
        });
        Self {
            scheme,
            random: ChaCha8Rng::seed_from_u64(SEED),
            queues: vec![vec![VecDeque::new(); SERVICES]; ENTRIES],
            own: vec![vec![0; SERVICES * BACKENDS]; ENTRIES],
            announced: vec![0; SERVICES * BACKENDS],
            real: vec![0; SERVICES * BACKENDS],
            paused_until: vec![vec![0; SERVICES]; ENTRIES],
            tables: tables.collect(),
            ending: BinaryHeap::new(),
            uses: HashMap::new(),
            last_use: 0,
            sequence: 0,
            figures: Figures::default(),
        }
    }

    fn run(mut self, skewed: bool) -> Figures {
        for now_ms in 0..DEMAND_DURATION_MS {
            self.finish(now_ms);
            self.arrive(now_ms, skewed);
            if now_ms % ANNOUNCE_INTERVAL_MS == 0 {
                self.announced.clone_from(&self.real);
            }
            match self.scheme {
                Scheme::HomeAndLending { reserve_divisor }
                    if now_ms % EXCHANGE_INTERVAL_MS == 0 =>
                {
                    self.exchange(now_ms, reserve_divisor);
                }
                _ => {}
            }
            if now_ms % 50 == 0 {
                self.tables
                    .iter_mut()
                    .for_each(|table| table.refresh(now_ms));
            }
            for entry in 0..ENTRIES {
                for service in 0..SERVICES {
                    self.serve(now_ms, entry, service);
                }
            }
            self.record_idle_slots();
        }
        self.figures
    }

    fn arrive(&mut self, now_ms: u64, skewed: bool) {
        let peaking = usize::try_from(now_ms / PEAK_DURATION_MS).unwrap() % SERVICES;
        for service in 0..SERVICES {
            let per_s = if service == peaking {
                PEAK_PER_S
            } else {
                TROUGH_PER_S
            };
            if !self.random.random_bool(per_s / 1_000.0) {
                continue;
            }
            let entry = match (self.scheme, skewed) {
                (Scheme::Owner, _) => service,
                (_, true) if self.random.random_bool(0.5) => 0,
                _ => self.random.random_range(0..ENTRIES),
            };
            self.queues[entry][service].push_back(now_ms);
        }
    }

    fn finish(&mut self, now_ms: u64) {
        while self
            .ending
            .peek()
            .is_some_and(|Reverse((ms, _))| *ms <= now_ms)
        {
            let Some(Reverse((_, number))) = self.ending.pop() else {
                return;
            };
            let Some((entry, used, backend)) = self.uses.remove(&number) else {
                continue;
            };
            self.real[backend] -= 1;
            match used {
                SlotUse::Counted(entry, backend) => self.own[entry][backend] -= 1,
                SlotUse::Held(held) => self.tables[entry].release(&held),
            }
        }
    }

    fn serve(&mut self, now_ms: u64, entry: usize, service: usize) {
        while let Some(arrived_ms) = self.queues[entry][service].front().copied() {
            if arrived_ms + TIMEOUT_MS <= now_ms {
                self.queues[entry][service].pop_front();
                self.figures.late += 1;
                continue;
            }
            if now_ms < self.paused_until[entry][service] {
                return;
            }
            let Some((used, backend)) = self.choose(now_ms, entry, service) else {
                return;
            };
            if self.real[backend] >= SLOTS {
                self.figures.refused += 1;
                self.paused_until[entry][service] = now_ms + REFUSAL_BACKOFF_MS;
                return;
            }
            if let SlotUse::Counted(entry, backend) = used {
                self.own[entry][backend] += 1;
            }
            self.queues[entry][service].pop_front();
            // A request through the owner entry takes one more hop.
            let hop_ms = u64::from(self.scheme == Scheme::Owner) * HOP_MS;
            self.figures.waits_ms.push(now_ms - arrived_ms + hop_ms);
            self.real[backend] += 1;
            let duration_ms = -MEAN_SERVICE_MS * (1.0 - self.random.random::<f64>()).ln();
            let ends_ms = now_ms + (duration_ms as u64).clamp(1, TIMEOUT_MS);
            self.last_use += 1;
            self.uses.insert(self.last_use, (entry, used, backend));
            self.ending.push(Reverse((ends_ms, self.last_use)));
        }
    }

    fn choose(&mut self, now_ms: u64, entry: usize, number: usize) -> Option<(SlotUse, usize)> {
        let pool = number * BACKENDS..(number + 1) * BACKENDS;
        let counted = |backend| (SlotUse::Counted(entry, backend), backend);
        match self.scheme {
            Scheme::OwnView | Scheme::Owner => {
                let offset = self.random.random_range(0..BACKENDS);
                let rotated = pool.clone().cycle().skip(offset).take(BACKENDS);
                let free = rotated.filter(|backend| self.own[entry][*backend] < SLOTS);
                free.min_by_key(|backend| self.own[entry][*backend])
                    .map(counted)
            }
            Scheme::TwoChoices => {
                let load = |backend: usize| self.announced[backend].max(self.own[entry][backend]);
                let pair = [0, 1].map(|_| self.random.random_range(pool.clone()));
                let best = pair.into_iter().min_by_key(|backend| load(*backend))?;
                (self.own[entry][best] < SLOTS).then(|| counted(best))
            }
            Scheme::HomeOnly | Scheme::HomeAndLending { .. } => {
                let deadline_ms = now_ms + TIMEOUT_MS;
                let held =
                    self.tables[entry].acquire(now_ms, &service(number), deadline_ms, |_| true)?;
                let backend = pool
                    .clone()
                    .find(|backend| address(*backend) == held.address)?;
                Some((SlotUse::Held(held), backend))
            }
        }
    }

    fn exchange(&mut self, now_ms: u64, reserve_divisor: u32) {
        for number in 0..SERVICES {
            let id = service(number);
            let idle = |site: &Self, entry: usize| {
                let waits = !site.queues[entry][number].is_empty();
                let idle = site.tables[entry].lendable_slots(now_ms, &id);
                if waits {
                    0
                } else {
                    idle - idle / reserve_divisor
                }
            };
            let idles: Vec<u32> = (0..ENTRIES).map(|entry| idle(self, entry)).collect();
            let all: u32 = idles.iter().sum();
            for borrower in 0..ENTRIES {
                let waiting =
                    u32::try_from(self.queues[borrower][number].len()).unwrap_or(u32::MAX);
                for lender in (0..ENTRIES).filter(|lender| *lender != borrower) {
                    self.borrow(
                        now_ms,
                        borrower,
                        lender,
                        number,
                        (waiting, idles[lender], all),
                    );
                }
            }
        }
    }

    fn borrow(
        &mut self,
        now_ms: u64,
        borrower: usize,
        lender: usize,
        number: usize,
        (waiting, idle, all): (u32, u32, u32),
    ) {
        self.sequence += 1;
        let (to, from) = (entry_name(borrower), entry_name(lender));
        let queues = &self.queues[borrower];
        let needed = |asked: &ServiceId| {
            (0..SERVICES).any(|number| service(number) == *asked && !queues[number].is_empty())
        };
        let held = self.tables[borrower].retain_needed_loans(now_ms, &from, INCARNATION, needed);
        self.tables[lender].reconcile(&to, INCARNATION, self.sequence, &held);
        if waiting == 0 {
            return;
        }
        self.tables[lender].recall_loans(&to, &service(number));
        let part = (waiting * idle).div_ceil(all.max(1));
        if part > 0 && self.queues[lender][number].is_empty() {
            let reserve = self.tables[lender].lendable_slots(now_ms, &service(number)) - idle;
            let loans =
                self.tables[lender].lend(now_ms, &to, INCARNATION, &service(number), part, reserve);
            self.figures.moves += loans.len() as u64;
            self.tables[borrower].add_loans(now_ms, &from, INCARNATION, loans);
        }
    }

    fn record_idle_slots(&mut self) {
        for service in 0..SERVICES {
            let waiting: usize = self.queues.iter().map(|queues| queues[service].len()).sum();
            let pool = &self.real[service * BACKENDS..(service + 1) * BACKENDS];
            let free: u32 = pool.iter().map(|used| SLOTS - used).sum();
            self.figures.idle_slot_ms += u64::from(free).min(waiting as u64);
            self.figures.slot_ms += u64::from(SLOTS) * BACKENDS as u64;
        }
    }
}

/// Prints one table of schemes for an even and one for a skewed load balancer.
pub(super) fn print() {
    for (skewed, label) in [
        (false, "even balancer"),
        (true, "half of the requests at one entry"),
    ] {
        println!("\n{label}\n");
        println!(
            "| scheme | served | wait p50 ms | wait p99 ms | too late | refusals of 1,000 | slots idle while requests wait, of 100,000 | loans a second |"
        );
        println!("| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
        for scheme in Scheme::ALL {
            let mut figures = Site::new(scheme).run(skewed);
            figures.waits_ms.sort_unstable();
            let served = figures.waits_ms.len();
            let at = |percent: usize| figures.waits_ms[(served - 1) * percent / 100];
            println!(
                "| {} | {served} | {} | {} | {} | {:.1} | {} | {:.1} |",
                scheme.name(),
                at(50),
                at(99),
                figures.late,
                figures.refused as f64 * 1_000.0 / served as f64,
                figures.idle_slot_ms * 100_000 / figures.slot_ms,
                figures.moves as f64 * 1_000.0 / DEMAND_DURATION_MS as f64,
            );
        }
    }
}
