//! A strict INI parser that records the line of every key.
//!
//! Values are kept verbatim, including quotes and backslashes. The parser reports a problem for
//! every malformed line, duplicate key, duplicate section and key outside of a section. It is
//! implemented here because common INI libraries accept some of these and treat a backslash at the
//! end of a line as a line continuation.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::str::FromStr;

use smol_str::SmolStr;

use crate::problem::{Place, Problems};

const SYNTAX_REMEDY: &str = "write sections as [name] and keys as `key = value`, one a line";

/// Holds the value of a key and its line number.
#[derive(Debug, Clone)]
struct Value {
    text: SmolStr,
    line: u32,
}

/// Holds the keys and values of one section.
#[derive(Debug, Clone, Default)]
pub struct Section {
    file: SmolStr,
    name: SmolStr,
    line: u32,
    values: BTreeMap<SmolStr, Value>,
}

/// Holds the sections of a parsed INI text.
#[derive(Debug, Clone, Default)]
pub struct Document {
    /// The sections in order of appearance.
    sections: Vec<Section>,
}

impl Document {
    /// Parses a text; accepts a byte order mark and CRLF line endings.
    ///
    /// # Errors
    ///
    /// Returns every syntax problem: malformed lines, keys outside of a section, duplicate sections
    /// and duplicate keys.
    pub fn parse(file: &str, text: &str) -> Result<Self, Problems> {
        let (document, problems) = Self::read(file, text);
        problems.into_result(document)
    }

    /// Parses a text and returns its valid sections and keys together with every syntax problem.
    #[must_use]
    pub fn read(file: &str, text: &str) -> (Self, Problems) {
        let text = text.trim_start_matches('\u{feff}');
        let mut problems = Problems::new();
        let mut names = BTreeSet::new();
        let mut sections = vec![Section::new(file, SmolStr::default(), 0)];
        for (line_number, line) in (1..).zip(text.lines()) {
            match ParsedLine::parse(line) {
                Ok(ParsedLine::Blank) => {}
                Ok(ParsedLine::Section(name)) => {
                    let section = Section::new(file, name.clone(), line_number);
                    if !names.insert(name) {
                        let remedy = "merge it with the first one or give it another name";
                        problems.add(section.place(""), "the section is given twice", remedy);
                    }
                    sections.push(section);
                }
                Ok(ParsedLine::Key(key, text)) => {
                    if let Some(section) = sections.last_mut() {
                        let value = Value {
                            text,
                            line: line_number,
                        };
                        section.insert(key, value, &mut problems);
                    }
                }
                Err(message) => {
                    problems.add(line_place(file, line_number), message, SYNTAX_REMEDY);
                }
            }
        }
        let keys_outside_sections = sections.remove(0);
        keys_outside_sections.report_keys_outside_sections(&mut problems);
        // The first of several sections with the same name takes precedence.
        let mut names = BTreeSet::new();
        sections.retain(|section| names.insert(section.name.clone()));
        (Self { sections }, problems)
    }

    /// Returns the section with this name, such as `fleet` or `pool.general`.
    #[must_use]
    pub fn section(&self, name: &str) -> Option<&Section> {
        self.sections.iter().find(|section| section.name == name)
    }

    /// Returns the sections named `KIND.NAME` of one kind, each with its NAME.
    pub fn sections_of_kind<'document>(
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
    /// Creates an empty section.
    #[must_use]
    pub fn new(file: &str, name: impl Into<SmolStr>, line: u32) -> Self {
        Self {
            file: file.into(),
            name: name.into(),
            line,
            values: BTreeMap::new(),
        }
    }

    /// Adds a key; the first value of a duplicate key takes precedence.
    fn insert(&mut self, key: SmolStr, value: Value, problems: &mut Problems) {
        if self.values.contains_key(&key) {
            let mut place = self.place(&key);
            place.line = value.line;
            problems.add(place, "the key is given twice", "keep one of the two");
            return;
        }
        self.values.insert(key, value);
    }

