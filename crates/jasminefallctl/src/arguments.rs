//! The command line.

use getopts::Options;

use crate::failure::Failure;

const PROGRAM: &str = "jasminefallctl";
const CONTROL_VARIABLE: &str = "JASMINEFALL_CONTROL";
const COMMANDS: &str = "\
Commands:
    check FILE            judge a desired state
    apply FILE --base N   publish a desired state written against version N
    status                show the site
    jobs | pools | instances | waves
    jobs cancel N...      cancel jobs
    waves start|pause|resume|abort|watch WAVE
    drain INSTANCE        take an instance out of service within the budget
    return INSTANCE       put an instance back into service
    move INSTANCE POOL    drain an instance and hand it over to a pool
    explain job N | instance INSTANCE | wave WAVE";

/// Holds what the command line asks for.
#[derive(Debug)]
pub(crate) struct Arguments {
    /// The operators' addresses of the control replicas.
    pub(crate) control: Vec<String>,
    /// Whether answers are printed as JSON.
    pub(crate) json: bool,
    /// Who asks.
    pub(crate) operator: String,
    /// The name of the change, so that a resend is recognised.
    pub(crate) change: Option<String>,
    /// The version that a desired state was written against.
    pub(crate) base: u64,
    /// The command and its own arguments.
    pub(crate) words: Vec<String>,
}

impl Arguments {
    /// Reads the command line; returns none where a text was asked for and printed.
    pub(crate) fn parse(
        arguments: impl IntoIterator<Item = String>,
    ) -> Result<Option<Self>, Failure> {
        let options = options();
        let arguments: Vec<String> = arguments.into_iter().collect();
        let matches = options
            .parse(&arguments)
            .map_err(|error| usage(&error.to_string()))?;
        if matches.opt_present("help") {
            let brief = format!("Usage: {PROGRAM} [OPTIONS] COMMAND\n\n{COMMANDS}");
            print!("{}", options.usage(&brief));
            return Ok(None);
        }
        if matches.opt_present("version") {
            println!("{PROGRAM} {}", env!("CARGO_PKG_VERSION"));
            return Ok(None);
        }
        let control = matches
            .opt_str("control")
            .or_else(|| std::env::var(CONTROL_VARIABLE).ok());
        let base = matches.opt_get_default("base", 0);
        let base = base.map_err(|_| usage("--base is no number"))?;
        let split = |list: String| list.split(',').map(|word| word.trim().to_owned()).collect();
        Ok(Some(Self {
            control: control.map(split).unwrap_or_default(),
            json: matches.opt_present("json"),
            operator: matches
                .opt_str("operator")
                .unwrap_or_else(|| "operator".to_owned()),
            change: matches.opt_str("change"),
            base,
            words: matches.free,
        }))
    }
}

/// Returns the failure of a command line that cannot be carried out.
pub(crate) fn usage(message: &str) -> Failure {
    Failure::Usage(format!(
        "{PROGRAM}: {message}; run `{PROGRAM} --help` for the commands"
    ))
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt(
        "c",
        "control",
        "operators' addresses of the control replicas",
        "IP:PORT,...",
    );
    options.optopt("", "operator", "who asks", "NAME");
    options.optopt(
        "",
        "change",
        "the name of the change; a resend keeps it",
        "NAME",
    );
    options.optopt(
        "",
        "base",
        "the version that the text was written against",
        "VERSION",
    );
    options.optflag("", "json", "print JSON");
    options.optflag("h", "help", "print this text");
    options.optflag("V", "version", "print the version");
    options
}
