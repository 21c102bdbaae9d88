//! Steps of waves, moves and returns of instances, planned from the view alone.

use std::collections::{BTreeMap, BTreeSet};

use jasminefall_core::prelude::*;
use jasminefall_policy::waves::{PendingInstance, WaveLimits, select_instances};
use jasminefall_runtime::clock::{monotonic_ms, wall_ms};
use jasminefall_state::prelude::*;

use crate::node::View;

/// How long a rebooted instance must have been verifying before it is returned to service.
const VERIFICATION_MS: u64 = 500;
/// The length of the quarantine of a worker, that is of its cordon for failures of its tasks; it is then
/// returned to service.
const QUARANTINE_MS: u64 = 10 * 60_000;
/// A lost instance is replaced by a spare one after this time.
const REPLACE_LOST_AFTER_MS: u64 = 10 * 60_000;
/// The holder recorded for quarantined workers; the state counts them by the same name.
const QUARANTINE_HOLDER: &str = "worker-health";
const MAX_COMMANDS_PER_ROUND: usize = 200;

/// Returns the commands to propose now, up to `MAX_COMMANDS_PER_ROUND`.
pub(crate) fn plan(view: &mut View) -> Vec<Command> {
    let mut steps = advance_out_of_service(view);
    steps.extend(replace_failed(view));
    steps.extend(return_to_home_pools(view));
    steps.extend(cordon_next_wave_instances(view));
    let mut commands: Vec<Command> = steps.into_iter().map(Command::Step).collect();
    commands.extend(checkpoint_draining_tasks(view));
    commands.extend(quarantine_faulty_worker(view));
    commands.truncate(MAX_COMMANDS_PER_ROUND);
    commands
}

/// Returns the wall-clock time for timeouts, because the time of the state advances only with
/// commands.
fn now_ms(view: &View) -> u64 {
    wall_ms().max(view.state.now_ms)
}

fn step(id: &InstanceId, instance: &Instance, action: InstanceAction) -> InstanceStep {
    InstanceStep {
        instance: id.clone(),
        epoch: instance.epoch,
        action,
    }
}

/// Plans the next step of every instance that is out of service.
fn advance_out_of_service(view: &View) -> Vec<InstanceStep> {
    let out_of_service = view.state.instances.out_of_service();
    let next_step = |(id, instance): (&InstanceId, &Instance)| {
        next_action(view, id, instance).map(|action| step(id, instance, action))
    };
    out_of_service.filter_map(next_step).collect()
}

fn next_action(view: &View, id: &InstanceId, instance: &Instance) -> Option<InstanceAction> {
    match (&instance.condition, &instance.purpose) {
        (InstanceCondition::Rebooting | InstanceCondition::Verifying, _) => {
            next_reboot_action(view, id, instance)
        }
        (InstanceCondition::Failed | InstanceCondition::InService, _) | (_, Purpose::Lost) => None,
        (_, Purpose::Held(holder)) if holder == QUARANTINE_HOLDER => {
            let waited_ms = now_ms(view).saturating_sub(instance.since_ms);
            (waited_ms >= QUARANTINE_MS).then_some(InstanceAction::Return)
        }
        (condition, Purpose::Held(_)) => {
            (*condition == InstanceCondition::Cordoned).then_some(InstanceAction::Drain)
        }
        (_, Purpose::Move(_)) => next_move_action(view, id, instance),
        (condition, Purpose::Maintenance | Purpose::None | Purpose::NotVerified) => {
            next_maintenance_action(view, id, instance, *condition)
        }
    }
}

fn next_move_action(view: &View, id: &InstanceId, instance: &Instance) -> Option<InstanceAction> {
    if is_over_budget(view, &instance.pool) {
        return Some(InstanceAction::Return);
    }
    if instance.condition == InstanceCondition::Cordoned {
        return Some(InstanceAction::Drain);
    }
    is_drained(view, id).then_some(InstanceAction::HandOver)
}

/// Returns the next action towards the reboot of an instance. Returns it to service instead if no
/// running wave has yet to maintain it, or if its pool is over budget.
fn next_maintenance_action(
    view: &View,
    id: &InstanceId,
    instance: &Instance,
    condition: InstanceCondition,
) -> Option<InstanceAction> {
    let is_required = view.state.waves.requires_maintenance(id);
    if !is_required || is_over_budget(view, &instance.pool) {
        return Some(InstanceAction::Return);
    }
    if condition == InstanceCondition::Cordoned {
        return Some(InstanceAction::Drain);
    }
    is_drained(view, id).then_some(InstanceAction::Reboot)
}

