//! A group of replicas, its simulated network and its random schedule.

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use jasminefall_replica::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::checks::Checks;
use crate::node::{Node, WriteJob};

const STEP_MS: u64 = 10;
const FAULT_PHASE_MS: u64 = 6_000;
const RECOVERY_TIMEOUT_MS: u64 = 20_000;
/// The average number of steps between two replacements of a machine.
const STEPS_PER_REPLACEMENT: u32 = 60;
/// The average number of steps between two losses of power of all machines.
const STEPS_PER_POWER_LOSS: u32 = 300;
const COMPACT_AFTER_ENTRIES: u64 = 12;

/// Holds the parameters of a schedule, drawn from its seed.
struct ScheduleParameters {
    election_timeout_ms: u64,
    drop_percent: u32,
    max_delay_ms: u64,
    /// Average number of steps per injected fault.
    steps_per_fault: u32,
    /// Relative frequency of each kind of fault, in the order of the cases in `inject_fault`.
    fault_weights: [u32; 9],
    compacts: bool,
}

impl ScheduleParameters {
    fn new(random: &mut ChaCha8Rng) -> Self {
        let election_timeout_ms = [150, 300, 1_000][random.random_range(0..3)];
        Self {
            election_timeout_ms,
            drop_percent: [0, 2, 15][random.random_range(0..3)],
            max_delay_ms: random.random_range(1..election_timeout_ms / 3),
            steps_per_fault: [4, 10, 25][random.random_range(0..3)],
            fault_weights: std::array::from_fn(|_| [0, 1, 4][random.random_range(0..3)]),
            compacts: random.random_ratio(3, 4),
        }
    }
}

/// Runs one schedule.
pub(crate) struct Group {
    seed: u64,
    voter_count: usize,
    /// Whether machines are replaced by others at new addresses.
    replaces_machines: bool,
    random: ChaCha8Rng,
    nodes: Vec<Node>,
    in_flight: Vec<(u64, Message)>,
    blocked_links: BTreeSet<(ReplicaId, ReplicaId)>,
    now_ms: u64,
    faults_stopped: bool,
    parameters: ScheduleParameters,
    last_incarnation: u64,
    checks: Checks,
}

impl Group {
    /// Creates a group of three voters.
    pub(crate) fn new(seed: u64) -> Self {
        Self::with_voter_count(seed, 3)
    }

    /// Creates a group of five voters whose machines are also replaced.
    pub(crate) fn with_replacements(seed: u64) -> Self {
        Self {
            replaces_machines: true,
            ..Self::with_voter_count(seed, 5)
        }
    }

