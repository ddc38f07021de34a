//! Typed and validated access to the values of one section.

use std::net::SocketAddr;

use toml::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;

use crate::fault::Fault;
use crate::fault::Kind;
use crate::key;

/// Maximum length of an identifier, in characters. Identifiers become parts of keys in
/// the key-value service and labels of metrics.
const IDENTIFIER_MAX_CHARS: usize = 64;

/// One section of a settings file. The methods that read a value append a fault and
/// return `None` if it is invalid, so that the caller can go on to the next key.
pub(crate) struct Section<'d> {
    /// Name of the section; empty for the root.
    pub(crate) name: &'static str,
    /// Text of the whole file.
    pub(crate) text: &'d str,
    /// Line of the section, counted from 1.
    pub(crate) line: usize,
    /// The keys and values, `None` if the file does not have the section.
    pub(crate) table: Option<&'d DeTable<'d>>,
}

impl<'d> Section<'d> {
    /// Returns the subsection with a name; if it is absent, all its keys are absent.
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

    /// Returns whether the file has this section.
    pub(crate) fn is_present(&self) -> bool {
        self.table.is_some()
    }

    /// Appends a fault for each key that is not in the lists of known keys.
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

    /// Returns a required string; `sample` is the remedy in the message of a fault.
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

    /// Returns an optional list of strings, which is empty if it is absent or invalid.
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

    /// Returns a required boolean.
    pub(crate) fn flag(&self, key: &str, faults: &mut Vec<Fault>) -> Option<bool> {
        const SAMPLE: &str = "true or false";
        let value = self.required(key, SAMPLE, faults)?;
        let DeValue::Boolean(flag) = value.get_ref() else {
            self.push(key, Kind::Type(SAMPLE), faults);
            return None;
        };
        Some(*flag)
    }

    /// Returns an optional boolean, or `default` if the key is not there.
    pub(crate) fn flag_or(
        &self,
        key: &str,
        default: bool,
        faults: &mut Vec<Fault>,
    ) -> Option<bool> {
        if self.value(key).is_none() {
            return Some(default);
        }
        self.flag(key, faults)
    }

    /// Returns an optional integer from `min` to `max`, `None` if it is absent or invalid.
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

    /// Returns a required integer or floating-point number from `min` to `max`.
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

    /// Returns an optional number, or `default` if the key is not there.
    pub(crate) fn decimal_or(
        &self,
        key: &str,
        default: f64,
        min: f64,
        max: f64,
        faults: &mut Vec<Fault>,
    ) -> Option<f64> {
        if self.value(key).is_none() {
            return Some(default);
        }
        self.decimal(key, min, max, faults)
    }

    /// Returns a required integer from `min` to `max`.
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

    /// Returns a required identifier, such as the name of a cluster, VM or data centre.
    pub(crate) fn identifier(&self, key: &str, faults: &mut Vec<Fault>) -> Option<String> {
        let text = self.string(key, "a name in quotes", faults)?;
        let is_valid = (1..=IDENTIFIER_MAX_CHARS).contains(&text.len())
            && text.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
        if !is_valid {
            self.push(key, Kind::Identifier(IDENTIFIER_MAX_CHARS), faults);
            return None;
        }
        Some(text.to_owned())
    }

    /// Returns a required socket address. It must name one interface, since the address
    /// of a listener is sent to peers.
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

    /// Returns the required address of an HTTP service, without a trailing slash.
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

    /// Returns whether the key is present, whether or not its value is valid.
    pub(crate) fn has(&self, key: &str) -> bool {
        self.value(key).is_some()
    }

    /// Appends a fault at the line of the key's value, or of the section if the key is
    /// absent.
    pub(crate) fn push(&self, key: &str, kind: Kind, faults: &mut Vec<Fault>) {
        let line = self.value(key).map_or(self.line, |value| line(self.text, value.span().start));
        faults.push(Fault { line, key: key::join(self.name, key), kind });
    }

    /// Returns the value of a key, or appends a fault if it is missing.
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

/// Returns the line of a byte offset, counted from 1.
pub(crate) fn line(text: &str, offset: usize) -> usize {
    text.bytes().take(offset).filter(|byte| *byte == b'\n').count() + 1
}
