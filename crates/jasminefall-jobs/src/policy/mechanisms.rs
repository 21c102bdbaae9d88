//! Switches for the optional mechanisms of the policies.
//!
//! Each mechanism can be disabled, so that an experiment can measure its benefit; a site enables
//! all. Leases, fencing tokens, limits on unavailable tasks and request deadlines keep the state
//! correct, so they cannot be disabled.

use std::fmt;
use std::str::FromStr;

/// Holds whether each mechanism is enabled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mechanisms {
    /// Moves instances between pools ([`pools`](super::pools)).
    pub moves: bool,
    /// Adds instances to a pool before its next expected surge ([`surges`](super::surges)).
    pub surge_prediction: bool,
    /// Sizes a pool in a surge by the peak of earlier surges ([`surges`](super::surges)).
    pub surge_peaks: bool,
    /// Initialises the forecast of a new leader from the replicated surges
    /// ([`surges`](super::surges)).
    pub recorded_surges: bool,
    /// Moves idle instances directly between pools, without the standby pool.
    pub direct_moves: bool,
    /// Packs long-running tasks onto shared instances ([`placement`](super::placement)).
    pub shared_instances: bool,
    /// Refuses jobs that would be late ([`admission`](super::admission)).
    pub admission: bool,
    /// Learns task durations from runs ([`durations`](super::durations)).
    pub duration_estimates: bool,
    /// Polls workers twice while responses get lost.
    pub redundant_polls: bool,
    /// Defers maintenance waves during shortages while they can finish in time
    /// ([`waves`](super::waves)).
    pub wave_deferral: bool,
    /// Places steps that can no longer be done in time behind those that can
    /// ([`priority`](super::priority)).
    pub late_steps_last: bool,
    /// Learns how much longer the longest task of a step takes than the others
    /// ([`durations`](super::durations)).
    pub step_durations: bool,
    /// Divides full pools among workspaces by weight ([`shares`](super::shares)).
    pub weighted_shares: bool,
}

/// The name of a mechanism and the accessor of its switch.
type NamedMechanism = (&'static str, fn(&mut Mechanisms) -> &mut bool);

/// All mechanisms, by the names with which the command line disables them.
const MECHANISMS: [NamedMechanism; 13] = [
    ("moves", |all| &mut all.moves),
    ("expected-rises", |all| &mut all.surge_prediction),
    ("rise-heights", |all| &mut all.surge_peaks),
    ("noted-rises", |all| &mut all.recorded_surges),
    ("direct-moves", |all| &mut all.direct_moves),
    ("shared-instances", |all| &mut all.shared_instances),
    ("admission", |all| &mut all.admission),
    ("learnt-durations", |all| &mut all.duration_estimates),
    ("doubled-looks", |all| &mut all.redundant_polls),
    ("waiting-waves", |all| &mut all.wave_deferral),
    ("late-steps-last", |all| &mut all.late_steps_last),
    ("step-durations", |all| &mut all.step_durations),
    ("weighted-shares", |all| &mut all.weighted_shares),
];

impl Mechanisms {
    /// All mechanisms enabled.
    pub const ALL: Self = Self {
        moves: true,
        surge_prediction: true,
        surge_peaks: true,
        recorded_surges: true,
        direct_moves: true,
        shared_instances: true,
        admission: true,
        duration_estimates: true,
        redundant_polls: true,
        wave_deferral: true,
        late_steps_last: true,
        step_durations: true,
        weighted_shares: true,
    };

    /// Returns the names of all mechanisms.
    pub fn names() -> impl Iterator<Item = &'static str> {
        MECHANISMS.iter().map(|(name, _)| *name)
    }
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self::ALL
    }
}

impl FromStr for Mechanisms {
    type Err = UnknownMechanism;

    /// Parses a comma-separated list of the mechanisms to disable; an empty text disables none.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut mechanisms = Self::ALL;
        if text.is_empty() {
            return Ok(mechanisms);
        }
        for name in text.split(',').map(str::trim) {
            let known = MECHANISMS.iter().find(|(known, _)| *known == name);
            let (_, switch) = known.ok_or_else(|| UnknownMechanism(name.to_owned()))?;
            *switch(&mut mechanisms) = false;
        }
        Ok(mechanisms)
    }
}

impl fmt::Display for Mechanisms {
    /// Writes a comma-separated list of the disabled mechanisms.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut mechanisms = *self;
        let disabled = MECHANISMS
            .iter()
            .filter(|(_, switch)| !*switch(&mut mechanisms));
        let disabled: Vec<&str> = disabled.map(|(name, _)| *name).collect();
        formatter.write_str(&disabled.join(","))
    }
}

/// The error for a name that no mechanism has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownMechanism(String);

impl fmt::Display for UnknownMechanism {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<&str> = Mechanisms::names().collect();
        let known = names.join(", ");
        write!(
            formatter,
            "unknown mechanism `{}`; known are {known}",
            self.0
        )
    }
}

impl std::error::Error for UnknownMechanism {}
