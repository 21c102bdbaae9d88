//! Single promises of the algorithm, each in the shortest schedule that could break it.

use jasminefall_replica::prelude::*;

const TIMEOUT_MS: u64 = 1_000;
const ONE: ReplicaId = ReplicaId(1);
const TWO: ReplicaId = ReplicaId(2);
const THREE: ReplicaId = ReplicaId(3);

fn replica(id: ReplicaId, recovered: RecoveredState) -> Replica {
    Replica::new(id, Settings::default(), recovered, 7)
}

fn of_three() -> RecoveredState {
    RecoveredState::with_voters([ONE, TWO, THREE])
}

fn message(from: ReplicaId, to: ReplicaId, term: u64, body: Body) -> Message {
    let (incarnation, term) = (Incarnation(0), Term(term));
    Message {
        from,
        incarnation,
        to,
        term,
        body,
    }
}

fn vote_request(from: ReplicaId, to: ReplicaId, term: u64, last: (u64, u64)) -> Message {
    let body = Body::VoteRequest {
        pre: false,
        last_index: LogIndex(last.1),
        last_term: Term(last.0),
    };
    message(from, to, term, body)
}

fn heartbeat(from: ReplicaId, to: ReplicaId, term: u64) -> Message {
    let body = Body::Append {
        previous_index: LogIndex(0),
        previous_term: Term(0),
        entries: Vec::new(),
        commit: LogIndex(0),
        sent_at_ms: 0,
    };
    message(from, to, term, body)
}

fn acknowledgement(from: ReplicaId, term: u64, index: u64, sent_at_ms: u64) -> Message {
    let body = Body::AppendReply {
        accepted: true,
        match_index: LogIndex(index),
        sent_at_ms,
    };
    message(from, ONE, term, body)
}

fn grants_vote(replica: &mut Replica) -> bool {
    let ready = replica.take_ready();
    let messages = ready.messages.iter().chain(&ready.messages_after_sync);
    let grants = |message: &Message| matches!(message.body, Body::VoteReply { granted: true, .. });
    messages.into_iter().any(grants)
}

/// Lets replica one win an election at `at_ms` with the vote of replica two.
fn elect(replica: &mut Replica, at_ms: u64) -> u64 {
    let term = replica.term().next().0;
    replica.tick(at_ms);
    for pre in [true, false] {
        let granted = Body::VoteReply { pre, granted: true };
        replica.step(at_ms, message(TWO, ONE, term, granted));
        sync(replica, at_ms);
    }
    assert!(replica.is_leader(), "the votes of two of three elect");
    sync(replica, at_ms);
    term
}

/// Reports all as stored and hands the replica its own messages.
fn sync(replica: &mut Replica, at_ms: u64) {
    let ready = replica.take_ready();
    if let Some(last) = ready.append.last() {
        replica.mark_synced(last.index, last.term);
    }
    for message in ready
        .messages_after_sync
        .into_iter()
        .filter(|message| message.to == ONE)
    {
        replica.step(at_ms, message);
    }
}

#[test]
fn a_voter_keeps_its_promise_to_a_leader_that_it_heard() {
    for (at_ms, grants) in [(1, false), (TIMEOUT_MS - 1, false), (TIMEOUT_MS, true)] {
        let mut voter = replica(THREE, of_three());
        voter.step(5_000, heartbeat(ONE, THREE, 1));
        voter.take_ready();
        voter.step(5_000 + at_ms, vote_request(TWO, THREE, 2, (0, 0)));
        assert_eq!(
            grants_vote(&mut voter),
            grants,
            "{at_ms} ms after the leader was heard"
        );
    }
}

#[test]
fn a_restarted_voter_waits_out_the_promise_that_it_forgot() {
    for (at_ms, grants) in [(0, false), (TIMEOUT_MS - 1, false), (TIMEOUT_MS, true)] {
        let mut voter = replica(THREE, of_three());
        voter.tick(70_000);
        voter.step(70_000 + at_ms, vote_request(TWO, THREE, 2, (0, 0)));
        assert_eq!(
            grants_vote(&mut voter),
            grants,
            "{at_ms} ms after the start"
        );
    }
}

