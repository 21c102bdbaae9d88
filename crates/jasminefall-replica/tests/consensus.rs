//! Properties of the consensus algorithm, each tested with a minimal sequence of messages.

use jasminefall_replica::prelude::*;

const ELECTION_TIMEOUT_MS: u64 = 1_000;
const ONE: ReplicaId = ReplicaId(1);
const TWO: ReplicaId = ReplicaId(2);
const THREE: ReplicaId = ReplicaId(3);

fn replica(id: ReplicaId, recovered: RecoveredState) -> Replica {
    Replica::new(id, Settings::default(), recovered, 7)
}

fn three_voters() -> RecoveredState {
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

/// Makes replica 1 win an election at `at_ms` with the vote of replica 2; returns the new term.
fn elect(replica: &mut Replica, at_ms: u64) -> u64 {
    let term = replica.term().next().0;
    replica.tick(at_ms);
    for pre in [true, false] {
        let granted = Body::VoteReply { pre, granted: true };
        replica.step(at_ms, message(TWO, ONE, term, granted));
        sync(replica, at_ms);
    }
    assert!(
        replica.is_leader(),
        "the votes of two of three voters must elect the replica"
    );
    sync(replica, at_ms);
    term
}

/// Reports all pending entries as synced and delivers the replica's messages to itself.
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
fn voter_withholds_votes_for_an_election_timeout_after_a_heartbeat() {
    for (at_ms, grants) in [
        (1, false),
        (ELECTION_TIMEOUT_MS - 1, false),
        (ELECTION_TIMEOUT_MS, true),
    ] {
        let mut voter = replica(THREE, three_voters());
        voter.step(5_000, heartbeat(ONE, THREE, 1));
        voter.take_ready();
        voter.step(5_000 + at_ms, vote_request(TWO, THREE, 2, (0, 0)));
        assert_eq!(
            grants_vote(&mut voter),
            grants,
            "{at_ms} ms after the heartbeat"
        );
    }
}

#[test]
fn restarted_voter_withholds_votes_for_an_election_timeout() {
    for (at_ms, grants) in [
        (0, false),
        (ELECTION_TIMEOUT_MS - 1, false),
        (ELECTION_TIMEOUT_MS, true),
    ] {
        let mut voter = replica(THREE, three_voters());
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
fn single_voter_becomes_leader_at_its_first_tick() {
    let mut single = replica(ONE, RecoveredState::with_voters([ONE]));
    single.tick(70_000);
    sync(&mut single, 70_000);
    assert!(single.is_leader());
}

#[test]
fn lease_starts_at_sending_and_ends_before_voters_grant_votes() {
    let mut leader = replica(ONE, three_voters());
    leader.tick(0);
    let term = elect(&mut leader, 3_000);
    leader.step(3_800, acknowledgement(TWO, term, 1, 3_000));
    assert_eq!(leader.read_index(3_899), Ok(LogIndex(1)));
    assert_eq!(
        leader.read_index(3_900),
        Err(ReadError::NoLease),
        "the lease starts at 3000 and lasts 90% of the timeout"
    );
    leader.step(3_950, acknowledgement(TWO, term, 1, 3_000));
    assert_eq!(
        leader.read_index(3_950),
        Err(ReadError::NoLease),
        "a repeated reply must not renew the lease"
    );
}

#[test]
fn entry_of_earlier_term_is_not_committed_by_a_majority_alone() {
    let mut recovered = three_voters();
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
        "another leader could still replace the entry"
    );
    leader.step(3_000, acknowledgement(TWO, term, 2, 3_000));
    assert_eq!(leader.commit_index(), LogIndex(2));
}

#[test]
fn votes_and_acknowledgements_of_a_non_member_incarnation_are_ignored() {
    let mut leader = replica(ONE, three_voters());
    leader.tick(0);
    let term = elect(&mut leader, 3_000);
    let mut reply = acknowledgement(TWO, term, 1, 3_000);
    reply.incarnation = Incarnation(9);
    leader.step(3_000, reply);
    assert_eq!(leader.commit_index(), LogIndex(0));
    assert_eq!(
        leader.members()[1].newer_incarnation,
        Some(Incarnation(9)),
        "a later incarnation shows that the files are lost"
    );

    let mut candidate = replica(ONE, three_voters());
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
fn outdated_files_are_detected_after_a_restart() {
    let mut observer = replica(ONE, three_voters());
    observer.tick(0);
    let term = elect(&mut observer, 3_000);
    observer.step(3_000, acknowledgement(TWO, term, 1, 3_000));
    observer.take_ready();
    observer.step(3_000, message(TWO, ONE, term, Body::Hello));
    let answer = observer
        .take_ready()
        .messages
        .into_iter()
        .find(|message| matches!(message.body, Body::ObservedState { .. }));
    let mut outdated = replica(TWO, three_voters());
    outdated.step(
        0,
        answer.expect("the leader has received an acknowledgement of replica 2"),
    );
    assert!(outdated.is_outdated());
    outdated.step(5_000, vote_request(THREE, TWO, 9, (9, 9)));
    assert!(
        !grants_vote(&mut outdated),
        "a replica with outdated files must not vote"
    );
}

#[test]
fn heartbeat_of_an_earlier_term_is_answered_with_the_current_term() {
    let mut recovered = three_voters();
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
fn membership_change_requires_a_commit_in_the_term_and_no_change_in_progress() {
    let mut leader = replica(ONE, three_voters());
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

/// Guards against sending the missing entries once per rejection.
///
/// A replica that was unreachable rejects each of the messages that were queued for it meanwhile.
#[test]
fn repeated_rejections_of_one_gap_do_not_resend_entries() {
    const MISSING: usize = 200;
    const REJECTIONS: u64 = 50;
    let mut leader = replica(ONE, three_voters());
    let mut now_ms = 10_000;
    leader.tick(0);
    let term = elect(&mut leader, now_ms);
    for _ in 0..MISSING {
        leader.propose(now_ms, vec![0; 100]).unwrap();
        sync(&mut leader, now_ms);
    }
    for number in 0..REJECTIONS {
        now_ms += 20;
        leader.tick(now_ms);
        leader.step(now_ms, acknowledgement(TWO, term, 1, now_ms));
        leader.take_ready();
        assert!(leader.is_leader(), "after {number} heartbeats");
    }
    let mut sent = 0;
    for number in 0..REJECTIONS {
        let rejection = Body::AppendReply {
            accepted: false,
            match_index: LogIndex(0),
            sent_at_ms: now_ms - 20 * (REJECTIONS - number),
        };
        leader.step(now_ms, message(THREE, ONE, term, rejection));
        for message in leader.take_ready().messages {
            if let (THREE, Body::Append { entries, .. }) = (message.to, message.body) {
                sent += entries.len();
            }
        }
    }
    assert!(sent >= MISSING, "the missing entries must be sent");
    assert!(
        sent <= 2 * MISSING,
        "{sent} entries were sent for {MISSING} missing ones"
    );
}

/// Guards against a removed replica that cannot rejoin.
///
/// It was down when it was removed, so its stale membership may not include the leader.
#[test]
fn vote_request_of_a_non_member_is_forwarded_to_the_leader() {
    const FOUR: ReplicaId = ReplicaId(4);
    let mut follower = replica(TWO, RecoveredState::with_voters([TWO, THREE]));
    follower.step(5_000, heartbeat(THREE, TWO, 1));
    follower.take_ready();
    let removed = vote_request(FOUR, TWO, 2, (0, 0));
    follower.step(5_001, removed.clone());
    let forwarded = Message {
        to: THREE,
        ..removed
    };
    assert_eq!(follower.take_ready().messages, [forwarded]);
    follower.step(5_002, vote_request(THREE, TWO, 2, (0, 0)));
    assert!(
        follower.take_ready().messages.is_empty(),
        "the vote request of a voter must not be forwarded"
    );
}
