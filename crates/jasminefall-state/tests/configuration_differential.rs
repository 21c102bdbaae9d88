//! The replicated configuration compared with a naive model of a single copy that keeps everything.

use std::collections::HashMap;

use jasminefall_core::prelude::*;
use jasminefall_state::prelude::*;
use proptest::prelude::*;

/// Models the configuration with every text and every answer kept.
#[derive(Default)]
struct Naive {
    texts: Vec<String>,
    answers: HashMap<String, (u64, String, Option<u64>)>,
}

impl Naive {
    /// Returns the version that was published, or none if the change was refused.
    fn apply(&mut self, change: &str, base: u64, text: &str) -> Option<u64> {
        if let Some((first_base, first_text, answer)) = self.answers.get(change) {
            let is_resend = *first_base == base && first_text == text;
            return answer.filter(|_| is_resend);
        }
        let version = (base == self.texts.len() as u64).then(|| {
            self.texts.push(text.to_owned());
            base + 1
        });
        let answer = (base, text.to_owned(), version);
        self.answers.insert(change.to_owned(), answer);
        version
    }
}

/// Describes one step of the test: a change by an operator, or a restore from a snapshot.
#[derive(Debug, Clone)]
enum Step {
    Apply { change: u8, lag: u64, text: u8 },
    Snapshot,
}

fn step() -> impl Strategy<Value = Step> {
    let apply = (0..12_u8, 0..3_u64, 0..3_u8);
    prop_oneof![
        9 => apply.prop_map(|(change, lag, text)| Step::Apply { change, lag, text }),
        1 => Just(Step::Snapshot),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn concurrent_changes_match_the_single_copy_model(steps in prop::collection::vec(step(), 1..60)) {
        let mut naive = Naive::default();
        let mut state = ClusterState::default();
        for step in steps {
            let Step::Apply { change, lag, text } = step else {
                state = ClusterState::from_bytes(&state.to_bytes()).unwrap();
                continue;
            };
            let base = (naive.texts.len() as u64).saturating_sub(lag);
            let (change, text) = (format!("c{change}"), format!("[fleet]\nname = f{text}\n"));
            let expected = naive.apply(&change, base, &text);
            let request = ApplyRequest {
                change: ChangeId::new(change),
                operator: "amina".into(),
                base: Version::new(base),
                text,
            };
            let command = Command::Apply(request);
            let outcome = state.apply(StampedCommand { at_ms: 0, command });
            let got = match outcome {
                Outcome::Published(version) => Some(version.get()),
                _ => None,
            };
            prop_assert_eq!(got, expected);
        }
        let kept: Vec<String> = state.configuration.history().map(|kept| kept.text.to_string()).collect();
        prop_assert_eq!(kept, naive.texts);
    }
}
