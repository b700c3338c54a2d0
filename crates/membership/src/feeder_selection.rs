//! Selection of the instances that read the store for the other instances of their region.

use std::collections::BTreeMap;

use cowslip_name::Name;

/// Minimum number of feeders in a region, unless it has fewer instances.
const MIN_FEEDERS: usize = 2; // any one may fail
/// Instances of a region per feeder.
const INSTANCES_PER_FEEDER: usize = 32; // at two exchanges a second each, well under 3.4% of a core
/// Feeders assigned to each instance.
const FEEDERS_PER_INSTANCE: usize = 2;

/// Returns the feeders among the live instances of one region, given as pairs of name and failure
/// domain.
///
/// Feeders are taken from the failure domains in turn, in each domain by name, so that the loss of
/// one domain leaves some feeders.
///
/// Instances with the same list select the same feeders. While their lists differ there may be a
/// feeder more or fewer, which costs reads of the store but changes no result.
#[must_use]
pub fn select_feeders<'a, I>(live_instances: I) -> Vec<&'a Name>
where
    I: IntoIterator<Item = (&'a Name, &'a Name)>,
{
    let mut domains: BTreeMap<&Name, Vec<&Name>> = BTreeMap::new();
    for (name, domain) in live_instances {
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
    let feeder_count = MIN_FEEDERS.max(ranked.len().div_ceil(INSTANCES_PER_FEEDER));
    ranked.into_iter().take(feeder_count).map(|(_, _, name)| name).collect()
}

/// Returns those of a region's feeders that feed `instance`.
///
/// The feeders are consecutive in the order given. The first one depends on the instance's name, so
/// that the instances of a region are spread over its feeders.
#[must_use]
pub fn assigned_feeders<'a>(instance: &Name, feeders: &[&'a Name]) -> Vec<&'a Name> {
    let start = instance.as_str().bytes().map(usize::from).sum::<usize>() % feeders.len().max(1);
    feeders
        .iter()
        .cycle()
        .skip(start)
        .take(FEEDERS_PER_INSTANCE.min(feeders.len()))
        .copied()
        .collect()
}
