//! Transcripts of commands and responses for golden tests, with values that
//! differ from run to run masked.

use std::path::Path;
use std::process::Output;

use ntex::client::ClientResponse;

/// Response headers that callers act on.
const HEADERS: &[&str] = &["content-type", "retry-after", "idempotency-replayed"];

/// Returns a command line with its output and exit code.
pub fn command(args: &[&str], output: &Output, files: &Path) -> String {
    let out = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    let code = output.status.code().unwrap_or(-1);
    let text = format!("$ lycheeknot {}\n{out}{errors}exit {code}\n", args.join(" "));
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let text = text.replace(&root.display().to_string(), "ROOT");
    mask(&text.replace(&files.display().to_string(), "FILES"))
}

/// Returns the plan name from the output of the `plan` command.
pub fn plan_name(printed: &str) -> &str {
    let line = printed.lines().find_map(|line| line.strip_prefix("plan "));
    line.and_then(|line| line.split(' ').next()).expect("a plan")
}

/// Returns the status of a response, the headers that callers act on and the body.
pub async fn response(response: &ClientResponse) -> String {
    let mut text = format!("{}\n", response.status().as_u16());
    for name in HEADERS {
        if let Some(value) = response.headers().get(*name) {
            text.push_str(&format!("{name}: {}\n", value.to_str().expect("visible characters")));
        }
    }
    let body = response.body().await.expect("a whole body");
    let body = std::str::from_utf8(&body).expect("UTF-8");
    mask(&format!("{text}\n{body}"))
}

/// Masks ids, incarnations, times, ages and addresses.
fn mask(text: &str) -> String {
    let text = mask_values(text, r#""id":""#, "\"", "ID");
    let text = mask_values(&text, r#""created":"#, ",", "TIME");
    let text = mask_values(&text, r#""incarnation":"#, ",", "N");
    let text = mask_values(&text, r#""control":""#, "\"", "ADDRESS");
    let text = mask_values(&text, r#""age":{"#, "}", "AGE");
    mask_times(&mask_ages(&text))
}

/// Masks times such as `2026-01-31T12:00:00Z`.
fn mask_times(text: &str) -> String {
    let mask = |word: &str| match is_time(word.trim_end()) {
        true => word.replace(word.trim_end(), "TIME"),
        false => word.to_owned(),
    };
    text.split_inclusive([' ', '\n']).map(mask).collect()
}

/// Returns whether a word is a time such as `2026-01-31T12:00:00Z`.
fn is_time(word: &str) -> bool {
    word.starts_with("20") && word.contains('T') && word.ends_with('Z')
}

/// Masks ages and the padding behind them, whose width depends on the number of
/// digits of the age.
fn mask_ages(text: &str) -> String {
    let mut masked = String::new();
    let mut after_age = false;
    for word in text.split_inclusive([' ', '\n']) {
        if after_age && word == " " {
            continue;
        }
        after_age = is_age(word);
        match (after_age, word.ends_with('\n')) {
            (true, true) => masked.push_str("AGE\n"),
            (true, false) => masked.push_str("AGE    "),
            (false, _) => masked.push_str(word),
        }
    }
    masked
}

/// Returns whether a word is a number of seconds, such as `0.2s`.
fn is_age(word: &str) -> bool {
    let seconds = word.trim_end().strip_suffix('s');
    seconds.is_some_and(|seconds| seconds.contains('.') && seconds.parse::<f64>().is_ok())
}

/// Replaces each text between `start` and `end` by `mask`.
fn mask_values(text: &str, start: &str, end: &str, mask: &str) -> String {
    let mut parts = text.split(start);
    let mut masked = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let rest = part.find(end).map_or("", |at| &part[at..]);
        masked.push_str(&format!("{start}{mask}{rest}"));
    }
    masked
}
