//! Exchanges loads of endpoints with other gateways.

use std::time::Duration;

use futures_util::future::join_all;
use policy::exchange::Report;
use policy::observation::Observations;
use policy::origin::Segment;
use policy::rate_limit;
use policy::rate_limit::Usage;
use policy::relay::Duty;
use rand::RngExt;
use rpc::Error;
use rpc::view::Loads;
use rpc::view::Message;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::peer::Connections;
use crate::peer::Member;
use crate::peer::Peers;
use crate::record;

/// Interval between reports. In this time an endpoint gets some three requests at the most loaded
/// of the known deployments, so loads are known to within that.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between checks whether other gateways are known yet.
const START_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time limit for an answer: several round trips between data centres.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Exchanges loads with the other gateways until cancelled.
///
/// A gateway reports to the hub of its data centre, which adds up loads. Hubs exchange their sums
/// with each other.
pub async fn share_loads(peers: &Peers, cancel: CancellationToken) {
    let sharing = Sharing { peers, connections: Connections::new(ANSWER_TIMEOUT) };
    let exchange = async {
        // The first report is sent as soon as there is anyone to report to.
        while peers.hubs().is_empty() {
            sleep(START_POLL_INTERVAL).await;
        }
        loop {
            sharing.exchange().await;
            // The jitter keeps the gateways from reporting in step.
            sleep(REPORT_INTERVAL.mul_f64(rand::rng().random_range(0.9..1.1))).await;
        }
    };
    cancel.run_until_cancelled(exchange).await;
}

/// The exchange with other gateways.
struct Sharing<'a> {
    peers: &'a Peers,
    connections: Connections,
}

impl Sharing<'_> {
    /// Reports this gateway's requests, and learns those of the others.
    async fn exchange(&self) {
        let peers = self.peers;
        for hub in peers.relays(Duty::Loads) {
            match self.report(&hub).await {
                Ok(answer) => {
                    let Message { loads, usage, observations, .. } = answer;
                    return self.apply(&loads, &usage, &observations.own);
                }
                Err(error) => self.failed(&hub, &error),
            }
        }
        // This gateway is a hub, or acts as one while the hubs of its data centre fail.
        let hubs = peers.hubs();
        let own = peers.own();
        // The answer to a swap is the other hub's report, so only one of two hubs calls.
        let called = hubs.iter().filter(|hub| own.vm < hub.vm);
        join_all(called.map(|hub| self.swap(hub))).await;
        let now = peers.routing().now();
        let (loads, usage) = peers.exchange().others(now);
        let observations = peers.exchange().other_observations(now);
        self.apply(&loads, &usage, &observations);
    }

    /// Reports to a hub; returns what all others have reported.
    async fn report(&self, hub: &Member) -> Result<Message<Loads, Usage>, Error> {
        let message = self.next_message(false);
        let answer = self.connections.client(hub).await?.report(&message, ANSWER_TIMEOUT).await?;
        let routing = self.peers.routing();
        routing.quarantine().learn(&answer.crashes, routing.now());
        self.learn_streams(&answer.streams);
        Ok(answer)
    }

    /// Exchanges sums with another hub.
    async fn swap(&self, hub: &Member) {
        let routing = self.peers.routing();
        let is_new = self.peers.exchange().is_new_hub(&hub.vm, routing.now());
        let message = self.next_message(is_new);
        let swapped =
            async { self.connections.client(hub).await?.swap(&message, ANSWER_TIMEOUT).await };
        match swapped.await {
            Ok(answer) => {
                routing.quarantine().learn(&answer.crashes, routing.now());
                self.learn_streams(&answer.streams);
                let (now, vm) = (routing.now(), answer.loads.vm.clone());
                let mut exchange = self.peers.exchange();
                if exchange.record_hub(answer.loads, answer.usage, now).is_some() {
                    exchange.record_hub_observations(&vm, answer.observations, now);
                }
            }
            Err(error) => self.failed(hub, &error),
        }
    }

    /// Returns this gateway's next report, with what a gateway should know of crashes; `is_new`
    /// if that one has just started.
    fn next_message(&self, is_new: bool) -> Message<Report, rate_limit::Report> {
        let routing = self.peers.routing();
        // Taken first, so that the locks of the routing aren't taken under that of the exchange.
        let (own, own_usage) = (routing.own_loads(), routing.own_usage());
        let own_observations = routing.own_observations();
        let now = routing.now();
        let crashes = routing.quarantine().digest(is_new, now);
        let streams = routing.origins().recent_since(Duration::ZERO, now);
        let mut exchange = self.peers.exchange();
        let usage = exchange.usage_report(own_usage, now);
        let observations = exchange.observations(own_observations, now);
        Message { loads: exchange.next_report(own, now), crashes, usage, streams, observations }
    }

    fn learn_streams(&self, streams: &Segment) {
        let routing = self.peers.routing();
        routing.origins().replicas.learn(streams, routing.now());
    }

    /// Uses the requests and observations of the other gateways for the choice of endpoints.
    fn apply(&self, loads: &Loads, usage: &Usage, observations: &Observations) {
        record::known_loads(loads.gateways);
        self.peers.routing().set_other_loads(&loads.sheet, loads.gateways);
        self.peers.routing().set_other_usage(usage, loads.gateways);
        self.peers.routing().set_other_observations(observations, loads.gateways);
    }

    fn failed(&self, hub: &Member, error: &Error) {
        log::info!(peer = hub.vm.as_str(); "loads are not exchanged: {error}");
        self.connections.remove(&hub.vm);
        self.peers.relay_failed(Duty::Loads, &hub.vm);
    }
}
