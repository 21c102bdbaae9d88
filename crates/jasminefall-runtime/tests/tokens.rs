//! Authentication by token, and secrecy of the token hashes.

use jasminefall_core::prelude::*;
use jasminefall_runtime::tokens::{Operator, Role, Tokens};

/// Declares the SHA-256 hashes of `operate-token-for-tests` and `read-token-for-tests`.
const SETTINGS: &str = "\
[token.amina]
sha256 = 9db7e4623d1f25613cd401e84b1a6262929112129b0daf6b33af600f84e2f6f8
role = operate
[token.rapport]
sha256 = 034a18b02f9980ffc4c7b91fe20d9958638c3f488e9413f54510f19374b0784f
role = read
";

fn read_tokens(text: &str) -> (Tokens, Problems) {
    let mut problems = Problems::new();
    let document = Document::parse("control.ini", text).unwrap();
    let tokens = Tokens::read("control.ini", &document, &mut problems);
    (tokens, problems)
}

#[test]
fn each_token_authenticates_its_operator_only() {
    let (tokens, problems) = read_tokens(SETTINGS);
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
    assert!(
        !format!("{tokens:?}").contains("9db7"),
        "the debug output reveals a token hash"
    );
}

#[test]
fn missing_and_shared_tokens_are_refused() {
    assert_eq!(read_tokens("[control]\n").1.list.len(), 1);
    let shared = SETTINGS.replace(
        "034a18b02f9980ffc4c7b91fe20d9958638c3f488e9413f54510f19374b0784f",
        "9db7e4623d1f25613cd401e84b1a6262929112129b0daf6b33af600f84e2f6f8",
    );
    let (_, problems) = read_tokens(&shared);
    assert_eq!(
        problems.list[0].message,
        "two operators have the same token"
    );
}
