//! Steps of waves, moves and returns, planned from the state alone.

use std::collections::{BTreeMap, BTreeSet};

use jasminefall_core::prelude::*;
use jasminefall_policy::waves::{PendingInstance, WaveLimits, select_instances};
use jasminefall_runtime::clock::{monotonic_ms, wall_ms};
use jasminefall_state::prelude::*;

use crate::node::View;

/// How long a returned instance must have been heard before it is put back into service.
const VERIFY_MS: u64 = 500;
/// How long a worker that was set aside waits before it is tried again.
const TRY_AGAIN_AFTER_MS: u64 = 10 * 60_000;
/// After how long a lost instance is replaced.
const REPLACE_LOST_AFTER_MS: u64 = 10 * 60_000;
/// Names the holder of workers that were set aside.
const SET_ASIDE_BY: &str = "worker-health";
const MAX_STEPS: usize = 200;

/// Returns the steps to propose now.
pub(crate) fn plan(view: &mut View) -> Vec<Command> {
    let mut steps = carry_on(view);
    steps.extend(replace_failed(view));
    steps.extend(bring_home(view));
    steps.extend(take_next(view));
    let mut commands: Vec<Command> = steps.into_iter().map(Command::Step).collect();
    commands.extend(checkpoint_drained(view));
    commands.extend(set_aside(view));
    commands.truncate(MAX_STEPS);
    commands
}

/// Returns the time by which waits are judged; the state's own stands still without commands.
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

/// Returns the next step of every instance that is out of service.
fn carry_on(view: &View) -> Vec<InstanceStep> {
    let out_of_service = view.state.instances.out_of_service();
    let next = |(id, instance): (&InstanceId, &Instance)| {
        next_action(view, id, instance).map(|action| step(id, instance, action))
    };
    out_of_service.filter_map(next).collect()
}

fn next_action(view: &View, id: &InstanceId, instance: &Instance) -> Option<InstanceAction> {
    match (&instance.condition, &instance.purpose) {
        (InstanceCondition::Rebooting | InstanceCondition::Verifying, _) => {
            after_reboot(view, id, instance)
        }
        (InstanceCondition::Failed | InstanceCondition::InService, _) | (_, Purpose::Lost) => None,
        (_, Purpose::Held(holder)) if holder == SET_ASIDE_BY => {
            let waited_ms = now_ms(view).saturating_sub(instance.since_ms);
            (waited_ms >= TRY_AGAIN_AFTER_MS).then_some(InstanceAction::Return)
        }
        (condition, Purpose::Held(_)) => {
            (*condition == InstanceCondition::Cordoned).then_some(InstanceAction::Drain)
        }
        (_, Purpose::Move(_)) => to_hand_over(view, id, instance),
        (condition, Purpose::Maintenance | Purpose::None | Purpose::NotVerified) => {
            to_reboot(view, id, instance, *condition)
        }
    }
}

fn to_hand_over(view: &View, id: &InstanceId, instance: &Instance) -> Option<InstanceAction> {
    if is_over_budget(view, &instance.pool) {
        return Some(InstanceAction::Return);
    }
    if instance.condition == InstanceCondition::Cordoned {
        return Some(InstanceAction::Drain);
    }
    is_drained(view, id).then_some(InstanceAction::HandOver)
}

/// Takes an instance on to its reboot, or back where no running wave wants it or the budget is broken.
fn to_reboot(
    view: &View,
    id: &InstanceId,
    instance: &Instance,
    condition: InstanceCondition,
) -> Option<InstanceAction> {
    let wanted = view.state.waves.requires_maintenance(id);
    if !wanted || is_over_budget(view, &instance.pool) {
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
    view.state.jobs.is_idle(&worker) && view.workers.is_quiet(&worker)
}

fn after_reboot(view: &View, id: &InstanceId, instance: &Instance) -> Option<InstanceAction> {
    let waves = listing(view, id);
    let declared: Vec<&WaveDeclaration> = waves.collect();
    let waited_ms = now_ms(view).saturating_sub(instance.since_ms);
    let timeout_ms = declared
        .iter()
        .map(|wave| wave.reboot_timeout_ms.get())
        .max();
    let overdue = timeout_ms.is_some_and(|timeout_ms| waited_ms >= timeout_ms);
    let worker = WorkerId::new(id.as_str());
    let live = view.workers.is_live(&worker, monotonic_ms());
    let heard = view.workers.heard(&worker).filter(|_| live);
    if instance.condition == InstanceCondition::Rebooting {
        return overdue.then_some(InstanceAction::GiveUp);
    }
    let has_software = heard.is_some_and(|heard| {
        let right =
            |wave: &&WaveDeclaration| wave.software.is_empty() || wave.software == heard.software;
        declared.iter().all(right)
    });
    if has_software && waited_ms >= VERIFY_MS {
        return Some(InstanceAction::Return);
    }
    overdue.then_some(InstanceAction::GiveUp)
}

/// Returns the declarations of the waves that have not ended and list an instance.
fn listing<'view>(
    view: &'view View,
    id: &'view InstanceId,
) -> impl Iterator<Item = &'view WaveDeclaration> {
    let desired = view.state.configuration.desired();
    let waves = view.state.waves.iter();
    let listed = waves.filter(|(_, wave)| !wave.has_ended() && wave.members.contains_key(id));
    listed.filter_map(|(wave, _)| desired.waves.get(wave))
}

