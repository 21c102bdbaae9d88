//! Which constraint holds a job, an instance or a wave, and what would free it.

use jasminefall_core::prelude::*;
use jasminefall_state::prelude::*;

use crate::node::View;

/// Explains where a job stands.
pub(crate) fn job(view: &View, id: JobId) -> Vec<String> {
    let Some(job) = view.state.jobs.get(id) else {
        return vec![format!(
            "job {id} is not known; it was never accepted, or ended long ago"
        )];
    };
    let mut lines = vec![format!(
        "job {id} of team `{}`: {}",
        job.request.team,
        standing(job)
    )];
    if job.state == JobState::Waiting {
        let hold = view.workers.job_holds.get(&id);
        lines.push(hold.map_or_else(
            || "it has not been weighed by this leader yet; ask again in a second".to_owned(),
            |hold| format!("held: {hold}"),
        ));
    }
    if !job.failed_on.is_empty() {
        let failed_on: Vec<&str> = job.failed_on.iter().map(WorkerId::as_str).collect();
        lines.push(format!("it failed on {}", failed_on.join(", ")));
    }
    lines
}

fn standing(job: &Job) -> String {
    match &job.state {
        JobState::Waiting => "waiting".to_owned(),
        JobState::Placed(task) => format!(
            "on worker `{}` with {} (epoch {}, {:?})",
            task.worker, task.size, task.epoch, task.directive
        ),
        JobState::Completed => "completed".to_owned(),
        JobState::Failed => "failed for good; mend the job and submit it with a new key".to_owned(),
        JobState::Cancelled => "cancelled".to_owned(),
        JobState::MayHaveRun => {
            "lost together with its lease; it may have run and is never run again".to_owned()
        }
    }
}

/// Explains where an instance stands.
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
            "it is lent by pool `{}` and goes back once it is not needed",
            instance.home
        ));
    }
    if condition == InstanceCondition::Draining {
        lines.extend(drain(view, id));
    }
    if condition == InstanceCondition::Failed && instance.purpose == Purpose::NotVerified {
        lines.push(format!(
            "it did not come back well; mend it, then `jasminefallctl return {id}`"
        ));
    }
    if let Some(hold) = view.workers.wave_holds.get(id) {
        lines.push(format!("held: {hold}"));
    }
    let desired = view.state.configuration.desired();
    if view.state.instances.headroom(desired, &instance.pool) == 0 {
        lines.push(view.state.instances.budget_message(desired, &instance.pool));
    }
    lines
}

fn drain(view: &View, id: &InstanceId) -> Vec<String> {
    let worker = WorkerId::new(id.as_str());
    let jobs = view.state.jobs.on_worker(&worker);
    let mut lines: Vec<String> = jobs
        .map(|job| format!("it waits for job {} to end; cancel it to go on now", job.id))
        .collect();
    let heard = view.workers.heard(&worker);
    let requests = heard.map_or(0, |heard| heard.requests_in_progress);
    if requests > 0 {
        lines.push(format!(
            "it waits for {requests} requests in progress to end"
        ));
    }
    lines
}

/// Explains where a wave stands.
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
        "wave `{id}`: {:?}, {done} done, {pending} pending, {failed} did not come back",
        wave.state
    )];
    if matches!(wave.state, WaveState::Paused { .. }) {
        lines.push(format!(
            "held: it is paused; run `jasminefallctl waves resume {id}`"
        ));
    }
    for (instance, state) in &wave.members {
        let hold = view.workers.wave_holds.get(instance);
        if let Some(hold) = hold.filter(|_| *state == WaveMemberState::Pending) {
            lines.push(format!("instance `{instance}` held: {hold}"));
        }
    }
    lines
}
