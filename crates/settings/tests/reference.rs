//! Checks that docs/SETTINGS.md documents the keys and ranges in the code.

use std::fs;
use std::path::Path;

use settings::key;
use settings::limit;

/// Returns the cells of the table rows whose first cell is a key.
fn rows() -> Vec<Vec<String>> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/SETTINGS.md");
    let text = fs::read_to_string(path).expect("docs/SETTINGS.md is readable");
    text.lines()
        .filter_map(|line| line.strip_prefix("| `")?.strip_suffix(" |"))
        .map(|row| row.split(" | ").map(|cell| cell.trim_matches('`').to_owned()).collect())
        .collect()
}

#[test]
fn exactly_the_keys_are_documented_in_order() {
    let documented: Vec<String> = rows().into_iter().map(|row| row[0].clone()).collect();
    assert_eq!(documented, key::all());
}

#[test]
fn defaults_and_ranges_of_limits_are_documented() {
    let ranges = [
        ("body_bytes", limit::BODY_BYTES),
        ("header_timeout_ms", limit::HEADER_TIMEOUT_MS),
        ("connections", limit::CONNECTIONS),
        ("stop_grace_ms", limit::STOP_GRACE_MS),
        ("resume_grace_ms", limit::RESUME_GRACE_MS),
        ("workers", limit::WORKERS),
    ];
    let names: Vec<&str> = ranges.iter().map(|(name, _)| *name).collect();
    assert_eq!(names, key::LIMIT);
    for (name, range) in ranges {
        let rows = rows();
        let row = rows.iter().find(|row| row[0] == format!("limit.{name}")).unwrap();
        assert_eq!(row[3], range.default.to_string(), "default of {name}");
        assert_eq!(row[4], format!("{} to {}", range.min, range.max), "range of {name}");
    }
}
