//! Output of the original text of a published version.

use super::{PublishedText, parse_version, print_json};
use crate::arguments::Arguments;
use crate::client::ControlClient;
use crate::failure::Failure;

/// Prints the text of a version, given as a number or as `latest`.
pub(crate) async fn run(arguments: &Arguments, version: &str) -> Result<(), Failure> {
    if version != "latest" {
        parse_version(version)?;
    }
    let client = ControlClient::new(arguments)?;
    let response = client.get(&format!("/v1/history/{version}")).await?;
    if arguments.json {
        print_json(&response.body);
        return Ok(());
    }
    let published: PublishedText = response.parse_body()?;
    print!("{}", published.text);
    Ok(())
}
