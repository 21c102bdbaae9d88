//! Entry program: accepts client requests of a site that runs jobs of steps.

use std::process::ExitCode;

use jasminefall_dispatch::{entry, settings};
use jasminefall_platform::settings::PlatformSettings;
use jasminefall_runtime::daemon::Daemon;

fn main() -> ExitCode {
    let daemon = Daemon {
        program: "jasminefall-dispatch-entry",
        purpose: "Accepts client requests and forwards them to the leading control instance.",
        extra_option: None,
        load: |arguments| settings::load_entry(&arguments.settings),
        name: |settings: &PlatformSettings| settings.name.to_string(),
    };
    daemon.run(entry::serve)
}
