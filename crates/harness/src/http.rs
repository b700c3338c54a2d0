//! Blocking requests.

use std::time::Duration;

use http::Method;
use snafu::ResultExt;

use crate::error::{Error, HttpSnafu, IoSnafu, WaitSnafu};

const TIMEOUT: Duration = Duration::from_secs(30);

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Whole body.
    pub body: String,
}

impl Answer {
    /// The body as JSON, null if it is none.
    #[must_use]
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// The error code, empty if there is none.
    #[must_use]
    pub fn code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap_or_default().to_owned()
    }

    /// Whether the answer says that nothing ran.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        self.json()["error"]["not_run"] == true
    }
}

/// Sends a request and waits for the whole answer.
///
/// # Errors
/// Returns an error when no whole answer comes.
pub fn request(
    method: &Method,
    url: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<Answer, Error> {
    let runtime = compio::runtime::Runtime::new().context(IoSnafu)?;
    runtime.block_on(async {
        let work = exchange(method, url, headers, body);
        match compio::time::timeout(TIMEOUT, work).await {
            Ok(answer) => answer,
            Err(_) => WaitSnafu { what: url }.fail(),
        }
    })
}

async fn exchange(
    method: &Method,
    url: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<Answer, Error> {
    let client = cyper::Client::new().context(HttpSnafu)?;
    let mut request = client.request(method.clone(), url).context(HttpSnafu)?;
    for (name, value) in headers {
        request = request.header(*name, *value).context(HttpSnafu)?;
    }
    let response = request.body(body.to_owned()).send().await.context(HttpSnafu)?;
    let status = response.status().as_u16();
    let body = response.text().await.context(HttpSnafu)?;
    Ok(Answer { status, body })
}