fn is_over_budget(view: &View, pool: &PoolId) -> bool {
    let desired = view.state.configuration.desired();
    view.state.instances.is_over_budget(desired, pool)
}

fn is_drained(view: &View, id: &InstanceId) -> bool {
    let worker = WorkerId::new(id.as_str());
    view.state.jobs.is_idle(&worker) && view.workers.has_drained_requests(&worker)
}

fn next_reboot_action(view: &View, id: &InstanceId, instance: &Instance) -> Option<InstanceAction> {
    let waves: Vec<&WaveDeclaration> = active_waves_of(view, id).collect();
    let waited_ms = now_ms(view).saturating_sub(instance.since_ms);
    let timeout_ms = waves.iter().map(|wave| wave.reboot_timeout_ms.get()).max();
    let is_overdue = timeout_ms.is_some_and(|timeout_ms| waited_ms >= timeout_ms);
    let worker = WorkerId::new(id.as_str());
    let live = view.workers.is_live(&worker, monotonic_ms());
    let heartbeat = view.workers.last_heartbeat(&worker).filter(|_| live);
    if instance.condition == InstanceCondition::Rebooting {
        return is_overdue.then_some(InstanceAction::GiveUp);
    }
    let has_expected_software = heartbeat.is_some_and(|heartbeat| {
        let is_expected = |wave: &&WaveDeclaration| {
            wave.software.is_empty() || wave.software == heartbeat.software
        };
        waves.iter().all(is_expected)
    });
    if has_expected_software && waited_ms >= VERIFICATION_MS {
        return Some(InstanceAction::Return);
    }
    is_overdue.then_some(InstanceAction::GiveUp)
}

/// Returns the declarations of the waves that list an instance and have not ended.
fn active_waves_of<'view>(
    view: &'view View,
    id: &'view InstanceId,
) -> impl Iterator<Item = &'view WaveDeclaration> {
    let desired = view.state.configuration.desired();
    let waves = view.state.waves.iter();
    let listed = waves.filter(|(_, wave)| !wave.has_ended() && wave.members.contains_key(id));
    listed.filter_map(|(wave, _)| desired.waves.get(wave))
}

/// Plans moves of spare instances to the pools whose failed instances need a replacement.
fn replace_failed(view: &View) -> Vec<InstanceStep> {
    let desired = view.state.configuration.desired();
    let instances = &view.state.instances;
    let mut failed_by_pool: BTreeMap<&PoolId, u64> = BTreeMap::new();
    for (_, instance) in instances.out_of_service() {
        if needs_replacement(view, instance) {
            *failed_by_pool.entry(&instance.pool).or_default() += 1;
        }
    }
    let mut spare: Vec<(&InstanceId, &Instance)> = spare_instances(view);
    let mut steps = Vec::new();
    for (pool, failed) in failed_by_pool {
        let borrowed = instances
            .outside_home_pool()
            .filter(|(_, instance)| instance.pool == *pool)
            .count() as u64;
        let incoming = instances.out_of_service();
        let incoming =
            incoming.filter(|(_, instance)| instance.purpose == Purpose::Move(pool.clone()));
        let incoming = incoming.count() as u64;
        let is_spare = desired
            .pools
            .get(pool)
            .is_some_and(|declared| declared.spare);
        let missing = if is_spare {
            0
        } else {
            failed.saturating_sub(borrowed + incoming)
        };
        for _ in 0..missing {
            if let Some((id, instance)) = spare.pop() {
                let purpose = Purpose::Move(pool.clone());
                steps.push(step(id, instance, InstanceAction::Cordon(purpose)));
            }
        }
    }
    steps
}

/// Returns whether an instance failed its verification or was lost for too long, so that its pool
/// needs a replacement.
fn needs_replacement(view: &View, instance: &Instance) -> bool {
    let failed_for_ms = now_ms(view).saturating_sub(instance.since_ms);
    let is_lost_too_long =
        instance.purpose == Purpose::Lost && failed_for_ms >= REPLACE_LOST_AFTER_MS;
    instance.condition == InstanceCondition::Failed
        && (instance.purpose == Purpose::NotVerified || is_lost_too_long)
}

