//! The normal form of a path.

use percent_encoding::percent_decode_str;

use crate::Defect;

/// Checks that every reader of the path sees the same segments, so that an upstream which resolves
/// dots or decodes slashes runs what the matched route covers.
///
/// # Errors
/// Returns [`Defect::Path`] if the path is not in normal form.
pub fn check_path(path: &str) -> Result<(), Defect> {
    let segments = path.strip_prefix('/').ok_or(Defect::Path)?;
    let last = segments.split('/').count() - 1;
    let is_normal = segments.split('/').enumerate().all(|(index, segment)| {
        // Only the last segment may be empty, after a final slash.
        if segment.is_empty() { index == last } else { is_normal_segment(segment) }
    });
    if is_normal { Ok(()) } else { Err(Defect::Path) }
}

fn is_normal_segment(segment: &str) -> bool {
    if !has_valid_escapes(segment) {
        return false;
    }
    let Ok(decoded) = percent_decode_str(segment).decode_utf8() else { return false };
    // Some servers ignore parameters after a semicolon before they resolve dots.
    let name = decoded.split(';').next().unwrap_or_default();
    let is_decodable_again = {
        let again = percent_decode_str(&decoded).decode_utf8_lossy();
        again.contains(['/', '\\']) || matches!(&*again, "." | "..")
    };
    !matches!(name, "" | "." | "..")
        && !decoded.contains(['/', '\\', '#'])
        && !decoded.contains(char::is_control)
        && !is_decodable_again
}

/// Returns whether each percent sign is followed by two hex digits.
fn has_valid_escapes(segment: &str) -> bool {
    segment.split('%').skip(1).all(|rest| {
        let digits = rest.as_bytes().get(..2);
        digits.is_some_and(|digits| digits.iter().all(u8::is_ascii_hexdigit))
    })
}
