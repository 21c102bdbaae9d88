//! Calls to the control instances.

use std::time::{Duration, Instant};

use awc::Client;
use awc::http::StatusCode;
use serde::Serialize;
use serde_json::Value;

use crate::arguments::{Arguments, usage};
use crate::failure::Failure;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const TRY_FOR: Duration = Duration::from_secs(10);
const ROUND_PAUSE: Duration = Duration::from_millis(100);
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Calls whichever control replica carries out a call.
pub(crate) struct ControlCalls {
    client: Client,
    addresses: Vec<String>,
}

/// Holds an answer.
pub(crate) struct Answer {
    /// The HTTP status.
    pub(crate) status: StatusCode,
    /// The JSON body.
    pub(crate) body: Value,
}

impl ControlCalls {
    /// Creates the client of the addresses on the command line.
    pub(crate) fn new(arguments: &Arguments) -> Result<Self, Failure> {
        if arguments.control.is_empty() {
            return Err(usage("no control instance is named; add --control IP:PORT"));
        }
        let client = Client::builder()
            .disable_redirects()
            .timeout(CALL_TIMEOUT)
            .finish();
        Ok(Self {
            client,
            addresses: arguments.control.clone(),
        })
    }

    /// Gets a resource from the first replica that answers.
    pub(crate) async fn get(&self, path: &str) -> Result<Answer, Failure> {
        self.call(path, None::<&()>).await
    }

    /// Posts a body to the leader.
    pub(crate) async fn post(&self, path: &str, body: &impl Serialize) -> Result<Answer, Failure> {
        self.call(path, Some(body)).await
    }

    async fn call<T: Serialize>(&self, path: &str, body: Option<&T>) -> Result<Answer, Failure> {
        let deadline = Instant::now() + TRY_FOR;
        loop {
            let mut cause = String::new();
            for address in &self.addresses {
                match self.call_one(address, path, body).await {
                    Ok(answer) if answer.status != StatusCode::MISDIRECTED_REQUEST => {
                        return Ok(answer);
                    }
                    Ok(answer) => cause = answer.body["error"].to_string(),
                    Err(error) => cause = format!("{address}: {error}"),
                }
            }
            if Instant::now() >= deadline {
                let remedy = "check that a majority of the control replicas runs";
                return Err(Failure::Unreachable(format!(
                    "no leader answered ({cause}); {remedy}"
                )));
            }
            tokio::time::sleep(ROUND_PAUSE).await;
        }
    }

    async fn call_one<T: Serialize>(
        &self,
        address: &str,
        path: &str,
        body: Option<&T>,
    ) -> Result<Answer, String> {
        let url = format!("http://{address}{path}");
        let sent = match body {
            Some(body) => self.client.post(url).send_json(body).await,
            None => self.client.get(url).send().await,
        };
        let mut response = sent.map_err(|error| error.to_string())?;
        let body = response
            .body()
            .limit(MAX_ANSWER_BYTES)
            .await
            .map_err(|error| error.to_string())?;
        let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
        Ok(Answer {
            status: response.status(),
            body,
        })
    }
}
