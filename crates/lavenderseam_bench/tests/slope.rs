//! Linear fit and names of the slopes.

use googletest::prelude::*;
use lavenderseam_bench::slope::{self, Fit, UnknownSlope};

#[gtest]
fn exact_line_has_no_residual() {
    let fit = Fit::new(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0), (8.0, 19.0)]);
    assert_that!(fit.slope, near(2.0, 1e-9));
    assert_that!(fit.intercept, near(3.0, 1e-9));
    assert_that!(fit.residual, near(0.0, 1e-9));
    assert_that!(fit.value_at(100.0), near(203.0, 1e-9));
}

#[gtest]
fn deviation_from_the_line_raises_the_residual() {
    let fit = Fit::new(&[(1.0, 9.0), (2.0, 11.0), (3.0, 9.0), (4.0, 11.0)]);
    assert_that!(fit.residual, gt(0.05));
}

#[gtest]
fn unknown_slope_is_an_error() {
    let unknown = UnknownSlope("height".to_owned());
    assert_that!(slope::run("height", 1), err(eq(&unknown)));
}
