//! Explanations of the constraint that blocks a job, an instance or a wave, with the remedy.

use jasminefall_core::prelude::*;
use jasminefall_state::prelude::*;

use crate::node::View;

/// Explains the state of a job.
pub(crate) fn job(view: &View, id: JobId) -> Vec<String> {
    let Some(job) = view.state.jobs.get(id) else {
        return vec![format!(
            "job {id} is not known; it was never accepted, or it ended and is no longer kept"
        )];
    };
    let mut lines = vec![format!(
        "job {id} of team `{}`: {}",
        job.request.team,
        describe_state(job)
    )];
    if job.state == JobState::Waiting {
        let hold = view.workers.job_hold_reasons.get(&id);
        lines.push(hold.map_or_else(
            || "this leader has not tried to place it yet; try again in a second".to_owned(),
            |hold| format!("held: {hold}"),
        ));
    }
    if !job.failed_on.is_empty() {
        let failed_on: Vec<&str> = job.failed_on.iter().map(WorkerId::as_str).collect();
        lines.push(format!("it failed on {}", failed_on.join(", ")));
    }
    lines
}

fn describe_state(job: &Job) -> String {
    match &job.state {
        JobState::Waiting => "waiting".to_owned(),
        JobState::Placed(task) => format!(
            "on worker `{}` with {} (epoch {}, {:?})",
            task.worker, task.size, task.epoch, task.directive
        ),
        JobState::Completed => "completed".to_owned(),
        JobState::Failed => {
            "failed permanently; correct the job and submit it with a new key".to_owned()
        }
        JobState::Cancelled => "cancelled".to_owned(),
        JobState::MayHaveRun => {
            "lost when the lease of its worker expired; it may have run and is not run again"
                .to_owned()
        }
    }
}

/// Explains the condition of an instance.
pub(crate) fn instance(view: &View, id: &InstanceId) -> Vec<String> {
    let Some(instance) = view.state.instances.get(id) else {
        return vec![format!(
            "the instance `{id}` is not declared; add [instance.{id}]"
        )];
    };
    let condition = instance.condition;
    let mut lines = vec![format!(
        "instance `{id}` of pool `{}`: {condition} ({:?}, epoch {})",
        instance.pool, instance.purpose, instance.epoch
    )];
    if instance.pool != instance.home {
        lines.push(format!(
            "it is borrowed from pool `{}` and returns there once it is no longer needed",
            instance.home
        ));
    }
    if condition == InstanceCondition::Draining {
        lines.extend(drain_reasons(view, id));
    }
    if condition == InstanceCondition::Failed && instance.purpose == Purpose::NotVerified {
        lines.push(format!(
            "it did not come back well from its reboot; repair it, then run \
             `jasminefallctl return {id}`"
        ));
    }
    if let Some(hold) = view.workers.wave_hold_reasons.get(id) {
        lines.push(format!("held: {hold}"));
    }
    let desired = view.state.configuration.desired();
    if view.state.instances.headroom(desired, &instance.pool) == 0 {
        lines.push(view.state.instances.budget_message(desired, &instance.pool));
    }
    lines
}

fn drain_reasons(view: &View, id: &InstanceId) -> Vec<String> {
    let worker = WorkerId::new(id.as_str());
    let jobs = view.state.jobs.on_worker(&worker);
    let mut lines: Vec<String> = jobs
        .map(|job| {
            format!(
                "its drain waits for job {} to end; cancel the job to continue now",
                job.id
            )
        })
        .collect();
    let heartbeat = view.workers.last_heartbeat(&worker);
    let requests = heartbeat.map_or(0, |heartbeat| heartbeat.requests_in_progress);
    if requests > 0 {
        lines.push(format!(
            "its drain waits for {requests} requests in progress to end"
        ));
    }
    lines
}

/// Explains the progress of a wave.
pub(crate) fn wave(view: &View, id: &WaveId) -> Vec<String> {
    let Some(wave) = view.state.waves.get(id) else {
        return vec![format!(
            "the wave `{id}` was not started; run `jasminefallctl waves start {id}`"
        )];
    };
    let (pending, done) = (
        wave.count(WaveMemberState::Pending),
        wave.count(WaveMemberState::Done),
    );
    let failed = wave.count(WaveMemberState::Failed);
    let mut lines = vec![format!(
        "wave `{id}`: {:?}, {done} done, {pending} pending, {failed} failed",
        wave.state
    )];
    if matches!(wave.state, WaveState::Paused { .. }) {
        lines.push(format!(
            "held: it is paused; run `jasminefallctl waves resume {id}`"
        ));
    }
    for (instance, state) in &wave.members {
        let hold = view.workers.wave_hold_reasons.get(instance);
        if let Some(hold) = hold.filter(|_| *state == WaveMemberState::Pending) {
            lines.push(format!("instance `{instance}` held: {hold}"));
        }
    }
    lines
}
