//! Development tasks, called as `cargo xtask`.

pub mod build;
pub mod cargo;
pub mod ci;
pub mod demo;
pub mod error;
pub mod flags;
pub mod measure;
pub mod red;
pub mod style;
