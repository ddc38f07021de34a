//! Checks that docs/CLI.md lists the commands and exit codes as they are.

use std::fs;
use std::path::Path;

use argh::FromArgs;
use cli::error::exit;
use cli::flags::Lycheeknot;

const EXITS: [u8; 6] =
    [exit::FAILED, exit::USAGE, exit::SUPERSEDED, exit::UNKNOWN, exit::FAULTS, exit::LAGGING];

fn page() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/CLI.md");
    fs::read_to_string(path).expect("the page is there")
}

/// Returns the commands in the page's tables, as they are typed.
fn commands(page: &str) -> Vec<String> {
    let rows = page.lines().filter_map(|line| line.strip_prefix("| `lycheeknot "));
    rows.filter_map(|row| row.split('`').next()).map(str::to_owned).collect()
}

/// Converts a word of the page to an argument; an upper-case word stands for any value.
fn argument(word: &str) -> String {
    let word = word.trim_matches(['[', ']']);
    let is_value = word.chars().all(|c| c.is_ascii_uppercase());
    if is_value { "1".to_owned() } else { word.to_owned() }
}

#[test]
fn every_command_on_the_page_can_be_parsed() {
    for command in commands(&page()) {
        let arguments: Vec<String> = command.split(' ').map(argument).collect();
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        let parsed = Lycheeknot::from_args(&["lycheeknot"], &arguments);
        assert!(parsed.is_ok(), "{command}: {parsed:?}");
    }
}

#[test]
fn every_command_is_on_the_page() {
    let commands = commands(&page());
    let help = Lycheeknot::from_args(&["lycheeknot"], &["--help"]).expect_err("the help");
    let (_, listed) = help.output.split_once("Commands:").expect("a list");
    let is_name = |line: &&str| line.starts_with("  ") && !line.starts_with("   ");
    let names: Vec<&str> =
        listed.lines().filter(is_name).filter_map(|line| line.split_whitespace().next()).collect();
    assert!(names.len() > 5, "{names:?}");
    for name in names {
        assert!(commands.iter().any(|command| command.starts_with(name)), "{name} is missing");
    }
}

#[test]
fn every_exit_code_is_on_the_page() {
    for code in EXITS {
        assert!(page().contains(&format!("\n| {code} |")), "exit code {code} is missing");
    }
}
