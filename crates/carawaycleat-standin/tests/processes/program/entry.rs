//! The program `carawaycleat-entry`, built with this package for its tests.

use std::process;

fn main() -> process::ExitCode {
    carawaycleat::process::entry()
}
