//! Slots are never assigned twice despite lost or delayed messages, restarts and configuration
//! changes.

use std::collections::VecDeque;

use jasminefall_core::prelude::*;
use jasminefall_policy::slots::home_slots;
use jasminefall_policy::slots::shares::{Division, Shares};
use jasminefall_policy::slots::table::{
    AnnouncedBackend, HeldSlot, Loan, STOP_GRACE_MS, SlotTable,
};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::RngSeed;

const ENTRIES: usize = 4;
const SLOTS: u32 = 8;
const LONGEST_REQUEST_MS: u64 = 3_000;
const REQUESTS_PER_STEP: usize = 6;
const LEASE_MS: u64 = 2_500;
const BACKENDS: [&str; 2] = ["10.0.0.1:80", "10.0.0.2:80"];
const FAR_FUTURE_MS: u64 = 1 << 40;

fn service() -> ServiceId {
    ServiceId::new("render")
}

fn division(position: u32, entries: u32) -> Division {
    let position = (position < entries).then_some(position);
    Division { position, entries }
}

#[test]
fn home_slots_of_all_entries_add_up_to_all_slots() {
    for slots in [1, 5, 6, 8, 64] {
        for entries in 1..9 {
            let sum: u32 = (0..entries)
                .map(|entry| home_slots(slots, entry, entries, u64::MAX))
                .sum();
            assert_eq!(sum, slots, "{slots} slots over {entries} entries");
        }
    }
}

#[test]
fn share_shrinks_immediately_and_grows_after_settling() {
    let mut shares = Shares::default();
    shares.observe(0, Version::new(1), division(0, 2), 100, true);
    assert_eq!(
        shares.share(0, 8, 0),
        4,
        "a clean start has its share immediately"
    );
    shares.observe(10, Version::new(2), division(0, 4), 100, false);
    assert_eq!(
        shares.share(10, 8, 0),
        2,
        "a smaller share applies immediately"
    );
    shares.observe(20, Version::new(3), division(0, 1), 100, false);
    assert_eq!(
        shares.share(119, 8, 0),
        2,
        "another entry may still act on the older version"
    );
    assert_eq!(shares.share(120, 8, 0), 8);
    shares.observe(200, Version::new(5), division(0, 1), 100, false);
    assert_eq!(shares.share(299, 8, 0), 0, "version 4 was skipped");
    assert_eq!(shares.share(300, 8, 0), 8);
}

#[test]
fn connection_shares_stay_within_the_limit_of_the_backend_server() {
    let mut shares = Shares::default();
    shares.observe(0, Version::new(1), division(5, 6), 100, true);
    assert!(shares.connections(0, 64) * 6 <= 64);
    let mut added_entry = Shares::default();
    added_entry.observe(0, Version::new(2), division(6, 7), 100, false);
    let all = shares.connections(0, 64) * 6 + added_entry.connections(0, 64);
    assert!(all <= 64, "{all}");
}

#[test]
fn restarted_entry_has_no_home_slots_until_settled() {
    let mut table = table(0, false);
    assert!(
        table
            .acquire(0, &service(), LONGEST_REQUEST_MS, |_| true)
            .is_none()
    );
    let settled_ms = SlotTable::settle_ms(LONGEST_REQUEST_MS);
    table.refresh(settled_ms);
    assert!(
        table
            .acquire(settled_ms, &service(), FAR_FUTURE_MS, |_| true)
            .is_some()
    );
}

#[test]
fn idle_slots_are_lent_used_and_returned() {
    let (lender, borrower) = (EntryId::new("e1"), EntryId::new("e2"));
    let incarnation = Incarnation::new(1);
    let mut home = table(0, true);
    let mut other = table(1, true);
    assert!(home.reconcile(&borrower, incarnation, 1, &[]));
    let loans = home.lend(0, &borrower, incarnation, &service(), 3, 0);
    assert_eq!(loans.len(), 3);
    other.add_loans(0, &lender, incarnation, loans);
    let own: Vec<_> = (0..7)
        .filter_map(|_| other.acquire(0, &service(), 1, |_| true))
        .collect();
    assert_eq!(own.len(), 7, "four home slots and three borrowed slots");
    other.release(own.iter().find(|held| held.loan.is_some()).unwrap());
    let held = other.retain_needed_loans(0, &lender, incarnation, |_| false);
    assert_eq!(held.len(), 2, "the idle loan is dropped");
    assert!(home.reconcile(&borrower, incarnation, 2, &held));
    assert_eq!(home.loan_counts().0, 2);
    assert!(
        !home.reconcile(&borrower, incarnation, 1, &[]),
        "a delayed message frees no slot"
    );
    assert_eq!(home.loan_counts().0, 2);
    assert!(home.reconcile(&borrower, Incarnation::new(2), 1, &[]));
    assert_eq!(
        home.loan_counts().0,
        2,
        "requests of the borrower's earlier process may still run"
    );
}

