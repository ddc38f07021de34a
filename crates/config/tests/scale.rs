//! Tests the encoded size of a document and its plan at the largest supported scale.

#![allow(clippy::unwrap_used)]

use std::fmt::Write;

use config::Basis;
use config::Document;
use config::Engine;
use config::check;
use config::layout;
use config::plan;

const ACCOUNTS: usize = 300;
const MODELS: usize = 37;
const ENGINES: usize = 1200;

/// Returns an intent in which every account may use every service, which gives the
/// longest document for these numbers.
fn intent() -> String {
    let mut text = format!("[budget]\naccelerators = {ENGINES}\n");
    for (rank, minimum) in [("interactive", 20), ("standard", 20), ("batch", 10)] {
        write!(
            text,
            "[[rank]]\nname = \"{rank}\"\nfirst_token_ms = 370\ntoken_gap_ms = 71\n\
             patience_ms = 2000\nworth = 10\nminimum_percent = {minimum}\n"
        )
        .unwrap();
    }
    let names: Vec<String> = (0..ACCOUNTS).map(|n| format!("\"client-account-{n:03}\"")).collect();
    for n in 0..MODELS {
        write!(
            text,
            "[[service]]\nname = \"service-{n:02}\"\nrank = \"standard\"\n\
             model = \"model-name-{n:02}\"\naccounts = [{}]\n",
            names.join(", ")
        )
        .unwrap();
    }
    for name in &names {
        let token = "ab".repeat(32);
        write!(text, "[[account]]\nname = {name}\ntokens = [\"{token}\"]\n").unwrap();
    }
    text
}

fn fleet() -> Vec<Engine> {
    let engine = |n: usize| Engine {
        vm: format!("region-1-centre-{}-engine-{n:04}", n % 8),
        centre: format!("centre-{}", n % 8),
        holds: Vec::new(),
    };
    (0..ENGINES).map(engine).collect()
}

#[test]
fn the_first_plan_and_its_document_fit_into_key_value_entries() {
    let wanted = check::parse(&intent()).unwrap();
    let (current, fleet) = (Document::default(), fleet());
    let basis = Basis { current: &current, base: 0, fleet: &fleet, demand: None, operator: "ana" };
    let plan = plan::plan(wanted, &basis);
    assert_eq!(plan.document.assignments.len(), ENGINES);
    let document = serde_json::to_vec(&plan.document).unwrap().len();
    let stored = serde_json::to_vec(&plan.for_storage()).unwrap().len();
    println!("document {document} bytes, plan as stored {stored} bytes");
    assert!(document <= layout::VALUE_MAX_BYTES, "the document has {document} bytes");
    assert!(stored <= layout::VALUE_MAX_BYTES, "the plan has {stored} bytes");
}
