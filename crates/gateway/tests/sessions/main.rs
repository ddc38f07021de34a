//! End-to-end tests: a client, a gateway and scripted endpoints, all on loopback.

#[path = "../support/address.rs"]
mod address;
mod copies;
mod crashes;
mod endless;
mod evacuations;
mod failures;
mod heads;
mod held;
mod limits;
mod loads;
mod notices;
mod requests;
mod restarts;
mod silences;
mod slow_starts;
mod speeds;
mod stops;
#[path = "../support/store.rs"]
mod store;
mod strays;
mod streams;
mod support;
mod unframed;
mod unstored;
mod versions;
