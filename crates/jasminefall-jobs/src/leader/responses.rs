//! Responses of workers to requests, their run lists, and committed commands.

use std::collections::BTreeSet;

use smol_str::SmolStr;

use super::handovers::Successor;
use super::lease::LeaseGrant;
use super::workers::PollState;
use super::{Leader, PollChannel, Run, RunState, StartRequest, WorkerHandle, leadership_of_run};
use crate::ids::{IncarnationId, TaskId};
use crate::state::{Command, JobsState};
use crate::worker::{EndKind, Refusal, RunEnd, RunList, RunProgress, WorkerResponse};

/// How long no task is placed on a worker that refused one for lack of room, in milliseconds; the
/// end of a run there ends the wait early.
const FULL_WORKER_BACKOFF_MS: u64 = 300;
/// How long no task is placed on a worker that refused one as unhealthy, in milliseconds.
const UNHEALTHY_WORKER_BACKOFF_MS: u64 = 1_000;
/// The delay between the estimated deadline of an unanswered start and the probe for its effect, in
/// milliseconds; above the error that the estimate of the worker's clock has within a second.
const PROBE_MARGIN_MS: u64 = 40;

impl Leader {
    /// Processes the response to a start request.
    pub fn on_start_response(
        &mut self,
        request: &StartRequest,
        response: &WorkerResponse,
        state: &JobsState,
    ) {
        let (handle, task, number) = (request.worker, request.task, request.run);
        let now_ms = self.now.steady_ms;
        let max_lease_ms = self.max_lease_on_local_clock_ms();
        self.settle_start(request, response);
        let Some(worker) = self.workers.get_mut(&handle) else {
            return;
        };
        let incarnation = worker.incarnation().clone();
        let clock_ms = match response {
            WorkerResponse::Accepted { clock_ms } => Some(*clock_ms),
            WorkerResponse::Refused { clock_ms, .. } => *clock_ms,
            _ => None,
        };
        let sent_at_ms = self.runs.get(&task).and_then(|runs| {
            let run = runs.iter().find(|run| run.number == number);
            run.map(|run| run.requested_at_ms)
        });
        let is_from_successor = clock_ms
            .is_some_and(|clock_ms| !worker.observe_response_clock(clock_ms, sent_at_ms, now_ms));
        if matches!(
            response,
            WorkerResponse::Accepted { .. } | WorkerResponse::Unknown
        ) {
            // The request may have waited behind others before it was sent.
            worker.lease.extend_for_successor(now_ms + max_lease_ms);
        }
        match response {
            WorkerResponse::Accepted { .. } if is_from_successor => {
                self.log_event(format!(
                    "event=start_taken_by_successor task={task} run={number} worker={incarnation} clock_ms={}",
                    clock_ms.unwrap_or_default()
                ));
            }
            WorkerResponse::Accepted { .. } => {
                if let Some(run) = self.run_mut(task, number)
                    && matches!(run.state, RunState::Requested | RunState::Unconfirmed)
                {
                    run.state = RunState::Running;
                    run.progressed_at_ms = now_ms;
                }
            }
            WorkerResponse::Refused { refusal, .. } => {
                self.counts.starts_refused += 1;
                self.log_event(format!(
                    "event=start_refused task={task} run={number} worker={incarnation} cause={}",
                    refusal.as_str()
                ));
                self.record_refusal(handle, *refusal);
                if *refusal == Refusal::Ticket {
                    self.drop_refused_ticket(task.step_id(), handle);
                }
                if *refusal != Refusal::Fenced {
                    self.remove_run(task, number);
                    self.requeue_run(task, number);
                }
            }
            WorkerResponse::OtherIncarnation => {
                self.end_replaced_incarnation(handle, Successor::None, state);
            }
            WorkerResponse::NotSent => {
                self.mark_unresponsive(handle);
                self.remove_run(task, number);
                self.requeue_run(task, number);
            }
            WorkerResponse::Unknown => {
                self.counts.starts_unanswered += 1;
                self.log_event(format!(
                    "event=start_unanswered task={task} run={number} worker={incarnation}"
                ));
                self.mark_unresponsive(handle);
                self.schedule_probe(request);
                if let Some(run) = self.run_mut(task, number)
                    && run.state == RunState::Requested
                {
                    run.state = RunState::Unconfirmed;
                }
            }
        }
        self.poll_if_due(handle, state);
    }