    fn with_voter_count(seed: u64, voter_count: usize) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let size = voter_count as u64 + random.random_range(0..=2);
        let nodes = (1..=size).map(|id| {
            let rate = random.random_range(0.955..1.045);
            Node::new(ReplicaId(id), id, rate, random.random_range(0..100_000))
        });
        let nodes = nodes.collect();
        let mut group = Self {
            seed,
            voter_count,
            replaces_machines: false,
            nodes,
            in_flight: Vec::new(),
            blocked_links: BTreeSet::new(),
            now_ms: 0,
            faults_stopped: false,
            parameters: ScheduleParameters::new(&mut random),
            last_incarnation: size,
            checks: Checks::default(),
            random,
        };
        (0..group.nodes.len()).for_each(|position| group.start(position));
        group
    }

    pub(crate) const fn acknowledged_count(&self) -> u64 {
        self.checks.acknowledged_count
    }

    /// Runs with faults, then checks that the group recovers without faults.
    ///
    /// No acknowledged entry may be lost, and a new proposal must be acknowledged.
    pub(crate) fn run(&mut self) {
        while self.now_ms < FAULT_PHASE_MS {
            self.inject_fault();
            if self.replaces_machines && self.random.random_ratio(1, STEPS_PER_REPLACEMENT) {
                self.replace_machine();
            }
            if self.replaces_machines && self.random.random_ratio(1, STEPS_PER_POWER_LOSS) {
                self.lose_power();
            }
            self.advance();
        }
        self.stop_faults();
        let before = self.checks.acknowledged_count;
        let deadline_ms = self.now_ms + RECOVERY_TIMEOUT_MS;
        while !(self.is_repaired() && self.checks.acknowledged_count > before) {
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
            let has_its_files = |id: &ReplicaId| {
                let node = &self.nodes[id.0 as usize - 1];
                replica.membership().incarnation(*id) == node.durable.0.incarnation
            };
            replica.is_leader()
                && replica.commit_index() >= acknowledged
                && voters.len() >= self.voter_count
                && voters.iter().all(has_its_files)
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
            election_timeout_ms: self.parameters.election_timeout_ms,
            heartbeat_ms: self.parameters.election_timeout_ms / 7,
            max_batch_entries: 5,
            max_unacknowledged_entries: 20,
            snapshot_chunk_bytes: 16,
            ..Settings::default()
        }
    }

    /// Starts a replica, unless its machine has been removed.
    fn start(&mut self, position: usize) {
        if self.nodes[position].is_removed {
            return;
        }
        let first: Vec<_> = (1..=self.voter_count as u64).map(ReplicaId).collect();
        let (settings, seed) = (self.settings(), self.random.random());
        let peers: Vec<_> = self.nodes.iter().map(|node| node.id).collect();
        self.nodes[position].start(settings, &first, &peers, seed);
    }

    /// Advances the time by one step and handles all due events; messages arrive in random order.
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
            self.drive_leader(position);
            self.process_ready(position);
        }
    }

    fn deliver(&mut self) {
        let mut due = Vec::new();
        let now_ms = self.now_ms;
        self.in_flight.retain(|(at_ms, message)| {
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
        if self.blocked_links.contains(&(message.from, message.to)) {
            return;
        }
        let now_ms = self.nodes[position].clock(self.now_ms);
        if let Some(replica) = &mut self.nodes[position].replica {
            replica.step(now_ms, message);
            assert!(
                !replica.is_outdated(),
                "files that are up to date were detected as outdated"
            );
        }
        self.process_ready(position);
    }

    /// Proposes, reads and changes the membership if the replica is the leader.
    fn drive_leader(&mut self, position: usize) {
        let now_ms = self.nodes[position].clock(self.now_ms);
        let (proposes, changes) = (
            self.random.random_ratio(1, 6),
            self.random.random_ratio(1, 60),
        );
        let mut command = vec![0; self.random.random_range(1..30)];
        self.random.fill(command.as_mut_slice());
        let random_change = (!self.faults_stopped && changes && self.has_full_memberships())
            .then(|| self.random_change());
        let node = &mut self.nodes[position];
        let Some(replica) = node.replica.as_mut().filter(|replica| replica.is_leader()) else {
            return;
        };
        if proposes && let Ok(index) = replica.propose(now_ms, command) {
            node.pending_proposals.push((index, replica.term()));
        }
        if let Ok(index) = replica.read_index(now_ms) {
            self.checks.check_read(index);
        }
        match random_change {
            Some(change) => {
                let _ = replica.change_membership(now_ms, change);
            }
            None => {
                RepairPolicy::new(self.voter_count, 2_000).propose_next_change(replica, now_ms);
            }
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

    /// Returns whether a disk may be lost without losing a majority.
    ///
    /// At most one of three disks may be lost while the group forms.
    fn may_lose_disk(&self) -> bool {
        let has_lost_disk = self.last_incarnation > self.nodes.len() as u64;
        self.has_full_memberships() && !(self.is_forming() && has_lost_disk)
    }

    /// Returns whether the group may not have been formed yet.
    fn is_forming(&self) -> bool {
        let nodes = &self.nodes[..self.voter_count];
        let mut nodes = nodes.iter().filter(|node| !node.is_removed);
        nodes.any(|node| {
            let replica = node.replica.as_ref();
            replica.is_none_or(Replica::is_unformed) || node.durable.0.entries.is_empty()
        })
    }

    /// Returns whether every stored or current membership has all its voters, each with its files.
    fn has_full_memberships(&self) -> bool {
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
                    membership.voters.len() >= self.voter_count
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
            .is_some_and(|job| job.completes_at_ms <= self.now_ms)
        {
            let now_ms = self.nodes[position].clock(self.now_ms);
            let node = &mut self.nodes[position];
            let Some(job) = node.finish_job() else { return };
            for entry in &job.append {
                self.checks.check_stored(&node.durable.0, entry);
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
            self.process_ready(position);
        }
    }

    /// Carries out the work that a replica returns from `take_ready`.
    fn process_ready(&mut self, position: usize) {
        let node = &mut self.nodes[position];
        let Some(replica) = &mut node.replica else {
            return;
        };
        self.checks.check_leader(replica);
        let ready = replica.take_ready();
        if let Some(snapshot) = &ready.snapshot {
            node.load(snapshot);
        }
        let stores = ready.must_store() || !ready.messages_after_sync.is_empty();
        if stores {
            let duration_ms = if self.faults_stopped {
                1
            } else {
                self.random.random_range(0..=node.max_sync_ms)
            };
            node.jobs.push_back(WriteJob {
                completes_at_ms: node.completion_time_ms(self.now_ms, duration_ms),
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
        if !self.parameters.compacts
            || node.applied.0 < replica.log().snapshot().index.0 + COMPACT_AFTER_ENTRIES
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

        node.jobs.push_back(WriteJob {
            completes_at_ms: node.completion_time_ms(self.now_ms, 0),
            hard_state: None,
            snapshot: Some(snapshot),
            append: following,
            messages: Vec::new(),
        });
    }

    fn send(&mut self, message: Message) {
        if !self.faults_stopped && self.random.random_ratio(self.parameters.drop_percent, 100) {
            return;
        }
        let max_delay_ms = if self.faults_stopped {
            2
        } else {
            self.parameters.max_delay_ms
        };
        let copies = if !self.faults_stopped && self.random.random_ratio(1, 25) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let is_late = !self.faults_stopped && self.random.random_ratio(1, 40);
            let late_ms = 3 * self.parameters.election_timeout_ms;
            let max_delay_ms = if is_late { late_ms } else { max_delay_ms };
            let at_ms = self.now_ms + self.random.random_range(0..=max_delay_ms);
            self.in_flight.push((at_ms, message.clone()));
        }
    }

    fn inject_fault(&mut self) {
        if !self.random.random_ratio(1, self.parameters.steps_per_fault) {
            return;
        }
        let total: u32 = self.parameters.fault_weights.iter().sum();
        let mut drawn = self.random.random_range(0..=total);
        let kind = self.parameters.fault_weights.iter().position(|weight| {
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
            Some(2) => self.isolate(position),
            Some(3) => self.block_pair(position, other),
            Some(4) => {
                self.blocked_links
                    .insert((self.nodes[position].id, self.nodes[other].id));
            }
            Some(5) => self.crash_leader(),
            Some(6) => {
                let timeout_ms = self.parameters.election_timeout_ms;
                let choices = [0, 5, timeout_ms / 4, timeout_ms];
                self.nodes[position].max_sync_ms = choices[self.random.random_range(0..4)];
            }
            Some(7) if self.may_lose_disk() => self.lose_disk(position),
            Some(8) => self.isolate_leader_except(other),
            _ => self.restart_or_reconnect(position),
        }
    }

    /// Restarts the replica if it has crashed, or otherwise unblocks all links.
    fn restart_or_reconnect(&mut self, position: usize) {
        if self.nodes[position].replica.is_none() {
            self.start(position);
        } else {
            self.blocked_links.clear();
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

    /// Blocks all links of the leader except those to `other`.
    fn isolate_leader_except(&mut self, other: usize) {
        if let Some(leader) = self.leader() {
            let third = (0..self.nodes.len()).filter(|third| *third != other && *third != leader);
            third
                .collect::<Vec<_>>()
                .into_iter()
                .for_each(|third| self.block_pair(leader, third));
        }
    }

    fn block_pair(&mut self, left: usize, right: usize) {
        let (left, right) = (self.nodes[left].id, self.nodes[right].id);
        self.blocked_links.extend([(left, right), (right, left)]);
    }

    fn isolate(&mut self, position: usize) {
        let id = self.nodes[position].id;
        for other in self
            .nodes
            .iter()
            .map(|node| node.id)
            .filter(|other| *other != id)
        {
            self.blocked_links.extend([(id, other), (other, id)]);
        }
    }

    fn crash(&mut self, position: usize) {
        if self.nodes[position].is_removed {
            return;
        }
        let part = self.random.random_range(0..4);
        let node = &mut self.nodes[position];
        if let Some(job) = node.jobs.pop_front() {
            node.durable.write_partially(&job, part);
        }
        node.crash();
    }

    fn lose_disk(&mut self, position: usize) {
        if self.nodes[position].is_removed {
            return;
        }
        self.last_incarnation += 1;
        let node = &mut self.nodes[position];
        node.crash();
        node.durable = Default::default();
        node.durable.0.incarnation.0 = self.last_incarnation;
        self.start(position);
    }

    /// Removes a machine for good and starts another one, with an empty disk, under a new identifier.
    fn replace_machine(&mut self) {
        let position = self.random.random_range(0..self.nodes.len());
        let may_replace = !self.is_forming() && self.has_full_memberships();
        if self.nodes[position].is_removed || !may_replace {
            return;
        }
        self.nodes[position].remove();
        self.last_incarnation += 1;
        let id = ReplicaId(self.nodes.len() as u64 + 1);
        let rate = self.random.random_range(0.955..1.045);
        let offset_ms = self.random.random_range(0..100_000);
        self.nodes
            .push(Node::new(id, self.last_incarnation, rate, offset_ms));
        self.start(self.nodes.len() - 1);
    }

    /// Crashes all replicas at the same time and starts them again.
    fn lose_power(&mut self) {
        (0..self.nodes.len()).for_each(|position| self.crash(position));
        (0..self.nodes.len()).for_each(|position| self.start(position));
    }

    fn stop_faults(&mut self) {
        self.faults_stopped = true;
        self.blocked_links.clear();
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
        "entries must be applied in index order"
    );
    let mut hasher = DefaultHasher::new();
    (node.state_hash, entry.index.0, entry.term.0).hash(&mut hasher);
    if let Payload::Command(bytes) = &entry.payload {
        bytes.hash(&mut hasher);
    }
    node.state_hash = hasher.finish();
    node.applied = entry.index;
    checks.check_applied(entry, node.state_hash);
    let waiting = std::mem::take(&mut node.pending_proposals);
    for (index, term) in waiting {
        if (index, term) == (entry.index, entry.term) {
            checks.record_acknowledged(index);
        } else if index > entry.index {
            node.pending_proposals.push((index, term));
        }
    }
}