#[test]
fn borrowed_slot_is_refused_to_a_request_that_could_outlast_the_loan() {
    let incarnation = Incarnation::new(1);
    let mut other = SlotTable::default();
    other.configure(0, Version::new(1), division(9, 2), LONGEST_REQUEST_MS, true);
    other.record_announcement(0, announced(BACKENDS[0], FAR_FUTURE_MS));
    let loan = Loan {
        number: 1,
        address: BACKENDS[0].into(),
        duration_ms: 15_000,
    };
    other.add_loans(0, &EntryId::new("e1"), incarnation, vec![loan]);
    // Connections are divided among the declared entries, so an undeclared entry has none.
    assert!(other.acquire(0, &service(), 1_000, |_| true).is_none());
    other.configure(
        0,
        Version::new(2),
        division(1, 2),
        LONGEST_REQUEST_MS,
        false,
    );
    let late_ms = 15_000 - STOP_GRACE_MS + 1;
    assert!(other.acquire(0, &service(), late_ms, |_| true).is_none());
    other.refresh(0);
    assert!(
        other
            .acquire(0, &service(), late_ms - 1, |_| true)
            .is_some()
    );
}

fn announced(address: &str, ready_until_ms: u64) -> AnnouncedBackend {
    AnnouncedBackend {
        service: service(),
        address: address.into(),
        slots: SLOTS,
        connections: 64,
        ready_until_ms,
    }
}

fn table(position: u32, is_clean_start: bool) -> SlotTable {
    let mut table = SlotTable::default();
    table.configure(
        0,
        Version::new(1),
        division(position, 2),
        LONGEST_REQUEST_MS,
        is_clean_start,
    );
    table.record_announcement(0, announced(BACKENDS[0], FAR_FUTURE_MS));
    table
}

/// Lists the events of a simulated site.
#[derive(Debug, Clone)]
enum Step {
    Acquire {
        entry: usize,
        runs_ms: u64,
    },
    Exchange {
        from: usize,
        to: usize,
        delivery: Delivery,
    },
    DeliverDelayed,
    Advance {
        ms: u64,
    },
    Restart {
        entry: usize,
    },
    Publish {
        entries: u32,
    },
    Renew {
        entry: usize,
    },
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Delivery {
    Delivered,
    ReplyLost,
    Delayed,
}

/// Holds the slot table of an entry and the lease on its configuration version.
#[derive(Default)]
struct Entry {
    table: SlotTable,
    incarnation: Incarnation,
    sequence: u64,
    version: usize,
    lease_until_ms: u64,
}

struct Running {
    entry: usize,
    incarnation: Incarnation,
    held: HeldSlot,
    ends_ms: u64,
}

struct LoanRequest {
    from: usize,
    incarnation: Incarnation,
    sequence: u64,
    /// The incarnation of the lender that granted the loans in `held`.
    held_of: Incarnation,
    held: Vec<u64>,
}

struct Simulation {
    now_ms: u64,
    starts: u64,
    versions: Vec<u32>,
    entries: Vec<Entry>,
    running: Vec<Running>,
    delayed: VecDeque<(usize, LoanRequest)>,
    acquired: usize,
    borrowed: usize,
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Self {
            now_ms: 1_000,
            starts: 0,
            versions: vec![3],
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
            running: Vec::new(),
            delayed: VecDeque::new(),
            acquired: 0,
            borrowed: 0,
        };
        (0..ENTRIES).for_each(|entry| simulation.start(entry, true));
        simulation
    }

    fn start(&mut self, entry: usize, is_clean_start: bool) {
        self.starts += 1;
        self.entries[entry] = Entry {
            incarnation: Incarnation::new(self.starts),
            ..Entry::default()
        };
        self.renew(entry, is_clean_start);
    }

    fn renew(&mut self, position: usize, is_clean_start: bool) {
        let version = self.versions.len();
        let division = division(u32::try_from(position).unwrap(), self.versions[version - 1]);
        let entry = &mut self.entries[position];
        entry.version = version;
        entry.lease_until_ms = self.now_ms + LEASE_MS;
        let version = Version::new(version as u64);
        entry.table.configure(
            self.now_ms,
            version,
            division,
            LONGEST_REQUEST_MS,
            is_clean_start,
        );
        for address in BACKENDS {
            entry
                .table
                .record_announcement(self.now_ms, announced(address, FAR_FUTURE_MS));
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Acquire { entry, runs_ms } => {
                (0..REQUESTS_PER_STEP).for_each(|_| self.acquire(entry, runs_ms));
            }
            Step::Exchange { from, to, delivery } if from != to => {
                self.exchange(from, to, delivery);
            }
            Step::Exchange { .. } => {}
            Step::DeliverDelayed => {
                if let Some((to, request)) = self.delayed.pop_front() {
                    let _ = self.answer(to, &request);
                }
            }
            Step::Advance { ms } => self.advance(ms),
            Step::Restart { entry } => self.start(entry, false),
            Step::Publish { entries } => self.versions.push(entries),
            Step::Renew { entry } => self.renew(entry, false),
        }
    }

