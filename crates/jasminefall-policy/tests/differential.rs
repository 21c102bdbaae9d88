//! Differential tests of routing and admission against naive versions that scan all state.

use jasminefall_core::prelude::*;
use jasminefall_policy::admission::{
    AdmissionRequest, FairQueue, Grant, QueueLimits, Ticket, cross_team_factor, urgency_factor,
};
use jasminefall_policy::slots::shares::Division;
use jasminefall_policy::slots::table::{AnnouncedBackend, HeldSlot, SlotTable};
use jasminefall_policy::slots::{home_slots, rotation_of};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const ENTRIES: u32 = 3;
const FAR_FUTURE_MS: u64 = 1 << 40;

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Holds the state that the naive router keeps for a backend server.
struct NaiveBackend {
    address: SmolStr,
    free: u32,
    in_progress: u32,
    last_used: u64,
}

/// Scans all backend servers for the least loaded one with a free slot; the least recently used
/// wins ties.
fn choose_by_scan(backends: &[NaiveBackend]) -> Option<usize> {
    let free = (0..backends.len()).filter(|position| backends[*position].free > 0);
    free.min_by_key(|position| {
        let backend = &backends[*position];
        (
            backend.in_progress,
            backend.last_used,
            backend.address.clone(),
        )
    })
}

#[derive(Debug, Clone)]
enum RoutingStep {
    Take,
    Release(prop::sample::Index),
    Refresh,
}

proptest! {
    #![proptest_config(config(500))]

    #[test]
    fn routing_matches_a_linear_scan(
        slots in prop::collection::vec(1_u32..12, 1..8),
        steps in prop::collection::vec(prop_oneof![
            4 => Just(RoutingStep::Take),
            3 => any::<prop::sample::Index>().prop_map(RoutingStep::Release),
            1 => Just(RoutingStep::Refresh),
        ], 1..120),
    ) {
        let service = ServiceId::new("render");
        let mut table = SlotTable::default();
        let division = Division { position: Some(1), entries: ENTRIES };
        table.configure(0, Version::new(1), division, 1_000, true);
        let mut naive = Vec::new();
        for (number, slots) in slots.iter().enumerate() {
            let address = SmolStr::from(format!("10.0.0.{number}:80"));
            table.record_announcement(0, AnnouncedBackend {
                service: service.clone(),
                address: address.clone(),
                slots: *slots,
                connections: 64,
                ready_until_ms: FAR_FUTURE_MS,
            });
            let free = home_slots(*slots, 1, ENTRIES, rotation_of(&address));
            naive.push(NaiveBackend { address, free, in_progress: 0, last_used: 0 });
        }
        let mut held: Vec<(HeldSlot, usize)> = Vec::new();
        let mut uses = 0;
        for step in steps {
            match step {
                RoutingStep::Take => {
                    let taken = table.acquire(0, &service, 1_000, |_| true);
                    let expected = choose_by_scan(&naive);
                    let expected_address = expected.map(|position| naive[position].address.clone());
                    prop_assert_eq!(taken.as_ref().map(|held| held.address.clone()), expected_address);
                    if let (Some(taken), Some(position)) = (taken, expected) {
                        uses += 1;
                        naive[position].free -= 1;
                        naive[position].in_progress += 1;
                        naive[position].last_used = uses;
                        held.push((taken, position));
                    }
                }
                RoutingStep::Release(index) if !held.is_empty() => {
                    let (slot, position) = held.swap_remove(index.index(held.len()));
                    table.release(&slot);
                    naive[position].free += 1;
                    naive[position].in_progress -= 1;
                }
                RoutingStep::Release(_) => {}
                RoutingStep::Refresh => table.refresh(0),
            }
        }
    }
}

const TEAMS: [(&str, u64); 3] = [("a", 1), ("b", 2), ("c", 4)];
const SCALE: u64 = 1 << 24;

/// Implements the fair queue as one list with separate arrays of virtual times.
#[derive(Default)]
struct NaiveQueue {
    waiting: Vec<(u64, usize, Urgency)>,
    times: [u64; 3],
    urgency_times: [[u64; 3]; 3],
    urgency_virtual_times: [u64; 3],
    virtual_time: u64,
    in_progress: [u32; 3],
}

