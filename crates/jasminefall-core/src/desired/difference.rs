//! Differences between two desired states by object and key.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::document::{Document, Section};

/// Classifies how an object changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ObjectChangeKind {
    /// The object is declared only in the later text.
    Added,
    /// The object is declared only in the earlier text.
    Removed,
    /// The object is declared in both texts with different keys or values.
    Changed,
}

/// Holds the values of one key before and after a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyChange {
    /// The name of the key.
    pub key: SmolStr,
    /// The value before, if the key was present.
    pub before: Option<SmolStr>,
    /// The value after, if the key is present.
    pub after: Option<SmolStr>,
}

/// Describes the changes of one object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectChange {
    /// The section of the object, such as `pool.general`.
    pub object: SmolStr,
    /// How the object changed.
    pub kind: ObjectChangeKind,
    /// The keys whose values differ.
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
            let (before, after) = (or_not_given(&change.before), or_not_given(&change.after));
            write!(formatter, "\n    {}: {before} -> {after}", change.key)?;
        }
        Ok(())
    }
}

fn or_not_given(text: &Option<SmolStr>) -> &str {
    text.as_deref().unwrap_or("(not given)")
}

/// Returns the changed objects in order of section name; ignores comments and the order of lines.
#[must_use]
pub fn differences(before: &str, after: &str) -> Vec<ObjectChange> {
    let (before, _) = Document::read("before", before);
    let (after, _) = Document::read("after", after);
    let (before, after) = (sections_by_name(&before), sections_by_name(&after));
    let names: BTreeSet<&str> = before.keys().chain(after.keys()).copied().collect();
    let compare = |name: &&str| compare(name, before.get(name).copied(), after.get(name).copied());
    names.iter().filter_map(compare).collect()
}

fn sections_by_name(document: &Document) -> BTreeMap<&str, &Section> {
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
