//! Which token is whose, and what a listing of tokens gives away.

use jasminefall_core::prelude::*;
use jasminefall_runtime::tokens::{Operator, Role, Tokens};

/// The SHA-256 of `operate-token-for-tests` and of `read-token-for-tests`.
const TEXT: &str = "\
[token.amina]
sha256 = 9db7e4623d1f25613cd401e84b1a6262929112129b0daf6b33af600f84e2f6f8
role = operate
[token.rapport]
sha256 = 034a18b02f9980ffc4c7b91fe20d9958638c3f488e9413f54510f19374b0784f
role = read
";

fn read(text: &str) -> (Tokens, Problems) {
    let mut problems = Problems::new();
    let document = Document::parse("control.ini", text).unwrap();
    let tokens = Tokens::read("control.ini", &document, &mut problems);
    (tokens, problems)
}

#[test]
fn a_token_names_its_operator() {
    let (tokens, problems) = read(TEXT);
    assert_eq!(problems, Problems::new());
    let operator = |name: &str, role| {
        let name = name.into();
        Some(Operator { name, role })
    };
    let cases = [
        ("operate-token-for-tests", operator("amina", Role::Operate)),
        ("read-token-for-tests", operator("rapport", Role::Read)),
        ("read-token-for-test", None),
        (
            "9db7e4623d1f25613cd401e84b1a6262929112129b0daf6b33af600f84e2f6f8",
            None,
        ),
        ("", None),
    ];
    for (secret, expected) in cases {
        assert_eq!(
            tokens.authenticate(secret.as_bytes()).cloned(),
            expected,
            "{secret}"
        );
    }
    assert!(!format!("{tokens:?}").contains("9db7"));
}

#[test]
fn settings_without_tokens_or_with_one_for_two_are_refused() {
    assert_eq!(read("[control]\n").1.list.len(), 1);
    let shared = TEXT.replace(
        "034a18b02f9980ffc4c7b91fe20d9958638c3f488e9413f54510f19374b0784f",
        "9db7e4623d1f25613cd401e84b1a6262929112129b0daf6b33af600f84e2f6f8",
    );
    let (_, problems) = read(&shared);
    assert_eq!(problems.list[0].message, "two names share one token");
}
