//! Metrics of the entries on their placements, summed over a deployment.

use std::collections::BTreeMap;

use fleet::Fleet;
use fleet::http::Client;
use fleet::metrics;

use crate::error::Error;
use crate::measure::round::percent;
use crate::measure::table::Table;

/// Metric of the bytes that a process sent and received in control calls.
const CONTROL: &str = "lycheeknot_control_bytes_total";
/// Metric of the bytes of notes that an entry sent.
const NOTE_BYTES: &str = "lycheeknot_entry_note_bytes_total";
/// Columns after the placement, each with the metric and labels of the samples that
/// it sums.
const COLUMNS: [(&str, &str); 13] = [
    ("first turns", "chats_total turn=first"),
    ("at home", "chats_total place=home turn=later"),
    ("at the last place", "chats_total place=last turn=later"),
    ("elsewhere", "chats_total place=other turn=later"),
    ("home refused: bound", "refusals_total place=home reason=bound"),
    ("last refused: bound", "refusals_total place=last reason=bound"),
    ("other refused: bound", "refusals_total place=other reason=bound"),
    ("refused: moved", "refusals_total reason=moved"),
    ("refused: other", "refusals_total reason=other"),
    ("lost", "lost_total"),
    ("ejections", "ejections_total"),
    ("notes taken", "notes_total outcome=taken"),
    ("notes lost", "notes_total outcome=lost"),
];
/// Prefix of the names of entries' metrics.
const PREFIX: &str = "lycheeknot_entry_";

/// Metrics summed over the daemons of a deployment.
#[derive(Debug, Clone, Default)]
pub(crate) struct Counts {
    /// Bytes of control calls.
    pub(crate) control: f64,
    /// Bytes of notes.
    pub(crate) note_bytes: f64,
    /// Values of the entries' metrics by sample, as `name{labels}` without the prefix.
    samples: BTreeMap<String, f64>,
}

/// Creates the table of the counts, without rows.
pub(crate) fn table(cluster: &str) -> Table {
    let columns = COLUMNS.iter().map(|(head, _)| *head);
    let reuse = ["reuse at home", "at the last place", "elsewhere"];
    let head: Vec<&str> = ["placement"].into_iter().chain(columns).chain(reuse).collect();
    Table::new(&format!("{cluster}: counted by the entries until the loss"), &head)
}

impl Counts {
    /// Reads and sums the metrics of all daemons.
    pub(crate) async fn take(fleet: &Fleet, client: &Client) -> Result<Counts, Error> {
        let mut counts = Counts::default();
        for node in fleet.nodes() {
            let text = client.text(&node.admin_url("/metrics")).await?;
            counts.control += metrics::sum(&text, CONTROL).unwrap_or_default();
            counts.note_bytes += metrics::sum(&text, NOTE_BYTES).unwrap_or_default();
            for (name, value) in text.lines().filter_map(|line| line.rsplit_once(' ')) {
                if let (Some(name), Ok(value)) = (name.strip_prefix(PREFIX), value.parse::<f64>()) {
                    *counts.samples.entry(name.to_owned()).or_default() += value;
                }
            }
        }
        Ok(counts)
    }

    /// Returns the increase since earlier counts.
    pub(crate) fn since(&self, before: &Counts) -> Counts {
        let previous = |name: &String| before.samples.get(name).copied().unwrap_or_default();
        let samples =
            self.samples.iter().map(|(name, value)| (name.clone(), value - previous(name)));
        Counts {
            control: self.control - before.control,
            note_bytes: self.note_bytes - before.note_bytes,
            samples: samples.collect(),
        }
    }

    /// Adds a row to the table of [`table`].
    pub(crate) fn add_row(&self, placement: &str, table: &mut Table) {
        let mut row = vec![placement.to_owned()];
        row.extend(COLUMNS.iter().map(|(_, sample)| format!("{:.0}", self.sum(sample))));
        row.extend(["home", "last", "other"].iter().map(|place| self.reuse(place)));
        table.rows.push(row);
    }

    /// Returns the sum of a metric's samples that have all given labels; `wanted` is
    /// `name label=value …`.
    fn sum(&self, wanted: &str) -> f64 {
        let mut parts = wanted.split(' ');
        let name = parts.next().unwrap_or_default();
        let labels: Vec<&str> = parts.collect();
        let samples = self.samples.iter().filter(|(sample, _)| {
            sample.split('{').next() == Some(name)
                && labels.iter().all(|label| has_label(sample, label))
        });
        // `sum` of an empty iterator is -0.0, which would be printed as `-0`.
        samples.map(|(_, value)| value).fold(0.0, |sum, value| sum + value)
    }

    /// Returns the fraction of the prompt tokens of later turns at a place that was
    /// cached, as a table cell.
    fn reuse(&self, place: &str) -> String {
        let sum = |name: &str| self.sum(&format!("{name} place={place} turn=later"));
        let prompt = sum("prompt_tokens_total");
        if prompt == 0.0 { "-".to_owned() } else { percent(sum("cached_tokens_total") / prompt) }
    }
}

/// Returns whether a sample has a label; the reason `other` stands for all reasons
/// without a column of their own.
fn has_label(sample: &str, label: &str) -> bool {
    if label == "reason=other" {
        return !has_label(sample, "reason=bound") && !has_label(sample, "reason=moved");
    }
    let Some((name, value)) = label.split_once('=') else { return false };
    sample.contains(&format!("{name}=\"{value}\""))
}
