//! Identity of a process in its logs.

/// Identity of a process. Both fields are written on every log line, since logs of
/// many VMs are read together and a new VM may get the name of an old one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Process {
    /// Name of the VM.
    pub vm: String,
    /// Number that distinguishes this run of the process from earlier ones.
    pub incarnation: u64,
}