#[test]
fn a_lone_voter_leads_at_its_first_tick() {
    let mut lone = replica(ONE, RecoveredState::with_voters([ONE]));
    lone.tick(70_000);
    sync(&mut lone, 70_000);
    assert!(lone.is_leader());
}

#[test]
fn a_lease_counts_from_the_sending_and_ends_before_the_promise() {
    let mut leader = replica(ONE, of_three());
    leader.tick(0);
    let term = elect(&mut leader, 3_000);
    leader.step(3_800, acknowledgement(TWO, term, 1, 3_000));
    assert_eq!(leader.read_index(3_899), Ok(LogIndex(1)));
    assert_eq!(
        leader.read_index(3_900),
        Err(ReadError::NoLease),
        "sent at 3000, less a tenth"
    );
    leader.step(3_950, acknowledgement(TWO, term, 1, 3_000));
    assert_eq!(
        leader.read_index(3_950),
        Err(ReadError::NoLease),
        "an old answer renews nothing"
    );
}

#[test]
fn an_entry_of_an_older_term_is_not_committed_by_count() {
    let mut recovered = of_three();
    recovered.hard_state.term = Term(2);
    recovered.entries.push(Entry {
        index: LogIndex(1),
        term: Term(2),
        payload: Payload::Command(vec![1]),
    });
    let mut leader = replica(ONE, recovered);
    leader.tick(0);
    let term = elect(&mut leader, 3_000);
    leader.step(3_000, acknowledgement(TWO, term, 1, 3_000));
    assert_eq!(
        leader.commit_index(),
        LogIndex(0),
        "another leader could still replace it"
    );
    leader.step(3_000, acknowledgement(TWO, term, 2, 3_000));
    assert_eq!(leader.commit_index(), LogIndex(2));
}

#[test]
fn an_incarnation_that_is_no_member_neither_votes_nor_acknowledges() {
    let mut leader = replica(ONE, of_three());
    leader.tick(0);
    let term = elect(&mut leader, 3_000);
    let mut reply = acknowledgement(TWO, term, 1, 3_000);
    reply.incarnation = Incarnation(9);
    leader.step(3_000, reply);
    assert_eq!(leader.commit_index(), LogIndex(0));
    assert_eq!(
        leader.members()[1].newer_incarnation,
        Some(Incarnation(9)),
        "its files are lost"
    );

    let mut candidate = replica(ONE, of_three());
    candidate.tick(0);
    candidate.tick(3_000);
    let granted = Body::VoteReply {
        pre: true,
        granted: true,
    };
    let mut vote = message(TWO, ONE, 1, granted);
    vote.incarnation = Incarnation(9);
    candidate.step(3_000, vote);
    assert_eq!(candidate.term(), Term(0));
}

#[test]
fn an_older_copy_of_the_files_is_told_from_current_ones() {
    let mut witness = replica(ONE, of_three());
    witness.tick(0);
    let term = elect(&mut witness, 3_000);
    witness.step(3_000, acknowledgement(TWO, term, 1, 3_000));
    witness.take_ready();
    witness.step(3_000, message(TWO, ONE, term, Body::Hello));
    let answer = witness
        .take_ready()
        .messages
        .into_iter()
        .find(|message| matches!(message.body, Body::ObservedState { .. }));
    let mut older = replica(TWO, of_three());
    older.step(0, answer.expect("the leader has seen replica two"));
    assert!(older.is_outdated());
    older.step(5_000, vote_request(THREE, TWO, 9, (9, 9)));
    assert!(!grants_vote(&mut older), "an older copy never votes");
}

#[test]
fn a_leader_of_an_older_term_is_told_the_later_one() {
    let mut recovered = of_three();
    recovered.hard_state.term = Term(7);
    let mut ahead = replica(THREE, recovered);
    ahead.step(0, heartbeat(ONE, THREE, 6));
    let replies = ahead.take_ready().messages_after_sync;
    assert!(
        replies
            .iter()
            .any(|reply| reply.to == ONE && reply.term == Term(7)),
        "{replies:?}"
    );
}

