//! Replacement of voters that are lost one after the other while the leader changes.

use std::collections::{BTreeMap, BTreeSet};

use jasminefall_replica::prelude::*;

const STEP_MS: u64 = 5;
const DELAY_MS: u64 = 10;
const REPAIR_INTERVAL_MS: u64 = 100;
const ELECTION_TIMEOUT_MS: u64 = 700;
const REPLACE_AFTER_MS: u64 = 1_400;
const VOTER_COUNT: u64 = 5;
/// The longest time from the loss of a voter until another one has replaced it, unless there is none.
const REPLACEMENT_LIMIT_MS: u64 = 4_000;
/// The time for the first election.
const START_MS: u64 = 4_000;

/// Models a group whose replicas store at once and whose messages all take the same time.
struct Group {
    now_ms: u64,
    seed: u64,
    replicas: BTreeMap<ReplicaId, Replica>,
    in_flight: Vec<(u64, Message)>,
    isolated: BTreeSet<ReplicaId>,
}

impl Group {
    /// Creates a group of voters and waits for its first leader.
    fn new(seed: u64) -> Self {
        let mut group = Self {
            now_ms: 0,
            seed,
            replicas: BTreeMap::new(),
            in_flight: Vec::new(),
            isolated: BTreeSet::new(),
        };
        let voters: Vec<_> = (1..=VOTER_COUNT).map(ReplicaId).collect();
        for id in &voters {
            group.start(*id, &voters);
        }
        group.run_until(START_MS);
        group
    }

    /// Starts a replica with empty files; it forms the group with `first_voters`, or joins it.
    fn start(&mut self, id: ReplicaId, first_voters: &[ReplicaId]) {
        let settings = Settings {
            election_timeout_ms: ELECTION_TIMEOUT_MS,
            heartbeat_ms: 120,
            ..Settings::default()
        };
        let recovered = RecoveredState {
            incarnation: Incarnation(id.0),
            ..RecoveredState::default()
        };
        let peers: Vec<_> = self.replicas.keys().copied().collect();
        let replica = Replica::new(id, settings, recovered, self.seed * 100 + id.0)
            .with_first_voters(first_voters.iter().copied())
            .with_known_peers(peers);
        self.replicas.insert(id, replica);
    }

    fn run_until(&mut self, at_ms: u64) {
        while self.now_ms < at_ms {
            self.advance();
        }
    }

    fn advance(&mut self) {
        self.now_ms += STEP_MS;
        let now_ms = self.now_ms;
        let (due, later) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|(at_ms, _)| *at_ms <= now_ms);
        self.in_flight = later;
        for (_, message) in due {
            self.deliver(message);
        }
        let ids: Vec<_> = self.replicas.keys().copied().collect();
        for id in ids {
            let Some(replica) = self.replicas.get_mut(&id) else {
                continue;
            };
            replica.tick(now_ms);
            if now_ms.is_multiple_of(REPAIR_INTERVAL_MS) {
                RepairPolicy::new(VOTER_COUNT as usize, REPLACE_AFTER_MS)
                    .propose_next_change(replica, now_ms);
            }
            self.process_ready(id);
        }
    }

    fn deliver(&mut self, message: Message) {
        let (from, to) = (message.from, message.to);
        let is_cut = self.isolated.contains(&from) != self.isolated.contains(&to);
        if let Some(replica) = self.replicas.get_mut(&to)
            && !is_cut
        {
            replica.step(self.now_ms, message);
            self.process_ready(to);
        }
    }

    fn process_ready(&mut self, id: ReplicaId) {
        let Some(replica) = self.replicas.get_mut(&id) else {
            return;
        };
        let ready = replica.take_ready();
        if let Some(last) = ready.append.last() {
            replica.mark_synced(last.index, last.term);
        }
        let messages = ready.messages.into_iter().chain(ready.messages_after_sync);
        let (own, others): (Vec<_>, Vec<_>) = messages.partition(|message| message.to == id);
        let at_ms = self.now_ms + DELAY_MS;
        self.in_flight
            .extend(others.into_iter().map(|message| (at_ms, message)));
        for message in own {
            self.deliver(message);
        }
    }

    /// Returns the leader of the highest term.
    fn leader(&self) -> Option<&Replica> {
        let leaders = self.replicas.values().filter(|replica| replica.is_leader());
        leaders.max_by_key(|replica| replica.term())
    }

    /// Returns the voters according to the leader, or to the latest log while there is none.
    fn voters(&self) -> BTreeSet<ReplicaId> {
        let log_end = |replica: &&Replica| (replica.log().last_term(), replica.log().last_index());
        let latest = self.replicas.values().max_by_key(log_end);
        let known = self.leader().or(latest);
        known.map_or_else(BTreeSet::new, |replica| replica.membership().voters.clone())
    }

    fn is_whole(&self) -> bool {
        let voters = self.voters();
        voters.len() == VOTER_COUNT as usize
            && voters.iter().all(|voter| self.replicas.contains_key(voter))
    }

    /// Removes a replica for good.
    fn lose(&mut self, id: ReplicaId) {
        self.replicas.remove(&id);
    }
}

