//! INI text with the line of every key.
//!
//! The text is read by the `rust-ini` library with quotes and escapes off. What that library lets
//! pass silently (a key given twice, a section given twice, a key outside of sections) is reported
//! here as a fault.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::str::FromStr;

use ini::{Ini, ParseOption};
use smol_str::SmolStr;

use crate::problem::{Place, Problems};

/// Holds one key's value with its line.
#[derive(Debug, Clone)]
struct Value {
    text: SmolStr,
    line: u32,
}

/// Holds one section of a document and remembers which keys were asked for.
#[derive(Debug, Clone, Default)]
pub struct Section {
    file: SmolStr,
    name: SmolStr,
    line: u32,
    values: BTreeMap<SmolStr, Value>,
}

/// Holds a parsed INI text.
#[derive(Debug, Clone, Default)]
pub struct Document {
    /// The sections in order of appearance.
    sections: Vec<Section>,
}

impl Document {
    /// Reads a text; a byte order mark and CRLF line ends are accepted.
    ///
    /// # Errors
    ///
    /// Returns every fault of form: broken syntax, a key outside of sections, repeated sections and
    /// repeated keys.
    pub fn parse(file: &str, text: &str) -> Result<Self, Problems> {
        let text = text.trim_start_matches('\u{feff}').replace("\r\n", "\n");
        let option = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        let parsed =
            Ini::load_from_str_opt(&text, option).map_err(|error| syntax_problem(file, &error))?;
        let lines = Lines::new(&text);
        let mut problems = Problems::new();
        let mut sections: Vec<Section> = Vec::new();
        for (name, properties) in &parsed {
            let name = SmolStr::new(name.unwrap_or_default());
            if name.is_empty() {
                for (key, _) in properties.iter() {
                    problems.add(
                        Place {
                            file: file.into(),
                            line: lines.key("", key, 0),
                            section: name.clone(),
                            key: key.into(),
                        },
                        "the key stands before the first section",
                        "move it under a section such as [fleet]",
                    );
                }
                continue;
            }
            let line = lines.section(&name);
            let mut section = Section {
                file: file.into(),
                name: name.clone(),
                line,
                values: BTreeMap::new(),
            };
            if lines.section_count(&name) > 1 {
                problems.add(
                    section.place(""),
                    "the section is given twice",
                    "merge the two sections into one",
                );
            }
            for (key, text) in properties.iter() {
                let line = lines.key(&name, key, 0);
                let value = Value {
                    text: text.into(),
                    line,
                };
                if section.values.insert(key.into(), value).is_some() {
                    let mut place = section.place(key);
                    place.line = lines.key(&name, key, 1);
                    problems.add(place, "the key is given twice", "keep one of the two");
                }
            }
            sections.push(section);
        }
        problems.into_result(Self { sections })
    }

    /// Returns the section with exactly this name.
    #[must_use]
    pub fn section(&self, name: &str) -> Option<&Section> {
        self.sections.iter().find(|section| section.name == name)
    }

    /// Returns the sections named `kind.NAME`, each with its NAME.
    pub fn named<'document>(
        &'document self,
        kind: &'document str,
    ) -> impl Iterator<Item = (&'document str, &'document Section)> + 'document {
        self.sections.iter().filter_map(move |section| {
            let (prefix, name) = section.name.split_once('.')?;
            (prefix == kind && !name.is_empty()).then_some((name, section))
        })
    }

    /// Returns every section in order of appearance.
    pub fn sections(&self) -> impl Iterator<Item = &Section> {
        self.sections.iter()
    }
}

impl Section {
    /// Returns the name of the section.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the place of a key, or of the section where the key is empty or absent.
    #[must_use]
    pub fn place(&self, key: &str) -> Place {
        let line = self.values.get(key).map_or(self.line, |value| value.line);
        Place {
            file: self.file.clone(),
            line,
            section: self.name.clone(),
            key: key.into(),
        }
    }

