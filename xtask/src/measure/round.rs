//! Formatting of figures in tables.

use hdrhistogram::Histogram;

/// Microseconds per millisecond.
const US_PER_MS: f64 = 1000.0;

/// Formats a quantile of times in microseconds as milliseconds, `-` if there are none.
pub(crate) fn ms(times: &Histogram<u64>, quantile: f64) -> String {
    if times.is_empty() {
        return "-".to_owned();
    }
    format!("{:.2}", times.value_at_quantile(quantile) as f64 / US_PER_MS)
}

/// Formats a fraction as percent.
pub(crate) fn percent(fraction: f64) -> String {
    format!("{:.1} %", fraction * 100.0)
}

/// Returns the fraction of times in microseconds that are at most a bound in
/// milliseconds, 0 if there are none.
pub(crate) fn within(times: &Histogram<u64>, bound_ms: u64) -> f64 {
    if times.is_empty() {
        return 0.0;
    }
    times.quantile_below(bound_ms * US_PER_MS as u64)
}
