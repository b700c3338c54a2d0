//! HTTP client of an instance's operator server.

use std::net::SocketAddr;

use cowslip_codec::{from_json, to_json};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::error::{DecodeSnafu, Error, HttpSnafu, StatusSnafu};

/// Sends a GET request to `path` and decodes the response.
pub(crate) async fn get<T>(instance: SocketAddr, path: &str) -> Result<T, Error>
where
    T: DeserializeOwned,
{
    let url = format!("http://{instance}{path}");
    let request = cyper::Client::new().context(HttpSnafu)?.get(url).context(HttpSnafu)?;
    read_response(request.send().await.context(HttpSnafu)?).await
}

/// Sends `message` to `path` in a POST request and decodes the response.
pub(crate) async fn post<M, T>(instance: SocketAddr, path: &str, message: &M) -> Result<T, Error>
where
    M: Serialize,
    T: DeserializeOwned,
{
    let url = format!("http://{instance}{path}");
    let request = cyper::Client::new()
        .context(HttpSnafu)?
        .post(url)
        .context(HttpSnafu)?
        .body(to_json(message));
    read_response(request.send().await.context(HttpSnafu)?).await
}

async fn read_response<T>(response: cyper::Response) -> Result<T, Error>
where
    T: DeserializeOwned,
{
    let status = response.status();
    let body = response.bytes().await.context(HttpSnafu)?;
    if !status.is_success() {
        let text = String::from_utf8_lossy(&body).into_owned();
        return StatusSnafu { status: status.as_u16(), text }.fail();
    }
    from_json(&body).context(DecodeSnafu)
}
