//! Scaling of the relay tree: its shape and CPU cost, as the number of members grows to the number
//! planned for two years from now.

use std::collections::BTreeMap;

use lavenderseam_core::relay::{Member, MemberId, Members, Tree, WatcherRanking};

use super::Report;
use super::sample::{PLANNED_BALANCERS, PLANNED_TARGETS, documents, entries, min_time};

/// Number of members whose position in the tree is computed at each size.
const SAMPLE_SIZE: usize = 300;

/// Measures the CPU time to compute the position of a member, the children per process, the depth
/// and the share of members that a change moves, by number of members.
pub(crate) fn tree(seed: u64) -> Report {
    let columns = [
        "derive ms",
        "mean children",
        "most children",
        "depth",
        "moved by a join",
    ];
    let mut report = Report::new("tree", seed, "members", &columns);
    for divisor in [16, 8, 4, 2, 1] {
        let mut members = Members::default();
        for entry in entries(documents(PLANNED_TARGETS / divisor)) {
            members.apply(&entry);
        }
        let figures = figures(&members);
        report.add_row((PLANNED_TARGETS + PLANNED_BALANCERS) / divisor, figures);
    }
    report
}

fn figures(members: &Members) -> Vec<f64> {
    let watchers = WatcherRanking::new(members);
    let step = (members.len() / SAMPLE_SIZE).max(1);
    let sample: Vec<&Member> = members.iter().step_by(step).collect();
    let position = |member: &Member| Tree::new(member, members, &watchers);
    let trees: Vec<Tree> = sample.iter().map(|member| position(member)).collect();
    let children = trees.iter().map(|tree| tree.children.len());
    let derive_time = min_time(5, || {
        let watchers = WatcherRanking::new(members);
        std::hint::black_box(Tree::new(sample[0], members, &watchers));
    });
    let mean = children.clone().sum::<usize>() as f64 / trees.len() as f64;
    // Few processes have children, so the parents of the sampled members are searched for the
    // maximum as well.
    let parents: BTreeMap<MemberId, ()> = trees
        .iter()
        .flat_map(|tree| &tree.parents)
        .map(|id| (*id, ()))
        .collect();
    let of_parents = parents
        .keys()
        .filter_map(|id| Some(position(members.get(*id)?).children.len()));
    let max_children = children.chain(of_parents).max().unwrap_or_default() as f64;
    let depth = sample
        .iter()
        .map(|member| depth(member, members, &watchers))
        .max();
    let moved_share = moved_share(&sample, &trees, members);
    vec![
        derive_time.as_secs_f64() * 1e3,
        mean,
        max_children,
        depth.unwrap_or_default() as f64,
        moved_share,
    ]
}

/// Returns the number of hops from a watcher to a member along the preferred parents.
fn depth(member: &Member, members: &Members, watchers: &WatcherRanking) -> usize {
    let mut current = member.clone();
    let mut hops = 0;
    while !watchers.regular().contains(&current.id) && hops < 32 {
        let tree = Tree::new(&current, members, watchers);
        let Some(parent) = tree.parents.first().and_then(|id| members.get(*id)) else {
            break;
        };
        current = parent.clone();
        hops += 1;
    }
    hops
}

/// Returns the share of the sampled members whose parents change when one member leaves.
fn moved_share(sample: &[&Member], before: &[Tree], members: &Members) -> f64 {
    let mut remaining = Members::default();
    let departed = sample[sample.len() / 2].id;
    for member in members.iter().filter(|member| member.id != departed) {
        remaining.insert(member.clone());
    }
    let watchers = WatcherRanking::new(&remaining);
    let others = sample
        .iter()
        .zip(before)
        .filter(|(member, _)| member.id != departed);
    let changed = others
        .filter(|(member, tree)| Tree::new(member, &remaining, &watchers).parents != tree.parents);
    changed.count() as f64 / sample.len() as f64
}
