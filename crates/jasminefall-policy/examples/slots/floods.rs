//! Share of other teams' requests that are served during a flood, with and without each mechanism.

use std::collections::BTreeMap;

use jasminefall_core::prelude::*;
use jasminefall_policy::admission::{AdmissionRequest, FairQueue, Grant, QueueLimits};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SLOTS: u32 = 80;
const DEMAND_DURATION_MS: u64 = 60_000;
const SERVICE_AND_TIMEOUT_MS: [(u64, u64); 2] = [(200, 3_000), (2_000, 8_000)];
const FLOOD_PER_S: f64 = 1_600.0;
const OTHER_DEMANDS: [(&str, Urgency, f64); 6] = [
    ("a", Urgency::Urgent, 20.0),
    ("a", Urgency::Normal, 50.0),
    ("b", Urgency::Normal, 50.0),
    ("c", Urgency::Normal, 50.0),
    ("d", Urgency::Normal, 50.0),
    ("d", Urgency::Background, 20.0),
];
const LIMITS: QueueLimits = QueueLimits {
    requests: 4_000,
    bytes: 32 << 20,
};

/// Selects the mechanisms in use.
#[derive(Debug, Clone, Copy)]
struct Mechanisms {
    teams: bool,
    urgencies: bool,
    refusal: bool,
}

const VARIANTS: [(&str, Mechanisms); 5] = [
    (
        "none: one queue in order of arrival",
        Mechanisms {
            teams: false,
            urgencies: false,
            refusal: false,
        },
    ),
    (
        "refusal in time alone",
        Mechanisms {
            teams: false,
            urgencies: false,
            refusal: true,
        },
    ),
    (
        "urgencies and refusal, no teams",
        Mechanisms {
            teams: false,
            urgencies: true,
            refusal: true,
        },
    ),
    (
        "teams and refusal, no urgencies",
        Mechanisms {
            teams: true,
            urgencies: false,
            refusal: true,
        },
    ),
    (
        "all",
        Mechanisms {
            teams: true,
            urgencies: true,
            refusal: true,
        },
    ),
];

#[derive(Default, Clone)]
struct Served {
    asked: u64,
    in_time: u64,
    waits_ms: Vec<u64>,
}

fn run(service_ms: u64, timeout_ms: u64, flood: Urgency, mechanisms: Mechanisms) -> Vec<Served> {
    let mut random = ChaCha8Rng::seed_from_u64(11);
    let mut demands = OTHER_DEMANDS.to_vec();
    demands.push(("flooding", flood, FLOOD_PER_S));
    let scale = 200.0 / service_ms as f64;
    let mut queue: FairQueue<(usize, u64)> = FairQueue::new(LIMITS);
    let mut served = vec![Served::default(); demands.len()];
    let mut ending: BTreeMap<u64, Vec<(Grant, usize, u64, u64)>> = BTreeMap::new();
    let mut in_progress = 0;
    for now_ms in 0..DEMAND_DURATION_MS {
        for (grant, position, arrived_ms, held_ms) in ending.remove(&now_ms).unwrap_or_default() {
            queue.release(&grant, held_ms);
            in_progress -= 1;
            served[position].in_time += u64::from(now_ms <= arrived_ms + timeout_ms);
        }
        for (position, (team, urgency, per_s)) in demands.iter().enumerate() {
            let expected = per_s * scale / 1_000.0;
            let mut count = expected as u64;
            count += u64::from(random.random_bool(expected.fract()));
            for _ in 0..count {
                served[position].asked += 1;
                let deadline_ms = if mechanisms.refusal {
                    now_ms + timeout_ms
                } else {
                    u64::MAX / 2
                };
                let request = AdmissionRequest {
                    team: TeamId::new(if mechanisms.teams { team } else { "all" }),
                    weight: 4,
                    urgency: if mechanisms.urgencies {
                        *urgency
                    } else {
                        Urgency::Normal
                    },
                    bytes: 1 << 10,
                    deadline_ms,
                };
                let _ = queue.push(now_ms, SLOTS, request, (position, now_ms));
            }
        }
        while in_progress < SLOTS {
            let free = SLOTS - in_progress;
            let Some((grant, _, (position, arrived_ms))) =
                queue.pop(now_ms, SLOTS, free, &mut Vec::new())
            else {
                break;
            };
            in_progress += 1;
            served[position].waits_ms.push(now_ms - arrived_ms);
            let held_ms = random
                .random_range(service_ms / 2..=service_ms * 3 / 2)
                .max(1);
            let ends = ending.entry(now_ms + held_ms).or_default();
            ends.push((grant, position, arrived_ms, held_ms));
        }
    }
    served
}

fn percent(served: &[Served]) -> f64 {
    let asked: u64 = served.iter().map(|served| served.asked).sum();
    let in_time: u64 = served.iter().map(|served| served.in_time).sum();
    in_time as f64 * 100.0 / asked.max(1) as f64
}

/// Prints one table of flood protection per request timeout.
pub(super) fn print() {
    for (service_ms, timeout_ms) in SERVICE_AND_TIMEOUT_MS {
        println!(
            "\nfloods, requests of about {service_ms} ms, answers wanted within {timeout_ms} ms\n"
        );
        println!(
            "| flood | mechanisms | other work answered in time, % | urgent of a team within quota, % | its longest wait, ms | background, % | slots well used, % |"
        );
        println!("| --- | --- | ---: | ---: | ---: | ---: | ---: |");
        for flood in Urgency::ALL {
            for (name, mechanisms) in VARIANTS {
                let served = run(service_ms, timeout_ms, flood, mechanisms);
                let last = OTHER_DEMANDS.len();
                let longest = served[0].waits_ms.iter().max().copied().unwrap_or_default();
                let useful: u64 = served.iter().map(|served| served.in_time).sum();
                let possible = u64::from(SLOTS) * DEMAND_DURATION_MS / service_ms;
                println!(
                    "| {flood} | {name} | {:.1} | {:.1} | {longest} | {:.1} | {:.1} |",
                    percent(&served[..last]),
                    percent(&served[..1]),
                    percent(&served[last - 1..last]),
                    useful as f64 * 100.0 / possible as f64,
                );
            }
        }
    }
}
