//! Parses and validates an intent, and reports all faults at once.

use std::collections::BTreeSet;
use std::time::Duration;

use toml::Spanned;
use wire::Digest;
use wire::id;

use crate::Account;
use crate::Document;
use crate::Limit;
use crate::Rank;
use crate::Service;
use crate::fault::Fault;
use crate::intent;
use crate::intent::Intent;
use crate::service::Chat;
use crate::service::Kind;
use crate::service::Plain;

/// Most ranks of a document.
const MAX_RANKS: usize = 8;
/// Limit of generated tokens if neither the caller nor the intent sets one.
const DEFAULT_OUTPUT_TOKENS: u32 = 512;

/// Parses the TOML text of an intent into a document, which has no revision, operator
/// or assignments yet.
///
/// # Errors
///
/// Returns all faults of the text, sorted by line. If the text can't be read as an
/// intent at all, that is the only fault.
pub fn parse(text: &str) -> Result<Document, Vec<Fault>> {
    let intent: Intent = toml::from_str(text).map_err(|error| vec![syntax_fault(text, &error)])?;
    let mut checker = Checker { text, faults: Vec::new() };
    let document = checker.document(&intent);
    if checker.faults.is_empty() {
        return Ok(document);
    }
    checker.faults.sort_by_key(|fault| fault.line);
    Err(checker.faults)
}

/// Converts an error of the TOML parser to a fault.
fn syntax_fault(text: &str, error: &toml::de::Error) -> Fault {
    let offset = error.span().map_or(0, |span| span.start);
    Fault {
        line: line(text, offset),
        key: "intent".to_owned(),
        message: error.message().replace('\n', " "),
        remedy: "see docs/INTENTS.md for the keys".to_owned(),
    }
}

/// Returns the line of a byte offset, counted from 1.
fn line(text: &str, offset: usize) -> usize {
    let before = &text.as_bytes()[..offset.min(text.len())];
    before.iter().filter(|byte| **byte == b'\n').count() + 1
}

/// Converts an intent to a document and collects its faults.
struct Checker<'a> {
    text: &'a str,
    faults: Vec<Fault>,
}

