//! Fits a line to each group of the benchmark `decisions` by least squares and prints the slope with its standard error.
//!
//! `cargo run --release -p carawaycleat-core --example slopes [DIRECTORY]`, after the benchmark; the directory is
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

/// Returns the sizes and mean times of a group, in nanoseconds.
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

fn print(name: &str, points: &[(f64, f64)]) {
    let count = points.len() as f64;
    let mean_size = points.iter().map(|(size, _)| size).sum::<f64>() / count;
    let mean_time = points.iter().map(|(_, time)| time).sum::<f64>() / count;
    let spread: f64 = points
        .iter()
        .map(|(size, _)| (size - mean_size).powi(2))
        .sum();
    let product = |(size, time): &(f64, f64)| (size - mean_size) * (time - mean_time);
    let slope = points.iter().map(product).sum::<f64>() / spread;
    let start = mean_time - slope * mean_size;
    let residual = |(size, time): &(f64, f64)| (time - start - slope * size).powi(2);
    let variance = points.iter().map(residual).sum::<f64>() / (count - 2.0);
    let error = (variance / spread).sqrt();
    println!(
        "{name}: {start:.0} ns + {slope:.4} ns per unit, standard error {error:.4} ns per unit"
    );
}
