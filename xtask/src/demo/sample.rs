//! Deployments of the demo with the requests of their sample sessions.

use std::path::Path;
use std::path::PathBuf;

use fleet::Deployment;

/// A deployment with the requests of its sample session.
#[derive(Debug)]
pub(crate) struct Sample {
    pub(crate) deployment: Deployment,
    /// Chat of two turns, whose second turn should find the first one cached.
    pub(crate) returning: Script,
    /// Chat whose answer is streamed.
    pub(crate) streamed: Script,
    /// Call that is retried and must run once.
    pub(crate) booking: Booking,
}

/// What one caller sends in a chat.
#[derive(Debug)]
pub(crate) struct Script {
    pub(crate) account: &'static str,
    pub(crate) service: &'static str,
    /// Model that serves the service.
    pub(crate) model: &'static str,
    /// Tokens of each answer.
    pub(crate) tokens: u32,
    /// Messages of the user, one per turn.
    pub(crate) turns: &'static [&'static str],
}

/// A call of a plain service that must run once.
#[derive(Debug)]
pub(crate) struct Booking {
    pub(crate) account: &'static str,
    pub(crate) service: &'static str,
    pub(crate) path: &'static str,
    pub(crate) body: &'static str,
    /// Idempotency key of the call.
    pub(crate) key: &'static str,
    /// Name under which the registry's stand-in counts the runs of the call.
    pub(crate) run: &'static str,
}

impl Sample {
    /// Returns the sample of the Sofia deployment.
    pub(crate) fn sofia() -> Sample {
        Sample {
            deployment: Deployment::sofia(),
            returning: Script {
                account: "clerks",
                service: "classify",
                model: "motion-small",
                tokens: 8,
                turns: &[
                    "Classify the motion: this house would make voting compulsory at eighteen.",
                    "Now the same motion, but for local elections only.",
                ],
            },
            streamed: Script {
                account: "adjudicators",
                service: "brief",
                model: "motion-large",
                tokens: 32,
                turns: &["Write a case brief on compulsory voting, from the archive of 2019."],
            },
            booking: Booking {
                account: "clerks",
                service: "registry",
                path: "/rounds",
                body: r#"{"round":"plovdiv-final","society":"Varna Debating Society"}"#,
                key: "demo-booking-1",
                run: "plovdiv-final",
            },
        }
    }

    /// Returns the sample of the Tallinn deployment.
    pub(crate) fn tallinn() -> Sample {
        Sample {
            deployment: Deployment::tallinn(),
            returning: Script {
                account: "phone-desk",
                service: "answer",
                model: "shop-small",
                tokens: 8,
                turns: &[
                    "Does the large whiteboard come with markers, and in which colours?",
                    "And can it be delivered to a school in Tartu this week?",
                ],
            },
            streamed: Script {
                account: "catalogue-team",
                service: "catalogue",
                model: "shop-large",
                tokens: 32,
                turns: &["Draft the catalogue page for dustless white chalk, twelve sticks."],
            },
            booking: Booking {
                account: "phone-desk",
                service: "ordering",
                path: "/charges",
                body: r#"{"order":"order-1001","account":"shop-1"}"#,
                key: "demo-charge-1",
                run: "order-1001",
            },
        }
    }

    /// Returns the path of the deployment's sample intent.
    pub(crate) fn intent(&self) -> PathBuf {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
        root.join("deploy").join(&self.deployment.cluster).join("intent.toml")
    }
}
