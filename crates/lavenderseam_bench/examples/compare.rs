//! Prints a comparison of methods to find the target of a flow. Usage: `compare [seed]`.

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok());
    print!("{}", lavenderseam_bench::compare::run(seed.unwrap_or(1)));
}
