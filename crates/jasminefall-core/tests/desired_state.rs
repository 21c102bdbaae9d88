//! Tests of the validation of a desired state and of the differences between two.

use std::fmt::Write;

use jasminefall_core::prelude::*;

const VALID: &str = "[fleet]\nname = f\n[budget.b]\nmax_unavailable = 1\n[pool.p]\nbudget = b\n";

/// Invalid texts by the rules that they violate.
const INVALID: [(&str, &str); 20] = [
    (
        "malformed lines",
        "[fleet\nname = f\n= 1\nword\n[fleet]\nname = f\n[ pool.p ]\n",
    ),
    (
        "duplicate keys and sections",
        "[fleet]\nname = f\nname = g\n[team.t]\n[team.t]\nweight = 2\n",
    ),
    (
        "a key outside of a section",
        "\u{feff}stray = 1\r\n[fleet]\r\nname = f\r\n",
    ),
    (
        "unknown sections and keys",
        "[fleet]\nname = f\ncolour = red\n[poool.p]\n[team.]\n",
    ),
    ("an empty text", ""),
    (
        "invalid units",
        "[fleet]\nname = f\n[service.s]\ntimeout = 30\n[team.t]\nquota = 2 bananas\n",
    ),
    (
        "references to undeclared objects",
        "[fleet]\nname = f\n[pool.p]\nbudget = none\n[service.s]\npool = none\n[instance.i]\npool = none\ndata_centre = d\nrack = r\n[wave.w]\npools = none\nafter = none\n",
    ),
    (
        "an instance declared in two pools",
        "[fleet]\nname = f\n[budget.b]\n[pool.p]\nbudget = b\n[pool.q]\nbudget = b\n[instance.i]\npool = p\ndata_centre = d\nrack = r\n[instance.i]\npool = q\ndata_centre = d\nrack = r\n",
    ),
    (
        "a budget as large as the pool",
        "[fleet]\nname = f\n[budget.b]\nmax_unavailable = 2\n[pool.p]\nbudget = b\n[instance.i]\npool = p\ndata_centre = d\nrack = r\n[instance.j]\npool = p\ndata_centre = d\nrack = r2\n",
    ),
    (
        "a rack with more instances than the budget",
        "[fleet]\nname = f\n[budget.b]\nsurvive_rack = true\n[pool.p]\nbudget = b\n[instance.i]\npool = p\ndata_centre = d\nrack = r\n[instance.j]\npool = p\ndata_centre = d\nrack = r\n",
    ),
    (
        "a pool in one data centre",
        "[fleet]\nname = f\n[budget.b]\nsurvive_data_centre = true\n[pool.p]\nbudget = b\n[instance.i]\npool = p\ndata_centre = d\nrack = r\n",
    ),
    (
        "a rack in two data centres",
        "[fleet]\nname = f\n[budget.b]\n[pool.p]\nbudget = b\n[instance.i]\npool = p\ndata_centre = d\nrack = r\n[instance.j]\npool = p\ndata_centre = e\nrack = r\n",
    ),
    (
        "waves that cannot start",
        "[fleet]\nname = f\n[budget.b]\n[pool.p]\nbudget = b\n[wave.w]\npools = p\nafter = x\n[wave.x]\npools = p\nafter = w\n[wave.y]\npools = p\nafter = y\n",
    ),
    (
        "waves that cannot finish",
        "[fleet]\nname = f\n[budget.b]\nmax_unavailable = 0\n[pool.p]\nbudget = b\n[wave.w]\npools = p, p\nmax_parallel = 0\n[wave.x]\n",
    ),
    (
        "quotas over capacity",
        "[fleet]\nname = f\n[budget.b]\n[pool.p]\nbudget = b\n[instance.i]\npool = p\ndata_centre = d\nrack = r\ncpu = 4cores\n[team.s]\nquota = 3cores\n[team.t]\nquota = 2cores\n",
    ),
    (
        "values out of range",
        "[fleet]\nname = f\nlatitude_deg = NaN\nlongitude_deg = 181\n[service.s]\nobjective_ppm = 1000001\ntimeout = 0s\nidempotent = a, b\nnon_idempotent = b\n[team.t]\nweight = 0\n",
    ),
    (
        "invalid names",
        "[fleet]\nname = f\n[team.a,b]\n[team.a/b]\n[team. c]\n[service.aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa]\n",
    ),
    (
        "control and invisible characters",
        "[fleet]\nname = a\u{7}b\n[team.a\u{202e}b]\n",
    ),
    (
        "invalid numbers",
        "[fleet]\nname = f\nlatitude_deg = north\n[team.t]\nweight = -1\n",
    ),
    (
        "missing values",
        "[fleet]\n[entry.e]\n[pool.p]\n[instance.i]\n",
    ),
];

#[test]
fn parse_reports_every_problem_with_location_and_remedy() {
    let mut report = String::new();
    for (name, text) in INVALID {
        let problems = DesiredState::parse("site.ini", text).expect_err(name);
        let _ = writeln!(report, "== {name}\n{problems}");
    }
    insta::assert_snapshot!(report);
}

#[test]
fn parse_keeps_names_and_values_verbatim() {
    let text = "\u{feff}[fleet]\r\nname = \"Île Maurice\" \\n 'x'\r\n[team.المترجمون]\r\n\
                # a comment\r\n[entry.É1]\r\ndata_centre = Curepipe Ouest; nord\r\n";
    let desired = DesiredState::parse("site.ini", text).unwrap();
    assert_eq!(desired.fleet.name, "\"Île Maurice\" \\n 'x'");
    assert!(desired.teams.contains_key(&TeamId::new("المترجمون")));
    let entry = &desired.entries[&EntryId::new("É1")];
    assert_eq!(entry.data_centre.as_str(), "Curepipe Ouest; nord");
}

#[test]
fn parse_successor_rejects_removal_of_objects_in_use() {
    let in_use = InUse {
        jobs_by_team: [(TeamId::new("guild"), 3)].into(),
        tasks_by_instance: [(InstanceId::new("w1"), 1)].into(),
    };
    let problems = DesiredState::parse_successor("site.ini", VALID, &in_use).unwrap_err();
    insta::assert_snapshot!(problems);
    let kept =
        VALID.to_owned() + "[team.guild]\n[instance.w1]\npool = p\ndata_centre = d\nrack = r\n";
    assert!(DesiredState::parse_successor("site.ini", &kept, &in_use).is_ok());
}

#[test]
fn differences_list_changed_objects_and_keys() {
    let after = "# reordered\n[pool.p]\nbudget = c\n[budget.c]\n[fleet]\nname = f\n";
    let changes = jasminefall_core::desired::differences(VALID, after);
    let shown: Vec<String> = changes.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(shown.join("\n"));
    assert!(jasminefall_core::desired::differences(VALID, VALID).is_empty());
}
