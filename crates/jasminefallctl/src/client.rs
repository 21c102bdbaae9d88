//! HTTP client of the control instances.

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
/// The time after which no new round of attempts over all replicas starts.
const RETRY_TIMEOUT: Duration = Duration::from_secs(10);
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Statuses after which another replica, or a later attempt, may succeed.
const RETRYABLE_STATUSES: [StatusCode; 3] = [
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::GATEWAY_TIMEOUT,
];

/// Sends requests to the control replicas until one of them handles the request.
pub(crate) struct ControlClient {
    client: Client,
    scheme: &'static str,
    addresses: Vec<String>,
}

/// Holds an HTTP response.
pub(crate) struct Response {
    /// The HTTP status.
    pub(crate) status: StatusCode,
    /// The JSON body; `Null` if the body is not JSON.
    pub(crate) body: Value,
}

impl Response {
    /// Returns the error message in the body, or the status if there is none.
    pub(crate) fn error(&self) -> String {
        let error = self.body["error"].as_str().map(str::to_owned);
        error.unwrap_or_else(|| format!("the response has the status {}", self.status))
    }

    /// Deserializes the body of a successful response.
    pub(crate) fn parse_body<T: DeserializeOwned>(self) -> Result<T, Failure> {
        serde_json::from_value(self.body).map_err(|error| {
            let remedy = "use the same version of jasminefallctl as the control instances";
            Failure::Unreachable(format!("the response cannot be read: {error}; {remedy}"))
        })
    }
}

impl ControlClient {
    /// Creates a client from the addresses, token and certificates of the command line.
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

    /// Gets a resource from the first replica that provides it.
    pub(crate) async fn get(&self, path: &str) -> Result<Response, Failure> {
        self.call(path, None::<&()>).await
    }

    /// Posts a body to the leader; the request must be idempotent because it is retried until a
    /// response arrives.
    pub(crate) async fn post(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<Response, Failure> {
        self.call(path, Some(body)).await
    }

    /// Queries every replica once and returns each address with its response or error.
    pub(crate) async fn get_from_each(
        &self,
        path: &str,
    ) -> Result<Vec<(String, Result<Response, String>)>, Failure> {
        let calls = self.addresses.iter().map(|address| async move {
            let result = self.call_one(address, path, None::<&()>).await;
            (address.clone(), result)
        });
        let results = futures::future::join_all(calls).await;
        for (_, result) in &results {
            result.as_ref().map_or(Ok(()), check_status)?;
        }
        Ok(results)
    }

    async fn call<T: Serialize>(&self, path: &str, body: Option<&T>) -> Result<Response, Failure> {
        let deadline = Instant::now() + RETRY_TIMEOUT;
        loop {
            let mut cause = String::new();
            for address in &self.addresses {
                match self.call_one(address, path, body).await {
                    Ok(response) if RETRYABLE_STATUSES.contains(&response.status) => {
                        cause = format!("{address}: {}", response.error());
                    }
                    Ok(response) => {
                        check_status(&response)?;
                        return Ok(response);
                    }
                    Err(error) => cause = format!("{address}: {error}"),
                }
            }
            if Instant::now() >= deadline {
                let remedy = "check that a majority of the control replicas is running";
                return Err(Failure::Unreachable(format!(
                    "no leader answered ({cause}); {remedy}"
                )));
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    async fn call_one<T: Serialize>(
        &self,
        address: &str,
        path: &str,
        body: Option<&T>,
    ) -> Result<Response, String> {
        let url = format!("{}://{address}{path}", self.scheme);
        let result = match body {
            Some(body) => self.client.post(url).send_json(body).await,
            None => self.client.get(url).send().await,
        };
        let mut response = result.map_err(|error| error.to_string())?;
        let body = response
            .body()
            .limit(MAX_RESPONSE_BYTES)
            .await
            .map_err(|error| error.to_string())?;
        let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
        Ok(Response {
            status: response.status(),
            body,
        })
    }
}

/// Returns an error if the call was not authorized or the resource does not exist.
fn check_status(response: &Response) -> Result<(), Failure> {
    match response.status {
        StatusCode::UNAUTHORIZED => Err(Failure::NotAllowed(
            "the control instances do not accept your token; give its file with --token-file or \
             JASMINEFALL_TOKEN_FILE, and check that their settings declare its SHA-256"
                .to_owned(),
        )),
        StatusCode::FORBIDDEN => Err(Failure::NotAllowed(response.error())),
        StatusCode::NOT_FOUND => Err(Failure::NotFound(response.error())),
        _ => Ok(()),
    }
}
