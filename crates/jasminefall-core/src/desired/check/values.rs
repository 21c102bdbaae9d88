//! Validates value ranges.

use crate::desired::DesiredState;
use crate::desired::read::Places;
use crate::problem::Problems;

const MAX_OBJECTIVE_PPM: u64 = 1_000_000;

/// Adds a problem for each value out of range.
pub(super) fn check(desired: &DesiredState, places: &Places, problems: &mut Problems) {
    let mut report_if = |is_bad: bool, (kind, name, key): (&str, &str, &str), message: &str| {
        if is_bad {
            problems.add(places.of_key(kind, name, key), message, "correct the value");
        }
    };
    for (name, service) in &desired.services {
        let name = name.as_str();
        let objective_ppm = service.objective_ppm;
        let is_bad = objective_ppm == 0 || objective_ppm > MAX_OBJECTIVE_PPM;
        let message = "the objective must be from 1 to 1000000 parts per million";
        report_if(is_bad, ("service", name, "objective_ppm"), message);
        let is_bad = service.timeout_ms.get() == 0;
        report_if(
            is_bad,
            ("service", name, "timeout"),
            "the timeout must be longer than zero",
        );
        let is_bad = !service.idempotent.is_disjoint(&service.non_idempotent);
        let message = "an operation is listed both as idempotent and as non_idempotent";
        report_if(is_bad, ("service", name, "idempotent"), message);
    }
    for (name, instance) in &desired.instances {
        let name = name.as_str();
        let message = "the amount must be greater than zero";
        report_if(
            instance.cpu_mcores.get() == 0,
            ("instance", name, "cpu"),
            message,
        );
        report_if(
            instance.memory_bytes.get() == 0,
            ("instance", name, "memory"),
            message,
        );
    }
    for (name, team) in &desired.teams {
        let message = "a team of weight 0 is never served";
        report_if(team.weight == 0, ("team", name.as_str(), "weight"), message);
    }
    let fleet = &desired.fleet;
    let angles = [
        ("latitude_deg", fleet.latitude_deg, 90.0),
        ("longitude_deg", fleet.longitude_deg, 180.0),
    ];
    for (key, angle_deg, limit_deg) in angles {
        // A NaN is outside of every range.
        if !(-limit_deg..=limit_deg).contains(&angle_deg) {
            let message = format!("the angle must be from -{limit_deg} to {limit_deg}");
            problems.add(
                places.of_section_key("fleet", key),
                message,
                "correct the value",
            );
        }
    }
}
