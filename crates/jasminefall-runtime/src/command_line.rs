//! Command line options of the daemons.

use std::path::PathBuf;

use getopts::Options;

/// Represents the action that the command line requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Invocation {
    /// Print a text, such as the help, and exit with success.
    Print(String),
    /// Validate the settings and exit.
    Check(Arguments),
    /// Run the daemon.
    Run(Arguments),
}

/// Holds the values of the command line options.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Arguments {
    /// The path of the settings file.
    pub settings: PathBuf,
    /// The value of the program's extra option, if it has one and the option is given.
    pub extra: Option<String>,
}

/// Describes an option that a single program accepts in addition to the common options.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExtraOption {
    /// The long name without the leading dashes.
    pub name: &'static str,
    /// The description in the help text.
    pub help: &'static str,
    /// The placeholder of the value in the help text, such as `FILE`.
    pub hint: &'static str,
}

/// Parses the command line of a daemon.
///
/// # Errors
///
/// Returns a message with a remedy if the options are invalid.
pub fn parse(
    program: &str,
    purpose: &str,
    extra: Option<ExtraOption>,
    arguments: impl IntoIterator<Item = String>,
) -> Result<Invocation, String> {
    let mut options = Options::new();
    options.reqopt("s", "settings", "the settings file (INI)", "FILE");
    options.optflag("", "check", "validate the settings and exit");
    options.optflag("h", "help", "print this help");
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
    let with_remedy = |error| format!("{program}: {error}; run `{program} --help` for the options");
    let matches = options.parse(&arguments).map_err(with_remedy)?;
    if let Some(unexpected) = matches.free.first() {
        return Err(format!(
            "{program}: unexpected argument `{unexpected}`; run `{program} --help` for the options"
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
