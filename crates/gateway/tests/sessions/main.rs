//! Whole sessions: what clients send, what endpoints see, what clients get.

mod copies;
mod requests;
mod stops;
mod streams;
mod support;
