//! Asking every control instance.

use std::time::Duration;

use awc::Client;

use crate::records::Records;

const CALL_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Holds the best data that was found, and which instances gave none.
#[derive(Debug, Clone, Default)]
pub struct Fetched {
    /// The latest data, if any instance answered.
    pub records: Option<Records>,
    /// The instances that did not answer, each with the cause.
    pub failures: Vec<FetchFailure>,
}

/// Names an instance that gave no data.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FetchFailure {
    /// The instance's operators' address.
    pub address: String,
    /// Why it gave no data.
    pub cause: String,
}

/// Asks every control instance and keeps the answer that knows the latest time, a fresh one first.
pub async fn fetch(addresses: &[String], token: Option<&str>) -> Fetched {
    let client = Client::builder()
        .disable_redirects()
        .timeout(CALL_TIMEOUT)
        .finish();
    let mut fetched = Fetched::default();
    for address in addresses {
        match fetch_one(&client, address, token).await {
            Ok(records) => keep_better(&mut fetched.records, records),
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
        .limit(MAX_ANSWER_BYTES)
        .await
        .map_err(|error| error.to_string())
}

fn keep_better(held: &mut Option<Records>, found: Records) {
    let rank = |records: &Records| (records.fresh, records.now_ms);
    if held.as_ref().is_none_or(|held| rank(&found) > rank(held)) {
        *held = Some(found);
    }
}
