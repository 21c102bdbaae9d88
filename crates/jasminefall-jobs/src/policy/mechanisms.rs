//! Which mechanisms the decisions use.
//!
//! Each can be switched off, so that an experiment shows what it is worth; on a site all are on.
//! What keeps the state right (leases, tokens, budgets, deadlines of requests) is no mechanism and
//! cannot be switched off.

use std::fmt;
use std::str::FromStr;

/// Says of each mechanism whether it is used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mechanisms {
    /// Instances move between pools at all ([`pools`](super::pools)).
    pub moves: bool,
    /// Pools are made ready for the surge that is expected next ([`surges`](super::surges)).
    pub surge_prediction: bool,
    /// A surge is taken to become as high as those before it ([`surges`](super::surges)).
    pub surge_peaks: bool,
    /// A new leader goes by the surges that an earlier one has recorded
    /// ([`surges`](super::surges)).
    pub recorded_surges: bool,
    /// Idle instances go straight from one pool to another.
    pub direct_moves: bool,
    /// Long-running tasks share instances ([`placement`](super::placement)).
    pub shared_instances: bool,
    /// Jobs that would be late are refused ([`admission`](super::admission)).
    pub admission: bool,
    /// How long tasks take is learnt ([`durations`](super::durations)).
    pub duration_estimates: bool,
    /// Workers are polled twice while responses get lost.
    pub redundant_polls: bool,
    /// Maintenance waves let work go first while they can ([`waves`](super::waves)).
    pub wave_deferral: bool,
}

/// Names a mechanism and finds it among all.
type NamedMechanism = (&'static str, fn(&mut Mechanisms) -> &mut bool);

/// Every mechanism by the name that experiments give it.
const MECHANISMS: [NamedMechanism; 10] = [
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
];

impl Mechanisms {
    /// Every mechanism.
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

    /// Reads the names of what is switched off, with commas between; none where the text is empty.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut all = Self::ALL;
        if text.is_empty() {
            return Ok(all);
        }
        for name in text.split(',').map(str::trim) {
            let known = MECHANISMS.iter().find(|(known, _)| *known == name);
            let (_, find) = known.ok_or_else(|| UnknownMechanism(name.to_owned()))?;
            *find(&mut all) = false;
        }
        Ok(all)
    }
}

impl fmt::Display for Mechanisms {
    /// Writes the names of what is switched off, with commas between.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut all = *self;
        let off = MECHANISMS.iter().filter(|(_, find)| !*find(&mut all));
        let off: Vec<&str> = off.map(|(name, _)| *name).collect();
        formatter.write_str(&off.join(","))
    }
}

/// Says that a name is no mechanism's.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownMechanism(String);

impl fmt::Display for UnknownMechanism {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<&str> = Mechanisms::names().collect();
        let known = names.join(", ");
        write!(formatter, "`{}` is no mechanism; known are {known}", self.0)
    }
}

impl std::error::Error for UnknownMechanism {}