#[test]
fn membership_changes_wait_for_the_own_term_and_for_each_other() {
    let mut leader = replica(ONE, of_three());
    let add = |id: u64| MembershipChange::AddLearner(ReplicaId(id), Incarnation(id));
    leader.tick(0);
    let begun = leader.change_membership(0, add(4));
    assert!(matches!(begun, Err(MembershipChangeError::NotLeader(_))));
    let term = elect(&mut leader, 3_000);
    assert_eq!(
        leader.change_membership(3_000, add(4)),
        Err(MembershipChangeError::NoCommitInTerm)
    );
    leader.step(3_000, acknowledgement(TWO, term, 1, 3_000));
    assert_eq!(leader.change_membership(3_000, add(4)), Ok(LogIndex(2)));
    assert_eq!(
        leader.change_membership(3_000, add(5)),
        Err(MembershipChangeError::ChangeInProgress)
    );
    sync(&mut leader, 3_000);
    leader.step(3_000, acknowledgement(TWO, term, 2, 3_000));
    let refused = [
        (
            MembershipChange::Promote(ReplicaId(4)),
            MembershipChangeError::LearnerBehind,
        ),
        (
            MembershipChange::Remove(ONE),
            MembershipChangeError::RemovesLeader,
        ),
        (
            MembershipChange::Remove(THREE),
            MembershipChangeError::WouldLoseQuorum,
        ),
        (
            MembershipChange::Remove(ReplicaId(6)),
            MembershipChangeError::UnexpectedMemberState,
        ),
    ];
    for (change, error) in refused {
        assert_eq!(
            leader.change_membership(3_000, change),
            Err(error),
            "{change:?}"
        );
    }
}

/// A replica that was away answers each message that gathered meanwhile with a refusal.
#[test]
fn refusals_of_one_gap_bring_what_is_missing_once() {
    const MISSING: usize = 200;
    const REFUSALS: u64 = 50;
    let mut leader = replica(ONE, of_three());
    let mut now_ms = 10_000;
    leader.tick(0);
    let term = elect(&mut leader, now_ms);
    for _ in 0..MISSING {
        leader.propose(now_ms, vec![0; 100]).unwrap();
        sync(&mut leader, now_ms);
    }
    for number in 0..REFUSALS {
        now_ms += 20;
        leader.tick(now_ms);
        leader.step(now_ms, acknowledgement(TWO, term, 1, now_ms));
        leader.take_ready();
        assert!(leader.is_leader(), "after {number} heartbeats");
    }
    let mut sent = 0;
    for number in 0..REFUSALS {
        let refusal = Body::AppendReply {
            accepted: false,
            match_index: LogIndex(0),
            sent_at_ms: now_ms - 20 * (REFUSALS - number),
        };
        leader.step(now_ms, message(THREE, ONE, term, refusal));
        for message in leader.take_ready().messages {
            if let (THREE, Body::Append { entries, .. }) = (message.to, message.body) {
                sent += entries.len();
            }
        }
    }
    assert!(sent >= MISSING, "what is missing is sent");
    assert!(
        sent <= 2 * MISSING,
        "{sent} entries for {MISSING} missing ones"
    );
}

/// It was away when it was removed, and knows only voters of before.
#[test]
fn the_leader_hears_of_a_candidate_that_has_no_place_any_more() {
    const FOUR: ReplicaId = ReplicaId(4);
    let mut follower = replica(TWO, RecoveredState::with_voters([TWO, THREE]));
    follower.step(5_000, heartbeat(THREE, TWO, 1));
    follower.take_ready();
    let removed = vote_request(FOUR, TWO, 2, (0, 0));
    follower.step(5_001, removed.clone());
    let passed_on = Message {
        to: THREE,
        ..removed
    };
    assert_eq!(follower.take_ready().messages, [passed_on]);
    follower.step(5_002, vote_request(THREE, TWO, 2, (0, 0)));
    assert!(follower.take_ready().messages.is_empty(), "a voter asks");
}
