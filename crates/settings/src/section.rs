//! Reading of one section's values, each with its checks.

use std::net::SocketAddr;

use toml::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;

use crate::fault::Fault;
use crate::fault::Kind;
use crate::key;

/// Longest identifier, in characters. Identifiers become parts of keys in the
/// platform's service and labels of metrics.
const IDENTIFIER_CHARS: usize = 64;

/// One section of the file. Its methods answer `None` where they push a fault,
/// so that reading goes on to the next key.
pub(crate) struct Section<'d> {
    pub(crate) name: &'static str,
    pub(crate) text: &'d str,
    pub(crate) line: usize,
    pub(crate) table: Option<&'d DeTable<'d>>,
}

impl<'d> Section<'d> {
    /// The section of this name; where it is absent, all its keys are.
    pub(crate) fn child(&self, name: &'static str, faults: &mut Vec<Fault>) -> Section<'d> {
        let absent = Section { name, text: self.text, line: self.line, table: None };
        let Some(value) = self.value(name) else {
            return absent;
        };
        let line = line(self.text, value.span().start);
        let DeValue::Table(table) = value.get_ref() else {
            self.push(name, Kind::Type("a section"), faults);
            return Section { line, ..absent };
        };
        Section { line, table: Some(table), ..absent }
    }

    /// Whether the file has this section at all.
    pub(crate) fn is_present(&self) -> bool {
        self.table.is_some()
    }

    /// Pushes a fault for each key that is not among the known ones.
    pub(crate) fn check_keys(&self, known: &[&[&str]], faults: &mut Vec<Fault>) {
        let known = known.concat();
        for (name, _) in self.table.into_iter().flatten() {
            if known.contains(&name.get_ref().as_ref()) {
                continue;
            }
            faults.push(Fault {
                line: line(self.text, name.span().start),
                key: key::join(self.name, name.get_ref()),
                kind: Kind::Unknown(known.join(", ")),
            });
        }
    }

    /// A text that must be there; `sample` is shown as the remedy.
    pub(crate) fn string(
        &self,
        key: &str,
        sample: &'static str,
        faults: &mut Vec<Fault>,
    ) -> Option<&'d str> {
        let value = self.required(key, sample, faults)?;
        let DeValue::String(text) = value.get_ref() else {
            self.push(key, Kind::Type(sample), faults);
            return None;
        };
        Some(text)
    }

