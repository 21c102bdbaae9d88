//! The options that every daemon takes.

use std::path::PathBuf;

use jasminefall_runtime::command_line::{Arguments, ExtraOption, Invocation, parse};

fn run(words: &[&str]) -> Result<Invocation, String> {
    parse(
        "daemon",
        "Runs a daemon.",
        Some(ExtraOption {
            name: "only",
            help: "serve one pool only",
            hint: "POOL",
        }),
        words.iter().map(|word| (*word).to_owned()),
    )
}

#[test]
fn each_option_asks_for_its_own_thing() {
    let settings = Arguments {
        settings: PathBuf::from("a.ini"),
        extra: None,
    };
    assert_eq!(
        run(&["--settings", "a.ini"]),
        Ok(Invocation::Run(settings.clone()))
    );
    assert_eq!(
        run(&["--check", "-s", "a.ini"]),
        Ok(Invocation::Check(settings.clone()))
    );
    let extra = Some("render".to_owned());
    assert_eq!(
        run(&["-s", "a.ini", "--only", "render"]),
        Ok(Invocation::Run(Arguments { extra, ..settings })),
        "an option of the program's own"
    );
    let printed = |words: &[&str]| matches!(run(words), Ok(Invocation::Print(text)) if text.contains("daemon"));
    assert!(printed(&["--help"]) && printed(&["-h"]));
    assert!(printed(&["--version"]) && printed(&["-V"]));
}

#[test]
fn wrong_words_are_refused_with_a_remedy() {
    for words in [
        &[][..],
        &["--settings"],
        &["--unknown"],
        &["-s", "a.ini", "extra"],
        &["-s", "a.ini", "--only"],
    ] {
        let message = run(words).expect_err("the words are wrong");
        assert!(message.contains("daemon --help"), "{words:?}: {message}");
    }
}