    /// Returns the text of a key.
    #[must_use]
    pub fn text(&self, key: &str) -> Option<&str> {
        self.values.get(key).map(|value| value.text.as_str())
    }

    /// Returns the keys with their texts.
    pub fn entries(&self) -> impl Iterator<Item = (&str, &str)> {
        self.values
            .iter()
            .map(|(key, value)| (key.as_str(), value.text.as_str()))
    }

    /// Reads a key of any type, or takes `default` where the key is absent.
    pub fn read_or<T>(&self, key: &str, default: T, problems: &mut Problems) -> T
    where
        T: FromStr,
        T::Err: Display,
    {
        self.read_optional(key, problems).unwrap_or(default)
    }

    /// Reads a key that must be present; adds a fault and returns none where it is not.
    pub fn read_required<T>(&self, key: &str, example: &str, problems: &mut Problems) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        if self.text(key).is_none() {
            problems.add(
                self.place(key),
                "the key is missing",
                format!("add `{key} = {example}`"),
            );
        }
        self.read_optional(key, problems)
    }

    /// Reads a key of any type that may be absent.
    pub fn read_optional<T>(&self, key: &str, problems: &mut Problems) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        match self.text(key)?.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                problems.add(self.place(key), format!("{error}"), "correct the value");
                None
            }
        }
    }

    /// Reads a list whose members are separated by commas.
    pub fn read_list<T>(&self, key: &str, problems: &mut Problems) -> Vec<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let text = self.text(key).unwrap_or_default();
        let mut list = Vec::new();
        for member in text
            .split(',')
            .map(str::trim)
            .filter(|member| !member.is_empty())
        {
            match member.parse() {
                Ok(value) => list.push(value),
                Err(error) => {
                    problems.add(self.place(key), format!("{error}"), "correct the value");
                }
            }
        }
        list
    }

    /// Adds a fault for every key that is not among `known`.
    pub fn refuse_unknown(&self, known: &[&str], problems: &mut Problems) {
        for key in self
            .values
            .keys()
            .filter(|key| !known.contains(&key.as_str()))
        {
            let remedy = format!("use one of: {}", known.join(", "));
            problems.add(self.place(key), "the key is unknown", remedy);
        }
    }
}

/// Finds the lines of sections and keys in a text.
struct Lines<'text> {
    rows: Vec<(u32, &'text str, Option<&'text str>)>,
}

impl<'text> Lines<'text> {
    fn new(text: &'text str) -> Self {
        let mut rows = Vec::new();
        let mut section = "";
        for (number, row) in (1..).zip(text.lines()) {
            let row = row.trim();
            if let Some(name) = row
                .strip_prefix('[')
                .and_then(|rest| rest.split(']').next())
            {
                section = name.trim();
                rows.push((number, section, None));
            } else if let Some((key, _)) = row
                .split_once(['=', ':'])
                .filter(|_| !row.starts_with(['#', ';']))
            {
                rows.push((number, section, Some(key.trim())));
            }
        }
        Self { rows }
    }

    fn section(&self, name: &str) -> u32 {
        self.rows
            .iter()
            .find(|row| row.1 == name && row.2.is_none())
            .map_or(0, |row| row.0)
    }

    fn section_count(&self, name: &str) -> usize {
        self.rows
            .iter()
            .filter(|row| row.1 == name && row.2.is_none())
            .count()
    }

    fn key(&self, section: &str, key: &str, repeat: usize) -> u32 {
        let mut found = self
            .rows
            .iter()
            .filter(|row| row.1 == section && row.2 == Some(key));
        found.nth(repeat).map_or(0, |row| row.0)
    }
}

/// Turns a syntax error of the library into a fault.
fn syntax_problem(file: &str, error: &ini::ParseError) -> Problems {
    let mut problems = Problems::new();
    let line = u32::try_from(error.line + 1).unwrap_or_default();
    let place = Place {
        file: file.into(),
        line,
        ..Place::default()
    };
    problems.add(
        place,
        error.msg.clone().into_owned(),
        "write sections as [name] and keys as `key = value`",
    );
    problems
}
