//! Which heads of responses are valid, for every reader of responses.

use http::header::TRANSFER_ENCODING;
use http::response::Parts;

use crate::error::Error;

/// Statuses of final responses.
const FINAL_STATUSES: std::ops::Range<u16> = 200..600;

/// Checks a head beyond what `hyper` checks: whether it is one of a final response, and its body has no
/// transfer coding but chunks. A length beside chunks is not seen here, since `hyper` removes it.
///
/// # Errors
/// Returns [`Error::InvalidHead`] with the reason.
pub(crate) fn check_head(head: &Parts) -> Result<(), Error> {
    let invalid = |why| Err(Error::InvalidHead { why });
    if !FINAL_STATUSES.contains(&head.status.as_u16()) {
        return invalid("its status is not one of a final response");
    }
    let mut codings = head.headers.get_all(TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else { return Ok(()) };
    if codings.next().is_some() || !coding.as_bytes().eq_ignore_ascii_case(b"chunked") {
        return invalid("its transfer coding is not chunked alone");
    }
    Ok(())
}
