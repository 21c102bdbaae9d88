//! Control program: makes the scheduling decisions of a site that runs jobs of steps.

use std::process::ExitCode;

use jasminefall_dispatch::{control, settings};
use jasminefall_platform::settings::PlatformSettings;
use jasminefall_runtime::command_line::ExtraOption;
use jasminefall_runtime::daemon::Daemon;

fn main() -> ExitCode {
    let daemon = Daemon {
        program: "jasminefall-dispatch-control",
        purpose: "Runs a control instance for jobs of steps.",
        extra_option: Some(ExtraOption {
            name: "without",
            help: "disable decision mechanisms, for experiments; see docs/design/experiments.md",
            hint: "NAME,...",
        }),
        load: |arguments| {
            settings::load_control(
                &arguments.settings,
                arguments.extra.as_deref().unwrap_or_default(),
            )
        },
        name: |settings: &PlatformSettings| settings.name.to_string(),
    };
    daemon.run(control::serve)
}
