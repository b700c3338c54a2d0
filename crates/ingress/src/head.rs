//! The head of a request: method, version, target and the headers that must be unambiguous.

use http::header::{AUTHORIZATION, HOST};
use http::{Method, Version, request};

use crate::{Defect, check_path};

/// Checks the head of a caller's request.
///
/// A length beside a transfer coding is not a defect: the server drops the length, and closes the
/// connection after the response.
///
/// # Errors
/// Returns the first [`Defect`] found.
pub fn check_head(parts: &request::Parts) -> Result<(), Defect> {
    let headers = &parts.headers;
    let count = |name| headers.get_all(name).iter().count();
    if parts.method == Method::CONNECT {
        return Err(Defect::Tunnel);
    }
    if parts.version != Version::HTTP_11 {
        return Err(Defect::Version);
    }
    let host = headers.get(HOST).map(http::HeaderValue::as_bytes);
    let names_other_host = parts.uri.authority().is_some_and(|authority| {
        host.is_none_or(|host| !host.eq_ignore_ascii_case(authority.as_str().as_bytes()))
    });
    if count(HOST) != 1 || names_other_host {
        return Err(Defect::Host);
    }
    if count(AUTHORIZATION) > 1 {
        return Err(Defect::Authorization);
    }
    check_path(parts.uri.path())
}
