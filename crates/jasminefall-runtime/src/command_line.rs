//! The options that every daemon takes.

use std::path::PathBuf;

use getopts::Options;

/// Says what the command line asks of a daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Invocation {
    /// Print this text and stop with success.
    Print(String),
    /// Check the settings and stop.
    Check(Arguments),
    /// Run with the settings.
    Run(Arguments),
}

/// Holds what a daemon is told by its command line.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Arguments {
    /// The settings file.
    pub settings: PathBuf,
    /// What the option of the program's own was given, where it has one.
    pub extra: Option<String>,
}

/// Describes an option that one program takes beside the common ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExtraOption {
    /// The name of the option, without dashes.
    pub name: &'static str,
    /// What it does.
    pub help: &'static str,
    /// What it is given.
    pub hint: &'static str,
}

/// Reads the command line of a daemon.
///
/// # Errors
///
/// Returns a message that names the remedy where the options cannot be read.
pub fn parse(
    program: &str,
    purpose: &str,
    extra: Option<ExtraOption>,
    arguments: impl IntoIterator<Item = String>,
) -> Result<Invocation, String> {
    let mut options = Options::new();
    options.reqopt("s", "settings", "the settings file (INI)", "FILE");
    options.optflag("", "check", "check the settings and stop");
    options.optflag("h", "help", "print this text");
    options.optflag("V", "version", "print the version");
    if let Some(extra) = extra {
        options.optopt("", extra.name, extra.help, extra.hint);
    }
    let arguments: Vec<String> = arguments.into_iter().collect();
    if arguments
        .iter()
        .any(|argument| argument == "--help" || argument == "-h")
    {
        let brief = format!("{purpose}\n\nUsage: {program} --settings FILE [--check]");
        return Ok(Invocation::Print(options.usage(&brief)));
    }
    if arguments
        .iter()
        .any(|argument| argument == "--version" || argument == "-V")
    {
        return Ok(Invocation::Print(format!(
            "{program} {}\n",
            env!("CARGO_PKG_VERSION")
        )));
    }
    let hint = |error| format!("{program}: {error}; run `{program} --help` for the options");
    let matches = options.parse(&arguments).map_err(hint)?;
    if let Some(unexpected) = matches.free.first() {
        return Err(format!(
            "{program}: `{unexpected}` is not an option; run `{program} --help`"
        ));
    }
    let arguments = Arguments {
        settings: PathBuf::from(matches.opt_str("settings").unwrap_or_default()),
        extra: extra.and_then(|extra| matches.opt_str(extra.name)),
    };
    Ok(if matches.opt_present("check") {
        Invocation::Check(arguments)
    } else {
        Invocation::Run(arguments)
    })
}
