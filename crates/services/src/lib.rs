//! Traits for the platform's services: key-value service, change feed and VM list.
//!
//! Decision code depends on the traits only, so another protocol needs just
//! another implementation.

pub mod feed;
pub mod meter;
pub mod store;
pub mod version;
pub mod vm_list;
pub mod vms;

mod failure;
mod http;

pub use feed::Feed;
pub use store::Store;
pub use vms::Vms;
