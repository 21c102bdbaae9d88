//! Differences between two desired states.

use jasminefall_core::desired::differences;
use jasminefall_core::prelude::*;

use super::{PublishedText, parse_version, print_json, read_file};
use crate::arguments::Arguments;
use crate::client::ControlClient;
use crate::failure::Failure;

/// Shows the changes of the desired state in a file against the latest version.
pub(crate) async fn run_file(arguments: &Arguments, file: &str) -> Result<(), Failure> {
    let text = read_file(file)?;
    let client = ControlClient::new(arguments)?;
    let latest: PublishedText = client.get("/v1/history/latest").await?.parse_body()?;
    if !arguments.json {
        println!("against version {}:", latest.version);
    }
    show(arguments, &differences(&latest.text, &text));
    Ok(())
}

/// Shows the differences between two versions.
pub(crate) async fn run_versions(
    arguments: &Arguments,
    before: &str,
    after: &str,
) -> Result<(), Failure> {
    let (before, after) = (parse_version(before)?, parse_version(after)?);
    let client = ControlClient::new(arguments)?;
    let response = client.get(&format!("/v1/diff/{before}/{after}")).await?;
    show(arguments, &response.parse_body::<Vec<ObjectChange>>()?);
    Ok(())
}

fn show(arguments: &Arguments, changes: &[ObjectChange]) {
    if arguments.json {
        return print_json(&changes);
    }
    if changes.is_empty() {
        println!("no object differs");
    }
    changes.iter().for_each(|change| println!("{change}"));
}
