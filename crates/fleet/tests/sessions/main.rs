//! End-to-end tests against deployments of real processes: what callers and
//! operators see, also while processes are killed, frozen or stopped.

mod bookings;
mod bounds;
mod centres;
mod cuts;
mod descriptors;
mod faults;
mod fixture;
mod freezes;
mod history;
mod job;
mod kills;
mod leaves;
mod load;
mod logs;
mod operators;
mod outages;
mod plans;
mod requests;
mod restores;
mod stops;
mod strangers;
mod summary;
mod transcript;
