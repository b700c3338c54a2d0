//! A caller's request with its buffered body.

use std::sync::Arc;

use bytes::Bytes;
use cowslip_ingress::{Defect, check_head, exposes_key};
use cowslip_net::{Account, Error, read_request_body};
use http::{HeaderMap, HeaderName, Method, Request};
use hyper::body::Incoming;

use super::error::CallerError;

/// Header with the key under which a call runs at most once.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Longest idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// A request without the caller's API key.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    /// Path with query.
    pub(crate) path: String,
    pub(crate) content_type: Option<String>,
    pub(crate) idempotency_key: Option<Arc<str>>,
    pub(crate) body: Bytes,
    /// Account of the memory that responses to the caller use.
    pub(crate) account: Account,
}

impl CallerRequest {
    /// Reads the request. The API key is returned separately, so that it cannot be forwarded.
    pub(crate) async fn read(
        request: Request<Incoming>,
        max_body_bytes: usize,
        account: Account,
    ) -> Result<(Self, Option<String>), CallerError> {
        let (head, body) = request.into_parts();
        check_head(&head).map_err(CallerError::from_defect)?;
        let bearer = bearer(&head.headers);
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
        let idempotency_key = idempotency_key(&head.headers)?;
        let content_type = header_text(&head.headers, "content-type");
        let reading = read_request_body(body, max_body_bytes, &account);
        let body = reading.await.map_err(|error| match error {
            Error::TooLarge { .. } => CallerError::TOO_LARGE,
            Error::NoMemory => CallerError::NO_MEMORY,
            _ => CallerError::BAD_REQUEST,
        })?;
        // The other headers are neither forwarded nor recorded.
        let kept_headers: HeaderMap = ["content-type", IDEMPOTENCY_KEY]
            .into_iter()
            .filter_map(|name| {
                Some((HeaderName::from_static(name), head.headers.get(name)?.clone()))
            })
            .collect();
        let is_exposed = |key: &str| exposes_key(key, &head.uri, &kept_headers, &body);
        if bearer.as_deref().is_some_and(is_exposed) {
            return Err(CallerError::from_defect(Defect::ExposedKey));
        }
        let request =
            Self { method: head.method, path, content_type, idempotency_key, body, account };
        Ok((request, bearer))
    }

    /// Returns the BLAKE3 digest of the method, path and body, each prefixed by its length.
    pub(crate) fn digest(&self) -> [u8; 32] {
        let mut hasher = blake3::Hasher::new();
        for part in [self.method.as_str().as_bytes(), self.path.as_bytes(), &self.body] {
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        *hasher.finalize().as_bytes()
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

fn bearer(headers: &HeaderMap) -> Option<String> {
    header_text(headers, "authorization")?.strip_prefix("Bearer ").map(str::to_owned)
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<Arc<str>>, CallerError> {
    match headers.get(IDEMPOTENCY_KEY).map(|value| value.to_str()) {
        None => Ok(None),
        Some(Ok(key)) if !key.is_empty() && key.len() <= MAX_IDEMPOTENCY_KEY_BYTES => {
            Ok(Some(Arc::from(key)))
        }
        Some(_) => Err(CallerError::BAD_REQUEST),
    }
}
