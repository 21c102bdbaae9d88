//! Prints a published text as it was written.

use super::{PublishedText, print_json, read_version};
use crate::arguments::Arguments;
use crate::client::ControlCalls;
use crate::failure::Failure;

/// Prints the text of a version, or of the latest one.
pub(crate) async fn run(arguments: &Arguments, version: &str) -> Result<(), Failure> {
    if version != "latest" {
        read_version(version)?;
    }
    let calls = ControlCalls::new(arguments)?;
    let answer = calls.get(&format!("/v1/history/{version}")).await?;
    if arguments.json {
        print_json(&answer.body);
        return Ok(());
    }
    let published: PublishedText = answer.read()?;
    print!("{}", published.text);
    Ok(())
}
