//! Sidecar of an upstream in the carawaycleat serving system.

use std::process;

fn main() -> process::ExitCode {
    carawaycleat::process::side()
}