/// Returns the instances of spare pools that are live and in service.
fn spare_instances(view: &View) -> Vec<(&InstanceId, &Instance)> {
    let desired = view.state.configuration.desired();
    let now_ms = monotonic_ms();
    let is_spare = |(id, instance): &(&InstanceId, &Instance)| {
        let pool = desired.pools.get(&instance.pool);
        let live = view.workers.is_live(&WorkerId::new(id.as_str()), now_ms);
        let in_service = instance.condition == InstanceCondition::InService;
        live && in_service && pool.is_some_and(|pool| pool.spare)
    };
    view.state.instances.iter().filter(is_spare).collect()
}

/// Plans moves of instances back to their declared pools, within the budget of the current pools.
fn return_to_home_pools(view: &View) -> Vec<InstanceStep> {
    let desired = view.state.configuration.desired();
    let instances = &view.state.instances;
    let in_service = instances
        .outside_home_pool()
        .filter(|(_, instance)| instance.condition == InstanceCondition::InService);
    let mut steps = Vec::new();
    for (id, instance) in in_service {
        let count = instances.pool_count(&instance.pool);
        let is_spare = desired
            .pools
            .get(&instance.home)
            .is_some_and(|home| home.spare);
        // A borrowed spare instance stays until the pool has its declared number without it.
        let is_needed = is_spare && count.in_service <= count.declared;
        if !is_needed && instances.headroom(desired, &instance.pool) > 0 {
            let purpose = Purpose::Move(instance.home.clone());
            steps.push(step(id, instance, InstanceAction::Cordon(purpose)));
        }
    }
    steps
}

/// Plans to cordon the next instances of the running waves, and records why others are held.
fn cordon_next_wave_instances(view: &mut View) -> Vec<InstanceStep> {
    let mut hold_reasons = BTreeMap::new();
    let mut steps = Vec::new();
    let mut cordoned: BTreeSet<InstanceId> = BTreeSet::new();
    let desired = view.state.configuration.desired().clone();
    let mut headroom = headroom_by_pool(view);
    let running = view.state.waves.iter();
    for (name, wave) in running.filter(|(_, wave)| wave.state == WaveState::Running) {
        let Some(declared) = desired.waves.get(name) else {
            continue;
        };
        let pending = pending_instances(view, wave, declared, &cordoned);
        let (active_racks, in_progress) = in_progress(view, wave);
        let limits = WaveLimits {
            order: declared.order,
            remaining_parallel: declared.max_parallel.saturating_sub(in_progress),
            headroom: headroom.clone(),
            active_racks,
        };
        let selection = select_instances(&pending, limits);
        hold_reasons.extend(selection.held);
        for id in selection.selected {
            let Some(instance) = view.state.instances.get(&id) else {
                continue;
            };
            if let Some(headroom) = headroom.get_mut(&instance.pool) {
                *headroom = headroom.saturating_sub(1);
            }
            steps.push(step(
                &id,
                instance,
                InstanceAction::Cordon(Purpose::Maintenance),
            ));
            cordoned.insert(id);
        }
    }
    view.workers.wave_hold_reasons = hold_reasons;
    steps
}

fn headroom_by_pool(view: &View) -> BTreeMap<PoolId, u64> {
    let desired = view.state.configuration.desired();
    let pools = desired.pools.keys();
    let headroom = |pool: &PoolId| view.state.instances.headroom(desired, pool);
    pools.map(|pool| (pool.clone(), headroom(pool))).collect()
}

/// Returns the racks in which a wave has instances out of service, and the number of these
/// instances.
fn in_progress(view: &View, wave: &Wave) -> (BTreeSet<RackId>, u64) {
    let desired = view.state.configuration.desired();
    let out_of_service = view.state.instances.out_of_service();
    let in_progress = out_of_service.filter(|(id, instance)| {
        let has_failed = instance.condition == InstanceCondition::Failed;
        !has_failed && wave.members.get(*id) == Some(&WaveMemberState::Pending)
    });
    let in_progress: Vec<&InstanceId> = in_progress.map(|(id, _)| id).collect();
    let racks = in_progress
        .iter()
        .filter_map(|id| desired.instances.get(*id));
    let racks = racks.map(|declared| declared.rack.clone()).collect();
    (racks, in_progress.len() as u64)
}

