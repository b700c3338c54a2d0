//! Selection of the instances that read the store for all others, and of those that pass it on.

use std::collections::BTreeMap;

use cowslip_name::Name;

/// Minimum number of feeders in a region, unless it has fewer instances.
const MIN_FEEDERS: usize = 2; // any one may fail
/// Instances of a region per feeder.
const INSTANCES_PER_FEEDER: usize = 32; // at two exchanges a second each, well under 3.4% of a core
/// Feeders assigned to each instance.
const FEEDERS_PER_INSTANCE: usize = 2;
/// Number of readers.
const READERS: usize = 2; // any one may fail, and so may any region

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
    let ranked = rank_within_groups(live_instances);
    let feeder_count = MIN_FEEDERS.max(ranked.len().div_ceil(INSTANCES_PER_FEEDER));
    ranked.into_iter().take(feeder_count).collect()
}

/// Returns the readers among the feeders of all regions, given as pairs of name and region.
///
/// Readers are taken from the regions in turn, in each region by name, so that the loss of one
/// region leaves a reader.
#[must_use]
pub fn select_readers<'a, I>(feeders: I) -> Vec<&'a Name>
where
    I: IntoIterator<Item = (&'a Name, &'a Name)>,
{
    rank_within_groups(feeders).into_iter().take(READERS).collect()
}

/// Orders names by their position within their group, then by group. Each name is listed once.
fn rank_within_groups<'a, I>(pairs: I) -> Vec<&'a Name>
where
    I: IntoIterator<Item = (&'a Name, &'a Name)>,
{
    let mut groups: BTreeMap<&Name, Vec<&Name>> = BTreeMap::new();
    for (name, group) in pairs {
        groups.entry(group).or_default().push(name);
    }
    let mut ranked: Vec<(usize, &Name, &Name)> = groups
        .into_iter()
        .flat_map(|(group, mut names)| {
            names.sort();
            names.dedup();
            names.into_iter().enumerate().map(move |(rank, name)| (rank, group, name))
        })
        .collect();
    ranked.sort();
    ranked.into_iter().map(|(_, _, name)| name).collect()
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
