//! Blocking HTTP requests.

use std::time::Duration;

use http::Method;
use snafu::ResultExt;

use crate::error::{Error, HttpSnafu, IoSnafu, TimeoutSnafu};

/// Limit for one request, from connecting to the end of the body.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A complete HTTP response.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// HTTP status code.
    pub status: u16,
    /// Complete body as text.
    pub body: String,
}

impl HttpResponse {
    /// Returns the body as JSON, or null if it is not valid JSON.
    #[must_use]
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Returns the error code of the body, or an empty string if it has none.
    #[must_use]
    pub fn code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap_or_default().to_owned()
    }

    /// Whether the response states that the request was not executed.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        self.json()["error"]["not_run"] == true
    }
}

/// Sends a request and waits for the complete response.
///
/// # Errors
/// Returns an error when no complete response arrives in time.
pub fn request(
    method: &Method,
    url: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<HttpResponse, Error> {
    let runtime = compio::runtime::Runtime::new().context(IoSnafu)?;
    runtime.block_on(async {
        let response = send_request(method, url, headers, body);
        match compio::time::timeout(REQUEST_TIMEOUT, response).await {
            Ok(result) => result,
            Err(_) => TimeoutSnafu { condition: url }.fail(),
        }
    })
}

async fn send_request(
    method: &Method,
    url: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<HttpResponse, Error> {
    let client = cyper::Client::new().context(HttpSnafu)?;
    let mut request = client.request(method.clone(), url).context(HttpSnafu)?;
    for (name, value) in headers {
        request = request.header(*name, *value).context(HttpSnafu)?;
    }
    let response = request.body(body.to_owned()).send().await.context(HttpSnafu)?;
    let status = response.status().as_u16();
    let body = response.text().await.context(HttpSnafu)?;
    Ok(HttpResponse { status, body })
}
