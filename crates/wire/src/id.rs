//! Ids, as type aliases that say what each id names.

/// Name of a client account.
pub type Account = String;
/// Name of a data centre.
pub type Centre = String;
/// Name of a region, a group of data centres.
pub type Region = String;
/// Name of an engine, which is the name of its endpoint's VM.
pub type Engine = String;
/// Name of a model, adapter or version that a model engine can hold.
pub type Model = String;
/// Name of a pool of plain engines that do the same work.
pub type Pool = String;
/// Name of a service that operators declared.
pub type Service = String;
/// Name of a VM.
pub type Vm = String;
/// Name of an operator, as given to the command line.
pub type Operator = String;
/// Id of a chat: a hash of account, service and the chat's key.
pub type Chat = u64;
/// Id of one request of a caller; random, so that it can't be guessed.
pub type Request = u128;
/// Number of an attempt of one request, from 0.
pub type Attempt = u32;
/// Start time of a process in milliseconds since the Unix epoch, which tells the runs
/// of a process on one VM apart.
pub type Incarnation = u64;
/// Number of a confirmed configuration, from 1; 0 stands for none.
pub type Revision = u64;
/// Index of a rank in the configuration in force, 0 being the most urgent.
pub type Rank = u8;
/// A fencing token issued by the key-value service; it only increases.
pub type Fence = u64;
