//! INI text with the line of every key.
//!
//! Values are kept as written, quotes and backslashes included. A line that is no section, no key
//! and no comment, a key given twice, a section given twice and a key outside of sections are faults.
//! The usual libraries let some of these pass and read a backslash at the end of a line as its
//! continuation, which is why the lines are read here.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::str::FromStr;

use smol_str::SmolStr;

use crate::problem::{Place, Problems};

const SYNTAX_REMEDY: &str = "write sections as [name] and keys as `key = value`, one a line";

/// Holds one key's value with its line.
#[derive(Debug, Clone)]
struct Value {
    text: SmolStr,
    line: u32,
}

/// Holds one section of a document.
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
        let (document, problems) = Self::read(file, text);
        problems.into_result(document)
    }

    /// Reads what can be read of a text, beside every fault of form.
    #[must_use]
    pub fn read(file: &str, text: &str) -> (Self, Problems) {
        let text = text.trim_start_matches('\u{feff}');
        let mut problems = Problems::new();
        let mut names = BTreeSet::new();
        let mut sections = vec![Section::new(file, SmolStr::default(), 0)];
        for (line, row) in (1..).zip(text.lines()) {
            match Row::read(row) {
                Ok(Row::Blank) => {}
                Ok(Row::Section(name)) => {
                    let section = Section::new(file, name.clone(), line);
                    if !names.insert(name) {
                        let remedy = "merge it with the first one or give it another name";
                        problems.add(section.place(""), "the section is given twice", remedy);
                    }
                    sections.push(section);
                }
                Ok(Row::Key(key, text)) => {
                    if let Some(section) = sections.last_mut() {
                        section.insert(key, Value { text, line }, &mut problems);
                    }
                }
                Err(message) => {
                    problems.add(text_place(file, line), message, SYNTAX_REMEDY);
                }
            }
        }
        let stray = sections.remove(0);
        stray.report_stray_keys(&mut problems);
        // Of a section that is given twice the first one counts.
        let mut kept = BTreeSet::new();
        sections.retain(|section| kept.insert(section.name.clone()));
        (Self { sections }, problems)
    }

    /// Returns the section with exactly this name.
    #[must_use]
    pub fn section(&self, name: &str) -> Option<&Section> {
        self.sections.iter().find(|section| section.name == name)
    }

    /// Returns the sections named `kind.NAME`, each with its NAME.
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
    /// Creates a section without any key.
    #[must_use]
    pub fn new(file: &str, name: impl Into<SmolStr>, line: u32) -> Self {
        Self {
            file: file.into(),
            name: name.into(),
            line,
            values: BTreeMap::new(),
        }
    }

    /// Adds a key; of one that is given twice the first value counts.
    fn insert(&mut self, key: SmolStr, value: Value, problems: &mut Problems) {
        if self.values.contains_key(&key) {
            let mut place = self.place(&key);
            place.line = value.line;
            problems.add(place, "the key is given twice", "keep one of the two");
            return;
        }
        self.values.insert(key, value);
    }

    fn report_stray_keys(&self, problems: &mut Problems) {
        for key in self.values.keys() {
            problems.add(
                self.place(key),
                "the key stands before the first section",
                "move it under a section such as [fleet]",
            );
        }
    }

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
        let remedy = format!("write it like `{key} = {example}`");
        let Some(text) = self.text(key) else {
            problems.add(self.place(key), "the key is missing", remedy);
            return None;
        };
        text.parse()
            .map_err(|error| problems.add(self.place(key), format!("{error}"), remedy))
            .ok()
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

/// Tells the kinds of lines apart.
enum Row {
    Blank,
    Section(SmolStr),
    Key(SmolStr, SmolStr),
}

impl Row {
    fn read(row: &str) -> Result<Self, &'static str> {
        if row.chars().any(is_forbidden) {
            return Err("the line holds a control character");
        }
        let row = row.trim();
        if row.is_empty() || row.starts_with(['#', ';']) {
            return Ok(Self::Blank);
        }
        if let Some(rest) = row.strip_prefix('[') {
            let name = rest.strip_suffix(']').filter(|name| !name.contains(']'));
            let name = name.ok_or("the section name is not closed at the end of the line")?;
            let is_plain = !name.is_empty() && name.trim() == name;
            return is_plain
                .then(|| Self::Section(name.into()))
                .ok_or("the section name is empty or has blanks around it");
        }
        let (key, value) = row
            .split_once(['=', ':'])
            .ok_or("the line is neither a section nor a key with a value")?;
        let key = key.trim();
        (!key.is_empty())
            .then(|| Self::Key(key.into(), value.trim().into()))
            .ok_or("the key is empty")
    }
}

/// Returns whether a character could hide what a line says.
fn is_forbidden(character: char) -> bool {
    let is_control = character.is_control() && character != '\t';
    let reorders = matches!(character, '\u{202a}'..='\u{202e}' | '\u{2066}'..='\u{2069}');
    let is_invisible = matches!(character, '\u{200b}' | '\u{feff}' | '\u{2028}' | '\u{2029}');
    is_control || reorders || is_invisible
}

fn text_place(file: &str, line: u32) -> Place {
    Place {
        file: file.into(),
        line,
        ..Place::default()
    }
}