    fn acquire(&mut self, position: usize, runs_ms: u64) {
        let entry = &mut self.entries[position];
        if self.now_ms >= entry.lease_until_ms {
            return;
        }
        let deadline_ms = self.now_ms + LONGEST_REQUEST_MS;
        let held = entry
            .table
            .acquire(self.now_ms, &service(), deadline_ms, |_| true);
        if let Some(held) = held {
            self.acquired += 1;
            self.borrowed += usize::from(held.loan.is_some());
            self.running.push(Running {
                entry: position,
                incarnation: entry.incarnation,
                held,
                ends_ms: self.now_ms + runs_ms,
            });
        }
        for address in BACKENDS {
            let running_there = self
                .running
                .iter()
                .filter(|run| run.held.address == address);
            assert!(
                running_there.count() <= SLOTS as usize,
                "{address} is overloaded"
            );
        }
    }

    fn exchange(&mut self, from: usize, to: usize, delivery: Delivery) {
        let name = entry_name(to);
        let to_incarnation = self.entries[to].incarnation;
        let sent_at_ms = self.now_ms;
        let entry = &mut self.entries[from];
        entry.sequence += 1;
        let held = entry
            .table
            .retain_needed_loans(self.now_ms, &name, to_incarnation, |_| true);
        let request = LoanRequest {
            from,
            incarnation: entry.incarnation,
            sequence: entry.sequence,
            held_of: to_incarnation,
            held,
        };
        if delivery == Delivery::Delayed {
            self.delayed.push_back((to, request));
            return;
        }
        let loans = self.answer(to, &request);
        if delivery == Delivery::Delivered {
            self.entries[from]
                .table
                .add_loans(sent_at_ms, &name, to_incarnation, loans);
        }
    }

    fn answer(&mut self, to: usize, request: &LoanRequest) -> Vec<Loan> {
        let borrower = entry_name(request.from);
        let now_ms = self.now_ms;
        let entry = &mut self.entries[to];
        let held: &[u64] = if request.held_of == entry.incarnation {
            &request.held
        } else {
            &[]
        };
        let is_applied =
            entry
                .table
                .reconcile(&borrower, request.incarnation, request.sequence, held);
        if !is_applied || now_ms >= entry.lease_until_ms {
            return Vec::new();
        }
        entry
            .table
            .lend(now_ms, &borrower, request.incarnation, &service(), 2, 0)
    }

    fn advance(&mut self, ms: u64) {
        self.now_ms += ms;
        let now_ms = self.now_ms;
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|run| run.ends_ms <= now_ms);
        self.running = running;
        for run in ended {
            let entry = &mut self.entries[run.entry];
            if entry.incarnation == run.incarnation {
                entry.table.release(&run.held);
            }
        }
        self.entries
            .iter_mut()
            .for_each(|entry| entry.table.refresh(now_ms));
    }
}

fn entry_name(position: usize) -> EntryId {
    EntryId::new(format!("e{position}"))
}

fn step_strategy() -> impl Strategy<Value = Step> {
    let entry = 0..ENTRIES;
    let delivery = prop_oneof![
        4 => Just(Delivery::Delivered),
        1 => Just(Delivery::ReplyLost),
        1 => Just(Delivery::Delayed)
    ];
    prop_oneof![
        20 => (entry.clone(), 1..=LONGEST_REQUEST_MS + STOP_GRACE_MS)
            .prop_map(|(entry, runs_ms)| Step::Acquire { entry, runs_ms }),
        10 => (entry.clone(), entry.clone(), delivery)
            .prop_map(|(from, to, delivery)| Step::Exchange { from, to, delivery }),
        4 => Just(Step::DeliverDelayed),
        8 => (1_u64..1_500).prop_map(|ms| Step::Advance { ms }),
        2 => (5_000_u64..20_000).prop_map(|ms| Step::Advance { ms }),
        1 => entry.clone().prop_map(|entry| Step::Restart { entry }),
        1 => (1_u32..=4).prop_map(|entries| Step::Publish { entries }),
        6 => entry.prop_map(|entry| Step::Renew { entry }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn random_steps_never_overload_a_backend_server(steps in prop::collection::vec(step_strategy(), 1..400)) {
        let mut simulation = Simulation::new();
        for step in &steps {
            // `Renew` always applies the latest version, because the renewal response carries it.
            // An entry that does not renew stops acquiring slots when its lease expires.
            simulation.step(step);
        }
    }
}

#[test]
fn random_steps_borrow_slots() {
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    let (mut acquired, mut borrowed) = (0, 0);
    for _ in 0..40 {
        let steps = prop::collection::vec(step_strategy(), 300..400);
        let steps = steps.new_tree(&mut runner).unwrap().current();
        let mut simulation = Simulation::new();
        steps.iter().for_each(|step| simulation.step(step));
        acquired += simulation.acquired;
        borrowed += simulation.borrowed;
    }
    assert!(
        acquired > 200 && borrowed > 30,
        "{acquired} acquired, {borrowed} borrowed"
    );
}
