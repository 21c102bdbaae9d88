//! Property tests of the parser on arbitrary input, which must not panic.

use jasminefall_core::desired::differences;
use jasminefall_core::prelude::*;
use proptest::prelude::*;

/// Generates texts that often resemble a desired state.
fn text_like_desired_state() -> impl Strategy<Value = String> {
    let line = prop_oneof![
        Just("[fleet]".to_owned()),
        "\\[(pool|budget|instance|team|wave|service|entry)\\.[a-zéم]{0,3}\\]?",
        "(name|budget|pool|pools|after|max_unavailable|max_parallel|cpu|quota|rack) ?[=:] ?[a-c0-9,. %]{0,6}",
        "[ -~\t]{0,12}",
        "\\PC{0,8}",
    ];
    let line_endings = prop_oneof![Just("\n"), Just("\r\n"), Just("\r"), Just("\n\n")];
    prop::collection::vec((line, line_endings), 0..24).prop_map(|lines| {
        lines
            .into_iter()
            .map(|(line, ending)| line + ending)
            .collect()
    })
}

fn any_text() -> impl Strategy<Value = String> {
    prop_oneof![text_like_desired_state(), any::<String>()]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn parsing_and_comparing_arbitrary_text_does_not_panic(text in any_text(), other in any_text()) {
        let parsed = DesiredState::parse("any.ini", &text);
        let _ = differences(&text, &other);
        prop_assert!(differences(&text, &text).is_empty());
        if let Ok(desired) = parsed {
            prop_assert_eq!(DesiredState::read_published(&text), desired);
        }
    }

    #[test]
    fn parsing_keeps_every_key_of_a_valid_text(
        keys in prop::collection::btree_map("[a-z_]{1,8}", "[!-~][ -~]{0,20}", 0..8),
    ) {
        let mut text = "[section.name]\n".to_owned();
        for (key, value) in &keys {
            text += &format!("{key} = {value}\n");
        }
        let document = Document::parse("any.ini", &text).unwrap();
        let section = document.section("section.name").unwrap();
        for (key, value) in &keys {
            prop_assert_eq!(section.text(key), Some(value.trim()));
        }
        prop_assert_eq!(section.entries().count(), keys.len());
    }
}
