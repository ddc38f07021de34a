//! Whole sessions with real processes: what callers and operators see, and
//! what holds when processes are killed, frozen and stopped.

mod bookings;
mod bounds;
mod centres;
mod cuts;
mod descriptors;
mod faults;
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
mod scene;
mod show;
mod stops;
mod strangers;
mod verdict;