    fn report_keys_outside_sections(&self, problems: &mut Problems) {
        for key in self.values.keys() {
            problems.add(
                self.place(key),
                "the key stands before the first section",
                "move it under a section such as [fleet]",
            );
        }
    }

    /// Returns the full name, such as `pool.general`.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the location of a key, or of the section if the key is empty or absent.
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

    /// Returns the unparsed value of a key.
    #[must_use]
    pub fn text(&self, key: &str) -> Option<&str> {
        self.values.get(key).map(|value| value.text.as_str())
    }

    /// Returns the keys with their unparsed values.
    pub fn entries(&self) -> impl Iterator<Item = (&str, &str)> {
        self.values
            .iter()
            .map(|(key, value)| (key.as_str(), value.text.as_str()))
    }

    /// Parses a key; returns `default` if the key is absent or its value is invalid.
    ///
    /// Adds a problem for an invalid value.
    pub fn read_or<T>(&self, key: &str, default: T, problems: &mut Problems) -> T
    where
        T: FromStr,
        T::Err: Display,
    {
        self.read_optional(key, problems).unwrap_or(default)
    }

    /// Parses a required key; adds a problem and returns `None` if it is missing or invalid.
    ///
    /// The remedy of the problem shows `example` as the value.
    pub fn read_required<T>(&self, key: &str, example: &str, problems: &mut Problems) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let remedy = format!("write it like `{key} = {example}`");
        let Some(text) = self.text(key) else {
            problems.add(self.place(key), "the key is missing", remedy);
            return None;
        };
        text.parse()
            .map_err(|error| problems.add(self.place(key), format!("{error}"), remedy))
            .ok()
    }

    /// Parses an optional key; adds a problem and returns `None` if its value is invalid.
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

    /// Parses a comma-separated list; skips invalid members and adds a problem for each.
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

    /// Adds a problem for every key that is not in `known`.
    pub fn refuse_unknown_keys(&self, known: &[&str], problems: &mut Problems) {
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

/// Represents one line; blank lines include comments.
enum ParsedLine {
    Blank,
    Section(SmolStr),
    Key(SmolStr, SmolStr),
}

impl ParsedLine {
    fn parse(line: &str) -> Result<Self, &'static str> {
        if line.chars().any(is_forbidden) {
            return Err("the line holds a control character");
        }
        let line = line.trim();
        if line.is_empty() || line.starts_with(['#', ';']) {
            return Ok(Self::Blank);
        }
        if let Some(rest) = line.strip_prefix('[') {
            let name = rest.strip_suffix(']').filter(|name| !name.contains(']'));
            let name = name.ok_or("the section name is not closed at the end of the line")?;
            let is_valid = !name.is_empty() && name.trim() == name;
            return is_valid
                .then(|| Self::Section(name.into()))
                .ok_or("the section name is empty or has blanks around it");
        }
        let (key, value) = line
            .split_once(['=', ':'])
            .ok_or("the line is neither a section nor a key with a value")?;
        let key = key.trim();
        (!key.is_empty())
            .then(|| Self::Key(key.into(), value.trim().into()))
            .ok_or("the key is empty")
    }
}

/// Returns whether a character is a control character, invisible, or reorders the displayed text.
///
/// Such characters are rejected because a line could otherwise look different from its content.
fn is_forbidden(character: char) -> bool {
    let is_control = character.is_control() && character != '\t';
    let is_reordering = matches!(character, '\u{202a}'..='\u{202e}' | '\u{2066}'..='\u{2069}');
    let is_invisible = matches!(character, '\u{200b}' | '\u{feff}' | '\u{2028}' | '\u{2029}');
    is_control || is_reordering || is_invisible
}

fn line_place(file: &str, line: u32) -> Place {
    Place {
        file: file.into(),
        line,
        ..Place::default()
    }
}
