//! Checks that docs/INTENTS.md documents exactly the keys of an intent.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use config::check;

/// The sections of an intent, each with text that has an unknown key.
const SECTIONS: [(&str, &str); 5] = [
    ("budget", "[budget]\nzz = 1\n"),
    ("limit", "[limit]\nzz = 1\n"),
    ("rank", "[[rank]]\nzz = 1\n"),
    ("service", "[[service]]\nzz = 1\n"),
    ("account", "[[account]]\nzz = 1\n"),
];

/// Returns the parts of a text that are in backquotes.
fn quoted(text: &str) -> impl Iterator<Item = &str> {
    text.split('`').skip(1).step_by(2)
}

/// Returns the valid keys, as the messages about the unknown keys list them.
fn known_keys() -> BTreeSet<String> {
    let mut keys = BTreeSet::new();
    for (section, text) in SECTIONS {
        let faults = check::parse(text).expect_err("the key is unknown");
        let message = faults[0].to_string();
        let (_, listed) = message.split_once("expected").expect("the message lists the valid keys");
        keys.extend(quoted(listed).map(|key| format!("{section}.{key}")));
    }
    keys
}

#[test]
fn exactly_the_keys_of_an_intent_are_documented() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/INTENTS.md");
    let page = fs::read_to_string(path).expect("docs/INTENTS.md is readable");
    let rows = page.lines().filter(|line| line.starts_with("| `"));
    let cells = rows.filter_map(|row| row.split(" | ").next());
    let documented: BTreeSet<String> = cells.flat_map(quoted).map(str::to_owned).collect();
    assert_eq!(documented, known_keys());
}