    fn record_refusal(&mut self, handle: WorkerHandle, refusal: Refusal) {
        let now_ms = self.now.steady_ms;
        let Some(worker) = self.workers.get_mut(&handle) else {
            return;
        };
        match refusal {
            Refusal::NoRoom => worker.backoff_until_ms = now_ms + FULL_WORKER_BACKOFF_MS,
            Refusal::Unhealthy => {
                worker.health.record_refusal(now_ms);
                worker.backoff_until_ms = now_ms + UNHEALTHY_WORKER_BACKOFF_MS;
            }
            Refusal::Fenced
            | Refusal::OldRun
            | Refusal::Late
            | Refusal::Ticket
            | Refusal::Other => {}
        }
    }

    /// Processes the response to a pace request, and what the response to a stop request tells of the
    /// worker.
    pub fn on_run_response(
        &mut self,
        handle: WorkerHandle,
        response: &WorkerResponse,
        state: &JobsState,
    ) {
        let now_ms = self.now.steady_ms;
        match response {
            WorkerResponse::Accepted { clock_ms } => {
                if let Some(worker) = self.workers.get_mut(&handle) {
                    worker.observe_response_clock(*clock_ms, None, now_ms);
                }
            }
            WorkerResponse::Refused { .. } => {}
            WorkerResponse::OtherIncarnation => {
                self.end_replaced_incarnation(handle, Successor::None, state);
            }
            WorkerResponse::NotSent | WorkerResponse::Unknown => self.mark_unresponsive(handle),
        }
    }

    /// Schedules a probe of a worker for the time when a start can no longer take effect.
    fn schedule_probe(&mut self, request: &StartRequest) {
        let now_ms = self.now.steady_ms;
        if let Some(worker) = self.workers.get_mut(&request.worker) {
            let remaining_ms = request
                .deadline_ms
                .saturating_sub(worker.estimated_clock_ms(now_ms));
            let at_ms = now_ms + remaining_ms + PROBE_MARGIN_MS;
            worker.probe_at_ms = Some(worker.probe_at_ms.unwrap_or(0).max(at_ms));
        }
    }

    /// Excludes a worker from placement until it has answered a poll, and enables redundant polls.
    fn mark_unresponsive(&mut self, handle: WorkerHandle) {
        self.record_response_loss(handle);
        if let Some(worker) = self.workers.get_mut(&handle) {
            worker.unresponsive = true;
        }
    }

