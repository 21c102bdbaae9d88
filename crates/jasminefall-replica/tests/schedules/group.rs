//! A group of replicas, its network and the random schedule that it goes through.

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use jasminefall_replica::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::checks::Checks;
use crate::node::{Job, Node};

const STEP_MS: u64 = 10;
const FAULTY_MS: u64 = 6_000;
const CALM_MS: u64 = 20_000;
const VOTERS: usize = 3;
const COMPACT_AFTER: u64 = 12;

/// Says what a schedule is like; drawn from its seed.
struct Temper {
    election_timeout_ms: u64,
    drop_percent: u32,
    delay_ms: u64,
    /// A fault is injected once in so many steps.
    fault_in: u32,
    /// How often each kind of fault is drawn.
    weights: [u32; 9],
    compacts: bool,
}

impl Temper {
    fn new(random: &mut ChaCha8Rng) -> Self {
        let election_timeout_ms = [150, 300, 1_000][random.random_range(0..3)];
        Self {
            election_timeout_ms,
            drop_percent: [0, 2, 15][random.random_range(0..3)],
            delay_ms: random.random_range(1..election_timeout_ms / 3),
            fault_in: [4, 10, 25][random.random_range(0..3)],
            weights: std::array::from_fn(|_| [0, 1, 4][random.random_range(0..3)]),
            compacts: random.random_ratio(3, 4),
        }
    }
}

/// Runs one schedule.
pub(crate) struct Group {
    seed: u64,
    random: ChaCha8Rng,
    nodes: Vec<Node>,
    flying: Vec<(u64, Message)>,
    cut: BTreeSet<(ReplicaId, ReplicaId)>,
    now_ms: u64,
    calm: bool,
    temper: Temper,
    incarnations: u64,
    checks: Checks,
}

impl Group {
    pub(crate) fn new(seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let size = VOTERS as u64 + random.random_range(0..=2);
        let nodes = (1..=size).map(|id| {
            let rate = random.random_range(0.955..1.045);
            Node::new(ReplicaId(id), id, rate, random.random_range(0..100_000))
        });
        let nodes = nodes.collect();
        let mut group = Self {
            seed,
            nodes,
            flying: Vec::new(),
            cut: BTreeSet::new(),
            now_ms: 0,
            calm: false,
            temper: Temper::new(&mut random),
            incarnations: size,
            checks: Checks::default(),
            random,
        };
        (0..group.nodes.len()).for_each(|position| group.start(position));
        group
    }

    pub(crate) const fn acknowledged(&self) -> u64 {
        self.checks.acknowledged
    }

    /// Runs with faults, then without, and checks that nothing was lost and work goes on.
    pub(crate) fn run(&mut self) {
        while self.now_ms < FAULTY_MS {
            self.inject_fault();
            self.advance();
        }
        self.heal();
        let before = self.checks.acknowledged;
        let deadline_ms = self.now_ms + CALM_MS;
        while !(self.is_repaired() && self.checks.acknowledged > before) {
            assert!(
                self.now_ms < deadline_ms,
                "no progress without faults, seed {}{}",
                self.seed,
                self.describe()
            );
            self.advance();
        }
    }

    fn is_repaired(&self) -> bool {
        let acknowledged = self.checks.acknowledged_index;
        let mut replicas = self.nodes.iter().filter_map(|node| node.replica.as_ref());
        replicas.any(|replica| {
            let voters = &replica.membership().voters;
            let intact = |id: &ReplicaId| {
                let node = &self.nodes[id.0 as usize - 1];
                replica.membership().incarnation(*id) == node.durable.0.incarnation
            };
            replica.is_leader()
                && replica.commit_index() >= acknowledged
                && voters.len() >= VOTERS
                && voters.iter().all(intact)
        })
    }

    fn describe(&self) -> String {
        let replicas = self.nodes.iter().filter_map(|node| node.replica.as_ref());
        let lines = replicas.map(|replica| {
            let (id, own) = (replica.id(), replica.incarnation());
            let (term, role) = (replica.term(), replica.role());
            let (commit, last) = (replica.commit_index(), replica.log().last_index());
            let membership = replica.membership();
            format!("\n{id} as {own}: {term} {role:?} commit {commit} of {last} {membership:?}")
        });
        lines.collect()
    }

