//! Loading and validating settings files.

use std::path::Path;

use jasminefall_core::prelude::*;

const SITE_KEY_SETTING: &str = "site_key_file";
const MIN_SITE_KEY_BYTES: usize = 16;

/// Holds a parsed settings file and the problems found in it.
#[derive(Debug)]
pub struct SettingsFile {
    /// The sections of the file.
    pub document: Document,
    /// The problems found so far.
    pub problems: Problems,
    name: String,
}

impl SettingsFile {
    /// Parses a settings text; syntax errors are added to the problems and the rest is still read.
    #[must_use]
    pub fn parse(name: &str, text: &str) -> Self {
        let (document, problems) = Document::read(name, text);
        Self {
            document,
            problems,
            name: name.to_owned(),
        }
    }

    /// Reads and parses a settings file.
    ///
    /// # Errors
    ///
    /// Returns a problem if the file cannot be read.
    pub fn load(path: &Path) -> Result<Self, Problems> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| unreadable_file(&name, &error))?;
        Ok(Self::parse(&name, &text))
    }

    /// Returns the path of the file, as messages show it.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns a section; if it is missing, adds a problem and returns an empty section.
    pub fn required_section(&mut self, name: &str) -> Section {
        if let Some(section) = self.document.section(name) {
            return section.clone();
        }
        let place = Place {
            file: self.name.as_str().into(),
            section: name.into(),
            ..Place::default()
        };
        self.problems
            .add(place, "the section is missing", format!("add [{name}]"));
        Section::new(&self.name, name, 0)
    }

    /// Returns the settings in `read` if no problem was found.
    ///
    /// # Errors
    ///
    /// Returns all problems, sorted by their position in the file.
    pub fn finish<T>(mut self, read: Option<T>) -> Result<T, Problems> {
        self.problems.sort();
        match read {
            Some(read) => self.problems.into_result(read),
            None => Err(self.problems),
        }
    }

    /// Adds a problem for every section that is not among `known`.
    pub fn refuse_unknown_sections(&mut self, known: &[&str]) {
        for section in self
            .document
            .sections()
            .filter(|section| !known.contains(&section.name()))
        {
            let remedy = format!("use one of: {}", known.join(", "));
            self.problems
                .add(section.place(""), "the section is unknown", remedy);
        }
    }
}

/// Reads the secret shared by all processes of a site from the file named by `site_key_file`.
///
/// Adds a problem and returns `None` if the file cannot be read or is too short.
pub fn read_site_key(section: &Section, problems: &mut Problems) -> Option<Vec<u8>> {
    let file: SmolStr = section.read_required(SITE_KEY_SETTING, "site.key", problems)?;
    let remedy = "write a random secret there, the same for every process of the site";
    match std::fs::read(file.as_str()) {
        Ok(secret) if secret.len() >= MIN_SITE_KEY_BYTES => Some(secret),
        Ok(_) => {
            let message = format!("the site key has fewer than {MIN_SITE_KEY_BYTES} bytes");
            problems.add(section.place(SITE_KEY_SETTING), message, remedy);
            None
        }
        Err(error) => {
            problems.add(section.place(SITE_KEY_SETTING), format!("{error}"), remedy);
            None
        }
    }
}

pub use jasminefall_core::document::Section;

fn unreadable_file(name: &str, error: &std::io::Error) -> Problems {
    let mut problems = Problems::new();
    let place = Place {
        file: name.into(),
        ..Place::default()
    };
    problems.add(
        place,
        format!("{error}"),
        "give the path of a readable file with --settings",
    );
    problems
}