    /// Processes the response to a poll, or its failure.
    pub fn on_poll_response(
        &mut self,
        handle: WorkerHandle,
        channel: PollChannel,
        response: Result<RunList, WorkerResponse>,
        state: &JobsState,
    ) {
        let list = match response {
            Ok(list) => list,
            Err(WorkerResponse::OtherIncarnation) => {
                return self.end_replaced_incarnation(handle, Successor::None, state);
            }
            Err(_) => return self.on_poll_failure(handle, channel),
        };
        let now_ms = self.now.steady_ms;
        let max_lease_ms = self.settings.max_lease_ms;
        let Some(worker) = self.workers.get_mut(&handle) else {
            return;
        };
        let incarnation = worker.incarnation().clone();
        if list.started_at_ms != 0 && list.started_at_ms != incarnation.started_at_ms {
            return self.end_replaced_incarnation(handle, Successor::SameWorker, state);
        }
        worker.observe_clock(list.clock_ms, now_ms);
        let poll = std::mem::replace(&mut worker.polls[channel as usize], PollState::Idle);
        if let PollState::InFlight {
            acknowledged_upto,
            sent_at_ms,
        } = poll
        {
            worker.ends_acknowledged = worker.ends_acknowledged.max(acknowledged_upto);
            self.confirm_worker(handle, sent_at_ms);
        }
        let Some(worker) = self.workers.get_mut(&handle) else {
            return;
        };
        if worker.reconciled && list.clock_ms < worker.list_clock_ms {
            // A later list arrived first; the run ends in this one are still valid.
            self.on_run_ends((handle, channel), &incarnation, &list.ended, state);
            return self.poll_if_due(handle, state);
        }
        worker.list_clock_ms = list.clock_ms;
        worker.listed_at_ms = now_ms;
        if worker.probe_at_ms.is_some_and(|at_ms| now_ms >= at_ms) {
            worker.probe_at_ms = None;
        }
        let was_unresponsive = std::mem::replace(&mut worker.unresponsive, false);
        let is_first_list = !std::mem::replace(&mut worker.reconciled, true);
        if is_first_list {
            worker.clock_reading = (list.clock_ms, now_ms);
            worker.lease.extend(
                list.clock_ms.saturating_add(max_lease_ms),
                LeaseGrant::EarlierLeader,
            );
        }
        let (pool, lease) = (worker.heartbeat.pool.clone(), worker.lease);
        if was_unresponsive || is_first_list {
            self.log_event(format!(
                "event=worker_reconciled worker={incarnation} running={} ended={} clock_ms={} lease_until_ms={} granted_by={}",
                list.running.len(),
                list.ended.len(),
                list.clock_ms,
                lease.until_ms(),
                lease.granted_by().as_str()
            ));
            self.dirty_pools.insert(pool);
            self.retry_failed_polls(handle);
        }
        self.suspects.forget_vanished(&incarnation);
        self.on_run_ends((handle, channel), &incarnation, &list.ended, state);
        self.reconcile_runs(handle, &list);
        self.pace_worker(handle);
        if !list.may_lack_ends() {
            self.mark_reconciled(&incarnation);
        }
        self.poll_if_due(handle, state);
    }

    /// Makes failed polls due at once, since the worker has answered another poll.
    fn retry_failed_polls(&mut self, handle: WorkerHandle) {
        if let Some(worker) = self.workers.get_mut(&handle) {
            for poll in &mut worker.polls {
                if matches!(poll, PollState::RetryAt(_)) {
                    *poll = PollState::Idle;
                }
            }
        }
    }

    fn on_run_ends(
        &mut self,
        (handle, channel): (WorkerHandle, PollChannel),
        incarnation: &IncarnationId,
        ended: &[RunEnd],
        state: &JobsState,
    ) {
        let worker = self.workers.get(&handle);
        let recorded_upto = worker.map_or(0, |worker| worker.recorded_upto(state));
        let mut uncommitted = Vec::new();
        for end in ended {
            let Some(worker) = self.workers.get_mut(&handle) else {
                return;
            };
            worker.ends_recorded = worker.ends_recorded.max(recorded_upto);
            if end.number > worker.ends_seen {
                worker.ends_seen = end.number;
                if end.number > recorded_upto {
                    self.on_run_end(handle, end);
                    uncommitted.push(end.clone());
                }
            }
        }
        let awaits_commit = ended.iter().any(|end| end.number > recorded_upto);
        if let Some(worker) = self.workers.get_mut(&handle)
            && !ended.is_empty()
        {
            worker.acknowledgement_due = true;
            if awaits_commit {
                // The worker would list the same ends again at once until they are acknowledged,
                // which requires their commit.
                worker.polls[channel as usize] = PollState::AwaitingCommit;
            }
        }
        if !uncommitted.is_empty() {
            self.propose(Command::RecordRunEnds {
                life: incarnation.clone(),
                ends: uncommitted,
            });
        }
    }