    fn settings(&self) -> Settings {
        Settings {
            election_timeout_ms: self.temper.election_timeout_ms,
            heartbeat_ms: self.temper.election_timeout_ms / 7,
            max_batch_entries: 5,
            max_unacknowledged_entries: 20,
            snapshot_chunk_bytes: 16,
            ..Settings::default()
        }
    }

    fn start(&mut self, position: usize) {
        let first: Vec<_> = (1..=VOTERS as u64).map(ReplicaId).collect();
        let (settings, seed) = (self.settings(), self.random.random());
        self.nodes[position].start(settings, &first, seed);
    }

    /// Moves the time on and lets everything due happen, in a random order.
    fn advance(&mut self) {
        self.now_ms += STEP_MS;
        for position in 0..self.nodes.len() {
            self.finish_jobs(position);
        }
        self.deliver();
        for position in 0..self.nodes.len() {
            let now_ms = self.nodes[position].clock(self.now_ms);
            if let Some(replica) = &mut self.nodes[position].replica {
                replica.tick(now_ms);
            }
            self.work(position);
            self.pump(position);
        }
    }

    fn deliver(&mut self) {
        let mut due = Vec::new();
        let now_ms = self.now_ms;
        self.flying.retain(|(at_ms, message)| {
            let is_due = *at_ms <= now_ms;
            if is_due {
                due.push(message.clone());
            }
            !is_due
        });
        while !due.is_empty() {
            let chosen = self.random.random_range(0..due.len());
            self.step(due.swap_remove(chosen));
        }
    }

    fn step(&mut self, message: Message) {
        let position = message.to.0 as usize - 1;
        if self.cut.contains(&(message.from, message.to)) {
            return;
        }
        let now_ms = self.nodes[position].clock(self.now_ms);
        if let Some(replica) = &mut self.nodes[position].replica {
            replica.step(now_ms, message);
            assert!(
                !replica.is_outdated(),
                "current files were taken for old ones"
            );
        }
        self.pump(position);
    }

    /// Proposes, reads and repairs where a replica leads.
    fn work(&mut self, position: usize) {
        let now_ms = self.nodes[position].clock(self.now_ms);
        let (proposes, changes) = (
            self.random.random_ratio(1, 6),
            self.random.random_ratio(1, 60),
        );
        let mut command = vec![0; self.random.random_range(1..30)];
        self.random.fill(command.as_mut_slice());
        let random_change =
            (!self.calm && changes && self.may_shrink()).then(|| self.random_change());
        let node = &mut self.nodes[position];
        let Some(replica) = node.replica.as_mut().filter(|replica| replica.is_leader()) else {
            return;
        };
        if proposes && let Ok(index) = replica.propose(now_ms, command) {
            node.waiting.push((index, replica.term()));
        }
        if let Ok(index) = replica.read_index(now_ms) {
            self.checks.read(index);
        }
        let plan = RepairPolicy::new(VOTERS, 2_000);
        let asking: Vec<_> = replica.join_requests().collect();
        let change =
            random_change.or_else(|| plan.next_change(node.id, &replica.members(), &asking));
        if let Some(change) = change {
            let _ = replica.change_membership(now_ms, change);
        }
    }

    fn random_change(&mut self) -> MembershipChange {
        let id = ReplicaId(self.random.random_range(1..=self.nodes.len() as u64));
        match self.random.random_range(0..3) {
            0 => MembershipChange::Remove(id),
            1 => MembershipChange::Promote(id),
            _ => {
                let incarnation = self.nodes[id.0 as usize - 1].durable.0.incarnation;
                MembershipChange::AddLearner(id, incarnation)
            }
        }
    }

    /// Returns whether a disk may be lost: one of three, also while the group forms.
    fn may_lose_disk(&self) -> bool {
        let nodes = &self.nodes[..VOTERS];
        let forming = nodes.iter().any(|node| {
            let replica = node.replica.as_ref();
            replica.is_none_or(Replica::is_unformed) || node.durable.0.entries.is_empty()
        });
        let has_lost = self.incarnations > self.nodes.len() as u64;
        self.may_shrink() && !(forming && has_lost)
    }

