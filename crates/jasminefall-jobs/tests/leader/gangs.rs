//! Gangs that resume after one of their members is lost, as in review/2 (GANG and LOST).

use std::collections::BTreeSet;

use jasminefall_jobs::prelude::*;

use crate::harness::{self, Harness};

/// Guards against GANG and LOST: the members were started with different checkpoints, and never worked together.
#[test]
fn members_of_a_gang_resume_from_the_same_checkpoint() {
    for has_new_leader in [false, true] {
        let mut harness = Harness::new(3);
        let mut gang = harness::job(&[3], 12_000);
        gang.steps[0].gang = true;
        harness.submit(1, gang);
        let starts = harness.take_starts();
        assert_eq!(starts.len(), 3);
        harness.accept_starts(&starts);
        harness.answer_polls();
        for (start, checkpoint) in starts.iter().zip(["c-2", "c-1", "c-1"]) {
            harness.report_checkpoint(start, checkpoint);
        }
        for start in &starts[..2] {
            harness.end_run(start, EndKind::GangBroken);
        }
        let crashed = harness.crash_worker(&starts[2]);
        harness.restart_worker(&crashed);
        if has_new_leader {
            harness.change_leader();
        }
        let mut again = harness.take_starts();
        while again.is_empty() {
            harness.advance(100);
            harness.answer_polls();
            again = harness.take_starts();
        }
        assert_eq!(again.len(), 3, "new leader: {has_new_leader}");
        let checkpoints: BTreeSet<_> = again.iter().map(|start| &start.checkpoint).collect();
        assert_eq!(checkpoints.len(), 1, "{checkpoints:?}");
        assert!(!again[0].checkpoint.is_empty());
    }
}
