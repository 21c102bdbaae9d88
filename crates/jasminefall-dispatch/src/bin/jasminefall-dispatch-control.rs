//! Control instance of a site that runs jobs of steps.

use std::process::ExitCode;

use jasminefall_dispatch::{control, settings};
use jasminefall_platform::settings::PlatformSettings;
use jasminefall_runtime::daemon::Daemon;

fn main() -> ExitCode {
    let daemon = Daemon {
        program: "jasminefall-dispatch-control",
        purpose: "Runs a control instance for jobs of steps.",
        load: settings::load_control,
        name: |settings: &PlatformSettings| settings.name.to_string(),
    };
    daemon.run(control::serve)
}
