//! A load generator that sends multi-turn chats, reproducible by a seed.

mod chat_cache;
mod class;
mod generator;
mod population;
pub mod report;
mod sample;
mod sampler;
mod shape;
mod simulation;
mod state;
mod tally;
mod zipf;

pub use chat_cache::ChatCache;
pub use class::Class;
pub use generator::Generator;
pub use report::Report;
pub use report::Reuse;
pub use sample::Sample;
pub use sampler::Sampler;
pub use shape::Shape;
pub use simulation::Placed;
pub use simulation::Simulation;
pub use tally::Tally;
pub use zipf::Zipf;
