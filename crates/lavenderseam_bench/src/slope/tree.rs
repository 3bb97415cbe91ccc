//! The relay tree up to the two-year size.

use std::collections::BTreeMap;

use lavenderseam_core::relay::{Member, MemberId, Members, Tree, Watchers};

use super::Report;
use super::sample::{BALANCERS, TARGETS, documents, entries, least_time};

/// Members whose place is derived at each size.
const SAMPLE: usize = 300;

/// Processor time of deriving a place, children of a process and depth, against members.
pub(crate) fn tree(seed: u64) -> Report {
    let columns = [
        "derive ms",
        "mean children",
        "most children",
        "depth",
        "moved by a join",
    ];
    let mut report = Report::new("tree", seed, "members", &columns);
    for share in [16, 8, 4, 2, 1] {
        let mut members = Members::default();
        for entry in entries(documents(TARGETS / share)) {
            members.apply(&entry);
        }
        let figures = figures(&members);
        report.add((TARGETS + BALANCERS) / share, figures);
    }
    report
}

fn figures(members: &Members) -> Vec<f64> {
    let watchers = Watchers::new(members);
    let step = (members.len() / SAMPLE).max(1);
    let sample: Vec<&Member> = members.iter().step_by(step).collect();
    let place = |member: &Member| Tree::new(member, members, &watchers);
    let trees: Vec<Tree> = sample.iter().map(|member| place(member)).collect();
    let children = trees.iter().map(|tree| tree.children.len());
    let derive = least_time(5, || {
        let watchers = Watchers::new(members);
        std::hint::black_box(Tree::new(sample[0], members, &watchers));
    });
    let mean = children.clone().sum::<usize>() as f64 / trees.len() as f64;
    // The processes with children are few, so the fullest is looked for among the parents too.
    let parents: BTreeMap<MemberId, ()> = trees
        .iter()
        .flat_map(|tree| &tree.parents)
        .map(|id| (*id, ()))
        .collect();
    let of_parents = parents
        .keys()
        .filter_map(|id| Some(place(members.get(*id)?).children.len()));
    let most = children.chain(of_parents).max().unwrap_or_default() as f64;
    let depth = sample
        .iter()
        .map(|member| depth(member, members, &watchers))
        .max();
    let moved = moved(&sample, &trees, members);
    vec![
        derive.as_secs_f64() * 1e3,
        mean,
        most,
        depth.unwrap_or_default() as f64,
        moved,
    ]
}

/// Hops from a watcher to a member along the preferred parents.
fn depth(member: &Member, members: &Members, watchers: &Watchers) -> usize {
    let mut at = member.clone();
    let mut hops = 0;
    while !watchers.first().contains(&at.id) && hops < 32 {
        let tree = Tree::new(&at, members, watchers);
        let Some(parent) = tree.parents.first().and_then(|id| members.get(*id)) else {
            break;
        };
        at = parent.clone();
        hops += 1;
    }
    hops
}

/// Share of the members whose parents change when one member departs.
fn moved(sample: &[&Member], before: &[Tree], members: &Members) -> f64 {
    let mut fewer = Members::default();
    let departed = sample[sample.len() / 2].id;
    for member in members.iter().filter(|member| member.id != departed) {
        fewer.insert(member.clone());
    }
    let watchers = Watchers::new(&fewer);
    let others = sample
        .iter()
        .zip(before)
        .filter(|(member, _)| member.id != departed);
    let changed = others
        .filter(|(member, tree)| Tree::new(member, &fewer, &watchers).parents != tree.parents);
    changed.count() as f64 / sample.len() as f64
}
