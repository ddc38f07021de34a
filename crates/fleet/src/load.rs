//! A load generator that sends multi-turn chats, reproducible by a seed.

mod caches;
mod class;
mod drive;
mod oracle;
mod population;
pub mod report;
mod sample;
mod sampler;
mod shape;
mod state;
mod tally;
mod zipf;

pub use caches::Caches;
pub use caches::Placed;
pub use class::Class;
pub use drive::Drive;
pub use oracle::Oracle;
pub use report::Report;
pub use report::Reuse;
pub use sample::Sample;
pub use sampler::Sampler;
pub use shape::Shape;
pub use tally::Tally;
pub use zipf::Zipf;
