//! Bytes and 64-bit numbers as the gateway writes them.

use std::fmt;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;
use serde::de::Visitor;

/// Bytes, written in base64.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Blob(pub(crate) Vec<u8>);

/// A 64-bit number, written as a string so that no reader rounds it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Int(pub(crate) i64);

impl Int {
    /// A version of the store; negative ones never occur and read as none.
    pub(crate) fn version(self) -> u64 {
        u64::try_from(self.0).unwrap_or_default()
    }
}

impl From<u64> for Int {
    fn from(version: u64) -> Int {
        Int(i64::try_from(version).unwrap_or(i64::MAX))
    }
}

impl Serialize for Blob {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&BASE64_STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Blob, D::Error> {
        let text = String::deserialize(deserializer)?;
        BASE64_STANDARD.decode(text).map(Blob).map_err(D::Error::custom)
    }
}

impl Serialize for Int {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Int, D::Error> {
        deserializer.deserialize_any(IntVisitor)
    }
}

struct IntVisitor;

impl Visitor<'_> for IntVisitor {
    type Value = Int;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a 64-bit number, plain or in a string")
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<Int, E> {
        Ok(Int(value))
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<Int, E> {
        i64::try_from(value).map(Int).map_err(E::custom)
    }

    fn visit_str<E: Error>(self, value: &str) -> Result<Int, E> {
        value.parse().map(Int).map_err(E::custom)
    }
}
