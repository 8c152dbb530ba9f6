//! The program `carawaycleat-side`, built with this package for its tests.

use std::process;

fn main() -> process::ExitCode {
    carawaycleat::process::side()
}
