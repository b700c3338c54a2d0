//! Which instances of a region read the platform's log for the others.

use std::collections::BTreeMap;

use cowslip_name::Name;

/// Least number of readers in a region.
const MIN_FEEDERS: usize = 2; // one may be lost at any moment
/// Instances that one reader feeds.
const FED_PER_FEEDER: usize = 32; // two exchanges a second each: well under 3.4% of a core
/// Readers that feed an instance.
const FEEDERS_OF_ONE: usize = 2;

/// The feeders among the live instances of one region, given with their domains: the first of each
/// domain by name in turn, so that the loss of a domain leaves some.
///
/// Everyone with the same list gets the same answer; with differing lists there may be a feeder
/// more or fewer for a while, which costs reads but changes no result.
#[must_use]
pub fn select_feeders<'a, I>(live: I) -> Vec<&'a Name>
where
    I: IntoIterator<Item = (&'a Name, &'a Name)>,
{
    let mut domains: BTreeMap<&Name, Vec<&Name>> = BTreeMap::new();
    for (name, domain) in live {
        domains.entry(domain).or_default().push(name);
    }
    let mut ranked: Vec<(usize, &Name, &Name)> = domains
        .into_iter()
        .flat_map(|(domain, mut names)| {
            names.sort();
            names.dedup();
            names.into_iter().enumerate().map(move |(rank, name)| (rank, domain, name))
        })
        .collect();
    ranked.sort();
    let wanted = MIN_FEEDERS.max(ranked.len().div_ceil(FED_PER_FEEDER));
    ranked.into_iter().take(wanted).map(|(_, _, name)| name).collect()
}

/// Those of a region's feeders that feed this instance: neighbours in the order of their names, which
/// instance begins where spreads by the instance's own name.
#[must_use]
pub fn assigned_feeders<'a>(me: &Name, feeders: &[&'a Name]) -> Vec<&'a Name> {
    let start = me.as_str().bytes().map(usize::from).sum::<usize>() % feeders.len().max(1);
    feeders.iter().cycle().skip(start).take(FEEDERS_OF_ONE.min(feeders.len())).copied().collect()
}
