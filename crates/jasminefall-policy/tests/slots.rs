//! The slots of backend servers are never given out twice, whatever is lost, late or restarted.

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
const LONGEST_MS: u64 = 3_000;
const BURST: usize = 6;
const LEASE_MS: u64 = 2_500;
const BACKENDS: [&str; 2] = ["10.0.0.1:80", "10.0.0.2:80"];
const LONG: u64 = 1 << 40;

fn service() -> ServiceId {
    ServiceId::new("render")
}

fn division(position: u32, entries: u32) -> Division {
    let position = (position < entries).then_some(position);
    Division { position, entries }
}

#[test]
fn shares_of_all_entries_make_up_every_backend_server() {
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
fn a_share_shrinks_at_once_and_grows_late() {
    let mut shares = Shares::default();
    shares.observe(0, Version::new(1), division(0, 2), 100, true);
    assert_eq!(
        shares.share(0, 8, 0),
        4,
        "nothing can have run before the first version"
    );
    shares.observe(10, Version::new(2), division(0, 4), 100, false);
    assert_eq!(shares.share(10, 8, 0), 2, "a smaller share counts at once");
    shares.observe(20, Version::new(3), division(0, 1), 100, false);
    assert_eq!(
        shares.share(119, 8, 0),
        2,
        "the older version may be in force elsewhere"
    );
    assert_eq!(shares.share(120, 8, 0), 8);
    shares.observe(200, Version::new(5), division(0, 1), 100, false);
    assert_eq!(shares.share(299, 8, 0), 0, "version 4 was never seen");
    assert_eq!(shares.share(300, 8, 0), 8);
}

#[test]
fn connections_of_all_entries_stay_within_a_backend_servers_own() {
    let mut shares = Shares::default();
    shares.observe(0, Version::new(1), division(5, 6), 100, true);
    assert!(shares.connections(0, 64) * 6 <= 64);
    let mut newcomer = Shares::default();
    newcomer.observe(0, Version::new(2), division(6, 7), 100, false);
    let all = shares.connections(0, 64) * 6 + newcomer.connections(0, 64);
    assert!(all <= 64, "{all}");
}

#[test]
fn a_restarted_entry_uses_no_slot_of_its_own_until_its_past_is_over() {
    let mut book = book(0, false);
    assert!(book.acquire(0, &service(), LONGEST_MS, |_| true).is_none());
    let settled_ms = SlotTable::settle_ms(LONGEST_MS);
    book.refresh(settled_ms);
    assert!(
        book.acquire(settled_ms, &service(), LONG, |_| true)
            .is_some()
    );
}

#[test]
fn an_idle_slot_is_lent_used_and_comes_back() {
    let (lender, borrower) = (EntryId::new("e1"), EntryId::new("e2"));
    let start = Incarnation::new(1);
    let mut home = book(0, true);
    let mut other = book(1, true);
    assert!(home.reconcile(&borrower, start, 1, &[]));
    let loans = home.lend(0, &borrower, start, &service(), 3, 0);
    assert_eq!(loans.len(), 3);
    other.add_loans(0, &lender, start, loans);
    let own: Vec<_> = (0..7)
        .filter_map(|_| other.acquire(0, &service(), 1, |_| true))
        .collect();
    assert_eq!(own.len(), 7, "four of its own and three borrowed");
    other.release(own.iter().find(|held| held.loan.is_some()).unwrap());
    let held = other.retain_needed_loans(0, &lender, start, |_| false);
    assert_eq!(held.len(), 2, "the idle one is given up");
    assert!(home.reconcile(&borrower, start, 2, &held));
    assert_eq!(home.loan_counts().0, 2);
    assert!(
        !home.reconcile(&borrower, start, 1, &[]),
        "a late message frees nothing"
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
fn a_borrowed_slot_takes_no_request_that_could_outlast_its_loan() {
    let start = Incarnation::new(1);
    let mut other = SlotTable::default();
    other.configure(0, Version::new(1), division(9, 2), LONGEST_MS, true);
    other.record_announcement(0, announced(BACKENDS[0], LONG));
    let loan = Loan {
        number: 1,
        address: BACKENDS[0].into(),
        duration_ms: 15_000,
    };
    other.add_loans(0, &EntryId::new("e1"), start, vec![loan]);
    // Connections are counted by entry, and an undeclared entry has none.
    assert!(other.acquire(0, &service(), 1_000, |_| true).is_none());
    other.configure(0, Version::new(2), division(1, 2), LONGEST_MS, false);
    let late = 15_000 - STOP_GRACE_MS + 1;
    assert!(other.acquire(0, &service(), late, |_| true).is_none());
    other.refresh(0);
    assert!(other.acquire(0, &service(), late - 1, |_| true).is_some());
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

fn book(position: u32, is_fresh: bool) -> SlotTable {
    let mut book = SlotTable::default();
    book.configure(
        0,
        Version::new(1),
        division(position, 2),
        LONGEST_MS,
        is_fresh,
    );
    book.record_announcement(0, announced(BACKENDS[0], LONG));
    book
}

/// What may happen to a site.
#[derive(Debug, Clone)]
enum Step {
    Take { entry: usize, runs_ms: u64 },
    Exchange { from: usize, to: usize, fate: Fate },
    DeliverLate,
    Pass { ms: u64 },
    Restart { entry: usize },
    Publish { entries: u32 },
    Renew { entry: usize },
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Fate {
    Arrives,
    AnswerLost,
    Late,
}

/// An entry with the requests that it has in progress.
#[derive(Default)]
struct Entry {
    book: SlotTable,
    start: Incarnation,
    sequence: u64,
    version: usize,
    lease_until_ms: u64,
}

struct Running {
    entry: usize,
    start: Incarnation,
    held: HeldSlot,
    ends_ms: u64,
}

struct Ask {
    from: usize,
    start: Incarnation,
    sequence: u64,
    held_of: Incarnation,
    held: Vec<u64>,
}

struct World {
    now_ms: u64,
    starts: u64,
    versions: Vec<u32>,
    entries: Vec<Entry>,
    running: Vec<Running>,
    late: VecDeque<(usize, Ask)>,
    taken: usize,
    borrowed: usize,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            now_ms: 1_000,
            starts: 0,
            versions: vec![3],
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
            running: Vec::new(),
            late: VecDeque::new(),
            taken: 0,
            borrowed: 0,
        };
        (0..ENTRIES).for_each(|entry| world.start(entry, true));
        world
    }

    fn start(&mut self, entry: usize, is_fresh: bool) {
        self.starts += 1;
        self.entries[entry] = Entry {
            start: Incarnation::new(self.starts),
            ..Entry::default()
        };
        self.renew(entry, is_fresh);
    }

    fn renew(&mut self, position: usize, is_fresh: bool) {
        let version = self.versions.len();
        let division = division(u32::try_from(position).unwrap(), self.versions[version - 1]);
        let entry = &mut self.entries[position];
        entry.version = version;
        entry.lease_until_ms = self.now_ms + LEASE_MS;
        let version = Version::new(version as u64);
        entry
            .book
            .configure(self.now_ms, version, division, LONGEST_MS, is_fresh);
        for address in BACKENDS {
            entry
                .book
                .record_announcement(self.now_ms, announced(address, LONG));
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Take { entry, runs_ms } => (0..BURST).for_each(|_| self.take(entry, runs_ms)),
            Step::Exchange { from, to, fate } if from != to => self.exchange(from, to, fate),
            Step::Exchange { .. } => {}
            Step::DeliverLate => {
                if let Some((to, ask)) = self.late.pop_front() {
                    let _ = self.answer(to, &ask);
                }
            }
            Step::Pass { ms } => self.pass(ms),
            Step::Restart { entry } => self.start(entry, false),
            Step::Publish { entries } => self.versions.push(entries),
            Step::Renew { entry } => self.renew(entry, false),
        }
    }

    fn take(&mut self, position: usize, runs_ms: u64) {
        let entry = &mut self.entries[position];
        if self.now_ms >= entry.lease_until_ms {
            return;
        }
        let deadline_ms = self.now_ms + LONGEST_MS;
        let held = entry
            .book
            .acquire(self.now_ms, &service(), deadline_ms, |_| true);
        if let Some(held) = held {
            self.taken += 1;
            self.borrowed += usize::from(held.loan.is_some());
            self.running.push(Running {
                entry: position,
                start: entry.start,
                held,
                ends_ms: self.now_ms + runs_ms,
            });
        }
        for address in BACKENDS {
            let there = self
                .running
                .iter()
                .filter(|run| run.held.address == address);
            assert!(there.count() <= SLOTS as usize, "{address} is overloaded");
        }
    }

    fn exchange(&mut self, from: usize, to: usize, fate: Fate) {
        let name = entry_name(to);
        let to_start = self.entries[to].start;
        let asked_at_ms = self.now_ms;
        let entry = &mut self.entries[from];
        entry.sequence += 1;
        let held = entry
            .book
            .retain_needed_loans(self.now_ms, &name, to_start, |_| true);
        let ask = Ask {
            from,
            start: entry.start,
            sequence: entry.sequence,
            held_of: to_start,
            held,
        };
        if fate == Fate::Late {
            self.late.push_back((to, ask));
            return;
        }
        let loans = self.answer(to, &ask);
        if fate == Fate::Arrives {
            self.entries[from]
                .book
                .add_loans(asked_at_ms, &name, to_start, loans);
        }
    }

    fn answer(&mut self, to: usize, ask: &Ask) -> Vec<Loan> {
        let borrower = entry_name(ask.from);
        let now_ms = self.now_ms;
        let entry = &mut self.entries[to];
        let held: &[u64] = if ask.held_of == entry.start {
            &ask.held
        } else {
            &[]
        };
        let in_turn = entry
            .book
            .reconcile(&borrower, ask.start, ask.sequence, held);
        if !in_turn || now_ms >= entry.lease_until_ms {
            return Vec::new();
        }
        entry
            .book
            .lend(now_ms, &borrower, ask.start, &service(), 2, 0)
    }

    fn pass(&mut self, ms: u64) {
        self.now_ms += ms;
        let now_ms = self.now_ms;
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|run| run.ends_ms <= now_ms);
        self.running = running;
        for run in ended {
            let entry = &mut self.entries[run.entry];
            if entry.start == run.start {
                entry.book.release(&run.held);
            }
        }
        self.entries
            .iter_mut()
            .for_each(|entry| entry.book.refresh(now_ms));
    }
}

fn entry_name(position: usize) -> EntryId {
    EntryId::new(format!("e{position}"))
}

fn any_step() -> impl Strategy<Value = Step> {
    let entry = 0..ENTRIES;
    let fate = prop_oneof![
        4 => Just(Fate::Arrives),
        1 => Just(Fate::AnswerLost),
        1 => Just(Fate::Late)
    ];
    prop_oneof![
        20 => (entry.clone(), 1..=LONGEST_MS + STOP_GRACE_MS)
            .prop_map(|(entry, runs_ms)| Step::Take { entry, runs_ms }),
        10 => (entry.clone(), entry.clone(), fate)
            .prop_map(|(from, to, fate)| Step::Exchange { from, to, fate }),
        4 => Just(Step::DeliverLate),
        8 => (1_u64..1_500).prop_map(|ms| Step::Pass { ms }),
        2 => (5_000_u64..20_000).prop_map(|ms| Step::Pass { ms }),
        1 => entry.clone().prop_map(|entry| Step::Restart { entry }),
        1 => (1_u32..=4).prop_map(|entries| Step::Publish { entries }),
        6 => entry.prop_map(|entry| Step::Renew { entry }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_backend_server_is_ever_overloaded(steps in prop::collection::vec(any_step(), 1..400)) {
        let mut world = World::new();
        for step in &steps {
            // A lease that is renewed against a superseded version does not exist: the publication
            // is part of the answer. An entry that does not renew stops by itself.
            world.step(step);
        }
    }
}

#[test]
fn the_random_worlds_do_lend() {
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    let (mut taken, mut borrowed) = (0, 0);
    for _ in 0..40 {
        let steps = prop::collection::vec(any_step(), 300..400);
        let steps = steps.new_tree(&mut runner).unwrap().current();
        let mut world = World::new();
        steps.iter().for_each(|step| world.step(step));
        taken += world.taken;
        borrowed += world.borrowed;
    }
    assert!(
        taken > 200 && borrowed > 30,
        "{taken} taken, {borrowed} borrowed"
    );
}
