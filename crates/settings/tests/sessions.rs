//! Snapshot tests of reading a settings file: the settings, or the report of faults.

use std::path::Path;

use expect_test::Expect;
use expect_test::expect;

use settings::File;
use settings::Settings;

const ENTRY: &str = include_str!("data/entry.toml");
const AGENT: &str = include_str!("data/agent.toml");

fn check(text: &str, expected: Expect) {
    let outcome = match Settings::parse(text) {
        Ok(settings) => format!("{settings:#?}\n"),
        Err(error) => format!("{error}\n"),
    };
    expected.assert_eq(&outcome);
}

#[test]
fn an_entry_is_read_with_defaults() {
    check(
        ENTRY,
        expect![[r#"
            Settings {
                cluster: "sofia",
                role: Entry,
                vm: "s1-entry-1",
                centre: "s1",
                region: "r1",
                listen: Listen {
                    data: 127.0.0.1:7001,
                    control: 127.0.0.1:7002,
                    admin: 127.0.0.1:7003,
                },
                peer: Peer {
                    key: [hidden],
                    accepted_key: None,
                    operator_keys: [],
                },
                platform: Platform {
                    key_value: "http://127.0.0.1:2379",
                    vms: "http://127.0.0.1:2380",
                    weights: None,
                },
                engine: None,
                limit: Limit {
                    body_bytes: 4194304,
                    header_timeout: 5s,
                    connections: 4096,
                    stop_grace: 30s,
                    resume_grace: 10s,
                    workers: 2,
                },
            }
        "#]],
    );
}

#[test]
fn an_agent_is_read_with_every_section() {
    check(
        AGENT,
        expect![[r#"
            Settings {
                cluster: "sofia",
                role: Agent,
                vm: "s1-model-1",
                centre: "s1",
                region: "r1",
                listen: Listen {
                    data: 127.0.0.1:7001,
                    control: 127.0.0.1:7002,
                    admin: 127.0.0.1:7003,
                },
                peer: Peer {
                    key: [hidden],
                    accepted_key: None,
                    operator_keys: [],
                },
                platform: Platform {
                    key_value: "http://127.0.0.1:2379",
                    vms: "http://127.0.0.1:2380",
                    weights: Some(
                        "http://127.0.0.1:2381",
                    ),
                },
                engine: Some(
                    Engine {
                        kind: Model,
                        pool: None,
                        address: "http://127.0.0.1:8000",
                        slots: 8,
                        checks_fence: true,
                    },
                ),
                limit: Limit {
                    body_bytes: 65536,
                    header_timeout: 2.5s,
                    connections: 512,
                    stop_grace: 60s,
                    resume_grace: 10s,
                    workers: 4,
                },
            }
        "#]],
    );
}

#[test]
fn all_required_keys_are_reported_for_an_empty_file() {
    check(
        "",
        expect![[r#"
        the settings have faults; mend these lines:
          line 1, `cluster`: is missing; add a name in quotes
          line 1, `role`: is missing; add "entry", "agent" or "gateway"
          line 1, `vm`: is missing; add a name in quotes
          line 1, `centre`: is missing; add a name in quotes
          line 1, `region`: is missing; add a name in quotes
          line 1, `listen.data`: is missing; add an address, as in "10.0.0.7:7001"
          line 1, `listen.control`: is missing; add an address, as in "10.0.0.7:7001"
          line 1, `listen.admin`: is missing; add an address, as in "10.0.0.7:7001"
          line 1, `peer.key`: is missing; add the cluster's shared key in quotes
          line 1, `platform.key_value`: is missing; add an address, as in "http://10.0.0.7:8000"
          line 1, `platform.vms`: is missing; add an address, as in "http://10.0.0.7:8000"
    "#]],
    );
}

#[test]
fn all_faults_are_reported_at_once() {
    check(
        include_str!("data/faulty.toml"),
        expect![[r#"
        the settings have faults; mend these lines:
          line 1, `cluster`: is not an identifier; use 1 to 64 ASCII letters, digits, `-`, `_` or `.`
          line 1, `region`: is missing; add a name in quotes
          line 2, `role`: is not one of the choices; use "entry", "agent" or "gateway"
          line 3, `vm`: is not an identifier; use 1 to 64 ASCII letters, digits, `-`, `_` or `.`
          line 4, `centre`: has the wrong type; write a name in quotes
          line 5, `regoin`: is not known; remove it or use one of: cluster, role, vm, centre, region, listen, peer, platform, engine, limit
          line 8, `listen.data`: is not a socket address; write an IP number and a port, as in "10.0.0.7:7001"
          line 9, `listen.control`: names no single address, but peers are told it; write this VM's own IP number
          line 10, `listen.admin`: has the wrong type; write an address, as in "10.0.0.7:7001"
          line 13, `peer.key`: has the wrong type; write the cluster's shared key in quotes
          line 16, `platform.key_value`: is not a service address; write an IP number and a port, as in "http://10.0.0.7:8000"
          line 17, `platform.vms`: is not a service address; write an IP number and a port, as in "http://10.0.0.7:8000"
          line 20, `engine.kind`: is not one of the choices; use "model" or "plain"
          line 21, `engine.address`: is not a service address; write an IP number and a port, as in "http://10.0.0.7:8000"
          line 22, `engine.slots`: is out of range; use a whole number from 1 to 4096
          line 23, `engine.checks_fence`: has the wrong type; write true or false
          line 26, `limit.body_bytes`: has the wrong type; write a whole number without quotes
          line 27, `limit.header_timeout_ms`: is out of range; use a whole number from 100 to 60000
          line 28, `limit.workers`: is out of range; use a whole number from 1 to 64
          line 30, `limits`: is not known; remove it or use one of: cluster, role, vm, centre, region, listen, peer, platform, engine, limit
    "#]],
    );
}

#[test]
fn syntax_errors_are_reported_without_the_text() {
    check(
        "cluster = \"sofia\nvm = \n[peer]\nkey = 'a-key-that-nobody-should-see\n",
        expect![[r#"
        the settings have faults; mend these lines:
          line 1, `file`: is not valid TOML (invalid basic string, expected `"`); mend this line
          line 2, `file`: is not valid TOML (string values must be quoted, expected literal string); mend this line
          line 4, `file`: is not valid TOML (invalid literal string, expected `'`); mend this line
    "#]],
    );
}

#[test]
fn an_entry_has_no_engine_and_no_weight_store() {
    check(
        &AGENT.replace("role = \"agent\"", "role = \"entry\""),
        expect![[r#"
        the settings have faults; mend these lines:
          line 18, `platform.weights`: is for agents only; remove it or set role = "agent"
          line 20, `engine`: is for agents only; remove it or set role = "agent"
    "#]],
    );
}

#[test]
fn an_agent_needs_an_engine() {
    check(
        &ENTRY.replace("role = \"entry\"", "role = \"agent\""),
        expect![[r#"
        the settings have faults; mend these lines:
          line 1, `engine.kind`: is missing; add "model" or "plain"
          line 1, `engine.address`: is missing; add an address, as in "http://10.0.0.7:8000"
          line 1, `engine.slots`: is missing; add a whole number
          line 1, `engine.checks_fence`: is missing; add true or false
    "#]],
    );
}

#[test]
fn a_plain_engine_belongs_to_a_pool() {
    let plain = AGENT.replace("kind = \"model\"", "kind = \"plain\"");
    check(
        &plain,
        expect![[r#"
        the settings have faults; mend these lines:
          line 20, `engine.pool`: is missing; add a name in quotes
    "#]],
    );
    let pooled = plain.replace("slots = 8", "slots = 8\npool = \"registry\"");
    let engine = Settings::parse(&pooled).unwrap().engine.unwrap();
    assert_eq!(engine.pool.as_deref(), Some("registry"));
}

#[test]
fn a_model_engine_belongs_to_no_pool() {
    check(
        &AGENT.replace("slots = 8", "slots = 8\npool = \"registry\""),
        expect![[r#"
        the settings have faults; mend these lines:
          line 24, `engine.pool`: is for plain engines only; remove it or set kind = "plain"
    "#]],
    );
}

#[test]
fn a_section_must_be_a_table() {
    check(
        &ENTRY.replace("[peer]\nkey", "[[peer]]\nkey"),
        expect![[r#"
        the settings have faults; mend these lines:
          line 12, `peer`: has the wrong type; write a section
          line 12, `peer.key`: is missing; add the cluster's shared key in quotes
    "#]],
    );
}

#[test]
fn listeners_must_have_different_addresses() {
    check(
        &ENTRY.replace(":7003", ":7001"),
        expect![[r#"
        the settings have faults; mend these lines:
          line 10, `listen.admin`: is already taken by another listener; choose a port of its own
    "#]],
    );
}

#[test]
fn port_zero_is_accepted_for_several_listeners() {
    let text = ENTRY.replace(":7001", ":0").replace(":7002", ":0");
    let settings = Settings::parse(&text).unwrap();
    assert_eq!(settings.listen.data.port(), 0);
}

#[test]
fn a_short_key_is_refused_without_showing_it() {
    check(
        &ENTRY.replace("0123456789abcdef0123456789abcdef", "hunter2"),
        expect![[r#"
        the settings have faults; mend these lines:
          line 13, `peer.key`: is shorter than 32 characters; use a longer random key, the same on all VMs
    "#]],
    );
}

#[test]
fn the_error_for_a_missing_file_has_its_path() {
    let error = File::load(Path::new("no/such/settings.toml")).unwrap_err();
    expect![[r#"the settings file "no/such/settings.toml" can't be read (No such file or directory (os error 2)); check that it exists and is UTF-8"#]].assert_eq(&error.to_string());
}
