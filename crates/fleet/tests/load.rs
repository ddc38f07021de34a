//! Tests of the load generator against an engine's stand-in that runs in this process.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use expect_test::expect;
use fleet::http::Client;
use fleet::load::ChatCache;
use fleet::load::Class;
use fleet::load::Generator;
use fleet::load::Shape;
use fleet::load::Zipf;
use fleet::metrics;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use standins::engine;
use standins::server::Server;

fn engine() -> Server {
    let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let options = engine::Options {
        prefill_per_token: Duration::ZERO,
        token_gap: Duration::ZERO,
        ..engine::Options::default()
    };
    engine::start(listen, options).expect("a free port")
}

fn generator(server: &Server, stream: bool, shape: Shape) -> Generator {
    let class =
        Class { stream, chats: 4, turns: 3, ..Class::new("one", "clerks", "small", "small") };
    Generator {
        servers: vec![server.addr()],
        classes: vec![class],
        shape,
        time: Duration::from_secs(60),
        requests: 24,
        cache_tokens: u64::MAX,
        drain: Duration::from_secs(20),
        seed: 1,
    }
}

#[ntex::test]
async fn chats_take_several_turns_and_answers_are_checked() {
    let client = Client::new().await.unwrap();
    for stream in [true, false] {
        let server = engine();
        let report = generator(&server, stream, Shape::Closed { callers: 2 }).run(&client).await;
        let tally = report.whole();
        assert_eq!((tally.sent, tally.correct), (24, 24), "{:?}", tally.samples);
        assert!(tally.cached_tokens > 0, "{:?}", tally.samples);
        let reuse = report.reuse(0..60);
        assert_eq!((reuse.prompt, reuse.cached), (tally.prompt_tokens, tally.cached_tokens));
        assert_eq!(
            reuse.shared_cache, tally.cached_tokens,
            "a cache without a limit reuses all earlier turns"
        );
    }
}

#[ntex::test]
async fn an_open_load_keeps_to_its_limit_of_requests_in_flight() {
    let server = engine();
    let client = Client::new().await.unwrap();
    client.post(&server.url("/standin/faults"), &freeze()).await.unwrap();
    let shape = Shape::Open { rate: 200.0, max_in_flight: 3 };
    let time = Duration::from_millis(300);
    let generator = Generator { time, drain: Duration::ZERO, ..generator(&server, true, shape) };
    let tally = generator.run(&client).await.whole();
    assert_eq!((tally.sent, tally.abandoned, tally.correct), (3, 3, 0), "{:?}", tally.samples);
    assert!(tally.skipped > 0, "{:?}", tally.samples);
}

#[ntex::test]
async fn answers_of_another_model_count_as_wrong() {
    let server = engine();
    let client = Client::new().await.unwrap();
    let mut generator = generator(&server, true, Shape::Closed { callers: 1 });
    generator.classes[0].model = "large".to_owned();
    let tally = generator.run(&client).await.whole();
    assert!(tally.wrong > 0 && tally.correct == 0, "{:?}", tally.samples);
}

#[test]
fn low_indexes_are_drawn_most_often() {
    let zipf = Zipf::new(5, 1.0);
    let mut random = Pcg64::seed_from_u64(1);
    let mut counts = [0; 5];
    for _ in 0..1000 {
        counts[zipf.choose(&mut random)] += 1;
    }
    expect!["[415, 211, 152, 133, 89]"].assert_eq(&format!("{counts:?}"));
}

#[test]
fn the_chat_cache_evicts_the_least_recently_used_chat() {
    let mut cache = ChatCache::new(100);
    assert_eq!(cache.serve("a", 0, 40), 0);
    assert_eq!(cache.serve("b", 0, 40), 0);
    assert_eq!(cache.serve("a", 40, 60), 40);
    assert_eq!(cache.serve("c", 0, 10), 0, "chat b is evicted");
    assert_eq!(cache.serve("b", 40, 30), 0);
    assert_eq!(cache.serve("a", 60, 60), 60);
}

#[test]
fn a_metric_is_summed_over_its_label_sets() {
    let text =
        "# TYPE sent counter\nsent{to=\"a b\"} 2\nsent{to=\"}\"} 3\nsent_total 9\nload 1.5\n";
    assert_eq!(metrics::sum(text, "sent"), Some(5.0));
    assert_eq!(metrics::sum(text, "load"), Some(1.5));
    assert_eq!(metrics::sum(text, "lost"), None);
}

fn freeze() -> engine::Faults {
    engine::Faults { freeze: true, ..engine::Faults::default() }
}
