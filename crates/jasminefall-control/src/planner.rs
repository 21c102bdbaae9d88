//! Planner that runs on the leader and proposes every step as a command.
//!
//! The planner keeps no state of its own that a plan depends on, so that a new leader can continue
//! any unfinished plan from the replicated state.
//!
//! - [`explain`]: explanations of the constraint that blocks an object, with the remedy
//! - [`leases`]: marking of workers as lost whose task lease has expired
//! - [`jobs`]: job placement and preemption for urgent jobs
//! - [`instances`]: steps of waves, moves and returns of instances

pub(crate) mod explain;
pub(crate) mod instances;
pub(crate) mod jobs;
pub(crate) mod leases;

use std::time::Duration;

use jasminefall_state::prelude::*;

use crate::node::NodeHandle;

const ROUND_PAUSE: Duration = Duration::from_millis(100);
/// Steps of instances are planned once in this number of rounds.
const INSTANCE_PLANNING_ROUNDS: u64 = 3;

/// Runs the planner; its rounds have no effect unless this replica is the leader.
pub(crate) async fn run(handle: NodeHandle) -> anyhow::Result<()> {
    let mut round: u64 = 0;
    loop {
        if round.is_multiple_of(INSTANCE_PLANNING_ROUNDS) {
            leases::mark_expired_workers_lost(&handle).await;
            propose_instance_steps(&handle).await;
        }
        jobs::place(&handle).await;
        jobs::preempt_for_urgent_jobs(&handle).await;
        round += 1;
        tokio::time::sleep(ROUND_PAUSE).await;
    }
}

/// Proposes the steps of instances; the next round plans a refused step again from the state.
async fn propose_instance_steps(handle: &NodeHandle) {
    let Ok(commands) = handle.with_fresh_view(instances::plan).await else {
        return;
    };
    let proposals = commands.into_iter().map(|command| async move {
        let text = format!("{command:?}");
        match handle.propose(command).await {
            Ok(Outcome::Refused(refusal)) => {
                log::info!("event=step_refused step=\"{text}\" cause=\"{refusal}\"");
            }
            Ok(_) => log::info!("event=step step=\"{text}\""),
            Err(error) => log::info!("event=step_unconfirmed step=\"{text}\" cause=\"{error}\""),
        }
    });
    futures::future::join_all(proposals).await;
}