    /// A list of texts; empty where it is absent or faulty.
    pub(crate) fn strings(
        &self,
        key: &str,
        sample: &'static str,
        faults: &mut Vec<Fault>,
    ) -> Vec<&'d str> {
        let Some(value) = self.value(key) else { return Vec::new() };
        let texts = match value.get_ref() {
            DeValue::Array(array) => array.iter().map(|item| item.get_ref().as_str()).collect(),
            _ => None,
        };
        if texts.is_none() {
            self.push(key, Kind::Type(sample), faults);
        }
        texts.unwrap_or_default()
    }

    /// A flag that must be there.
    pub(crate) fn flag(&self, key: &str, faults: &mut Vec<Fault>) -> Option<bool> {
        const SAMPLE: &str = "true or false";
        let value = self.required(key, SAMPLE, faults)?;
        let DeValue::Boolean(flag) = value.get_ref() else {
            self.push(key, Kind::Type(SAMPLE), faults);
            return None;
        };
        Some(*flag)
    }

    /// A whole number within bounds; `None` where it is absent or faulty.
    pub(crate) fn number(
        &self,
        key: &str,
        min: u64,
        max: u64,
        faults: &mut Vec<Fault>,
    ) -> Option<u64> {
        let DeValue::Integer(integer) = self.value(key)?.get_ref() else {
            self.push(key, Kind::Type("a whole number without quotes"), faults);
            return None;
        };
        let number = u64::from_str_radix(integer.as_str(), integer.radix()).ok();
        let number = number.filter(|number| (min..=max).contains(number));
        if number.is_none() {
            self.push(key, Kind::Range { min, max }, faults);
        }
        number
    }

    /// A number that must be there, with or without decimals.
    pub(crate) fn decimal(
        &self,
        key: &str,
        min: f64,
        max: f64,
        faults: &mut Vec<Fault>,
    ) -> Option<f64> {
        const SAMPLE: &str = "a number, as in 0.2";
        let value = self.required(key, SAMPLE, faults)?;
        let number = match value.get_ref() {
            DeValue::Integer(integer) => integer.as_str().parse::<f64>().ok(),
            DeValue::Float(float) => float.as_str().parse::<f64>().ok(),
            _ => None,
        };
        let number = number.filter(|number| (min..=max).contains(number));
        if number.is_none() {
            self.push(key, Kind::Type(SAMPLE), faults);
        }
        number
    }

    /// A whole number that must be there.
    pub(crate) fn required_number(
        &self,
        key: &str,
        min: u64,
        max: u64,
        faults: &mut Vec<Fault>,
    ) -> Option<u64> {
        self.required(key, "a whole number", faults)?;
        self.number(key, min, max, faults)
    }

    /// The name of a cluster, VM, data centre, region or pool.
    pub(crate) fn identifier(&self, key: &str, faults: &mut Vec<Fault>) -> Option<String> {
        let text = self.string(key, "a name in quotes", faults)?;
        let sound = (1..=IDENTIFIER_CHARS).contains(&text.len())
            && text.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
        if !sound {
            self.push(key, Kind::Identifier(IDENTIFIER_CHARS), faults);
            return None;
        }
        Some(text.to_owned())
    }

    /// The address of a listener. Peers are told it, so it names one interface.
    pub(crate) fn socket(&self, key: &str, faults: &mut Vec<Fault>) -> Option<SocketAddr> {
        let text = self.string(key, "an address, as in \"10.0.0.7:7001\"", faults)?;
        let Ok(socket) = text.parse::<SocketAddr>() else {
            self.push(key, Kind::Socket, faults);
            return None;
        };
        if socket.ip().is_unspecified() {
            self.push(key, Kind::Wildcard, faults);
            return None;
        }
        Some(socket)
    }

    /// The address of an HTTP service, without a slash at its end.
    pub(crate) fn address(&self, key: &str, faults: &mut Vec<Fault>) -> Option<String> {
        let text = self.string(key, "an address, as in \"http://10.0.0.7:8000\"", faults)?;
        let text = text.strip_suffix('/').unwrap_or(text);
        let socket = text.strip_prefix("http://").and_then(|rest| rest.parse::<SocketAddr>().ok());
        if !socket.is_some_and(|socket| socket.port() != 0 && !socket.ip().is_unspecified()) {
            self.push(key, Kind::Address, faults);
            return None;
        }
        Some(text.to_owned())
    }

    /// Whether the key is there, sound or not.
    pub(crate) fn has(&self, key: &str) -> bool {
        self.value(key).is_some()
    }

    /// Pushes a fault at the key's value, or at the section where it is absent.
    pub(crate) fn push(&self, key: &str, kind: Kind, faults: &mut Vec<Fault>) {
        let line = self.value(key).map_or(self.line, |value| line(self.text, value.span().start));
        faults.push(Fault { line, key: key::join(self.name, key), kind });
    }

    fn required(
        &self,
        key: &str,
        sample: &'static str,
        faults: &mut Vec<Fault>,
    ) -> Option<&'d Spanned<DeValue<'d>>> {
        let value = self.value(key);
        if value.is_none() {
            self.push(key, Kind::Missing(sample), faults);
        }
        value
    }

    fn value(&self, key: &str) -> Option<&'d Spanned<DeValue<'d>>> {
        self.table?.get(key)
    }
}

/// The line of a byte offset; the first is 1.
pub(crate) fn line(text: &str, offset: usize) -> usize {
    text.bytes().take(offset).filter(|byte| *byte == b'\n').count() + 1
}
