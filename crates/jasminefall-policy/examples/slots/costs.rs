//! Cost of decisions for growing numbers of backend servers.

use std::hint::black_box;
use std::time::Instant;

use jasminefall_core::prelude::*;
use jasminefall_policy::admission::{AdmissionRequest, FairQueue, QueueLimits};
use jasminefall_policy::slots::shares::Division;
use jasminefall_policy::slots::table::{AnnouncedBackend, SlotTable};
use jasminefall_policy::slots::{home_slots, rotation_of};

const ENTRIES: u32 = 6;
const DECISIONS: u32 = 20_000;
const ROUNDS: usize = 9;
const BACKEND_COUNTS: [usize; 3] = [10, 50, 250];

fn table(backends: usize) -> (SlotTable, Vec<SmolStr>) {
    let mut table = SlotTable::default();
    let division = Division {
        position: Some(0),
        entries: ENTRIES,
    };
    table.configure(0, Version::new(1), division, 30_000, true);
    let addresses: Vec<SmolStr> = (0..backends)
        .map(|number| format!("10.0.{}.{}:80", number / 250, number % 250).into())
        .collect();
    for address in &addresses {
        table.record_announcement(
            0,
            AnnouncedBackend {
                service: ServiceId::new("render"),
                address: address.clone(),
                slots: 8,
                connections: 64,
                ready_until_ms: u64::MAX / 2,
            },
        );
    }
    table.refresh(0);
    (table, addresses)
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn indexed_us(backends: usize) -> f64 {
    let (mut table, _) = table(backends);
    let service = ServiceId::new("render");
    let limits = QueueLimits {
        requests: 10_000,
        bytes: 1 << 30,
    };
    let mut queue = FairQueue::new(limits);
    let began = Instant::now();
    for number in 0..DECISIONS {
        let request = AdmissionRequest {
            team: TeamId::new(["a", "b", "c", "d"][number as usize % 4]),
            weight: 4,
            urgency: Urgency::Normal,
            bytes: 1 << 10,
            deadline_ms: u64::MAX / 2,
        };
        let _ = queue.push(0, 100, request, number);
        let held = table.acquire(0, &service, 0, |_| true);
        let popped = queue.pop(0, 100, 50, &mut Vec::new());
        if let (Some(held), Some((grant, _, _))) = (black_box(held), black_box(popped)) {
            table.release(&held);
            queue.release(&grant, 1);
        }
    }
    began.elapsed().as_secs_f64() * 1e6 / f64::from(DECISIONS)
}

/// Computes the share of every backend server and scans all of them for each request.
fn naive_us(backends: usize) -> f64 {
    let (_, addresses) = table(backends);
    let in_progress = vec![0_u32; backends];
    let began = Instant::now();
    for number in 0..DECISIONS {
        let candidates: Vec<_> = addresses
            .iter()
            .zip(&in_progress)
            .map(|(address, used)| {
                let share = home_slots(8, 0, ENTRIES, rotation_of(address));
                (share.saturating_sub(*used), *used)
            })
            .collect();
        let offset = number as usize % backends;
        let chosen = (0..backends)
            .map(|position| (position + offset) % backends)
            .filter(|position| candidates[*position].0 > 0)
            .min_by_key(|position| candidates[*position].1);
        black_box(chosen);
    }
    began.elapsed().as_secs_f64() * 1e6 / f64::from(DECISIONS)
}

fn refresh_us(backends: usize) -> f64 {
    let (mut table, _) = table(backends);
    let began = Instant::now();
    for now_ms in 0..500 {
        table.refresh(now_ms);
    }
    began.elapsed().as_secs_f64() * 1e6 / 500.0
}

/// Prints the table of decision costs.
pub(super) fn print() {
    println!("\ncost of decisions, one core, medians of {ROUNDS} alternating rounds\n");
    println!(
        "| backend servers | admit, choose, release, µs | naive scan to choose alone, µs | refresh (20 a second), µs |"
    );
    println!("| ---: | ---: | ---: | ---: |");
    for backends in BACKEND_COUNTS {
        let mut figures = [Vec::new(), Vec::new(), Vec::new()];
        for _ in 0..ROUNDS {
            figures[0].push(indexed_us(backends));
            figures[1].push(naive_us(backends));
            figures[2].push(refresh_us(backends));
        }
        let [indexed, naive, refresh] = figures.map(median);
        println!("| {backends} | {indexed:.2} | {naive:.2} | {refresh:.1} |");
    }
}
