//! Types of the messages between processes: ids, frames, control messages and problem
//! documents.
//!
//! The crate does no I/O. Every type here is part of the contract between processes
//! that may run different releases; see `docs/ARCHITECTURE.md`.

pub mod attempt;
pub mod beat;
pub mod cancel;
pub mod codec;
pub mod cost;
pub mod digest;
pub mod frame;
pub mod hash;
pub mod id;
pub mod key;
pub mod load;
pub mod mean;
pub mod member;
pub mod notes;
pub mod problem;
pub mod refusal;
pub mod resume;
pub mod stamp;
pub mod work;

pub use attempt::Attempt;
pub use beat::Beat;
pub use cancel::Cancel;
pub use cost::Cost;
pub use digest::Digest;
pub use frame::Frame;
pub use key::Key;
pub use load::Load;
pub use mean::Mean;
pub use member::Member;
pub use notes::Notes;
pub use problem::Problem;
pub use refusal::Refusal;
pub use resume::Resume;
pub use stamp::Stamp;
pub use work::Work;