impl Checker<'_> {
    fn document(&mut self, intent: &Intent) -> Document {
        self.check_names("rank.name", intent.rank.iter().map(|rank| &rank.name));
        self.check_names("service.name", intent.service.iter().map(|service| &service.name));
        self.check_names("account.name", intent.account.iter().map(|account| &account.name));
        let mut services: Vec<Service> =
            intent.service.iter().map(|service| self.service(intent, service)).collect();
        let mut accounts: Vec<Account> =
            intent.account.iter().map(|account| self.account(account)).collect();
        services.sort_by(|a, b| a.name.cmp(&b.name));
        accounts.sort_by(|a, b| a.name.cmp(&b.name));
        Document {
            ranks: self.ranks(intent),
            services,
            accounts,
            limit: self.limit(intent),
            ..Document::default()
        }
    }

    fn ranks(&mut self, intent: &Intent) -> Vec<Rank> {
        if intent.rank.is_empty() {
            self.push_fault(0, "rank", "no rank is declared", "declare at least one [[rank]]");
        }
        if intent.rank.len() > MAX_RANKS {
            let message = format!("{} ranks are declared", intent.rank.len());
            self.push_fault(0, "rank", &message, &format!("declare at most {MAX_RANKS}"));
        }
        let total: u32 = intent.rank.iter().map(|rank| u32::from(rank.minimum_percent)).sum();
        if total > 100 {
            let message = format!("the minimums add up to {total} percent");
            self.push_fault(0, "rank.minimum_percent", &message, "keep their sum at or below 100");
        }
        intent.rank.iter().map(|rank| self.rank(rank)).collect()
    }

    fn rank(&mut self, rank: &intent::Rank) -> Rank {
        let line = self.line(&rank.name);
        if rank.first_token_ms == 0 {
            let remedy = "give at least 1 millisecond";
            self.push_fault(
                line,
                "rank.first_token_ms",
                "no answer can arrive within 0 milliseconds",
                remedy,
            );
        }
        if rank.patience_ms < rank.first_token_ms {
            let message = "a request would be refused before its first token is due";
            self.push_fault(line, "rank.patience_ms", message, "give at least first_token_ms");
        }
        if rank.worth == 0 {
            let message = "a rank that is worth nothing would never be planned for";
            self.push_fault(line, "rank.worth", message, "give at least 1");
        }
        if !(1..=99).contains(&rank.objective_percent) {
            let message = format!("{} is out of range", rank.objective_percent);
            self.push_fault(
                line,
                "rank.objective_percent",
                &message,
                "give a percentage from 1 to 99",
            );
        }
        Rank {
            name: rank.name.get_ref().clone(),
            first_token: Duration::from_millis(rank.first_token_ms),
            token_gap: Duration::from_millis(rank.token_gap_ms),
            patience: Duration::from_millis(rank.patience_ms),
            worth: rank.worth,
            minimum: rank.minimum_percent,
            objective: rank.objective_percent,
        }
    }

    fn service(&mut self, intent: &Intent, service: &intent::Service) -> Service {
        let mut accounts: Vec<id::Account> = Vec::new();
        for account in &service.accounts {
            let is_declared =
                intent.account.iter().any(|known| known.name.get_ref() == account.get_ref());
            if !is_declared {
                let message = format!("account {:?} is not declared", account.get_ref());
                let remedy = "declare it under [[account]] or take it out";
                self.push_fault(self.line(account), "service.accounts", &message, remedy);
            }
            accounts.push(account.get_ref().clone());
        }
        accounts.sort();
        accounts.dedup();
        Service {
            name: service.name.get_ref().clone(),
            rank: self.rank_index(intent, service),
            accounts,
            kind: self.kind(service),
        }
    }

    /// Returns the index of a service's rank, 0 with a fault if it is not declared.
    fn rank_index(&mut self, intent: &Intent, service: &intent::Service) -> id::Rank {
        let wanted = service.rank.get_ref();
        let found = intent.rank.iter().position(|rank| rank.name.get_ref() == wanted);
        if found.is_none() {
            let names: Vec<&str> =
                intent.rank.iter().map(|rank| rank.name.get_ref().as_str()).collect();
            let remedy = format!("use one of: {}", names.join(", "));
            let message = format!("rank {wanted:?} is not declared");
            self.push_fault(self.line(&service.rank), "service.rank", &message, &remedy);
        }
        found.and_then(|index| id::Rank::try_from(index).ok()).unwrap_or_default()
    }

    fn kind(&mut self, service: &intent::Service) -> Kind {
        let line = self.line(&service.name);
        match (&service.model, &service.pool) {
            (Some(model), None) => Kind::Chat(Chat {
                model: model.clone(),
                output_tokens: service.output_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS),
            }),
            (None, Some(pool)) => {
                let mut idempotent = service.idempotent.clone();
                idempotent.sort();
                Kind::Plain(Plain { pool: pool.clone(), idempotent })
            }
            _ => {
                let message = "a service has either a model or a pool";
                self.push_fault(
                    line,
                    "service.model",
                    message,
                    "give exactly one of model and pool",
                );
                Kind::Plain(Plain { pool: String::new(), idempotent: Vec::new() })
            }
        }
    }

    fn account(&mut self, account: &intent::Account) -> Account {
        let line = self.line(&account.name);
        if account.weight == 0 {
            let message = "an account without weight would never be served";
            self.push_fault(line, "account.weight", message, "give at least 1");
        }
        let tokens = account.tokens.iter().filter_map(|token| self.token(token)).collect();
        Account { name: account.name.get_ref().clone(), weight: account.weight, tokens }
    }

    fn token(&mut self, token: &Spanned<String>) -> Option<Digest> {
        let digest = Digest::parse(token.get_ref());
        if digest.is_none() {
            let message = "this is no SHA-256 hash; a token itself must not stand here";
            let remedy = "put in what `lycheeknot intent hash-token` prints";
            self.push_fault(self.line(token), "account.tokens", message, remedy);
        }
        digest
    }

    fn limit(&mut self, intent: &Intent) -> Limit {
        let default = Limit::default();
        let wanted = &intent.limit;
        let load_bound = wanted.load_bound.unwrap_or(default.load_bound);
        if !(1.0..=10.0).contains(&load_bound) {
            let message = format!("{load_bound} is out of range");
            self.push_fault(0, "limit.load_bound", &message, "give a multiple from 1.0 to 10.0");
        }
        let attempts = wanted.attempts.unwrap_or(default.attempts);
        if !(1..=10).contains(&attempts) {
            let message = format!("{attempts} is out of range");
            self.push_fault(0, "limit.attempts", &message, "give a number from 1 to 10");
        }
        let loads = wanted.loads.unwrap_or(default.loads);
        if !(1..=100).contains(&loads) {
            let message = format!("{loads} is out of range");
            self.push_fault(0, "limit.loads", &message, "give a number from 1 to 100");
        }
        let claim_age = wanted.claim_age_s.map_or(default.claim_age, Duration::from_secs);
        Limit {
            load_bound,
            attempts,
            retry_percent: wanted.retry_percent.unwrap_or(default.retry_percent),
            accelerators: intent.budget.accelerators,
            loads,
            claim_age,
        }
    }

    /// Checks that names are valid and that none is declared twice.
    fn check_names<'a>(&mut self, key: &str, names: impl Iterator<Item = &'a Spanned<String>>) {
        let mut seen = BTreeSet::new();
        for name in names {
            let line = self.line(name);
            let is_name_char = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
            if name.get_ref().is_empty() || !name.get_ref().chars().all(is_name_char) {
                let message = format!("{:?} is not a valid name", name.get_ref());
                self.push_fault(line, key, &message, "use letters, digits, '-', '_' and '.'");
            }
            if !seen.insert(name.get_ref().as_str()) {
                let message = format!("{:?} is declared twice", name.get_ref());
                self.push_fault(line, key, &message, "keep one of them");
            }
        }
    }

    fn line(&self, value: &Spanned<String>) -> usize {
        line(self.text, value.span().start)
    }

    fn push_fault(&mut self, line: usize, key: &str, message: &str, remedy: &str) {
        self.faults.push(Fault {
            line,
            key: key.to_owned(),
            message: message.to_owned(),
            remedy: remedy.to_owned(),
        });
    }
}
