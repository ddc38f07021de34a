//! Tests of the agent with a scripted engine and a scripted store.

mod fakes;
mod once;
mod resume;
mod run;
mod serve;
mod store;