fn pending_instances(
    view: &View,
    wave: &Wave,
    declared: &WaveDeclaration,
    cordoned: &BTreeSet<InstanceId>,
) -> Vec<PendingInstance> {
    let desired = view.state.configuration.desired();
    let members = wave.members.iter();
    let pending = members
        .filter(|(id, state)| **state == WaveMemberState::Pending && !cordoned.contains(*id));
    let describe = |(id, _): (&InstanceId, &WaveMemberState)| {
        let instance = view.state.instances.get(id)?;
        let in_progress = instance.purpose == Purpose::Maintenance;
        (!in_progress).then(|| PendingInstance {
            instance: id.clone(),
            pool: instance.pool.clone(),
            rack: desired
                .instances
                .get(id)
                .map(|instance| instance.rack.clone())
                .unwrap_or_default(),
            hold_reason: hold_reason(view, declared, id, instance),
        })
    };
    pending.filter_map(describe).collect()
}

/// Returns why an instance cannot be cordoned now, independent of the budget.
fn hold_reason(
    view: &View,
    declared: &WaveDeclaration,
    id: &InstanceId,
    instance: &Instance,
) -> Option<SmolStr> {
    if instance.condition != InstanceCondition::InService {
        let condition = instance.condition;
        return Some(
            format!("it is {condition}; the wave selects it once it is in service").into(),
        );
    }
    let worker = WorkerId::new(id.as_str());
    if !view.workers.is_live(&worker, monotonic_ms()) {
        return Some("it sends no heartbeat; start its agent".into());
    }
    let outlasts_wave_limit = |job: &&Job| {
        let end_ms = job.task().map_or(0, |task| task.at_ms) + job.request.expected_ms.get();
        let remaining_ms = end_ms.saturating_sub(now_ms(view));
        !job.request.can_checkpoint && remaining_ms > declared.longest_task_ms.get()
    };
    let job = view
        .state
        .jobs
        .on_worker(&worker)
        .find(outlasts_wave_limit)?;
    let (id, expected) = (job.id, job.request.expected_ms);
    Some(
        format!(
            "job {id} runs there (expected {expected}) and cannot be checkpointed; \
             the wave skips the instance until the job has ended"
        )
        .into(),
    )
}

/// Plans checkpoints of the tasks on draining instances, if their jobs support it.
fn checkpoint_draining_tasks(view: &View) -> Option<Command> {
    let mut changes = Vec::new();
    let out_of_service = view.state.instances.out_of_service();
    for (id, _) in
        out_of_service.filter(|(_, instance)| instance.condition == InstanceCondition::Draining)
    {
        let worker = WorkerId::new(id.as_str());
        let jobs = view.state.jobs.on_worker(&worker);
        for job in jobs.filter(|job| job.request.can_checkpoint) {
            if let Some(task) = job.task()
                && matches!(task.directive, TaskDirective::Run | TaskDirective::Throttle)
            {
                changes.push(DirectiveChange {
                    job: job.id,
                    epoch: task.epoch,
                    directive: TaskDirective::Checkpoint,
                });
            }
        }
    }
    (!changes.is_empty()).then_some(Command::SetDirectives(changes))
}

/// Plans to quarantine the faulty worker with the most failures.
fn quarantine_faulty_worker(view: &mut View) -> Option<Command> {
    let now_ms = monotonic_ms();
    let jobs = &view.state.jobs;
    let failed_elsewhere = |job: JobId, worker: &WorkerId| {
        let job = jobs.get(job);
        job.is_some_and(|job| job.failed_on.iter().any(|other| other != worker))
    };
    let faulty = view.workers.health.faulty_workers(now_ms, failed_elsewhere);
    let id = InstanceId::new(faulty.first()?.as_str());
    let instance = view.state.instances.get(&id)?;
    if instance.condition != InstanceCondition::InService {
        return None;
    }
    let step = step(
        &id,
        instance,
        InstanceAction::Cordon(Purpose::Held(QUARANTINE_HOLDER.into())),
    );
    view.workers.health.reset(&WorkerId::new(id.as_str()));
    Some(Command::SetAside(step))
}
