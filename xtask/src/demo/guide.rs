//! Addresses and example commands for the user of the demo.

use fleet::Fleet;
use fleet::caller;

use crate::demo::sample::Sample;
use crate::demo::sample::Script;

/// Prints the addresses of all processes and commands to paste into a shell.
pub(crate) fn print(fleet: &Fleet, sample: &Sample) {
    println!();
    for node in fleet.nodes() {
        let vm = &node.vm;
        println!("{:24} data {}  control {}  admin {}", vm.vm, vm.data, vm.control, node.admin);
    }
    println!("key-value service        {}", fleet.key_value.address);
    println!("VM list                  {}", fleet.vms.address);
    println!("files and logs           {}", fleet.files().display());
    println!();
    for command in commands(fleet, sample) {
        println!("{command}\n");
    }
    println!("Ctrl-C stops it.");
}

fn commands(fleet: &Fleet, sample: &Sample) -> Vec<String> {
    let status = format!(
        "cargo run --quiet --bin lycheeknot -- --profile {} status",
        fleet.operator.profile().display()
    );
    let Some(entry) = fleet.entries.first() else {
        return vec![status];
    };
    let chats = entry.data_url("/v1/chat/completions");
    let booking = &sample.booking;
    let calls = entry.data_url(&format!("/services/{}{}", booking.service, booking.path));
    vec![
        status,
        format!("curl -N {chats} {}", chat_args(&sample.streamed, r#""stream":true,"#)),
        format!(
            "curl {chats} {}",
            chat_args(&sample.returning, r#""prompt_cache_key":"my-chat","#)
        ),
        format!(
            "curl {calls} {} -H 'Idempotency-Key: my-booking-1' -d '{}'",
            header_args(booking.account),
            booking.body
        ),
    ]
}

fn chat_args(script: &Script, extra: &str) -> String {
    let content = script.turns.first().copied().unwrap_or_default();
    format!(
        r#"{} -d '{{"model":"{}",{extra}"max_tokens":{},"messages":[{{"role":"user","content":"{content}"}}]}}'"#,
        header_args(script.account),
        script.service,
        script.tokens,
    )
}

fn header_args(account: &str) -> String {
    let token = caller::token(account);
    format!("-H 'Authorization: Bearer {token}' -H 'Content-Type: application/json'")
}