    fn on_run_end(&mut self, handle: WorkerHandle, end: &RunEnd) {
        let now_ms = self.now.steady_ms;
        self.record_run_number(end.task, end.run);
        self.late_starts.settle(end.task, end.run);
        let removed = self.remove_run(end.task, end.run);
        if removed.is_some() {
            self.waits.record_run_end(end.task, now_ms);
        }
        let duration_ms = removed
            .as_ref()
            .map(|run| now_ms.saturating_sub(run.requested_at_ms));
        let line = format!(
            "event=run_ended task={} run={} kind={} worker={} took_ms={}",
            end.task,
            end.run,
            end.kind.as_str(),
            self.incarnation_name(handle),
            duration_ms.map_or(-1, |duration_ms| i64::try_from(duration_ms)
                .unwrap_or(i64::MAX)),
        );
        self.log_event(line);
        if let Some(step) = self.steps.get_mut(&end.task.step_id()) {
            let checkpoints = &mut step.checkpoints;
            checkpoints.record(end.task.index, end.run, &end.checkpoint);
        }
        let step = self.steps.get(&end.task.step_id());
        let long_running = step.is_some_and(|step| step.step().long_running);
        let Some(worker) = self.workers.get_mut(&handle) else {
            return;
        };
        worker.backoff_until_ms = 0;
        match end.kind {
            EndKind::Done | EndKind::Failed if long_running => self.requeue(end.task),
            EndKind::Done => {
                worker.health.record_success();
                self.record_duration(end.task, duration_ms);
                self.finish_task(end.task);
                self.stop_other_runs(end.task);
            }
            EndKind::Failed => {
                self.record_failed_run(handle, end.task);
                // The task is requeued when the failure is committed, since only the replicated
                // state holds the number of failures, which decides whether attempts are left.
                if let Some(step) = self.steps.get_mut(&end.task.step_id()) {
                    step.waiting.remove(&end.task.index);
                }
            }
            EndKind::Stopped | EndKind::Lapsed | EndKind::GangBroken | EndKind::GangIncomplete => {
                self.requeue(end.task);
            }
        }
        self.pacing.remove(end.task);
    }

    /// Stops the remaining runs of a task that is done.
    fn stop_other_runs(&mut self, task: TaskId) {
        let runs = self.runs.get(&task).into_iter().flatten();
        let numbers: Vec<_> = runs.map(|run| run.number).collect();
        for number in numbers {
            self.stop_run(task, number, "done-elsewhere");
        }
    }

    /// Updates the known runs of a worker from its run list.
    fn reconcile_runs(&mut self, handle: WorkerHandle, list: &RunList) {
        let mut listed = BTreeSet::new();
        for progress in &list.running {
            listed.insert((progress.task, progress.run));
            self.reconcile_run(handle, list.clock_ms, progress);
        }
        if list.may_lack_ends() {
            return;
        }
        let ended: BTreeSet<_> = list.ended.iter().map(|end| (end.task, end.run)).collect();
        let Some(worker) = self.workers.get(&handle) else {
            return;
        };
        let known: Vec<_> = worker
            .runs
            .iter()
            .map(|(task, run)| (*task, *run))
            .collect();
        for (task, number) in known {
            if listed.contains(&(task, number)) || ended.contains(&(task, number)) {
                continue;
            }
            let Some(run) = self.run_mut(task, number) else {
                continue;
            };
            if run.start_deadline_ms == u64::MAX {
                self.stop_run(task, number, "earlier-incarnation");
                continue;
            }
            // A start whose deadline has passed on the worker's clock can no longer take effect.
            if list.clock_ms > run.start_deadline_ms {
                self.log_event(format!(
                    "event=start_without_effect task={task} run={number} clock_ms={}",
                    list.clock_ms
                ));
                self.remove_run(task, number);
                self.requeue_run(task, number);
            }
        }
    }

