//! Calls to the control instances.

use std::time::{Duration, Instant};

use awc::http::StatusCode;
use awc::{Client, Connector};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::arguments::Arguments;
use crate::failure::Failure;
use crate::tls;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const TRY_FOR: Duration = Duration::from_secs(10);
const ROUND_PAUSE: Duration = Duration::from_millis(100);
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Answers that another replica, or the same one a little later, may better.
const TRY_AGAIN: [StatusCode; 3] = [
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::GATEWAY_TIMEOUT,
];

/// Calls whichever control replica carries out a call.
pub(crate) struct ControlCalls {
    client: Client,
    scheme: &'static str,
    addresses: Vec<String>,
}

/// Holds an answer.
pub(crate) struct Answer {
    /// The HTTP status.
    pub(crate) status: StatusCode,
    /// The JSON body.
    pub(crate) body: Value,
}

impl Answer {
    /// Returns the error that the body names.
    pub(crate) fn error(&self) -> String {
        let error = self.body["error"].as_str().map(str::to_owned);
        error.unwrap_or_else(|| format!("the answer has the status {}", self.status))
    }

    /// Reads the body of an answer that succeeded.
    pub(crate) fn read<T: DeserializeOwned>(self) -> Result<T, Failure> {
        serde_json::from_value(self.body).map_err(|error| {
            let remedy = "run the version of jasminefallctl that the control instances run";
            Failure::Unreachable(format!("the answer cannot be read: {error}; {remedy}"))
        })
    }
}

impl ControlCalls {
    /// Creates the client of the addresses on the command line.
    pub(crate) fn new(arguments: &Arguments) -> Result<Self, Failure> {
        arguments.require_control()?;
        let connector = Connector::new();
        let (connector, scheme) = match &arguments.ca {
            Some(ca) => (connector.rustls_0_23(tls::client_config(ca)?), "https"),
            None => (connector, "http"),
        };
        let builder = Client::builder()
            .connector(connector)
            .disable_redirects()
            .timeout(CALL_TIMEOUT);
        let client = match &arguments.token {
            Some(token) => builder.bearer_auth(token).finish(),
            None => builder.finish(),
        };
        Ok(Self {
            client,
            scheme,
            addresses: arguments.control.clone(),
        })
    }

    /// Gets a resource from the first replica that answers.
    pub(crate) async fn get(&self, path: &str) -> Result<Answer, Failure> {
        self.call(path, None::<&()>).await
    }

    /// Posts a body to the leader; it is sent again until an answer comes, so it must be idempotent.
    pub(crate) async fn post(&self, path: &str, body: &impl Serialize) -> Result<Answer, Failure> {
        self.call(path, Some(body)).await
    }

    /// Asks every replica once; returns each address with its answer or what went wrong.
    pub(crate) async fn get_from_each(
        &self,
        path: &str,
    ) -> Result<Vec<(String, Result<Answer, String>)>, Failure> {
        let calls = self.addresses.iter().map(|address| async move {
            let answered = self.call_one(address, path, None::<&()>).await;
            (address.clone(), answered)
        });
        let answers = futures::future::join_all(calls).await;
        for (_, answered) in &answers {
            answered.as_ref().map_or(Ok(()), refuse_not_allowed)?;
        }
        Ok(answers)
    }

    async fn call<T: Serialize>(&self, path: &str, body: Option<&T>) -> Result<Answer, Failure> {
        let deadline = Instant::now() + TRY_FOR;
        loop {
            let mut cause = String::new();
            for address in &self.addresses {
                match self.call_one(address, path, body).await {
                    Ok(answer) if TRY_AGAIN.contains(&answer.status) => {
                        cause = format!("{address}: {}", answer.error());
                    }
                    Ok(answer) => {
                        refuse_not_allowed(&answer)?;
                        return Ok(answer);
                    }
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
        let url = format!("{}://{address}{path}", self.scheme);
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

fn refuse_not_allowed(answer: &Answer) -> Result<(), Failure> {
    match answer.status {
        StatusCode::UNAUTHORIZED => Err(Failure::NotAllowed(
            "the control instances do not know your token; give its file with --token-file or \
             JASMINEFALL_TOKEN_FILE, and see that their settings declare its SHA-256"
                .to_owned(),
        )),
        StatusCode::FORBIDDEN => Err(Failure::NotAllowed(answer.error())),
        StatusCode::NOT_FOUND => Err(Failure::NotKept(answer.error())),
        _ => Ok(()),
    }
}
