//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use getopts::Options;

use crate::failure::Failure;

const PROGRAM: &str = "jasminefallctl";
const CONTROL_VARIABLE: &str = "JASMINEFALL_CONTROL";
const TOKEN_VARIABLE: &str = "JASMINEFALL_TOKEN_FILE";
const CA_VARIABLE: &str = "JASMINEFALL_CA_FILE";
const COMMANDS: &str = "\
Commands:
    check FILE              judge a desired state, without any control instance
    diff FILE               show what a desired state changes against the latest version
    diff BEFORE AFTER       show what differs between two versions
    apply FILE --base N     publish a desired state written against version N
    export [VERSION]        print the latest version, or another, as it was written
    history                 list the published versions
    rollback VERSION --base N
                            publish an older version again as a new one
    status                  show the site and which replicas answer
    members                 show the control replicas as their leader knows them
    members remove N        take control replica N out
    jobs | pools | instances | waves
                            list them
    jobs cancel N...        cancel jobs
    waves start|pause|resume|abort|watch WAVE
                            steer a maintenance wave
    drain INSTANCE          take an instance out of service within the budget
    return INSTANCE         put an instance back into service
    move INSTANCE POOL      drain an instance and hand it over to a pool
    explain job N | instance INSTANCE | wave WAVE
                            say which constraint holds it and what would free it

Exit codes:
    0 done   2 usage   3 faulty desired state   4 somebody else published first
    5 no answer   6 durable but not yet in force   7 not allowed   8 not kept";

/// Holds what the command line asks for.
#[derive(Debug)]
pub(crate) struct Arguments {
    /// The operators' addresses of the control replicas.
    pub(crate) control: Vec<String>,
    /// Whether answers are printed as JSON.
    pub(crate) json: bool,
    /// The file of the certificates to trust; with it the calls speak TLS.
    pub(crate) ca: Option<PathBuf>,
    /// The token that proves who asks.
    pub(crate) token: Option<String>,
    /// The name of the change, so that a resend is recognised.
    pub(crate) change: Option<String>,
    /// The version that a desired state was written against.
    pub(crate) base: Option<u64>,
    /// The command and its own arguments.
    pub(crate) words: Vec<String>,
}

impl Arguments {
    /// Returns the version that a text was written against.
    pub(crate) fn base(&self) -> Result<u64, Failure> {
        self.base.ok_or_else(|| {
            usage("--base is missing; give the version that the text was written against")
        })
    }

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
        if let Some(unknown) = matches.free.first().filter(|word| word.starts_with('-')) {
            return Err(usage(&format!("`{unknown}` is no option")));
        }
        let control = matches
            .opt_str("control")
            .or_else(|| std::env::var(CONTROL_VARIABLE).ok());
        let base = matches.opt_get("base");
        let base = base.map_err(|_| usage("--base is no number"))?;
        let token_file = matches
            .opt_str("token-file")
            .or_else(|| std::env::var(TOKEN_VARIABLE).ok());
        let split = |list: String| list.split(',').map(|word| word.trim().to_owned()).collect();
        let is_check = matches.opt_present("check");
        let arguments = Self {
            control: control.map(split).unwrap_or_default(),
            json: matches.opt_present("json"),
            ca: matches
                .opt_str("ca")
                .or_else(|| std::env::var(CA_VARIABLE).ok())
                .map(PathBuf::from),
            token: token_file.map(|file| read_token(&file)).transpose()?,
            change: matches.opt_str("change"),
            base,
            words: matches.free,
        };
        if is_check {
            arguments.check()?;
            println!("the options hold");
            return Ok(None);
        }
        Ok(Some(arguments))
    }

    /// Returns a failure unless a control instance is named.
    pub(crate) fn require_control(&self) -> Result<(), Failure> {
        if self.control.is_empty() {
            return Err(usage("no control instance is named; add --control IP:PORT"));
        }
        Ok(())
    }

    /// Judges the options without any call.
    fn check(&self) -> Result<(), Failure> {
        self.require_control()?;
        for address in &self.control {
            if address.parse::<SocketAddr>().is_err() {
                return Err(usage(&format!("`{address}` is no address; write IP:PORT")));
            }
        }
        Ok(())
    }
}

/// Returns the failure of a command line that cannot be carried out.
pub(crate) fn usage(message: &str) -> Failure {
    Failure::Usage(format!(
        "{PROGRAM}: {message}; run `{PROGRAM} --help` for the commands"
    ))
}

fn read_token(file: &str) -> Result<String, Failure> {
    let read = std::fs::read_to_string(file);
    let text = read.map_err(|error| usage(&format!("the token file {file}: {error}")))?;
    let token = text.trim();
    if token.is_empty() || !token.chars().all(|character| character.is_ascii_graphic()) {
        let message = format!("the token file {file} must hold one word of ASCII characters");
        return Err(usage(&message));
    }
    Ok(token.to_owned())
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt(
        "c",
        "control",
        "operators' addresses of the control replicas",
        "IP:PORT,...",
    );
    options.optopt(
        "",
        "ca",
        "the certificates to trust (PEM); the calls then speak TLS",
        "FILE",
    );
    options.optopt("t", "token-file", "the file with your token", "FILE");
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
    options.optflag("", "check", "check the options and stop");
    options.optflag("h", "help", "print this text");
    options.optflag("V", "version", "print the version");
    options
}