    fn reconcile_run(&mut self, handle: WorkerHandle, list_clock_ms: u64, progress: &RunProgress) {
        let now_ms = self.now.steady_ms;
        self.late_starts.settle(progress.task, progress.run);
        if let Some(run) = self.run_mut(progress.task, progress.run) {
            if matches!(run.state, RunState::Requested | RunState::Unconfirmed) {
                run.state = RunState::Running;
            }
            run.listed = true;
            let is_handed_over = run.start_deadline_ms == u64::MAX;
            if is_handed_over {
                run.start_deadline_ms = list_clock_ms;
            }
            if run.percent != progress.percent {
                run.percent = progress.percent;
                run.progressed_at_ms = now_ms;
            }
            run.gauge = progress.gauge;
            let has_started_up = run.has_started_up();
            if !progress.checkpoint.is_empty() && run.checkpoint != progress.checkpoint {
                run.checkpoint = progress.checkpoint.clone();
                if let Some(step) = self.steps.get_mut(&progress.task.step_id()) {
                    let checkpoints = &mut step.checkpoints;
                    checkpoints.record(progress.task.index, progress.run, &progress.checkpoint);
                }
            }
            if has_started_up {
                self.suspects.remove(progress.task);
            }
            if is_handed_over {
                self.log_event(format!(
                    "event=run_taken_over task={} run={} worker={}",
                    progress.task,
                    progress.run,
                    self.incarnation_name(handle)
                ));
            }
            return;
        }
        self.adopt_run(handle, progress);
    }

    /// Returns the incarnation with a handle for log lines; empty if it has ended.
    fn incarnation_name(&self, handle: WorkerHandle) -> String {
        let worker = self.workers.get(&handle);
        worker.map_or_else(String::new, |worker| worker.incarnation().to_string())
    }

    /// Adds a run that an earlier leader started. Stops it unless its task is still to be done and
    /// has no other run.
    fn adopt_run(&mut self, handle: WorkerHandle, progress: &RunProgress) {
        self.record_run_number(progress.task, progress.run);
        let step = self.steps.get(&progress.task.step_id());
        let long_running = step.is_some_and(|step| step.step().long_running);
        let charge = match step {
            Some(step) => step.charge(),
            None => self.usage.charge_of_ended_job(progress.task.job),
        };
        let reserved = match (step, &charge) {
            (Some(step), _) => Some(step.step().reserved()),
            (None, Some(charge)) => Some(charge.needs),
            (None, None) => None,
        };
        let is_incomplete = step.is_some_and(|step| {
            step.open && step.done.get(progress.task.index as usize) == Some(&false)
        });
        let has_other_run = self
            .runs
            .get(&progress.task)
            .is_some_and(|runs| !runs.is_empty());
        let is_needed = is_incomplete && !has_other_run;
        self.log_event(format!(
            "event=run_adopted task={} run={} worker={} wanted={is_needed} leadership={}",
            progress.task,
            progress.run,
            self.incarnation_name(handle),
            leadership_of_run(progress.run)
        ));
        self.add_run(Run {
            task: progress.task,
            number: progress.run,
            worker: handle,
            state: RunState::Running,
            listed: true,
            reserved: reserved.unwrap_or_default(),
            has_unknown_needs: reserved.is_none(),
            charge,
            long_running,
            start_deadline_ms: 0,
            requested_at_ms: self.now.steady_ms,
            checkpoint: progress.checkpoint.clone(),
            percent: progress.percent,
            gauge: progress.gauge,
            progressed_at_ms: self.now.steady_ms,
            pace_percent: 100,
        });
        if let Some(step) = self.steps.get_mut(&progress.task.step_id()) {
            let checkpoints = &mut step.checkpoints;
            checkpoints.record(progress.task.index, progress.run, &progress.checkpoint);
        }
        if !is_needed {
            self.stop_run(progress.task, progress.run, "not-wanted");
        }
    }

