//! Counts and times of requests.

use std::time::Duration;

use hdrhistogram::Histogram;

use crate::outcome::Answer;
use crate::outcome::Outcome;
use crate::outcome::Refusal;

/// Longest time that is recorded exactly, in microseconds.
const MAX_TIME_US: u64 = 120_000_000;
/// Significant digits of recorded times.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Value of `ran` in the refusal of a request that did not run.
const NOT_RUN: &str = "no";
/// Number of failures of which the description is kept.
const MAX_SAMPLES: usize = 3;

/// Counts and times of the requests of a class.
#[derive(Debug, Clone)]
pub struct Tally {
    /// Requests that were sent.
    pub sent: u64,
    /// Complete answers with the expected text.
    pub correct: u64,
    /// Complete answers with another text.
    pub wrong: u64,
    /// Refusals which state that the request did not run.
    pub refused: u64,
    /// Other refusals.
    pub unknown: u64,
    /// Requests that got no answer or an incomplete one.
    pub failed: u64,
    /// Requests whose callers disconnected at the end of the load.
    pub abandoned: u64,
    /// Requests that were not sent because too many were in flight or no chat was free.
    pub skipped: u64,
    /// Prompt tokens of correct answers.
    pub prompt_tokens: u64,
    /// Those of `prompt_tokens` that were cached.
    pub cached_tokens: u64,
    /// Times to the first token, in microseconds.
    pub first_token: Histogram<u64>,
    /// Times between tokens, in microseconds.
    pub token_gap: Histogram<u64>,
    /// Times to the end of the answer, in microseconds.
    pub total: Histogram<u64>,
    /// Descriptions of the first failures.
    pub samples: Vec<String>,
}

impl Default for Tally {
    fn default() -> Tally {
        Tally {
            sent: 0,
            correct: 0,
            wrong: 0,
            refused: 0,
            unknown: 0,
            failed: 0,
            abandoned: 0,
            skipped: 0,
            prompt_tokens: 0,
            cached_tokens: 0,
            first_token: histogram(),
            token_gap: histogram(),
            total: histogram(),
            samples: Vec::new(),
        }
    }
}

impl Tally {
    /// Records an outcome; `expected` is the only correct text of an answer.
    pub fn count(&mut self, outcome: &Outcome, expected: &str) {
        match outcome {
            Outcome::Answer(answer) if answer.text == expected => self.record_answer(answer),
            Outcome::Answer(answer) => {
                self.wrong += 1;
                self.add_sample(format!("{:?} in place of {expected:?}", answer.text));
            }
            Outcome::Refused(refusal) => self.record_refusal(refusal),
            Outcome::Failed(reason) => {
                self.failed += 1;
                self.add_sample(reason.clone());
            }
        }
    }

    /// Adds the counts and times of another tally.
    pub fn add(&mut self, other: &Tally) {
        self.sent += other.sent;
        self.correct += other.correct;
        self.wrong += other.wrong;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.failed += other.failed;
        self.abandoned += other.abandoned;
        self.skipped += other.skipped;
        self.prompt_tokens += other.prompt_tokens;
        self.cached_tokens += other.cached_tokens;
        let _ = self.first_token.add(&other.first_token);
        let _ = self.token_gap.add(&other.token_gap);
        let _ = self.total.add(&other.total);
        self.samples.extend(other.samples.iter().cloned());
        self.samples.truncate(MAX_SAMPLES);
    }

    /// Returns the share of the prompt tokens that was cached, from 0 to 1.
    pub fn reuse(&self) -> f64 {
        self.cached_tokens as f64 / self.prompt_tokens.max(1) as f64
    }

    fn record_answer(&mut self, answer: &Answer) {
        self.correct += 1;
        self.prompt_tokens += answer.prompt_tokens;
        self.cached_tokens += answer.cached_tokens;
        record_time(&mut self.first_token, answer.first_token);
        record_time(&mut self.total, answer.total);
        for gap in &answer.gaps {
            record_time(&mut self.token_gap, *gap);
        }
    }

    fn record_refusal(&mut self, refusal: &Refusal) {
        if refusal.ran == NOT_RUN {
            self.refused += 1;
            return;
        }
        self.unknown += 1;
        self.add_sample(format!("{refusal:?}"));
    }

    fn add_sample(&mut self, sample: String) {
        if self.samples.len() < MAX_SAMPLES {
            self.samples.push(sample);
        }
    }
}

fn histogram() -> Histogram<u64> {
    match Histogram::new_with_max(MAX_TIME_US, SIGNIFICANT_DIGITS) {
        Ok(histogram) => histogram,
        Err(error) => unreachable!("the histogram's bounds are valid: {error}"),
    }
}

fn record_time(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(u64::try_from(time.as_micros()).unwrap_or(MAX_TIME_US));
}
