//! What differs between two texts, object by object.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::document::{Document, Section};

/// Says what happened to an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ObjectChangeKind {
    /// The object is new.
    Added,
    /// The object is declared no longer.
    Removed,
    /// Keys of the object differ.
    Changed,
}

/// Holds one key with its text on either side.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyChange {
    /// The key.
    pub key: SmolStr,
    /// The text before, if the key was given.
    pub before: Option<SmolStr>,
    /// The text after, if the key is given.
    pub after: Option<SmolStr>,
}

/// Describes how one object differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectChange {
    /// The section of the object, such as `pool.general`.
    pub object: SmolStr,
    /// What happened to it.
    pub kind: ObjectChangeKind,
    /// The keys that differ.
    pub keys: Vec<KeyChange>,
}

impl fmt::Display for ObjectChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.kind {
            ObjectChangeKind::Added => '+',
            ObjectChangeKind::Removed => '-',
            ObjectChangeKind::Changed => '~',
        };
        write!(formatter, "{sign} [{}]", self.object)?;
        for change in &self.keys {
            let (before, after) = (shown(&change.before), shown(&change.after));
            write!(formatter, "\n    {}: {before} -> {after}", change.key)?;
        }
        Ok(())
    }
}

fn shown(text: &Option<SmolStr>) -> &str {
    text.as_deref().unwrap_or("(not given)")
}

/// Returns how the objects of two texts differ, in order of their names; comments do not count.
#[must_use]
pub fn differences(before: &str, after: &str) -> Vec<ObjectChange> {
    let (before, _) = Document::read("before", before);
    let (after, _) = Document::read("after", after);
    let (before, after) = (by_name(&before), by_name(&after));
    let names: BTreeSet<&str> = before.keys().chain(after.keys()).copied().collect();
    let compare = |name: &&str| compare(name, before.get(name).copied(), after.get(name).copied());
    names.iter().filter_map(compare).collect()
}

fn by_name(document: &Document) -> BTreeMap<&str, &Section> {
    let sections = document.sections();
    sections.map(|section| (section.name(), section)).collect()
}

fn compare(name: &str, before: Option<&Section>, after: Option<&Section>) -> Option<ObjectChange> {
    let kind = match (before, after) {
        (None, _) => ObjectChangeKind::Added,
        (_, None) => ObjectChangeKind::Removed,
        (Some(_), Some(_)) => ObjectChangeKind::Changed,
    };
    let keys = key_changes(before, after);
    let is_same = kind == ObjectChangeKind::Changed && keys.is_empty();
    (!is_same).then(|| ObjectChange {
        object: name.into(),
        kind,
        keys,
    })
}

fn key_changes(before: Option<&Section>, after: Option<&Section>) -> Vec<KeyChange> {
    let entries = [before, after].into_iter().flatten();
    let keys: BTreeSet<&str> = entries
        .flat_map(|section| section.entries().map(|(key, _)| key))
        .collect();
    let text = |side: Option<&Section>, key: &str| side?.text(key).map(SmolStr::new);
    let changes = keys.into_iter().map(|key| KeyChange {
        key: key.into(),
        before: text(before, key),
        after: text(after, key),
    });
    changes
        .filter(|change| change.before != change.after)
        .collect()
}
