//! Parsing of the command line options of the daemons.

use std::path::PathBuf;

use jasminefall_runtime::command_line::{Arguments, ExtraOption, Invocation, parse};

fn parse_arguments(arguments: &[&str]) -> Result<Invocation, String> {
    parse(
        "daemon",
        "Runs a daemon.",
        Some(ExtraOption {
            name: "only",
            help: "serve one pool only",
            hint: "POOL",
        }),
        arguments.iter().map(|argument| (*argument).to_owned()),
    )
}

#[test]
fn each_option_selects_its_invocation() {
    let settings = Arguments {
        settings: PathBuf::from("a.ini"),
        extra: None,
    };
    assert_eq!(
        parse_arguments(&["--settings", "a.ini"]),
        Ok(Invocation::Run(settings.clone()))
    );
    assert_eq!(
        parse_arguments(&["--check", "-s", "a.ini"]),
        Ok(Invocation::Check(settings.clone()))
    );
    let extra = Some("render".to_owned());
    assert_eq!(
        parse_arguments(&["-s", "a.ini", "--only", "render"]),
        Ok(Invocation::Run(Arguments { extra, ..settings })),
        "the extra option of the program"
    );
    let printed = |arguments: &[&str]| {
        let invocation = parse_arguments(arguments);
        matches!(invocation, Ok(Invocation::Print(text)) if text.contains("daemon"))
    };
    assert!(printed(&["--help"]) && printed(&["-h"]));
    assert!(printed(&["--version"]) && printed(&["-V"]));
}

#[test]
fn invalid_arguments_are_refused_with_a_remedy() {
    for arguments in [
        &[][..],
        &["--settings"],
        &["--unknown"],
        &["-s", "a.ini", "extra"],
        &["-s", "a.ini", "--only"],
    ] {
        let message = parse_arguments(arguments).expect_err("the arguments are invalid");
        assert!(
            message.contains("daemon --help"),
            "{arguments:?}: {message}"
        );
    }
}
