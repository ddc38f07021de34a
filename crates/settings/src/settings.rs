//! Settings of an entry or agent.

use toml::de::DeTable;

use crate::engine::Engine;
use crate::error::Error;
use crate::fault::Fault;
use crate::fault::Kind;
use crate::key;
use crate::limit::Limit;
use crate::listen::Listen;
use crate::peer::Peer;
use crate::platform::Platform;
use crate::report::Report;
use crate::role::Role;
use crate::section::Section;
use crate::section::line;

/// The validated settings of an entry or agent.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the cluster; only processes of the same cluster are peers.
    pub cluster: String,
    /// Role of the process.
    pub role: Role,
    /// Name of the VM that this process runs on.
    pub vm: String,
    /// Data centre of the VM.
    pub centre: String,
    /// Region of the data centre.
    pub region: String,
    /// Addresses of the listeners.
    pub listen: Listen,
    /// Keys that authenticate processes and operators.
    pub peer: Peer,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// The engine of an agent; `None` for an entry.
    pub engine: Option<Engine>,
    /// Limits of the process.
    pub limit: Limit,
}

impl Settings {
    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Invalid`] with all faults of the text.
    pub fn parse(text: &str) -> Result<Settings, Error> {
        let (document, errors) = DeTable::parse_recoverable(text);
        if !errors.is_empty() {
            let faults = errors.iter().map(|error| syntax_fault(text, error)).collect();
            return Err(Error::Invalid(Report::new(faults)));
        }
        let root = Section { name: "", text, line: 1, table: Some(document.get_ref()) };
        let mut faults = Vec::new();
        let settings = read(&root, &mut faults);
        settings.filter(|_| faults.is_empty()).ok_or_else(|| Error::Invalid(Report::new(faults)))
    }
}

/// Converts an error of the TOML parser to a fault.
pub(crate) fn syntax_fault(text: &str, error: &toml::de::Error) -> Fault {
    let offset = error.span().map_or(0, |span| span.start);
    let kind = Kind::Syntax(error.message().to_owned());
    Fault { line: line(text, offset), key: "file".to_owned(), kind }
}

fn read(root: &Section<'_>, faults: &mut Vec<Fault>) -> Option<Settings> {
    root.check_keys(&[key::ROOT, key::SECTIONS], faults);
    let cluster = root.identifier("cluster", faults);
    let role = role(root, faults);
    let vm = root.identifier("vm", faults);
    let centre = root.identifier("centre", faults);
    let region = root.identifier("region", faults);
    let listen = Listen::read(&root.child("listen", faults), faults);
    let peer = Peer::read(&root.child("peer", faults), faults);
    let platform = Platform::read(&root.child("platform", faults), role, faults);
    let engine = engine(root, role, faults);
    let limit = Limit::read(&root.child("limit", faults), faults);
    Some(Settings {
        cluster: cluster?,
        role: role?,
        vm: vm?,
        centre: centre?,
        region: region?,
        listen: listen?,
        peer: peer?,
        platform: platform?,
        engine,
        limit: limit?,
    })
}

fn role(root: &Section<'_>, faults: &mut Vec<Fault>) -> Option<Role> {
    let text = root.string("role", Role::CHOICES, faults)?;
    let role = Role::parse(text);
    if role.is_none() {
        root.push("role", Kind::Choice(Role::CHOICES), faults);
    }
    role
}

fn engine(root: &Section<'_>, role: Option<Role>, faults: &mut Vec<Fault>) -> Option<Engine> {
    let section = root.child("engine", faults);
    match role {
        Some(Role::Agent) => Engine::read(&section, faults),
        Some(Role::Entry) if section.is_present() => {
            root.push("engine", Kind::AgentOnly, faults);
            None
        }
        None if section.is_present() => Engine::read(&section, faults),
        Some(Role::Entry) | None => None,
    }
}
