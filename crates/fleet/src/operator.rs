//! The operators' command line.

use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

use serde::Deserialize;

use crate::Error;
use crate::View;

/// Timeout in seconds for a confirmed plan to be in force at every process.
const CONFIRM_TIMEOUT_S: u64 = 10;

/// The operators' command line, used on one deployment.
#[derive(Debug)]
pub struct Operator {
    program: PathBuf,
    profile: PathBuf,
}

/// The part of the printed plan that is used here.
#[derive(Debug, Deserialize)]
struct Plan {
    name: String,
}

impl Operator {
    pub(crate) fn new(program: PathBuf, profile: PathBuf) -> Operator {
        Operator { program, profile }
    }

    /// Returns the path of the profile, which contains the addresses and key of the deployment.
    pub fn profile(&self) -> &Path {
        &self.profile
    }

    /// Runs a command and returns its output, also if the command fails.
    ///
    /// # Errors
    ///
    /// [`Error::Spawn`] if the program can't be started.
    pub fn output(&self, args: &[&str]) -> Result<Output, Error> {
        let mut command = Command::new(&self.program);
        command.arg("--profile").arg(&self.profile).arg("--json").args(args);
        let name = "lycheeknot".to_owned();
        command.output().map_err(|source| Error::Spawn { name, source })
    }

    /// Runs a command and returns the JSON that it printed.
    ///
    /// # Errors
    ///
    /// [`Error::Spawn`] if the program can't be started, [`Error::Operator`] if the
    /// command fails.
    pub fn run(&self, args: &[&str]) -> Result<String, Error> {
        let output = self.output(args)?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        if output.status.success() {
            return Ok(text);
        }
        let errors = String::from_utf8_lossy(&output.stderr);
        Err(Error::Operator { command: args.join(" "), output: format!("{text}{errors}") })
    }

    /// Returns the members as seen by the first process of the profile that answers.
    ///
    /// # Errors
    ///
    /// [`Error::Operator`] if none answers or the output can't be decoded.
    pub fn view(&self) -> Result<View, Error> {
        let text = self.run(&["status"])?;
        serde_json::from_str(&text).map_err(|error| Error::Operator {
            command: "status".to_owned(),
            output: format!("{error} in {text}"),
        })
    }

    /// Plans an intent, confirms the plan and waits until it is in force at every
    /// process. Returns the plan's name.
    ///
    /// # Errors
    ///
    /// [`Error::Operator`] of the command that failed.
    pub fn apply(&self, intent: &Path) -> Result<String, Error> {
        let intent = intent.display().to_string();
        let text = self.run(&["plan", &intent])?;
        let plan: Plan = serde_json::from_str(&text).map_err(|error| Error::Operator {
            command: format!("plan {intent}"),
            output: format!("{error} in {text}"),
        })?;
        self.run(&["confirm", &plan.name, "--wait", &CONFIRM_TIMEOUT_S.to_string()])?;
        Ok(plan.name)
    }
}