/// Loses the leader eight times, each after `interval_ms`, and starts another replica `arrival_ms` later.
fn lose_leaders(seed: u64, interval_ms: u64, arrival_ms: u64) {
    let mut group = Group::new(seed);
    let mut events = BTreeMap::new();
    for number in 0..8 {
        let at_ms = START_MS + number * interval_ms;
        events.insert(at_ms, None);
        events.insert(at_ms + arrival_ms + STEP_MS, Some(ReplicaId(10 + number)));
    }
    let mut lost = BTreeMap::new();
    let end_ms = START_MS + 8 * interval_ms + 2 * REPLACEMENT_LIMIT_MS;
    while group.now_ms < end_ms {
        match events.remove(&group.now_ms) {
            Some(Some(successor)) => group.start(successor, &[]),
            Some(None) => {
                let context = format!("seed {seed}, every {interval_ms} ms");
                let leader = group.leader().map(Replica::id);
                let leader = leader.unwrap_or_else(|| panic!("no leader: {context}"));
                group.lose(leader);
                lost.insert(group.now_ms + REPLACEMENT_LIMIT_MS, leader);
            }
            None => {}
        }
        if let Some(id) = lost.remove(&group.now_ms) {
            assert!(
                !group.voters().contains(&id),
                "replica {id} is not replaced in time: seed {seed}, every {interval_ms} ms"
            );
        }
        group.advance();
    }
    assert!(group.is_whole(), "seed {seed}, every {interval_ms} ms");
}

/// Guards against LOST: the lost leaders stayed voters, since each new leader counted their silence anew.
#[test]
fn leaders_lost_in_series_are_each_replaced_in_time() {
    for seed in 1..=10 {
        for (interval_ms, arrival_ms) in
            [(4_500, 2_000), (3_500, 2_000), (3_000, 2_000), (2_500, 0)]
        {
            lose_leaders(seed, interval_ms, arrival_ms);
        }
    }
}

/// Guards against LOST: a voter that is lost for good stayed one for as long as the leader changed.
#[test]
fn lost_follower_is_replaced_although_no_leader_lasts() {
    for seed in 1..=10 {
        let mut group = Group::new(seed);
        group.start(ReplicaId(10), &[]);
        group.run_until(START_MS + 1_000);
        let leader = group.leader().map(Replica::id).unwrap();
        let lost = group
            .voters()
            .into_iter()
            .find(|voter| *voter != leader)
            .unwrap();
        group.lose(lost);
        let lost_at_ms = group.now_ms;
        while group.now_ms < lost_at_ms + REPLACEMENT_LIMIT_MS {
            // Cuts off each leader before it has been one for as long as a silent voter is kept.
            let Some(leader) = group.leader().map(Replica::id) else {
                group.advance();
                continue;
            };
            let cut_at_ms = group.now_ms + REPLACE_AFTER_MS / 2;
            group.run_until(cut_at_ms);
            group.isolated = BTreeSet::from([leader]);
            while group.leader().is_none_or(|found| found.id() == leader) {
                group.advance();
            }
            group.isolated.clear();
        }
        assert!(!group.voters().contains(&lost), "seed {seed}");
    }
}

/// Guards against a majority of lost voters: a voter that pauses and returns must not be shut out, nor leave
/// fewer voters than before.
#[test]
fn voters_that_pause_in_turn_cost_no_majority_and_return() {
    for seed in 1..=5 {
        let mut group = Group::new(seed);
        group.start(ReplicaId(10), &[]);
        for round in 0..12 {
            let leader = group.leader().map(Replica::id).unwrap();
            let mut followers = group.voters().into_iter().filter(|id| *id != leader);
            let cut = if round % 3 == 0 {
                leader
            } else {
                followers.nth(round % 4).unwrap()
            };
            group.isolated = BTreeSet::from([cut]);
            group.run_until(group.now_ms + 3_000 + 500 * (round as u64 % 7));
            group.isolated.clear();
            group.run_until(group.now_ms + 2_500);
            assert!(group.is_whole(), "seed {seed}, round {round}");
            let membership = group.leader().unwrap().membership().clone();
            assert_eq!(
                membership.voters.len() + membership.learners.len(),
                group.replicas.len(),
                "replica {cut} has returned: seed {seed}, round {round}"
            );
        }
    }
}
