//! Prints the report on service-level burn, or writes it as an HTML page.

use std::net::SocketAddr;
use std::process::ExitCode;

use getopts::{Matches, Options};
use jasminefall_report::{fetch, page, text};

const PROGRAM: &str = "jasminefall-report";
const CONTROL_VARIABLE: &str = "JASMINEFALL_CONTROL";
const USAGE_EXIT_CODE: u8 = 2;
const NO_DATA_EXIT_CODE: u8 = 5;

fn main() -> ExitCode {
    let options = options();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let matches = match options.parse(&arguments) {
        Ok(matches) => matches,
        Err(error) => return exit_with_usage_error(&error.to_string()),
    };
    if matches.opt_present("help") {
        print!(
            "{}",
            options.usage(&format!(
                "Reports on service-level burn.\n\nUsage: {PROGRAM} [OPTIONS]"
            ))
        );
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("version") {
        println!("{PROGRAM} {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    run(&matches)
}

fn run(matches: &Matches) -> ExitCode {
    let control = matches
        .opt_str("control")
        .or_else(|| std::env::var(CONTROL_VARIABLE).ok());
    let Some(control) = control else {
        return exit_with_usage_error("no control instance is given; add --control IP:PORT");
    };
    let token = match matches
        .opt_str("token-file")
        .map(std::fs::read_to_string)
        .transpose()
    {
        Ok(token) => token.map(|token| token.trim().to_owned()),
        Err(error) => return exit_with_usage_error(&format!("--token-file: {error}")),
    };
    let addresses: Vec<String> = control
        .split(',')
        .map(|address| address.trim().to_owned())
        .collect();
    if let Some(invalid) = addresses
        .iter()
        .find(|address| address.parse::<SocketAddr>().is_err())
    {
        return exit_with_usage_error(&format!("`{invalid}` is not an address; use IP:PORT"));
    }
    if matches.opt_present("check") {
        println!("the options are valid");
        return ExitCode::SUCCESS;
    }
    let fetched = actix_rt::System::new().block_on(fetch::fetch(&addresses, token.as_deref()));
    print!("{}", text::render(&fetched));
    if let Some(file) = matches.opt_str("html") {
        if let Err(error) = std::fs::write(&file, page::render(&fetched)) {
            return exit_with_usage_error(&format!("{file}: {error}"));
        }
        println!("wrote {file}");
    }
    if fetched.records.is_some() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(NO_DATA_EXIT_CODE)
    }
}

fn exit_with_usage_error(message: &str) -> ExitCode {
    eprintln!("{PROGRAM}: {message}; run `{PROGRAM} --help` for the options");
    ExitCode::from(USAGE_EXIT_CODE)
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
        "token-file",
        "the file with the token of an operator",
        "FILE",
    );
    options.optopt("", "html", "also write the report as an HTML page", "FILE");
    options.optflag("", "check", "validate the options and exit");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options
}
