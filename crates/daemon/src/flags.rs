//! The command-line arguments of `lycheeknotd`.

use std::path::PathBuf;

use argh::FromArgs;
use policy::placement::Kind;

/// Runs one process of a lycheeknot fleet.
#[derive(Debug, FromArgs)]
pub struct Flags {
    /// the settings, a TOML file; docs/SETTINGS.md lists its keys
    #[argh(option, short = 's')]
    pub settings: PathBuf,

    /// how an entry chooses engines, for measurements: bounded (default), rendezvous, least,
    /// pair or random
    #[argh(option, from_str_fn(parse_placement), default = "Default::default()")]
    pub placement: Kind,

    /// check the settings and exit
    #[argh(switch)]
    pub check: bool,
}

fn parse_placement(name: &str) -> Result<Kind, String> {
    Kind::parse(name).ok_or_else(|| format!("{name:?} is not a placement: see lycheeknotd --help"))
}
