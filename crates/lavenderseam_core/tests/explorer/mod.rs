//! Enumerates every sequence of choices up to a bound.

/// The choices of one path, and which of them comes next.
#[derive(Default)]
pub struct Path {
    choices: Vec<(usize, usize)>,
    next: usize,
}

impl Path {
    /// Chooses one of `count` alternatives; every one is taken on some path.
    pub fn choose(&mut self, count: usize) -> usize {
        if self.next == self.choices.len() {
            self.choices.push((0, count));
        }
        let (chosen, _) = self.choices[self.next];
        self.next += 1;
        chosen
    }

    fn advance(&mut self) -> bool {
        self.next = 0;
        while let Some((chosen, count)) = self.choices.pop() {
            if chosen + 1 < count {
                self.choices.push((chosen + 1, count));
                return true;
            }
        }
        false
    }
}

/// Runs `check` on every path and returns how many there are.
pub fn explore(mut check: impl FnMut(&mut Path)) -> u64 {
    let mut path = Path::default();
    let mut count = 0;
    loop {
        check(&mut path);
        count += 1;
        if !path.advance() {
            return count;
        }
    }
}
