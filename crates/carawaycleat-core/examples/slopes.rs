//! Fits a line to each group of the benchmark `decisions` by least squares, and prints its slope and standard error.
//!
//! Run after the benchmark: `cargo run --release -p carawaycleat-core --example slopes [DIRECTORY]`. The directory is
//! `target/criterion` by default.

use std::env;
use std::fs;
use std::path;

fn main() {
    let directory = env::args().nth(1);
    let directory = directory.unwrap_or_else(|| "target/criterion".to_owned());
    let mut groups: Vec<_> = fs::read_dir(&directory)
        .expect("results of the benchmark")
        .filter_map(|entry| Some(entry.ok()?.path()))
        .collect();
    groups.sort();
    for group in groups {
        let points = points(&group);
        if points.len() > 2 {
            let name = group.file_name().unwrap_or_default().to_string_lossy();
            print(&name, &points);
        }
    }
}

/// Returns the size and mean time, in nanoseconds, of each benchmark of a group.
fn points(group: &path::Path) -> Vec<(f64, f64)> {
    let entries = fs::read_dir(group).into_iter().flatten().flatten();
    let point = |entry: fs::DirEntry| {
        let size: f64 = entry.file_name().to_str()?.parse().ok()?;
        let text = fs::read(entry.path().join("new/estimates.json")).ok()?;
        let estimates: serde_json::Value = serde_json::from_slice(&text).ok()?;
        Some((size, estimates["mean"]["point_estimate"].as_f64()?))
    };
    entries.filter_map(point).collect()
}

/// Prints the fitted line of a group.
fn print(name: &str, points: &[(f64, f64)]) {
    let count = points.len() as f64;
    let mean_size = points.iter().map(|(size, _)| size).sum::<f64>() / count;
    let mean_time = points.iter().map(|(_, time)| time).sum::<f64>() / count;
    let squared_deviations: f64 = points
        .iter()
        .map(|(size, _)| (size - mean_size).powi(2))
        .sum();
    let product = |(size, time): &(f64, f64)| (size - mean_size) * (time - mean_time);
    let slope = points.iter().map(product).sum::<f64>() / squared_deviations;
    let intercept = mean_time - slope * mean_size;
    let residual = |(size, time): &(f64, f64)| (time - intercept - slope * size).powi(2);
    let variance = points.iter().map(residual).sum::<f64>() / (count - 2.0);
    let standard_error = (variance / squared_deviations).sqrt();
    println!(
        "{name}: {intercept:.0} ns + {slope:.4} ns per unit, standard error {standard_error:.4} ns per unit"
    );
}
