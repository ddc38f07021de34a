//! Reads values from the Prometheus text format.

/// Returns the sum of a metric over all its label sets; `None` if `text` doesn't contain it.
pub fn sum(text: &str, name: &str) -> Option<f64> {
    let values = text.lines().filter_map(|line| value(line, name));
    values.fold(None, |sum, value| Some(sum.unwrap_or_default() + value))
}

fn value(line: &str, name: &str) -> Option<f64> {
    let rest = line.strip_prefix(name)?;
    let value = match rest.strip_prefix('{') {
        Some(labels) => labels.rsplit_once("} ")?.1,
        None => rest.strip_prefix(' ')?,
    };
    value.trim().parse().ok()
}
