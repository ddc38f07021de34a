//! Decodes the journals of all gateways from the keys of the store.

use policy::origin::Journal;
use policy::origin::Segment;
use serde::de::DeserializeOwned;
use services::store::Entry;
use services::version;

use crate::origins::Stored;

/// Prefix of the keys. It is none of the registrations' keys, which each gateway reads regularly.
/// Then follow the VM, the process with the number of restores of the store, and the segment.
pub(crate) const PREFIX: &str = "lycheeknot-streams/";

/// Name of the segment with versions of streams without a journal. Earlier builds take these for versions
/// that the process itself may have used.
pub(crate) const ORPHANS: &str = "orphans";

/// Key of the versions in use, which is none of a journal.
pub(crate) const IN_USE: &str = "lycheeknot-streams/in-use";

/// Decodes what all gateways have stored. Keys of another form are left out.
pub(crate) fn decode(entries: &[Entry]) -> Stored {
    let restores = entries.iter().map(|entry| version::restores(entry.version)).max();
    let restores = restores.unwrap_or_default();
    // Sorted by process.
    let mut processes: Vec<Process<'_>> = Vec::new();
    for entry in entries {
        let Some(place) = Place::parse(&entry.key) else { continue };
        let find = |process: &Process<'_>| process.name.cmp(place.process);
        let index = processes.binary_search_by(find).unwrap_or_else(|index| {
            processes.insert(index, Process { name: place.process, ..Process::default() });
            index
        });
        let process = &mut processes[index];
        process.is_current |= place.restores == Some(restores);
        match decode_value::<Segment>(entry) {
            Some(segment) if place.name == ORPHANS => process.orphans = segment,
            Some(segment) => process.segments.push(segment),
            None => process.is_malformed = true,
        }
    }
    let journals = processes.into_iter().map(Process::into_journal).collect();
    let in_use = entries.iter().find(|entry| entry.key == IN_USE);
    let in_use = in_use.and_then(decode_value).unwrap_or_default();
    Stored { restores, journals, asked: Segment::default(), in_use }
}

/// What the keys of one process hold.
#[derive(Default)]
struct Process<'a> {
    name: &'a str,
    /// Whether it has written in the present history of the store. It writes all anew then.
    is_current: bool,
    is_malformed: bool,
    segments: Vec<Segment>,
    orphans: Segment,
}

impl Process<'_> {
    fn into_journal(self) -> Journal {
        let is_complete = self.is_current && !self.is_malformed;
        Journal {
            process: self.name.to_owned(),
            is_excluded: false,
            is_complete,
            segments: self.segments,
            orphans: self.orphans,
        }
    }
}

/// The parts of a key.
struct Place<'a> {
    process: &'a str,
    /// Number of restores of the store before it was written; `None` if another build wrote it.
    restores: Option<u64>,
    /// The name of the segment.
    name: &'a str,
}

impl Place<'_> {
    /// Parses a key; `None` if it is none of a segment.
    fn parse(key: &str) -> Option<Place<'_>> {
        let (process, name) = key.strip_prefix(PREFIX)?.rsplit_once('/')?;
        let with_restores = process.rsplit_once('.');
        let parsed =
            with_restores.and_then(|(process, number)| Some((process, number.parse().ok()?)));
        Some(match parsed {
            Some((process, restores)) => Place { process, restores: Some(restores), name },
            None => Place { process, restores: None, name },
        })
    }
}

/// Decodes a value; `None` if it is malformed.
fn decode_value<T: DeserializeOwned>(entry: &Entry) -> Option<T> {
    let decoded = postcard::from_bytes(&entry.value);
    let log = |error: &postcard::Error| {
        log::warn!(key = entry.key.as_str(); "a value about streams is malformed: {error}");
    };
    decoded.inspect_err(log).ok()
}
