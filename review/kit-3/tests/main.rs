//! Cases of the review: `lab CASE RECORD`. It exits with 1 if the rule was broken, 0 if it held and 2
//! if the case could not run.

mod cases;
mod engine;
mod flood;
mod http;
mod json;
mod lab;
mod record;
mod state;
mod store;
mod text;
mod traffic;

use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::process::exit;
use std::thread;
use std::thread::sleep;
use std::time::Duration;

/// A case that runs longer could not run.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record] = &args[..] else {
        eprintln!("usage: lab CASE RECORD");
        exit(2);
    };
    let folder = std::env::temp_dir().join(format!("lab-3-{}", std::process::id()));
    thread::spawn(|| {
        sleep(TIME_LIMIT);
        eprintln!("the case takes too long");
        lab::kill_started();
        exit(2);
    });
    let outcome = catch_unwind(AssertUnwindSafe(|| match case.as_str() {
        "flood" => flood::run(&folder, record),
        case => cases::run(case, &folder, record),
    }));
    lab::kill_started();
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    match outcome {
        Ok(Ok(is_broken)) => exit(i32::from(is_broken)),
        Ok(Err(error)) => eprintln!("the case could not run: {error}"),
        Err(_) => eprintln!("the case could not run"),
    }
    exit(2);
}
