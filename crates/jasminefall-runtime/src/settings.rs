//! Settings files.

use std::path::Path;

use jasminefall_core::prelude::*;

const SITE_KEY: &str = "site_key_file";
const MIN_SITE_KEY_BYTES: usize = 16;

/// Holds a settings file that was read, with the faults found so far.
#[derive(Debug)]
pub struct SettingsFile {
    /// The text by sections.
    pub document: Document,
    /// The faults found so far.
    pub problems: Problems,
    name: String,
}

impl SettingsFile {
    /// Reads what can be read of a settings text; faults of form are among its problems.
    #[must_use]
    pub fn parse(name: &str, text: &str) -> Self {
        let (document, problems) = Document::read(name, text);
        Self {
            document,
            problems,
            name: name.to_owned(),
        }
    }

    /// Loads a settings file.
    ///
    /// # Errors
    ///
    /// Returns the fault that the file cannot be read.
    pub fn load(path: &Path) -> Result<Self, Problems> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| unreadable(&name, &error))?;
        Ok(Self::parse(&name, &text))
    }

    /// Returns the name of the file.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns a section; where it is missing, adds a fault and returns an empty one.
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

    /// Returns what was read where no fault was found.
    ///
    /// # Errors
    ///
    /// Returns every fault in the order of the text.
    pub fn finish<T>(mut self, read: Option<T>) -> Result<T, Problems> {
        self.problems.sort();
        match read {
            Some(read) => self.problems.into_result(read),
            None => Err(self.problems),
        }
    }

    /// Adds a fault for every section that is not among `known`.
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

/// Reads the secret that the processes of a site share from the file that `site_key_file` names.
pub fn read_site_key(section: &Section, problems: &mut Problems) -> Option<Vec<u8>> {
    let file: SmolStr = section.read_required(SITE_KEY, "site.key", problems)?;
    let remedy = "write a random secret there, the same for every process of the site";
    match std::fs::read(file.as_str()) {
        Ok(secret) if secret.len() >= MIN_SITE_KEY_BYTES => Some(secret),
        Ok(_) => {
            let message = format!("the site key has fewer than {MIN_SITE_KEY_BYTES} bytes");
            problems.add(section.place(SITE_KEY), message, remedy);
            None
        }
        Err(error) => {
            problems.add(section.place(SITE_KEY), format!("{error}"), remedy);
            None
        }
    }
}

pub use jasminefall_core::document::Section;

fn unreadable(name: &str, error: &std::io::Error) -> Problems {
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