    /// Updates the leader after a command was applied to the replicated state.
    pub fn on_applied(&mut self, command: &Command, state: &JobsState) {
        self.pending_records.record_applied(command);
        match command {
            Command::Submit { job, .. } | Command::SubmitWithKey { job, .. } => {
                if state.is_cancelled_early(*job) {
                    if matches!(state.jobs.get(job), Some(job) if job.ended.is_none()) {
                        self.propose(Command::Cancel(*job));
                    }
                    return;
                }
                let is_known = self.schedules.contains(*job) || !self.step_ids(*job).is_empty();
                if let Some(found) = state.jobs.get(job).filter(|found| found.ended.is_none())
                    && !is_known
                {
                    self.open_job(*job, found, false, state);
                }
            }
            Command::Cancel(job) => self.close_job(*job),
            Command::Configure(_) | Command::ConfigureWithAccess { .. } => {
                self.apply_configuration(state);
            }
            Command::Register(heartbeat) => {
                // The record that is added now may be removed by a later command.
                if !self.pending_records.awaits_removal(&heartbeat.incarnation)
                    && let Some(handle) = self.directory.by_incarnation(&heartbeat.incarnation)
                    && let Some(worker) = self.workers.get_mut(&handle)
                {
                    let was_registered = std::mem::replace(&mut worker.registered, true);
                    self.dirty_pools.insert(heartbeat.pool.clone());
                    if !was_registered {
                        self.log_event(format!(
                            "event=worker_registered worker={}",
                            heartbeat.incarnation
                        ));
                    }
                    self.poll_if_due(handle, state);
                }
            }
            Command::RecordRunEnds {
                life: incarnation,
                ends,
            } => {
                self.on_run_ends_recorded(incarnation, ends, state);
            }
            Command::StartWave { wave, .. } => self.record_wave(*wave),
            Command::Retire(incarnation) => {
                self.log_event(format!("event=worker_retired worker={incarnation}"));
            }
            Command::Lead
            | Command::RecordMaintained { .. }
            | Command::Forget(_)
            | Command::RecordEndedJobs { .. }
            | Command::RecordSurge { .. } => {}
        }
    }

    fn on_run_ends_recorded(
        &mut self,
        incarnation: &IncarnationId,
        ends: &[RunEnd],
        state: &JobsState,
    ) {
        // A worker awaits no acknowledgement of a crash, and the runs of a crashed worker are
        // requeued when its incarnation ends.
        let ends: Vec<_> = ends.iter().filter(|end| !end.is_crash()).collect();
        let Some(last) = ends.iter().map(|end| end.number).max() else {
            return;
        };
        let mut closed_jobs = BTreeSet::new();
        for end in ends {
            let key = end.task.job;
            match state.jobs.get(&key) {
                Some(job) if job.ended.is_none() && end.kind == EndKind::Failed => {
                    self.requeue(end.task);
                }
                Some(job) if job.ended.is_some() && closed_jobs.insert(key) => {
                    let status = job.status();
                    self.log_event(format!("event=job_ended job={key} status={status:?}"));
                    self.close_job(key);
                }
                _ => {}
            }
        }
        let Some(handle) = self.directory.by_incarnation(incarnation) else {
            return;
        };
        if let Some(worker) = self.workers.get_mut(&handle) {
            worker.ends_recorded = worker.ends_recorded.max(last);
            for poll in &mut worker.polls {
                if *poll == PollState::AwaitingCommit {
                    *poll = PollState::Idle;
                }
            }
        }
        self.poll_if_due(handle, state);
    }

    /// Returns the checkpoint from which a task is resumed; empty if there is none.
    pub(super) fn checkpoint(&self, task: TaskId) -> SmolStr {
        let step = self.steps.get(&task.step_id());
        step.map_or_else(SmolStr::default, |step| step.checkpoints.of(task.index))
    }
}
