//! Tests that read a gateway's settings file.

use expect_test::Expect;
use expect_test::expect;
use settings::File;
use settings::key;

const VALID: &str = r#"role = "gateway"
vm = "g-1"
centre = "s1"
[listen]
clients = "10.0.1.7:7001"
admin = "10.0.1.7:7003"
control = "10.0.1.7:7002"
[peer]
seeds = ["10.0.1.7:7002", "10.0.3.7:7002"]
[platform]
store = "10.0.0.5:2379"
[limit]
cores = 0.19
descriptors = 4100
stop_notice_ms = 2600
stop_grace_ms = 5000
[retry]
ratio = 0.2
slack = 58
processes = 8
"#;

fn check(text: &str, expected: Expect) {
    let outcome = match File::parse(text) {
        Ok(File::Gateway(gateway)) => format!("{gateway:#?}\n"),
        Ok(File::Fleet(_)) => "the settings of another role\n".to_owned(),
        Err(error) => format!("{error}\n"),
    };
    expected.assert_eq(&outcome);
}

#[test]
fn a_valid_file_is_read() {
    check(
        VALID,
        expect![[r#"
            Gateway {
                vm: "g-1",
                centre: "s1",
                clients: 10.0.1.7:7001,
                admin: 10.0.1.7:7003,
                control: 10.0.1.7:7002,
                seeds: [
                    10.0.1.7:7002,
                    10.0.3.7:7002,
                ],
                store: 10.0.0.5:2379,
                writes_per_s: 400.0,
                capacity: 190,
                connections: 2050,
                memory: None,
                body_stall: 10s,
                body_rate: 8192,
                response_stall: 15s,
                retry_ratio: 0.2,
                retry_slack: 58.0,
                processes: 8,
                spread_stale_loads: false,
                share_failures: false,
                learn_speed: false,
                slow_start: None,
                abandon_silent: false,
                stop_notice: 2.6s,
                stop_grace: 5s,
            }
        "#]],
    );
}

/// Guards against limits of memory that are not read, or are read in another unit.
#[test]
fn limits_of_memory_are_read() {
    let limits = "descriptors = 4100\nmemory_mb = 112\nbody_stall_ms = 5000\n\
                  body_bytes_per_s = 1024\nresponse_stall_ms = 7000";
    let text = VALID.replace("descriptors = 4100", limits);
    let Ok(File::Gateway(gateway)) = File::parse(&text) else { panic!("the settings are valid") };
    assert_eq!(gateway.memory, Some(112 * 1024 * 1024));
    assert_eq!(gateway.body_stall.as_millis(), 5_000);
    assert_eq!(gateway.body_rate, 1_024);
    assert_eq!(gateway.response_stall.as_millis(), 7_000);
}

/// Guards against limits that no machine has, and that refuse or allow everything.
#[test]
fn limits_of_memory_out_of_range_are_faults() {
    let limits = "descriptors = 4100\nmemory_mb = 8\nbody_stall_ms = 0\n\
                  body_bytes_per_s = 0\nresponse_stall_ms = -1";
    check(
        &VALID.replace("descriptors = 4100", limits),
        expect![[r#"
            the settings have faults; mend these lines:
              line 15, `limit.memory_mb`: is out of range; use a whole number from 16 to 1048576
              line 16, `limit.body_stall_ms`: is out of range; use a whole number from 1000 to 600000
              line 17, `limit.body_bytes_per_s`: is out of range; use a whole number from 1 to 1073741824
              line 18, `limit.response_stall_ms`: is out of range; use a whole number from 1000 to 600000
        "#]],
    );
}

#[test]
fn all_faults_are_reported_at_once() {
    let text = VALID
        .replace("\"10.0.1.7:7003\"", "\"10.0.1.7:7001\"")
        .replace("\"10.0.0.5:2379\"", "\"store\"")
        .replace("descriptors = 4100", "descriptor = 4100")
        .replace("0.2", "\"much\"")
        .replace("processes = 8", "processes = 0");
    check(
        &text,
        expect![[r#"
            the settings have faults; mend these lines:
              line 6, `listen.admin`: is already taken by another listener; choose a port of its own
              line 11, `platform.store`: is not a socket address; write an IP number and a port, as in "10.0.0.7:7001"
              line 12, `limit.descriptors`: is missing; add a whole number
              line 14, `limit.descriptor`: is not known; remove it or use one of: cores, descriptors, memory_mb, body_stall_ms, body_bytes_per_s, response_stall_ms, stop_notice_ms, stop_grace_ms
              line 18, `retry.ratio`: has the wrong type; write a number, as in 0.2
              line 20, `retry.processes`: is out of range; use a whole number from 1 to 100000
        "#]],
    );
}

#[test]
fn a_slow_start_is_read_where_it_is_named() {
    let read = |section: &str| match File::parse(&format!("{VALID}[slow_start]\n{section}")) {
        Ok(File::Gateway(gateway)) => format!("{:?}", gateway.slow_start),
        Ok(File::Fleet(_)) => "the settings of another role".to_owned(),
        Err(error) => error.to_string(),
    };
    expect!["Some(SlowStart { over: 1.5, slack: 5.0 })"].assert_eq(&read("over = 1.5\nslack = 5"));
    expect![[r#"
        the settings have faults; mend these lines:
          line 22, `slow_start.over`: has the wrong type; write a number, as in 0.2"#]]
    .assert_eq(&read("over = -1\nslack = 5"));
}

#[test]
fn a_file_with_invalid_toml_is_refused() {
    check(
        "role = \"gateway\"\nvm = \n",
        expect![[r#"
            the settings have faults; mend these lines:
              line 1, `centre`: is missing; add a name in quotes
              line 1, `listen.clients`: is missing; add an address, as in "10.0.0.7:7001"
              line 1, `listen.admin`: is missing; add an address, as in "10.0.0.7:7001"
              line 1, `listen.control`: is missing; add an address, as in "10.0.0.7:7001"
              line 1, `platform.store`: is missing; add an address, as in "10.0.0.7:7001"
              line 1, `limit.descriptors`: is missing; add a whole number
              line 1, `limit.stop_notice_ms`: is missing; add a whole number
              line 1, `limit.stop_grace_ms`: is missing; add a whole number
              line 1, `retry.ratio`: is missing; add a number, as in 0.2
              line 1, `retry.slack`: is missing; add a number, as in 0.2
              line 1, `retry.processes`: is missing; add a whole number
              line 2, `file`: is not valid TOML (string values must be quoted, expected literal string); mend this line
              line 2, `vm`: is not an identifier; use 1 to 64 ASCII letters, digits, `-`, `_` or `.`
        "#]],
    );
}

/// Guards against a part that is on where its setting is missing, or off where it is set.
#[test]
fn the_section_on_endpoints_switches_parts_on() {
    let switched = |section: &str| match File::parse(&format!("{VALID}{section}")) {
        Ok(File::Gateway(gateway)) => Some((gateway.share_failures, gateway.abandon_silent)),
        _ => None,
    };
    assert_eq!(switched(""), Some((false, false)));
    assert_eq!(switched("[endpoints]\n"), Some((false, false)));
    assert_eq!(switched("[endpoints]\nshare_failures = true\n"), Some((true, false)));
    assert_eq!(switched("[endpoints]\nabandon_silent = true\n"), Some((false, true)));
    check(
        &format!("{VALID}[endpoints]\nshare_failures = \"yes\"\n"),
        expect![[r#"
            the settings have faults; mend these lines:
              line 22, `endpoints.share_failures`: has the wrong type; write true or false
        "#]],
    );
}

#[test]
fn the_speed_of_endpoints_is_learnt_if_that_is_set() {
    let text = format!("{VALID}[endpoints]\nlearn_speed = true\n");
    let Ok(File::Gateway(gateway)) = File::parse(&text) else { panic!("the settings are valid") };
    assert!(gateway.learn_speed);
    check(
        &text.replace("true", "1"),
        expect![[r#"
            the settings have faults; mend these lines:
              line 22, `endpoints.learn_speed`: has the wrong type; write true or false
        "#]],
    );
}

#[test]
fn every_key_is_documented() {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/SETTINGS.md");
    let page = std::fs::read_to_string(path).expect("docs/SETTINGS.md is readable");
    let (_, section) =
        page.split_once("\n## Gateway\n").expect("docs/SETTINGS.md has a section on gateways");
    let sections = [
        key::GATEWAY_ROOT,
        key::GATEWAY_LISTEN,
        key::GATEWAY_PLATFORM,
        key::GATEWAY_LIMIT,
        key::GATEWAY_RETRY,
        key::GATEWAY_ENDPOINTS,
        key::GATEWAY_SLOW_START,
    ];
    for name in sections.concat() {
        assert!(section.contains(&format!("\n{name} = ")), "{name}");
    }
}
