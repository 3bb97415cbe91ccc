//! Rendezvous ranking among many members without scoring all of them.

use super::{mix, top};

/// Members that a cell holds on average, at least.
const CELL_SIZE: usize = 16;

/// Members grouped by the leading bits of their hash.
///
/// A key is ranked only among the members of the cell that the key's own hash falls into. A member
/// that arrives or departs moves only keys of its cell, unless the number of members crosses a
/// power of two, when cells split or merge.
#[derive(Clone, Debug, Default)]
pub struct Cells {
    members: Vec<u64>,
    cells: Vec<Vec<u64>>,
}

impl Cells {
    /// Groups members by their ids.
    pub fn new(members: impl IntoIterator<Item = u64>) -> Self {
        let members: Vec<u64> = members.into_iter().collect();
        let count = (members.len() / CELL_SIZE).max(1);
        let count = if count.is_power_of_two() {
            count
        } else {
            count.next_power_of_two() / 2
        };
        let mut cells = vec![Vec::new(); count];
        for member in &members {
            cells[cell(*member, count)].push(*member);
        }
        Self { members, cells }
    }

    /// The `count` highest ranked members for a key, best first.
    #[must_use]
    pub fn top(&self, key: u64, count: usize) -> Vec<u64> {
        let Some(near) = self.cells.get(cell(key, self.cells.len().max(1))) else {
            return Vec::new();
        };
        // A cell with too few members would leave the key with less than it asks for.
        let among = if near.len() >= count {
            near
        } else {
            &self.members
        };
        top(key, among, count, |member| *member)
    }
}

/// The cell of a hash; `count` is a power of two.
fn cell(hash: u64, count: usize) -> usize {
    (mix(hash) >> 32) as usize & (count - 1)
}
