//! Prints the report on service-level burn, or writes it as an HTML page.

use std::net::SocketAddr;
use std::process::ExitCode;

use getopts::{Matches, Options};
use jasminefall_report::{fetch, page, text};

const PROGRAM: &str = "jasminefall-report";
const CONTROL_VARIABLE: &str = "JASMINEFALL_CONTROL";
const USAGE_EXIT: u8 = 2;
const NO_DATA_EXIT: u8 = 5;

fn main() -> ExitCode {
    let options = options();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let matches = match options.parse(&arguments) {
        Ok(matches) => matches,
        Err(error) => return usage(&error.to_string()),
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
        return usage("no control instance is named; add --control IP:PORT");
    };
    let token = match matches
        .opt_str("token-file")
        .map(std::fs::read_to_string)
        .transpose()
    {
        Ok(token) => token.map(|token| token.trim().to_owned()),
        Err(error) => return usage(&format!("--token-file: {error}")),
    };
    let addresses: Vec<String> = control
        .split(',')
        .map(|address| address.trim().to_owned())
        .collect();
    if let Some(wrong) = addresses
        .iter()
        .find(|address| address.parse::<SocketAddr>().is_err())
    {
        return usage(&format!("`{wrong}` is no address; write IP:PORT"));
    }
    if matches.opt_present("check") {
        println!("the options hold");
        return ExitCode::SUCCESS;
    }
    let fetched = actix_rt::System::new().block_on(fetch::fetch(&addresses, token.as_deref()));
    print!("{}", text::render(&fetched));
    if let Some(file) = matches.opt_str("html") {
        if let Err(error) = std::fs::write(&file, page::render(&fetched)) {
            return usage(&format!("{file}: {error}"));
        }
        println!("wrote {file}");
    }
    if fetched.records.is_some() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(NO_DATA_EXIT)
    }
}

fn usage(message: &str) -> ExitCode {
    eprintln!("{PROGRAM}: {message}; run `{PROGRAM} --help` for the options");
    ExitCode::from(USAGE_EXIT)
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
        "token-file",
        "the file that holds an operator's token",
        "FILE",
    );
    options.optopt("", "html", "also write the report as an HTML page", "FILE");
    options.optflag("", "check", "check the options and stop");
    options.optflag("h", "help", "print this text");
    options.optflag("V", "version", "print the version");
    options
}
