//! Identifies the client account of a request by its bearer token.

use config::Document;
use ntex::http::HeaderMap;
use ntex::http::header::AUTHORIZATION;
use wire::Digest;
use wire::Problem;
use wire::id;

use crate::problems;

/// Cache of accounts by bearer token, so that not every request is compared with every
/// account. It keeps only valid tokens, as hashes, and only for one revision of the
/// configuration.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    revision: id::Revision,
    known: Vec<Known>,
}

#[derive(Debug)]
struct Known {
    digest: Digest,
    account: id::Account,
}

impl Cache {
    /// Returns the client account that a request's bearer token names.
    ///
    /// # Errors
    ///
    /// There is no bearer token, or it names no account.
    pub(crate) fn account(
        &mut self,
        document: &Document,
        headers: &HeaderMap,
    ) -> Result<id::Account, Problem> {
        let token = bearer(headers).ok_or_else(problems::token)?;
        if self.revision != document.revision {
            self.revision = document.revision;
            self.known.clear();
        }
        let digest = Digest::of(token.as_bytes());
        match self.known.binary_search_by(|known| known.digest.cmp(&digest)) {
            Ok(index) => Ok(self.known[index].account.clone()),
            Err(index) => {
                let account = document.account_of_token(token).ok_or_else(problems::token)?;
                self.known.insert(index, Known { digest, account: account.name.clone() });
                Ok(account.name.clone())
            }
        }
    }
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}