impl NaiveQueue {
    fn push(&mut self, number: u64, team: usize, urgency: Urgency) {
        if !self.waiting.iter().any(|(_, other, _)| *other == team) {
            self.times[team] = self.times[team].max(self.virtual_time);
        }
        let same = |(_, other, own): &(u64, usize, Urgency)| *other == team && *own == urgency;
        if !self.waiting.iter().any(same) {
            let time = &mut self.urgency_times[team][urgency as usize];
            *time = (*time).max(self.urgency_virtual_times[team]);
        }
        self.waiting.push((number, team, urgency));
    }

    fn pop(&mut self, slots: u32) -> Option<(u64, usize)> {
        let (_, team, _) = *self
            .waiting
            .iter()
            .min_by_key(|(_, team, _)| (self.times[*team], TEAMS[*team].0))?;
        let own = self.waiting.iter().filter(|(_, other, _)| *other == team);
        let (number, _, urgency) = *own.min_by_key(|(number, _, urgency)| {
            (
                self.urgency_times[team][*urgency as usize],
                *urgency,
                *number,
            )
        })?;
        let is_active = |team: &usize| {
            let waits = self.waiting.iter().any(|(_, other, _)| other == team);
            waits || self.in_progress[*team] > 0
        };
        let active = (0..3).filter(|other| *other == team || is_active(other));
        let total: u64 = active.map(|team| TEAMS[team].1).sum();
        self.waiting.retain(|(other, _, _)| *other != number);
        let quota = (u64::from(slots) * TEAMS[team].1 / total).max(1);
        self.in_progress[team] += 1;
        let held = u64::from(self.in_progress[team]);
        let (within, beyond) = (
            cross_team_factor(urgency, true),
            cross_team_factor(urgency, false),
        );
        let shares = held.min(quota) * beyond + held.saturating_sub(quota) * within;
        let price = SCALE * shares / (held * within * beyond * TEAMS[team].1);
        self.virtual_time = self.virtual_time.max(self.times[team]);
        self.times[team] += price;
        self.urgency_virtual_times[team] =
            self.urgency_virtual_times[team].max(self.urgency_times[team][urgency as usize]);
        self.urgency_times[team][urgency as usize] += SCALE / urgency_factor(urgency);
        Some((number, team))
    }
}

#[derive(Debug, Clone)]
enum AdmissionStep {
    Push(usize, usize),
    Pop,
    Cancel(prop::sample::Index),
}

proptest! {
    #![proptest_config(config(500))]

    #[test]
    fn admission_order_matches_a_linear_scan(
        steps in prop::collection::vec(prop_oneof![
            5 => (0_usize..3, 0_usize..3).prop_map(|(team, urgency)| AdmissionStep::Push(team, urgency)),
            4 => Just(AdmissionStep::Pop),
            1 => any::<prop::sample::Index>().prop_map(AdmissionStep::Cancel),
        ], 1..150),
    ) {
        const SLOTS: u32 = 12;
        let limits = QueueLimits { requests: 1_000, bytes: 1_000_000 };
        let mut queue = FairQueue::new(limits);
        let mut naive = NaiveQueue::default();
        let mut tickets: Vec<(Ticket, u64)> = Vec::new();
        let mut grants: Vec<Grant> = Vec::new();
        for (number, step) in (0_u64..).zip(steps) {
            match step {
                AdmissionStep::Push(team, urgency) => {
                    let urgency = Urgency::ALL[urgency];
                    let request = AdmissionRequest {
                        team: TeamId::new(TEAMS[team].0),
                        weight: TEAMS[team].1,
                        urgency,
                        bytes: 1,
                        deadline_ms: FAR_FUTURE_MS,
                    };
                    let (ticket, _) = queue.push(0, SLOTS, request, number).unwrap();
                    tickets.push((ticket, number));
                    naive.push(number, team, urgency);
                }
                AdmissionStep::Pop => {
                    let popped = queue.pop(0, SLOTS, SLOTS, &mut Vec::new());
                    let expected = naive.pop(SLOTS).map(|(number, _)| number);
                    let got = popped.map(|(grant, _, number)| {
                        grants.push(grant);
                        number
                    });
                    prop_assert_eq!(got, expected);
                }
                AdmissionStep::Cancel(index) if !tickets.is_empty() => {
                    let (ticket, number) = tickets.swap_remove(index.index(tickets.len()));
                    queue.cancel(&ticket);
                    naive.waiting.retain(|(other, _, _)| *other != number);
                }
                AdmissionStep::Cancel(_) => {}
            }
            prop_assert_eq!(queue.len(), naive.waiting.len());
        }
    }
}
