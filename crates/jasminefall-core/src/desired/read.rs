//! Parses INI text into declared objects.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::str::FromStr;

use smol_str::SmolStr;

use super::{
    Budget, DesiredState, EntryDeclaration, Fleet, InstanceDeclaration, PoolDeclaration,
    ServiceDeclaration, TeamDeclaration, WaveDeclaration, WaveOrder,
};
use crate::document::{Document, Section};
use crate::problem::{Place, Problems};
use crate::units::{Bytes, DurationMs, MilliCores};

const DEFAULT_TIMEOUT_MS: DurationMs = DurationMs::new(30_000);
const DEFAULT_OBJECTIVE_PPM: u64 = 999_000;
const DEFAULT_QUOTA_MCORES: MilliCores = MilliCores::new(16_000);
const DEFAULT_MAX_UNAVAILABLE: u64 = 1;
const DEFAULT_CPU_MCORES: MilliCores = MilliCores::new(16_000);
const DEFAULT_MEMORY_BYTES: Bytes = Bytes::new(32 << 30);
const DEFAULT_MAX_PARALLEL: u64 = 1;
const MAX_NAME_BYTES: usize = 128;
const DEFAULT_REBOOT_TIMEOUT_MS: DurationMs = DurationMs::new(15 * 60_000);
const DEFAULT_LONGEST_TASK_MS: DurationMs = DurationMs::new(3_600_000);
const OBJECT_KINDS: [&str; 7] = [
    "entry", "service", "pool", "budget", "instance", "team", "wave",
];

/// Maps sections and keys to their locations in the text.
#[derive(Debug, Default)]
pub(super) struct Places {
    sections: BTreeMap<SmolStr, Section>,
}

impl Places {
    /// Returns the location of a key of the object `kind.name`.
    pub(super) fn of_key(&self, kind: &str, name: impl Display, key: &str) -> Place {
        self.of_section_key(&format!("{kind}.{name}"), key)
    }

    /// Returns the location of a key in a section.
    pub(super) fn of_section_key(&self, section: &str, key: &str) -> Place {
        let section = self.sections.get(section);
        section
            .map(|section| section.place(key))
            .unwrap_or_default()
    }

    /// Returns whether the object `kind.name` sets a key instead of using its default.
    pub(super) fn has_key(&self, kind: &str, name: impl Display, key: &str) -> bool {
        let section = format!("{kind}.{name}");
        self.sections
            .get(section.as_str())
            .is_some_and(|section| section.text(key).is_some())
    }
}

/// Parses the objects; returns the valid parts together with the problems found.
pub(super) fn read(file: &str, text: &str) -> (DesiredState, Problems, Places) {
    let (document, mut problems) = Document::read(file, text);
    refuse_unknown_sections(&document, &mut problems);
    let desired = DesiredState {
        fleet: read_fleet(file, &document, &mut problems),
        entries: read_objects(&document, "entry", &mut problems, read_entry),
        services: read_objects(&document, "service", &mut problems, read_service),
        pools: read_objects(&document, "pool", &mut problems, read_pool),
        budgets: read_objects(&document, "budget", &mut problems, read_budget),
        instances: read_objects(&document, "instance", &mut problems, read_instance),
        teams: read_objects(&document, "team", &mut problems, read_team),
        waves: read_objects(&document, "wave", &mut problems, read_wave),
    };
    let sections = document
        .sections()
        .map(|section| (section.name().into(), section.clone()));
    let sections = sections.collect();
    (desired, problems, Places { sections })
}

fn refuse_unknown_sections(document: &Document, problems: &mut Problems) {
    for section in document
        .sections()
        .filter(|section| section.name() != "fleet")
    {
        let kind = section
            .name()
            .split_once('.')
            .filter(|(_, name)| !name.is_empty());
        if !kind.is_some_and(|(kind, _)| OBJECT_KINDS.contains(&kind)) {
            let remedy = format!(
                "write [fleet] or [KIND.NAME] with one of: {}",
                OBJECT_KINDS.join(", ")
            );
            problems.add(section.place(""), "the section is unknown", remedy);
        }
        refuse_bad_name(section, problems);
    }
}

fn refuse_bad_name(section: &Section, problems: &mut Problems) {
    let (_, name) = section.name().split_once('.').unwrap_or_default();
    let message = if name.len() > MAX_NAME_BYTES {
        format!("the name is {} bytes long", name.len())
    } else if name.trim() != name {
        "the name has blanks around it".to_owned()
    } else if name.contains([',', '/']) {
        "the name holds a comma or a slash".to_owned()
    } else {
        return;
    };
    let remedy = format!("use at most {MAX_NAME_BYTES} bytes without comma, slash or outer blanks");
    problems.add(section.place(""), message, remedy);
}

fn read_objects<K, T>(
    document: &Document,
    kind: &str,
    problems: &mut Problems,
    read_object: fn(&Section, &mut Problems) -> T,
) -> BTreeMap<K, T>
where
    K: FromStr + Ord,
{
    let named = document.sections_of_kind(kind);
    named
        .filter_map(|(name, section)| Some((name.parse().ok()?, read_object(section, problems))))
        .collect()
}

