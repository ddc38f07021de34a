//! The operator's profile, a TOML file that says which fleet to operate.

use std::env;
use std::ffi::OsString;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use serde::Deserialize;
use wire::id;

use crate::Error;

/// Environment variable with the profile's path, used if no option gives one.
const PATH_VARIABLE: &str = "LYCHEEKNOT_PROFILE";
/// Path of the profile if neither an option nor the environment gives one.
const DEFAULT_PATH: &str = "lycheeknot.toml";

/// A fleet to operate, with the addresses, key and operator name to do it with.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// Name of the cluster, as in the daemons' settings.
    pub cluster: String,
    /// The operator's name, recorded with each confirmed plan.
    pub operator: id::Operator,
    /// URL of the platform's key-value service.
    pub key_value: String,
    /// Control addresses of a few processes, tried in this order until one answers.
    pub control: Vec<SocketAddr>,
    /// The operator's key, one of `peer.operator_keys` in the daemons' settings.
    pub key: String,
}

impl Profile {
    /// Reads the profile at `path`, else at the path from the environment or the default one.
    ///
    /// # Errors
    ///
    /// [`Error::NoProfile`] if the file can't be read, [`Error::Profile`] if it
    /// has a fault, both with the path.
    pub fn load(path: Option<&Path>) -> Result<Profile, Error> {
        let path = match path {
            Some(path) => path.to_owned(),
            None => path_or_default(env::var_os(PATH_VARIABLE)),
        };
        let text = fs::read_to_string(&path)
            .map_err(|error| Error::NoProfile(path.display().to_string(), error.to_string()))?;
        toml::from_str(&text).map_err(|error| {
            let reason = error.to_string().trim_end().replace('\n', " ");
            Error::Profile(path.display().to_string(), reason)
        })
    }
}

/// Returns the path from the environment, or the default one if it is unset or empty.
fn path_or_default(variable: Option<OsString>) -> PathBuf {
    let path = variable.filter(|path| !path.is_empty());
    path.map_or_else(|| PathBuf::from(DEFAULT_PATH), PathBuf::from)
}

/// Reads a file that was given as an argument.
///
/// # Errors
///
/// [`Error::File`] with the path.
pub fn read_file(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path)
        .map_err(|error| Error::File(path.display().to_string(), error.to_string()))
}
