//! Starts deployments of real processes for tests and measurements; not shipped.
//!
//! The product's own processes start no others; this crate takes the role of the
//! platform that starts them. Every process is killed when its handle is dropped,
//! also during a panic.

pub mod backend;
pub mod binaries;
pub mod caller;
pub mod chat;
pub mod deployment;
pub mod endpoint;
pub mod error;
pub mod fleet;
mod folder;
pub mod http;
mod killed;
pub mod load;
pub mod metrics;
pub mod node;
pub mod operator;
pub mod outcome;
pub mod ports;
pub mod process;
mod settings;
pub mod standin;
mod start;
pub mod stream;
pub mod usage;
pub mod view;

pub use binaries::Binaries;
pub use caller::Caller;
pub use chat::Chat;
pub use deployment::Deployment;
pub use endpoint::Endpoint;
pub use error::Error;
pub use fleet::Fleet;
pub use killed::Killed;
pub use node::Node;
pub use operator::Operator;
pub use outcome::Outcome;
pub use ports::Ports;
pub use process::Process;
pub use settings::OPERATOR_KEY;
pub use settings::PEER_KEY;
pub use standin::Standin;
pub use stream::Stream;
pub use usage::Usage;
pub use view::View;