fn read_fleet(file: &str, document: &Document, problems: &mut Problems) -> Fleet {
    let Some(section) = document.section("fleet") else {
        let place = Place {
            file: file.into(),
            section: "fleet".into(),
            ..Place::default()
        };
        problems.add(
            place,
            "the section [fleet] is missing",
            "add [fleet] with `name = SITE`",
        );
        return Fleet::default();
    };
    section.refuse_unknown_keys(&["name", "latitude_deg", "longitude_deg"], problems);
    Fleet {
        name: section
            .read_required("name", "mauritius", problems)
            .unwrap_or_default(),
        latitude_deg: section.read_or("latitude_deg", 0.0, problems),
        longitude_deg: section.read_or("longitude_deg", 0.0, problems),
    }
}

fn read_entry(section: &Section, problems: &mut Problems) -> EntryDeclaration {
    section.refuse_unknown_keys(&["data_centre"], problems);
    EntryDeclaration {
        data_centre: section
            .read_required("data_centre", "dc1", problems)
            .unwrap_or_default(),
    }
}

fn read_service(section: &Section, problems: &mut Problems) -> ServiceDeclaration {
    let known = [
        "pool",
        "timeout",
        "idempotent",
        "non_idempotent",
        "objective_ppm",
    ];
    section.refuse_unknown_keys(&known, problems);
    ServiceDeclaration {
        pool: section.read_optional("pool", problems),
        timeout_ms: section.read_or("timeout", DEFAULT_TIMEOUT_MS, problems),
        idempotent: section
            .read_list("idempotent", problems)
            .into_iter()
            .collect(),
        non_idempotent: section
            .read_list("non_idempotent", problems)
            .into_iter()
            .collect(),
        objective_ppm: section.read_or("objective_ppm", DEFAULT_OBJECTIVE_PPM, problems),
    }
}

fn read_pool(section: &Section, problems: &mut Problems) -> PoolDeclaration {
    section.refuse_unknown_keys(&["budget", "spare"], problems);
    PoolDeclaration {
        budget: section
            .read_required("budget", "standard", problems)
            .unwrap_or_default(),
        spare: section.read_or("spare", false, problems),
    }
}

fn read_budget(section: &Section, problems: &mut Problems) -> Budget {
    section.refuse_unknown_keys(
        &["max_unavailable", "survive_data_centre", "survive_rack"],
        problems,
    );
    Budget {
        max_unavailable: section.read_or("max_unavailable", DEFAULT_MAX_UNAVAILABLE, problems),
        survive_data_centre: section.read_or("survive_data_centre", false, problems),
        survive_rack: section.read_or("survive_rack", false, problems),
    }
}

fn read_instance(section: &Section, problems: &mut Problems) -> InstanceDeclaration {
    let known = [
        "pool",
        "data_centre",
        "rack",
        "cpu",
        "memory",
        "accelerators",
    ];
    section.refuse_unknown_keys(&known, problems);
    InstanceDeclaration {
        pool: section
            .read_required("pool", "general", problems)
            .unwrap_or_default(),
        data_centre: section
            .read_required("data_centre", "dc1", problems)
            .unwrap_or_default(),
        rack: section
            .read_required("rack", "dc1-r1", problems)
            .unwrap_or_default(),
        cpu_mcores: section.read_or("cpu", DEFAULT_CPU_MCORES, problems),
        memory_bytes: section.read_or("memory", DEFAULT_MEMORY_BYTES, problems),
        accelerators: section.read_or("accelerators", 0, problems),
    }
}

fn read_team(section: &Section, problems: &mut Problems) -> TeamDeclaration {
    section.refuse_unknown_keys(&["quota", "weight"], problems);
    TeamDeclaration {
        quota_mcores: section.read_or("quota", DEFAULT_QUOTA_MCORES, problems),
        weight: section.read_or("weight", 1, problems),
    }
}

fn read_wave(section: &Section, problems: &mut Problems) -> WaveDeclaration {
    let known = [
        "pools",
        "max_parallel",
        "after",
        "racks",
        "instances",
        "order",
        "reboot_timeout",
        "longest_task",
        "software",
    ];
    section.refuse_unknown_keys(&known, problems);
    WaveDeclaration {
        pools: section.read_list("pools", problems),
        max_parallel: section.read_or("max_parallel", DEFAULT_MAX_PARALLEL, problems),
        after: section.read_list("after", problems),
        racks: section.read_list("racks", problems).into_iter().collect(),
        instances: section
            .read_list("instances", problems)
            .into_iter()
            .collect(),
        order: section.read_or("order", WaveOrder::default(), problems),
        reboot_timeout_ms: section.read_or("reboot_timeout", DEFAULT_REBOOT_TIMEOUT_MS, problems),
        longest_task_ms: section.read_or("longest_task", DEFAULT_LONGEST_TASK_MS, problems),
        software: section
            .read_optional("software", problems)
            .unwrap_or_default(),
    }
}
