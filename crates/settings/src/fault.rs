//! Faults of single keys of the settings.

use displaydoc::Display;

/// line {line}, `{key}`: {kind}
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub struct Fault {
    /// Line of the value, or of the section if the key is missing; counted from 1.
    pub line: usize,
    /// Full name of the key, such as `listen.data`.
    pub key: String,
    /// The kind of fault, whose message includes the remedy.
    pub kind: Kind,
}

/// Kind of a fault. No message contains a value, since it may be secret.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Kind {
    /// is not valid TOML ({0}); mend this line
    Syntax(String),
    /// is missing; add {0}
    Missing(&'static str),
    /// has the wrong type; write {0}
    Type(&'static str),
    /// is not known; remove it or use one of: {0}
    Unknown(String),
    /// is not one of the choices; use {0}
    Choice(&'static str),
    /// is not an identifier; use 1 to {0} ASCII letters, digits, `-`, `_` or `.`
    Identifier(usize),
    /// is not a socket address; write an IP number and a port, as in "10.0.0.7:7001"
    Socket,
    /// names no single address, but peers are told it; write this VM's own IP number
    Wildcard,
    /// is already taken by another listener; choose a port of its own
    Taken,
    /// is not a service address; write an IP number and a port, as in "http://10.0.0.7:8000"
    Address,
    /// is shorter than {0} characters; use a longer random key, the same on all VMs
    Short(usize),
    /// is out of range; use a whole number from {min} to {max}
    Range {
        /// Smallest value allowed.
        min: u64,
        /// Largest value allowed.
        max: u64,
    },
    /// is for agents only; remove it or set role = "agent"
    AgentOnly,
    /// is for plain engines only; remove it or set kind = "plain"
    PlainOnly,
}