/// Moves a spare instance to each pool that lacks one which did not come back.
fn replace_failed(view: &View) -> Vec<InstanceStep> {
    let desired = view.state.configuration.desired();
    let instances = &view.state.instances;
    let mut lacking: BTreeMap<&PoolId, u64> = BTreeMap::new();
    for (_, instance) in instances.out_of_service() {
        if is_given_up(view, instance) {
            *lacking.entry(&instance.pool).or_default() += 1;
        }
    }
    let mut spare: Vec<(&InstanceId, &Instance)> = spare_instances(view);
    let mut steps = Vec::new();
    for (pool, failed) in lacking {
        let borrowed = instances
            .outside_home_pool()
            .filter(|(_, one)| one.pool == *pool)
            .count() as u64;
        let coming = instances.out_of_service();
        let coming = coming.filter(|(_, one)| one.purpose == Purpose::Move(pool.clone()));
        let coming = coming.count() as u64;
        let is_spare = desired
            .pools
            .get(pool)
            .is_some_and(|declared| declared.spare);
        let wanted = if is_spare {
            0
        } else {
            failed.saturating_sub(borrowed + coming)
        };
        for _ in 0..wanted {
            if let Some((id, instance)) = spare.pop() {
                let purpose = Purpose::Move(pool.clone());
                steps.push(step(id, instance, InstanceAction::Cordon(purpose)));
            }
        }
    }
    steps
}

/// Returns whether an instance is not expected back by itself.
fn is_given_up(view: &View, instance: &Instance) -> bool {
    let failed_for_ms = now_ms(view).saturating_sub(instance.since_ms);
    let overdue = instance.purpose == Purpose::Lost && failed_for_ms >= REPLACE_LOST_AFTER_MS;
    instance.condition == InstanceCondition::Failed
        && (instance.purpose == Purpose::NotVerified || overdue)
}

/// Returns the live instances in service of the spare pools.
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

/// Moves instances back to the pool that operators declare for them, once it costs no budget.
fn bring_home(view: &View) -> Vec<InstanceStep> {
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
        // A borrowed spare instance stays until the pool is whole without it.
        let needed = is_spare && count.in_service <= count.declared;
        if !needed && instances.headroom(desired, &instance.pool) > 0 {
            let purpose = Purpose::Move(instance.home.clone());
            steps.push(step(id, instance, InstanceAction::Cordon(purpose)));
        }
    }
    steps
}

/// Takes the next instances of the running waves out of service.
fn take_next(view: &mut View) -> Vec<InstanceStep> {
    let mut holds = BTreeMap::new();
    let mut steps = Vec::new();
    let mut taken: BTreeSet<InstanceId> = BTreeSet::new();
    let desired = view.state.configuration.desired().clone();
    let mut headroom = headrooms(view);
    let running = view.state.waves.iter();
    for (name, wave) in running.filter(|(_, wave)| wave.state == WaveState::Running) {
        let Some(declared) = desired.waves.get(name) else {
            continue;
        };
        let pending = pending(view, wave, declared, &taken);
        let (active_racks, busy) = open(view, wave);
        let limits = WaveLimits {
            order: declared.order,
            remaining_parallel: declared.max_parallel.saturating_sub(busy),
            headroom: headroom.clone(),
            active_racks,
        };
        let selection = select_instances(&pending, limits);
        holds.extend(selection.held);
        for id in selection.selected {
            let Some(instance) = view.state.instances.get(&id) else {
                continue;
            };
            if let Some(left) = headroom.get_mut(&instance.pool) {
                *left = left.saturating_sub(1);
            }
            steps.push(step(
                &id,
                instance,
                InstanceAction::Cordon(Purpose::Maintenance),
            ));
            taken.insert(id);
        }
    }
    view.workers.wave_holds = holds;
    steps
}