    /// Returns whether every membership in use has three voters and no member without its files.
    fn may_shrink(&self) -> bool {
        self.nodes.iter().all(|node| {
            let held = node
                .durable
                .0
                .entries
                .iter()
                .filter_map(|entry| match &entry.payload {
                    Payload::Membership(membership) => Some(membership.clone()),
                    _ => None,
                });
            let live = node
                .replica
                .as_ref()
                .map(|replica| replica.membership().clone());
            let all = held
                .chain(live)
                .chain([node.durable.0.snapshot.membership.clone()]);
            all.filter(|membership| !membership.voters.is_empty())
                .all(|membership| {
                    membership.voters.len() >= VOTERS
                        && membership.voters.iter().all(|id| {
                            let node = &self.nodes[id.0 as usize - 1];
                            membership.incarnation(*id) == node.durable.0.incarnation
                        })
                })
        })
    }

    fn finish_jobs(&mut self, position: usize) {
        while self.nodes[position]
            .jobs
            .front()
            .is_some_and(|job| job.done_at_ms <= self.now_ms)
        {
            let now_ms = self.nodes[position].clock(self.now_ms);
            let node = &mut self.nodes[position];
            let Some(job) = node.finish_job() else { return };
            for entry in &job.append {
                self.checks.stored(&node.durable.0, entry);
            }
            let Some(replica) = &mut node.replica else {
                return;
            };
            if let Some(last) = job.append.last() {
                replica.mark_synced(last.index, last.term);
            }
            let id = node.id;
            let (own, others): (Vec<_>, Vec<_>) = job
                .messages
                .into_iter()
                .partition(|message| message.to == id);
            own.into_iter()
                .for_each(|message| replica.step(now_ms, message));
            others.into_iter().for_each(|message| self.send(message));
            self.pump(position);
        }
    }

    /// Carries out what a replica asks for.
    fn pump(&mut self, position: usize) {
        let node = &mut self.nodes[position];
        let Some(replica) = &mut node.replica else {
            return;
        };
        self.checks.leads(replica);
        let ready = replica.take_ready();
        if let Some(snapshot) = &ready.snapshot {
            node.load(snapshot);
        }
        let stores = ready.must_store() || !ready.messages_after_sync.is_empty();
        if stores {
            let takes_ms = if self.calm {
                1
            } else {
                self.random.random_range(0..=node.sync_ms)
            };
            node.jobs.push_back(Job {
                done_at_ms: node.done_at(self.now_ms, takes_ms),
                hard_state: ready.hard_state,
                snapshot: ready.snapshot,
                append: ready.append,
                messages: ready.messages_after_sync,
            });
        }
        for entry in &ready.committed {
            apply(node, &mut self.checks, entry);
        }
        self.compact(position);
        ready
            .messages
            .into_iter()
            .for_each(|message| self.send(message));
    }

    fn compact(&mut self, position: usize) {
        let node = &mut self.nodes[position];
        let Some(replica) = &mut node.replica else {
            return;
        };
        if !self.temper.compacts
            || node.applied.0 < replica.log().snapshot().index.0 + COMPACT_AFTER
        {
            return;
        }
        let state = node.state();
        let node = &mut self.nodes[position];
        let Some(replica) = &mut node.replica else {
            return;
        };
        let Some(snapshot) = replica.compact(node.applied, state) else {
            return;
        };
        let following = replica
            .log()
            .entries_after(snapshot.index, usize::MAX)
            .to_vec();

        node.jobs.push_back(Job {
            done_at_ms: node.done_at(self.now_ms, 0),
            hard_state: None,
            snapshot: Some(snapshot),
            append: following,
            messages: Vec::new(),
        });
    }

