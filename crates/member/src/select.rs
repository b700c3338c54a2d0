//! Which instances of a failure domain read the platform's log for the others.

use cowslip_name::Name;

/// Readers of the log in each failure domain.
pub const FEEDERS_PER_DOMAIN: usize = 2;

/// The feeders among the live instances of one domain: the first by name.
///
/// Everyone with the same list gets the same answer; with differing lists there may be a feeder
/// more or fewer for a while, which costs reads but changes no result.
#[must_use]
pub fn feeders<'a, I>(live: I) -> Vec<&'a Name>
where
    I: IntoIterator<Item = &'a Name>,
{
    let mut names: Vec<&Name> = live.into_iter().collect();
    names.sort();
    names.dedup();
    names.truncate(FEEDERS_PER_DOMAIN);
    names
}
