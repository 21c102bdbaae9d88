//! Parsing of the command line.

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
    check FILE              validate a desired state without a control instance
    diff FILE               show the changes of a desired state against the latest version
    diff BEFORE AFTER       show the differences between two versions
    apply FILE --base N     publish a desired state written against version N
    export [VERSION]        print the original text of the latest or another version
    history                 list the published versions
    rollback VERSION --base N
                            publish an older version again as a new one
    status                  show the site and the state of each control replica
    members                 show the control replicas as reported by their leader
    members remove N        remove control replica N from the group
    jobs | pools | instances | waves
                            list them
    jobs cancel N...        cancel jobs
    waves start|pause|resume|abort|watch WAVE
                            control a maintenance wave
    drain INSTANCE          take an instance out of service within the budget
    return INSTANCE         put an instance back into service
    move INSTANCE POOL      drain an instance and assign it to a pool
    explain job N | instance INSTANCE | wave WAVE
                            show the constraint that blocks it and how to resolve it

Exit codes:
    0 success   2 usage error   3 invalid desired state   4 conflict or refused
    5 no response   6 durable but not yet in force   7 not allowed   8 not found";

/// Holds the parsed options and the command.
#[derive(Debug)]
pub(crate) struct Arguments {
    /// The addresses of the control replicas' API for operators.
    pub(crate) control: Vec<String>,
    /// Whether the output is JSON.
    pub(crate) json: bool,
    /// The PEM file of the trusted certificates; `None` disables TLS.
    pub(crate) ca: Option<PathBuf>,
    /// The token that authenticates the operator.
    pub(crate) token: Option<String>,
    /// The name of the change, so that a resend is recognized as the same change.
    pub(crate) change: Option<String>,
    /// The version that a desired state was written against.
    pub(crate) base: Option<u64>,
    /// The command and its arguments.
    pub(crate) command: Vec<String>,
}

impl Arguments {
    /// Returns the version that the text was written against, or an error if it is not given.
    pub(crate) fn base(&self) -> Result<u64, Failure> {
        self.base.ok_or_else(|| {
            usage_error("--base is missing; give the version that the text was written against")
        })
    }

    /// Parses the command line; returns `None` if an option such as `--help` was already handled.
    pub(crate) fn parse(
        arguments: impl IntoIterator<Item = String>,
    ) -> Result<Option<Self>, Failure> {
        let options = options();
        let arguments: Vec<String> = arguments.into_iter().collect();
        let matches = options
            .parse(&arguments)
            .map_err(|error| usage_error(&error.to_string()))?;
        if matches.opt_present("help") {
            let brief = format!("Usage: {PROGRAM} [OPTIONS] COMMAND\n\n{COMMANDS}");
            print!("{}", options.usage(&brief));
            return Ok(None);
        }
        if matches.opt_present("version") {
            println!("{PROGRAM} {}", env!("CARGO_PKG_VERSION"));
            return Ok(None);
        }
        if let Some(unknown) = matches
            .free
            .first()
            .filter(|argument| argument.starts_with('-'))
        {
            return Err(usage_error(&format!("`{unknown}` is not an option")));
        }
        let control = matches
            .opt_str("control")
            .or_else(|| std::env::var(CONTROL_VARIABLE).ok());
        let base = matches.opt_get("base");
        let base = base.map_err(|_| usage_error("--base must be a number"))?;
        let token_file = matches
            .opt_str("token-file")
            .or_else(|| std::env::var(TOKEN_VARIABLE).ok());
        let split = |list: String| list.split(',').map(|item| item.trim().to_owned()).collect();
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
            command: matches.free,
        };
        if is_check {
            arguments.validate()?;
            println!("the options are valid");
            return Ok(None);
        }
        Ok(Some(arguments))
    }

    /// Returns an error if no control instance is given.
    pub(crate) fn require_control(&self) -> Result<(), Failure> {
        if self.control.is_empty() {
            return Err(usage_error(
                "no control instance is given; add --control IP:PORT",
            ));
        }
        Ok(())
    }

    /// Validates the options without connecting to a control instance.
    fn validate(&self) -> Result<(), Failure> {
        self.require_control()?;
        for address in &self.control {
            if address.parse::<SocketAddr>().is_err() {
                return Err(usage_error(&format!(
                    "`{address}` is not an address; use IP:PORT"
                )));
            }
        }
        Ok(())
    }
}

/// Returns a usage error with the remedy to read the help.
pub(crate) fn usage_error(message: &str) -> Failure {
    Failure::Usage(format!(
        "{PROGRAM}: {message}; run `{PROGRAM} --help` for the commands"
    ))
}

fn read_token(file: &str) -> Result<String, Failure> {
    let read = std::fs::read_to_string(file);
    let text = read.map_err(|error| usage_error(&format!("the token file {file}: {error}")))?;
    let token = text.trim();
    if token.is_empty() || !token.chars().all(|character| character.is_ascii_graphic()) {
        let message =
            format!("the token file {file} must contain one word of printable ASCII characters");
        return Err(usage_error(&message));
    }
    Ok(token.to_owned())
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt(
        "c",
        "control",
        "addresses of the control replicas' API for operators",
        "IP:PORT,...",
    );
    options.optopt(
        "",
        "ca",
        "the trusted certificates (PEM); enables TLS",
        "FILE",
    );
    options.optopt("t", "token-file", "the file with your token", "FILE");
    options.optopt(
        "",
        "change",
        "the name of the change; reuse it to resend the change",
        "NAME",
    );
    options.optopt(
        "",
        "base",
        "the version that the text was written against",
        "VERSION",
    );
    options.optflag("", "json", "print JSON");
    options.optflag("", "check", "validate the options and exit");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options
}