    fn send(&mut self, message: Message) {
        if !self.calm && self.random.random_ratio(self.temper.drop_percent, 100) {
            return;
        }
        let longest_ms = if self.calm { 2 } else { self.temper.delay_ms };
        let copies = if !self.calm && self.random.random_ratio(1, 25) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let late = !self.calm && self.random.random_ratio(1, 40);
            let late_ms = 3 * self.temper.election_timeout_ms;
            let longest_ms = if late { late_ms } else { longest_ms };
            let at_ms = self.now_ms + self.random.random_range(0..=longest_ms);
            self.flying.push((at_ms, message.clone()));
        }
    }

    fn inject_fault(&mut self) {
        if !self.random.random_ratio(1, self.temper.fault_in) {
            return;
        }
        let total: u32 = self.temper.weights.iter().sum();
        let mut drawn = self.random.random_range(0..=total);
        let kind = self.temper.weights.iter().position(|weight| {
            let found = drawn < *weight;
            drawn = drawn.saturating_sub(*weight);
            found
        });
        let position = self.random.random_range(0..self.nodes.len());
        let other = self.random.random_range(0..self.nodes.len());
        match kind {
            Some(0) => self.crash(position),
            Some(1) => {
                self.crash(position);
                self.start(position);
            }
            Some(2) => self.cut_off(position),
            Some(3) => self.cut_pair(position, other),
            Some(4) => {
                self.cut
                    .insert((self.nodes[position].id, self.nodes[other].id));
            }
            Some(5) => self.crash_leader(),
            Some(6) => {
                let timeout_ms = self.temper.election_timeout_ms;
                let choices = [0, 5, timeout_ms / 4, timeout_ms];
                self.nodes[position].sync_ms = choices[self.random.random_range(0..4)];
            }
            Some(7) if self.may_lose_disk() => self.lose_disk(position),
            Some(8) => self.cut_leader_from_all_but(other),
            _ => self.mend(position),
        }
    }

    /// Starts a replica that has crashed, or lets the network work again.
    fn mend(&mut self, position: usize) {
        if self.nodes[position].replica.is_none() {
            self.start(position);
        } else {
            self.cut.clear();
        }
    }

    fn leader(&self) -> Option<usize> {
        let leads = |node: &Node| node.replica.as_ref().is_some_and(Replica::is_leader);
        self.nodes.iter().position(leads)
    }

    fn crash_leader(&mut self) {
        if let Some(leader) = self.leader() {
            self.crash(leader);
        }
    }

    fn cut_leader_from_all_but(&mut self, other: usize) {
        if let Some(leader) = self.leader() {
            let third = (0..self.nodes.len()).filter(|third| *third != other && *third != leader);
            third
                .collect::<Vec<_>>()
                .into_iter()
                .for_each(|third| self.cut_pair(leader, third));
        }
    }

    fn cut_pair(&mut self, left: usize, right: usize) {
        let (left, right) = (self.nodes[left].id, self.nodes[right].id);
        self.cut.extend([(left, right), (right, left)]);
    }

    fn cut_off(&mut self, position: usize) {
        let id = self.nodes[position].id;
        for other in self
            .nodes
            .iter()
            .map(|node| node.id)
            .filter(|other| *other != id)
        {
            self.cut.extend([(id, other), (other, id)]);
        }
    }

    fn crash(&mut self, position: usize) {
        let part = self.random.random_range(0..4);
        let node = &mut self.nodes[position];
        if let Some(job) = node.jobs.pop_front() {
            node.durable.write_part(&job, part);
        }
        node.crash();
    }

    fn lose_disk(&mut self, position: usize) {
        self.incarnations += 1;
        let node = &mut self.nodes[position];
        node.crash();
        node.durable = Default::default();
        node.durable.0.incarnation.0 = self.incarnations;
        self.start(position);
    }

    fn heal(&mut self) {
        self.calm = true;
        self.cut.clear();
        for position in 0..self.nodes.len() {
            if self.nodes[position].replica.is_none() {
                self.start(position);
            }
        }
    }
}

fn apply(node: &mut Node, checks: &mut Checks, entry: &Entry) {
    assert_eq!(
        entry.index,
        node.applied.next(),
        "entries are applied in order"
    );
    let mut hasher = DefaultHasher::new();
    (node.hash, entry.index.0, entry.term.0).hash(&mut hasher);
    if let Payload::Command(bytes) = &entry.payload {
        bytes.hash(&mut hasher);
    }
    node.hash = hasher.finish();
    node.applied = entry.index;
    checks.applied(entry, node.hash);
    let waiting = std::mem::take(&mut node.waiting);
    for (index, term) in waiting {
        if (index, term) == (entry.index, entry.term) {
            checks.acknowledged(index);
        } else if index > entry.index {
            node.waiting.push((index, term));
        }
    }
}