fn headrooms(view: &View) -> BTreeMap<PoolId, u64> {
    let desired = view.state.configuration.desired();
    let pools = desired.pools.keys();
    let headroom = |pool: &PoolId| view.state.instances.headroom(desired, pool);
    pools.map(|pool| (pool.clone(), headroom(pool))).collect()
}

/// Returns the racks in which a wave has instances out of service, and how many those are.
fn open(view: &View, wave: &Wave) -> (BTreeSet<RackId>, u64) {
    let desired = view.state.configuration.desired();
    let out_of_service = view.state.instances.out_of_service();
    let busy = out_of_service.filter(|(id, instance)| {
        let in_progress = instance.condition != InstanceCondition::Failed;
        in_progress && wave.members.get(*id) == Some(&WaveMemberState::Pending)
    });
    let busy: Vec<&InstanceId> = busy.map(|(id, _)| id).collect();
    let racks = busy.iter().filter_map(|id| desired.instances.get(*id));
    let racks = racks.map(|declared| declared.rack.clone()).collect();
    (racks, busy.len() as u64)
}

fn pending(
    view: &View,
    wave: &Wave,
    declared: &WaveDeclaration,
    taken: &BTreeSet<InstanceId>,
) -> Vec<PendingInstance> {
    let desired = view.state.configuration.desired();
    let members = wave.members.iter();
    let waiting =
        members.filter(|(id, state)| **state == WaveMemberState::Pending && !taken.contains(*id));
    let describe = |(id, _): (&InstanceId, &WaveMemberState)| {
        let instance = view.state.instances.get(id)?;
        let in_progress = instance.purpose == Purpose::Maintenance;
        (!in_progress).then(|| PendingInstance {
            instance: id.clone(),
            pool: instance.pool.clone(),
            rack: desired
                .instances
                .get(id)
                .map(|one| one.rack.clone())
                .unwrap_or_default(),
            hold_reason: hold(view, declared, id, instance),
        })
    };
    waiting.filter_map(describe).collect()
}

/// Returns why an instance cannot be taken now, whatever the budget.
fn hold(
    view: &View,
    declared: &WaveDeclaration,
    id: &InstanceId,
    instance: &Instance,
) -> Option<SmolStr> {
    if instance.condition != InstanceCondition::InService {
        let condition = instance.condition;
        return Some(format!("it is {condition}; the wave takes it once it is in service").into());
    }
    let worker = WorkerId::new(id.as_str());
    if !view.workers.is_live(&worker, monotonic_ms()) {
        return Some("it is not heard; start its agent".into());
    }
    let undisturbed = |job: &&Job| {
        let end_ms = job.task().map_or(0, |task| task.at_ms) + job.request.expected_ms.get();
        let left_ms = end_ms.saturating_sub(now_ms(view));
        !job.request.can_checkpoint && left_ms > declared.longest_task_ms.get()
    };
    let job = view.state.jobs.on_worker(&worker).find(undisturbed)?;
    let (id, expected) = (job.id, job.request.expected_ms);
    Some(
        format!(
            "job {id} runs there (expected {expected}) and cannot be checkpointed; \
             the wave goes around it and comes back when the job has ended"
        )
        .into(),
    )
}

/// Asks the tasks on draining instances to be checkpointed, where they can be.
fn checkpoint_drained(view: &View) -> Option<Command> {
    let mut changes = Vec::new();
    let out_of_service = view.state.instances.out_of_service();
    for (id, _) in out_of_service.filter(|(_, one)| one.condition == InstanceCondition::Draining) {
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

/// Sets the worst worker at fault aside.
fn set_aside(view: &mut View) -> Option<Command> {
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
    let aside = step(
        &id,
        instance,
        InstanceAction::Cordon(Purpose::Held(SET_ASIDE_BY.into())),
    );
    view.workers.health.reset(&WorkerId::new(id.as_str()));
    Some(Command::SetAside(aside))
}
