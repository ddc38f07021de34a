//! The scripts of the second review, and their stand-ins. Standard library only.

mod engine;
mod flood;
mod http;
mod json;
mod lapse;
mod limit;
mod script;
mod stall;
mod store;
mod stream;
mod upgrade;
mod versions;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let folder = args.get(2).map_or(".", String::as_str);
    match args.get(1).map(String::as_str) {
        Some("upgrade") => upgrade::run(folder),
        Some("versions") => versions::run(folder),
        Some("flood") => flood::run(folder),
        Some("lapse") => lapse::run(folder),
        Some("limit") => limit::run(folder),
        Some("stall") => stall::run(folder),
        _ => std::process::exit(2),
    }
}
