//! The platform's services behind traits: key-value service, VM list and weight store.
//!
//! Decisions never see a protocol: another one goes behind the same trait.

pub mod feed;
pub mod list;
pub mod meter;
pub mod store;
pub mod vms;

mod failure;
mod http;

pub use feed::Feed;
pub use store::Store;
pub use vms::Vms;
