//! Validates that no object in use is removed.

use std::collections::BTreeMap;

use super::DesiredState;
use crate::ids::{InstanceId, TeamId};
use crate::problem::{Place, Problems};

/// Counts the work that depends on declared objects.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct InUse {
    /// The number of waiting and running jobs of each team.
    pub jobs_by_team: BTreeMap<TeamId, usize>,
    /// The number of running tasks of each instance.
    pub tasks_by_instance: BTreeMap<InstanceId, usize>,
}

/// Adds a problem for each object in use that is no longer declared.
pub(super) fn check(desired: &DesiredState, in_use: &InUse, file: &str, problems: &mut Problems) {
    for (team, jobs) in &in_use.jobs_by_team {
        if !desired.teams.contains_key(team) {
            let message = format!("the team is removed while {jobs} of its jobs wait or run");
            let remedy = "keep it until they have ended, or cancel them";
            problems.add(place(file, &format!("team.{team}")), message, remedy);
        }
    }
    for (instance, tasks) in &in_use.tasks_by_instance {
        if !desired.instances.contains_key(instance) {
            let message = format!("the instance is removed while it runs {tasks} tasks");
            let remedy = "drain it first, then remove it";
            problems.add(
                place(file, &format!("instance.{instance}")),
                message,
                remedy,
            );
        }
    }
}

fn place(file: &str, section: &str) -> Place {
    Place {
        file: file.into(),
        section: section.into(),
        ..Place::default()
    }
}
