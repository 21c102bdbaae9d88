//! Steps of instances that budgets and waves allow or refuse.

#[path = "support/fleet_site.rs"]
mod fleet_site;

use fleet_site::*;
use jasminefall_core::prelude::*;
use jasminefall_state::prelude::*;

fn cordon() -> InstanceAction {
    InstanceAction::Cordon(Purpose::Maintenance)
}

fn is_refused_as_held(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Refused(Refusal::Held(_)))
}

#[test]
fn two_waves_on_one_instance_reboot_it_once() {
    let mut state = started_state();
    wave(&mut state, "all", WaveAction::Start);
    wave(&mut state, "again", WaveAction::Start);
    maintain(&mut state, "w1", 2);
    for name in ["all", "again"] {
        let started = state.waves.get(&name.into()).expect("the wave is started");
        assert_eq!(
            started.members[&InstanceId::new("w1")],
            WaveMemberState::Done
        );
    }
    assert!(is_refused_as_held(&step(&mut state, "w1", cordon())));
}

#[test]
fn failures_between_plan_and_commit_count_against_the_budget() {
    let mut state = started_state();
    wave(&mut state, "all", WaveAction::Start);
    mark_lost(&mut state, "w2", true);
    let outcome = step(&mut state, "w1", cordon());
    let Outcome::Refused(refusal) = outcome else {
        panic!("the step exceeds the budget and was not refused: {outcome:?}");
    };
    assert!(refusal.to_string().contains("max_unavailable"), "{refusal}");
    record_incarnation(&mut state, "w2", 1);
    assert_eq!(step(&mut state, "w1", cordon()), Outcome::Done);
    assert_eq!(step(&mut state, "w1", InstanceAction::Drain), Outcome::Done);
    mark_lost(&mut state, "w2", true);
    assert!(is_refused_as_held(&step(
        &mut state,
        "w1",
        InstanceAction::Reboot
    )));
    assert_eq!(
        step(&mut state, "w1", InstanceAction::Return),
        Outcome::Done
    );
}

#[test]
fn a_reboot_waits_for_the_last_task() {
    let mut state = started_state();
    let job = submit(&mut state, request("a", false));
    let epoch = place(&mut state, job, "w1");
    wave(&mut state, "all", WaveAction::Start);
    assert_eq!(step(&mut state, "w1", cordon()), Outcome::Done);
    assert_eq!(step(&mut state, "w1", InstanceAction::Drain), Outcome::Done);
    assert!(is_refused_as_held(&step(
        &mut state,
        "w1",
        InstanceAction::Reboot
    )));
    report(&mut state, job, epoch, TaskResult::Completed);
    assert_eq!(
        step(&mut state, "w1", InstanceAction::Reboot),
        Outcome::Done
    );
}

#[test]
fn a_step_planned_against_an_older_epoch_is_refused() {
    let mut state = started_state();
    wave(&mut state, "all", WaveAction::Start);
    let instance = InstanceId::new("w1");
    let epoch = state
        .instances
        .get(&instance)
        .expect("the instance is declared")
        .epoch;
    let planned = InstanceStep {
        instance,
        epoch,
        action: cordon(),
    };
    assert_eq!(step(&mut state, "w1", cordon()), Outcome::Done);
    assert_eq!(
        step(&mut state, "w1", InstanceAction::Return),
        Outcome::Done
    );
    assert!(is_refused_as_held(&apply(
        &mut state,
        Command::Step(planned)
    )));
}

#[test]
fn a_wave_pauses_after_two_failed_instances_and_can_be_resumed() {
    let mut state = started_state();
    wave(&mut state, "all", WaveAction::Start);
    for instance in ["w1", "w2"] {
        for action in [
            cordon(),
            InstanceAction::Drain,
            InstanceAction::Reboot,
            InstanceAction::GiveUp,
        ] {
            assert_eq!(step(&mut state, instance, action), Outcome::Done);
        }
        assert_eq!(
            step(&mut state, instance, InstanceAction::Return),
            Outcome::Done
        );
    }
    let wave_state = |state: &ClusterState| {
        let wave = state.waves.get(&"all".into());
        wave.expect("the wave is started").state.clone()
    };
    assert!(matches!(wave_state(&state), WaveState::Paused { .. }));
    assert!(is_refused_as_held(&step(&mut state, "w3", cordon())));
    wave(&mut state, "all", WaveAction::Resume);
    maintain(&mut state, "w3", 2);
    assert_eq!(wave_state(&state), WaveState::Completed);
}

#[test]
fn a_changed_desired_state_adds_and_drops_instances_of_a_running_wave() {
    let mut state = started_state();
    wave(&mut state, "all", WaveAction::Start);
    maintain(&mut state, "w1", 2);
    let text = DESIRED.replace("instance.w3", "instance.w4");
    let outcome = publish(&mut state, "second", &text);
    assert_eq!(outcome, Outcome::Published(Version::new(2)));
    let expected = [
        ("w1", WaveMemberState::Done),
        ("w2", WaveMemberState::Pending),
        ("w4", WaveMemberState::Pending),
    ];
    let expected = expected.map(|(name, state)| (InstanceId::new(name), state));
    let wave = state.waves.get(&"all".into()).expect("the wave is started");
    assert_eq!(wave.members, expected.into());
}

#[test]
fn a_wave_starts_only_after_its_declared_predecessor() {
    let mut state = started_state();
    let later = || WaveRequest {
        wave: "later".into(),
        operator: "ada".into(),
        action: WaveAction::Start,
    };
    assert!(is_refused_as_held(&apply(
        &mut state,
        Command::Wave(later())
    )));
    wave(&mut state, "all", WaveAction::Start);
    for instance in ["w1", "w2", "w3"] {
        assert!(is_refused_as_held(&apply(
            &mut state,
            Command::Wave(later())
        )));
        maintain(&mut state, instance, 2);
    }
    assert_eq!(apply(&mut state, Command::Wave(later())), Outcome::Done);
}
