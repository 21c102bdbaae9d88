//! Fetching the service-level data from the control instances.

use std::time::Duration;

use awc::Client;

use crate::records::Records;

const CALL_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Holds the most recent data and the instances from which the fetch failed.
#[derive(Debug, Clone, Default)]
pub struct Fetched {
    /// The most recent data; `None` if no instance responded.
    pub records: Option<Records>,
    /// The instances without a valid response, each with the cause.
    pub failures: Vec<FetchFailure>,
}

/// Describes a failed fetch from an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FetchFailure {
    /// The address of the instance's API for operators.
    pub address: String,
    /// The cause of the failure.
    pub cause: String,
}

/// Queries every control instance and keeps the data with the latest time; data of the leader takes
/// precedence.
pub async fn fetch(addresses: &[String], token: Option<&str>) -> Fetched {
    let client = Client::builder()
        .disable_redirects()
        .timeout(CALL_TIMEOUT)
        .finish();
    let mut fetched = Fetched::default();
    for address in addresses {
        match fetch_one(&client, address, token).await {
            Ok(records) => keep_most_recent(&mut fetched.records, records),
            Err(cause) => fetched.failures.push(FetchFailure {
                address: address.clone(),
                cause,
            }),
        }
    }
    fetched
}

async fn fetch_one(client: &Client, address: &str, token: Option<&str>) -> Result<Records, String> {
    let mut request = client.get(format!("http://{address}/v1/service-levels"));
    if let Some(token) = token {
        request = request.bearer_auth(token);
    }
    let mut response = request.send().await.map_err(|error| error.to_string())?;
    if !response.status().is_success() {
        return Err(format!("answered {}", response.status()));
    }
    response
        .json()
        .limit(MAX_RESPONSE_BYTES)
        .await
        .map_err(|error| error.to_string())
}

fn keep_most_recent(latest: &mut Option<Records>, fetched: Records) {
    let rank = |records: &Records| (records.fresh, records.now_ms);
    if latest
        .as_ref()
        .is_none_or(|latest| rank(&fetched) > rank(latest))
    {
        *latest = Some(fetched);
    }
}
